package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// benchmarkLogDelay is the time of each call of the log.
const benchmarkLogDelay = 2 * time.Millisecond

const benchmarkBody = `{"model":"brush","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"a grey cat"}]}`

// BenchmarkAddedByRouter sends streams to an engine directly and through a whole router in the same run, half of
// the callers each way, and reports what the router adds: the log's append and what lies beyond it.
func BenchmarkAddedByRouter(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(serveTokens))
	b.Cleanup(engine.Close)
	router := startRouterOfEngines(b, 2000, engine.Listener.Addr().String())
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			direct := &callerCrowd{address: engine.URL, streams: streams, calls: max(b.N, streams)}
			routed := &callerCrowd{address: router, streams: streams, calls: max(b.N, streams)}
			begun := time.Now()
			var crowds sync.WaitGroup
			crowds.Go(direct.run)
			crowds.Go(routed.run)
			crowds.Wait()
			for _, percent := range []int{50, 99} {
				b.ReportMetric(float64(direct.percentile(percent).Microseconds()), fmt.Sprintf("direct-p%d-µs", percent))
				b.ReportMetric(float64((routed.percentile(percent) - direct.percentile(percent)).Microseconds()), fmt.Sprintf("added-p%d-µs", percent))
			}
			b.ReportMetric(float64(routed.calls)/time.Since(begun).Seconds(), "requests/s")
			b.ReportMetric(float64(routed.failed), "failed")
		})
	}
}

// serveTokens answers with a stream of sixteen tokens, one each millisecond.
func serveTokens(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for range 16 {
		_, _ = io.WriteString(w, `data: {"choices":[{"index":0,"delta":{"content":"word "}}]}`+"\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(w, `data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":16}}`+"\n\ndata: [DONE]\n\n")
}

// startRouterOfEngines returns the callers' address of a router over a log in memory.
func startRouterOfEngines(tb testing.TB, concurrency int, engines ...string) string {
	tb.Helper()
	endpoints := ""
	for i, address := range engines {
		endpoints += fmt.Sprintf("{Name: e-%d, Service: llm, Kind: Engine, Address: \"%s\", AvailabilityZone: a-1, Region: a, Concurrency: %d}, ", i, address, concurrency)
	}
	stream := &memory.Log{}
	ticket := fmt.Sprintf(`
Number: 1
Teams: [{Name: studio, KeyDigests: [%s]}]
Budgets: [{Name: main, Team: studio, Prepaid: 1000000000000}]
Routes: [{Name: brush, Service: llm, Model: brush, Limits: {HeaderTimeout: 1m}}]
InstanceSets: [{Name: all, Endpoints: [%s]}]
`, operator.KeyDigest(testKey), endpoints)
	if _, err := stream.Append(context.Background(), platform.ConfigurationStream, []byte(ticket)); err != nil {
		tb.Fatal(err)
	}
	stream.SetDelay(benchmarkLogDelay)
	s := &site{stream: stream, signals: make(chan os.Signal, signalBacklog), ended: make(chan error, 1)}
	settings := siteSettings(tb)
	s.start(tb, settings)
	tb.Cleanup(func() {
		if err := s.stop(); err != nil {
			tb.Error(err)
		}
	})
	address := "http://" + settings.Listen
	// The budget's total has to be in the ledger before the first request is paid for.
	first := &callerCrowd{address: address}
	eventually(tb, func() bool { return first.complete(http.DefaultClient) })
	return address
}

// callerCrowd is so many callers who send requests one after the other.
type callerCrowd struct {
	address string
	streams int
	calls   int

	mutex     sync.Mutex
	latencies []time.Duration
	failed    int
}

func (c *callerCrowd) run() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.streams}}
	defer client.CloseIdleConnections()
	left := make(chan struct{}, c.calls)
	for range c.calls {
		left <- struct{}{}
	}
	close(left)
	var callers sync.WaitGroup
	for range c.streams {
		callers.Go(func() {
			for range left {
				c.call(client)
			}
		})
	}
	callers.Wait()
}

func (c *callerCrowd) call(client *http.Client) {
	begun := time.Now()
	whole := c.complete(client)
	latency := time.Since(begun)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.latencies = append(c.latencies, latency)
	if !whole {
		c.failed++
	}
}

// complete sends one request and reports whether its answer was whole.
func (c *callerCrowd) complete(client *http.Client) bool {
	answer, err := post(client, c.address, benchmarkBody)
	return err == nil && strings.HasSuffix(answer, "data: [DONE]\n\n")
}

// post sends a request and returns its answer.
func post(client *http.Client, address, body string) (string, error) {
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, address+"/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return string(answer), err
}

func (c *callerCrowd) percentile(percent int) time.Duration {
	slices.Sort(c.latencies)
	return c.latencies[(len(c.latencies)-1)*percent/100]
}
