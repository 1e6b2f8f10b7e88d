package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// testProtocol returns the header names that these tests use.
func testProtocol() Protocol {
	return Protocol{
		RequestID: "Id", Deadline: "Left", Team: "Team", ExpectedEndpoint: "Meant", Seal: "Seal", NotRun: "Unrun", Leaving: "Leaves", RateLimit: "Limit", Brittle: "Brittle", Cold: "Cold",
		ResumeAfter: "After", Resumes: "Resumes", Reserved: []string{"Own"},
		Demand: func(h http.Header) (site.Demand, error) {
			if h.Get("Demand") == "bad" {
				return site.Demand{}, errors.New("bad demand")
			}
			if h.Get("Demand") == "" {
				return site.Demand{}, nil
			}
			return site.Demand{PromptTokens: 100, MaxOutputTokens: 50, Parts: []site.Part{{Identifier: h.Get("Demand")}, {Identifier: "own"}}}, nil
		},
	}
}

// fakeEndpoint is an HTTP server that answers with a given handler and records the requests.
type fakeEndpoint struct {
	server *httptest.Server
	answer http.HandlerFunc

	mu       sync.Mutex
	requests []*http.Request
	// bodies are the bodies of the recorded requests, in the same order.
	bodies []string
}

func newFakeEndpoint(tb testing.TB, answer http.HandlerFunc) *fakeEndpoint {
	tb.Helper()
	f := &fakeEndpoint{answer: answer}
	f.server = httptest.NewServer(f)
	tb.Cleanup(f.server.Close)
	return f
}

func (f *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.bodies = append(f.bodies, string(body))
	f.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	f.answer(w, r)
}

func (f *fakeEndpoint) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func (f *fakeEndpoint) request(i int) (*http.Request, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[i], f.bodies[i]
}

// answerSealed returns a handler that answers successfully, with the seal of an endpoint.
func answerSealed(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "seal-1")
		_, _ = io.WriteString(w, body)
	}
}

func answerError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Seal", "seal-2")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "endpoint's error")
}

func answerNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Unrun", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abortConnection closes the connection without an answer after the request has been read.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// gatewayTest is a server in front of fake endpoints.
type gatewayTest struct {
	t         testing.TB
	server    *Server
	state     *Board
	listener  *httptest.Server
	endpoints []*fakeEndpoint
	lines     *memory.Handler
}

// testRoutes returns the routes of these tests, one for each path prefix.
func testRoutes() []site.Route {
	one := []site.WeightedService{{Service: "plain", Weight: 1}}
	engine := []site.WeightedService{{Service: "engine", Weight: 1}}
	return []site.Route{
		{Name: "order", Host: "h", Prefix: "/order/", Attempts: 3, Services: one},
		{Name: "read", Host: "h", Prefix: "/read/", Kind: site.Idempotent, Attempts: 3, Services: one},
		{Name: "single", Host: "h", Prefix: "/single/", Kind: site.Idempotent, Attempts: 1, Services: one},
		{Name: "quick", Host: "h", Prefix: "/quick/", Attempts: 1, Timeout: 50 * time.Millisecond, Services: one},
		{Name: "open", Host: "h", Prefix: "/open/", Public: true, Attempts: 1, Services: one},
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: site.Streaming, Attempts: 2, Affinity: true, Services: engine},
		{Name: "talk", Host: "h", Prefix: "/talk/", Kind: site.Streaming, Resumable: true, Attempts: 2, Services: engine},
		{Name: "whole", Host: "h", Prefix: "/whole/", Kind: site.Idempotent, Attempts: 2, Services: engine},
		{Name: "once", Host: "h", Prefix: "/once/", Attempts: 1, Services: engine},
		{Name: "empty", Host: "h", Prefix: "/empty/", Attempts: 1, Services: []site.WeightedService{{Service: "nobody", Weight: 1}}},
	}
}

func newGatewayTest(tb testing.TB, answers ...http.HandlerFunc) *gatewayTest {
	tb.Helper()
	return newGatewayTestIn(tb, "", answers...)
}

// newGatewayTestIn returns a server that runs in a region.
func newGatewayTestIn(tb testing.TB, region string, answers ...http.HandlerFunc) *gatewayTest {
	tb.Helper()
	g := &gatewayTest{t: tb, state: &Board{Metrics: metrics.NewRegistry()}, lines: memory.New()}
	var listed []site.Endpoint
	for i, answer := range answers {
		f := newFakeEndpoint(tb, answer)
		g.endpoints = append(g.endpoints, f)
		for _, service := range []string{"plain", "engine"} {
			listed = append(listed, site.Endpoint{
				Name: service + string(rune('a'+i)), Service: service, Address: strings.TrimPrefix(f.server.URL, "http://"),
			})
		}
	}
	configuration := &site.Configuration{
		Version: 1, Routes: testRoutes(),
		Services: []site.Service{{Name: "engine", Engine: &site.Engine{EventTokens: 5}}},
		Teams:    []site.Team{{Name: "studio", Keys: []string{"key"}}, {Name: "poor", Keys: []string{"none"}, HasPrepaid: true}},
		Limits:   site.Limits{HeaderBytes: 2000, BodyBytes: 1000},
	}
	configuration.Index()
	logger := &log.Logger{Handler: g.lines, Level: log.InfoLevel}
	payer := allowance.NewHolder(&keyed.KeyedLog{}, allowance.Settings{
		Holder: "router/1", Instance: "router", Logger: logger, DrawTimeout: time.Millisecond,
	})
	payer.Configure(configuration)
	g.state.Configuration.Store(configuration)
	g.state.Directory.Store(site.NewDirectory(listed))
	g.server = NewServer(g.state, testProtocol(), Location{Region: region, Regions: testZones()}, payer, logger)
	for range 100 {
		// Recorded requests fill the retry budgets, as in a router that has served for a while.
		g.server.retries.recordRequest("plain")
		g.server.retries.recordRequest("engine")
	}
	g.listener = httptest.NewServer(g.server)
	tb.Cleanup(g.listener.Close)
	return g
}

// callResult is the answer that a caller got.
type callResult struct {
	status int
	header http.Header
	body   string
	// truncated reports whether the answer was incomplete.
	truncated bool
}

// call sends a request to the server as a caller. change may be nil.
func (g *gatewayTest) call(method, path, body string, change func(*http.Request)) callResult {
	g.t.Helper()
	request, err := http.NewRequestWithContext(g.t.Context(), method, g.listener.URL+path, strings.NewReader(body))
	assert.Must(g.t, err)
	request.Host = "h"
	request.Header.Set("Id", "id-1")
	request.Header.Set("Authorization", "Bearer key")
	if change != nil {
		change(request)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return callResult{truncated: true}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(read), truncated: err != nil}
}

func (g *gatewayTest) assertRequestCounts(want ...int) {
	g.t.Helper()
	var got []int
	for _, f := range g.endpoints {
		got = append(got, f.requestCount())
	}
	assert.Equal(g.t, want, got)
}

// unreachable returns an address at which nothing listens.
func unreachable(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
