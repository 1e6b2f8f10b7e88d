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

// benchmarkLogDelay is the simulated latency of each call to the log.
const benchmarkLogDelay = 2 * time.Millisecond

const benchmarkBody = `{"model":"brush","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"a grey cat"}]}`

// BenchmarkAddedByRouter measures the latency that a router adds to streamed requests, which includes the append to the log.
// In each run equal numbers of callers send requests directly to an engine and through the router at the same time.
func BenchmarkAddedByRouter(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(serveTokens))
	b.Cleanup(engine.Close)
	router := startRouterForEngines(b, 2000, engine.Listener.Addr().String())
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			direct := &loadGenerator{address: engine.URL, concurrency: streams, requests: max(b.N, streams)}
			routed := &loadGenerator{address: router, concurrency: streams, requests: max(b.N, streams)}
			start := time.Now()
			var generators sync.WaitGroup
			generators.Go(direct.run)
			generators.Go(routed.run)
			generators.Wait()
			for _, percent := range []int{50, 99} {
				b.ReportMetric(float64(direct.percentile(percent).Microseconds()), fmt.Sprintf("direct-p%d-µs", percent))
				b.ReportMetric(float64((routed.percentile(percent) - direct.percentile(percent)).Microseconds()), fmt.Sprintf("added-p%d-µs", percent))
			}
			b.ReportMetric(float64(routed.requests)/time.Since(start).Seconds(), "requests/s")
			b.ReportMetric(float64(routed.failed), "failed")
		})
	}
}

// serveTokens answers with a stream of sixteen tokens at intervals of one millisecond.
func serveTokens(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for range 16 {
		_, _ = io.WriteString(w, `data: {"choices":[{"index":0,"delta":{"content":"word "}}]}`+"\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(w, `data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":16}}`+"\n\ndata: [DONE]\n\n")
}

// startRouterForEngines starts a router with an in-memory log in front of the given engines, each with a maximum concurrency,
// and returns the URL of its callers' listener.
func startRouterForEngines(tb testing.TB, concurrency int, engines ...string) string {
	tb.Helper()
	endpoints := ""
	for i, address := range engines {
		endpoints += fmt.Sprintf("{Name: e-%d, Service: llm, Kind: Engine, Address: \"%s\", AvailabilityZone: a-1, Region: a, Concurrency: %d}, ", i, address, concurrency)
	}
	platformLog := &memory.Log{}
	ticket := fmt.Sprintf(`
Number: 1
Teams: [{Name: studio, KeyDigests: [%s]}]
Budgets: [{Name: main, Team: studio, Prepaid: 1000000000000}]
Routes: [{Name: brush, Service: llm, Model: brush, Limits: {HeaderTimeout: 1m}}]
InstanceSets: [{Name: all, Endpoints: [%s]}]
`, operator.KeyDigest(testKey), endpoints)
	if _, err := platformLog.Append(context.Background(), platform.ConfigurationStream, []byte(ticket)); err != nil {
		tb.Fatal(err)
	}
	platformLog.SetDelay(benchmarkLogDelay)
	s := &routerFixture{platformLog: platformLog, signals: make(chan os.Signal, signalBuffer), runResult: make(chan error, 1)}
	settings := fixtureSettings(tb)
	s.start(tb, settings)
	tb.Cleanup(func() {
		if err := s.stop(); err != nil {
			tb.Error(err)
		}
	})
	address := "http://" + settings.Listen
	// Requests are refused until the budget's prepaid total is in the ledger.
	probe := &loadGenerator{address: address}
	waitUntil(tb, func() bool { return probe.send(http.DefaultClient) })
	return address
}

// loadGenerator sends a number of requests from concurrent callers and records their latencies. Each caller sends its next
// request after the previous answer.
type loadGenerator struct {
	address     string
	concurrency int
	requests    int

	mutex     sync.Mutex
	latencies []time.Duration
	failed    int
}

// run sends all requests and returns after the last answer.
func (c *loadGenerator) run() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.concurrency}}
	defer client.CloseIdleConnections()
	remaining := make(chan struct{}, c.requests)
	for range c.requests {
		remaining <- struct{}{}
	}
	close(remaining)
	var callers sync.WaitGroup
	for range c.concurrency {
		callers.Go(func() {
			for range remaining {
				c.measure(client)
			}
		})
	}
	callers.Wait()
}

// measure sends one request and records its latency and whether it failed.
func (c *loadGenerator) measure(client *http.Client) {
	start := time.Now()
	complete := c.send(client)
	latency := time.Since(start)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.latencies = append(c.latencies, latency)
	if !complete {
		c.failed++
	}
}

// send sends one request and reports whether its answer was complete.
func (c *loadGenerator) send(client *http.Client) bool {
	answer, err := post(client, c.address, benchmarkBody)
	return err == nil && strings.HasSuffix(answer, "data: [DONE]\n\n")
}

// post sends a chat request and returns the body of its answer. A status other than 200 is an error.
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

// percentile returns the latency that the given percentage of requests did not exceed.
func (c *loadGenerator) percentile(percent int) time.Duration {
	slices.Sort(c.latencies)
	return c.latencies[(len(c.latencies)-1)*percent/100]
}
