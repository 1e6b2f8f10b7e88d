package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// Sizes of the test and the benchmark of concurrent streams. The race detector aborts a process with more than 8,128
// goroutines, and callers, router and engines together need about nine per stream, which bounds testStreams.
const (
	testStreams        = 600
	benchmarkStreams   = 2000
	streamTokens       = 20
	maxStreamHeapBytes = 96 << 10
	engineCount        = 3
)

var noncePattern = regexp.MustCompile(`nonce-\d+`)

// echoFixture holds the client side of concurrent callers and is the handler of their engines. Each request contains a unique
// nonce. The engines repeat the nonce in their answer, but only after all requests have arrived.
type echoFixture struct {
	// arrived receives a message for each request that reached an engine or failed before that.
	arrived    chan struct{}
	allArrived chan struct{}
	address    string
	client     *http.Client
}

func (c *echoFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.Method == http.MethodGet {
		return
	}
	nonce := noncePattern.FindString(string(body))
	if nonce != "" {
		c.arrived <- struct{}{}
		<-c.allArrived
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for range streamTokens {
		_, _ = io.WriteString(w, nonceEvent(nonce))
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// nonceEvent returns a stream event whose content is the nonce.
func nonceEvent(nonce string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", nonce)
}

// assertEcho sends a request with the nonce of caller i, and checks that the answer is complete and contains no other nonce.
func (c *echoFixture) assertEcho(tb testing.TB, i int) {
	tb.Helper()
	nonce := fmt.Sprint("nonce-", i)
	body := fmt.Sprintf(`{"model":"brush","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, streamTokens, nonce)
	answer, err := post(c.client, c.address, body)
	if err != nil {
		c.arrived <- struct{}{}
		tb.Error(err)
		return
	}
	assert.Equal(tb, strings.Repeat(nonceEvent(nonce), streamTokens)+"data: [DONE]\n\n", answer)
}

// assertEchoes keeps the given number of streams open concurrently through one router and checks their answers. It returns the
// heap size per stream in bytes, which includes callers, router and engines.
func assertEchoes(tb testing.TB, streams int) uint64 {
	tb.Helper()
	c := &echoFixture{arrived: make(chan struct{}, 2*streams), allArrived: make(chan struct{}), client: &http.Client{Transport: &http.Transport{}}}
	defer c.client.CloseIdleConnections()
	var engines []string
	for range engineCount {
		engine := httptest.NewServer(c)
		tb.Cleanup(engine.Close)
		engines = append(engines, engine.Listener.Addr().String())
	}
	// The router starts an engine's adaptive concurrency limit at an eighth of the configured maximum.
	c.address = startRouterForEngines(tb, 8*streams, engines...)
	before := heapInUse()
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() { c.assertEcho(tb, i) })
	}
	for range streams {
		<-c.arrived
	}
	heapGrowth := heapInUse() - before
	close(c.allArrived)
	callers.Wait()
	return heapGrowth / uint64(streams)
}

// heapInUse returns the size of the live heap in bytes after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestOwnAnswersOfStreamsAtOnce guards against concurrent streams that get parts of each other's answers, and against excessive
// memory per stream.
func TestOwnAnswersOfStreamsAtOnce(t *testing.T) {
	if heapPerStream := assertEchoes(t, testStreams); heapPerStream > maxStreamHeapBytes {
		t.Errorf("heap per stream is %d bytes", heapPerStream)
	}
}

// BenchmarkStreamsAtOnce measures the heap per stream at the number of concurrent streams of a busy router.
func BenchmarkStreamsAtOnce(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(assertEchoes(b, benchmarkStreams)), "heap-B/stream")
	}
}
