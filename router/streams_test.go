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

// Sizes of the streams at once. The race detector ends a process with more than 8,128 goroutines, of which each
// stream needs about nine in callers, router and engines together.
const (
	testStreams        = 600
	benchmarkStreams   = 2000
	streamTokens       = 20
	maxStreamHeapBytes = 96 << 10
	engineCount        = 3
)

var noncePattern = regexp.MustCompile(`nonce-\d+`)

// echoFixture is a number of callers, each with a request of its own, and of engines that answer with the request's
// nonce, but not before all requests have arrived.
type echoFixture struct {
	// arrived gets a message for each request, also for one that failed on its way.
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

func nonceEvent(nonce string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", nonce)
}

// assertEcho sends a request and checks that the answer is its own and whole.
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

// assertEchoes holds so many streams open at once through one router, and returns the heap that each takes in
// callers, router and engines together.
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
	// A router's limit of an engine begins at an eighth.
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

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestOwnAnswersOfStreamsAtOnce(t *testing.T) {
	if heapPerStream := assertEchoes(t, testStreams); heapPerStream > maxStreamHeapBytes {
		t.Errorf("a stream holds %d bytes", heapPerStream)
	}
}

// BenchmarkStreamsAtOnce does the same for the streams of a busy router.
func BenchmarkStreamsAtOnce(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(assertEchoes(b, benchmarkStreams)), "heap-B/stream")
	}
}
