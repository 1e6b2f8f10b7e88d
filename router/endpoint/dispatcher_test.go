package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

const (
	testService = "brush-llm"
	promptBound = 10
	maxTokens   = 5
	testZone    = "luzon-a"
)

// fixture is a dispatcher before fake endpoints.
type fixture struct {
	*Dispatcher
	board *blackboard.Board
	set   operator.InstanceSet
}

func newFixture(tb testing.TB, handlers ...http.HandlerFunc) *fixture {
	tb.Helper()
	f := &fixture{board: &blackboard.Board{Metrics: metrics.NewRegistry()}}
	for _, handler := range handlers {
		server := httptest.NewServer(alive(handler))
		tb.Cleanup(server.Close)
		f.add(server.Listener.Addr().String())
	}
	f.Dispatcher = NewDispatcher(f.board, Settings{Region: testZone, AvailabilityZone: testZone})
	tb.Cleanup(func() { assertSettled(tb, f) })
	return f
}

// assertSettled checks that every place was given back and every counter is described.
func assertSettled(tb testing.TB, f *fixture) {
	tb.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		assert.Equal(tb, 0, p.inFlight)
		assert.Equal(tb, 0, p.suspects)
	}
	f.board.Metrics.Each(func(name string, _ any) {
		described := slices.ContainsFunc(Counters(), func(d Description) bool { return d.Name == name })
		if !described {
			tb.Errorf("counter %s is not described", name)
		}
	})
}

// alive answers probes itself, so that handlers see nothing but calls.
func alive(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != DefaultProbePath {
			handler(w, r)
		}
	}
}

// add declares one more endpoint.
func (f *fixture) add(address string) {
	f.set.Endpoints = append(f.set.Endpoints, operator.Endpoint{
		Name: fmt.Sprintf("engine-%d", len(f.set.Endpoints)), Service: testService, Address: address,
		Region: testZone, AvailabilityZone: testZone,
	})
	f.declareAgain()
}

// declareAgain puts the fixture's endpoints on the board.
func (f *fixture) declareAgain() {
	set := operator.InstanceSet{Name: "engines", Endpoints: append([]operator.Endpoint(nil), f.set.Endpoints...)}
	f.board.Configuration.Store(&operator.Configuration{InstanceSets: map[string]operator.InstanceSet{set.Name: set}})
}

func (f *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, f.board.Metrics).Count()
}

func streamCall() *Call {
	return &Call{
		Route: operator.Route{Name: "chat", Service: testService, Limits: operator.RouteLimits{RequestTimeout: 20 * time.Second}},
		Team:  "studio", Method: http.MethodPost, Path: "/v1/chat/completions", Idempotent: true, Body: []byte(`{}`),
		Model: &ModelCall{Stream: true, MaxTokens: maxTokens, PromptBound: promptBound},
	}
}

func plainCall() *Call {
	call := streamCall()
	call.Model, call.Idempotent = nil, false
	call.Header = http.Header{"Idempotency-Key": {"booking-1"}}
	return call
}

// delta is an event with one token.
func delta(text string) string {
	return fmt.Sprintf("data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
}

const (
	usageEvent = "data: {\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2,\"total_tokens\":6}}\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// sends answers with an event stream.
func sends(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStreamType)
		for _, e := range events {
			_, _ = io.WriteString(w, e)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// breaks answers with events and then breaks the connection.
func breaks(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if len(events) > 0 {
			sends(events...)(w, r)
		}
		panic(http.ErrAbortHandler)
	}
}

// silent answers with events and then nothing until the request is cancelled.
func silent(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if len(events) > 0 {
			sends(events...)(w, r)
		}
		<-r.Context().Done()
	}
}

// outcomeOf is what tests compare.
type outcomeOf struct {
	Verdict  string
	Reason   verdict.Reason
	Usage    ledger.Tokens
	Started  bool
	Attempts int
	Body     string
}

func perform(t *testing.T, f *fixture, ctx context.Context, call *Call) outcomeOf { //nolint:revive // t first in tests
	t.Helper()
	return performOn(t, f, ctx, call, httptest.NewRecorder())
}

func performOn(t *testing.T, f *fixture, ctx context.Context, call *Call, w *httptest.ResponseRecorder) outcomeOf { //nolint:revive // t first in tests
	t.Helper()
	result, err := f.Do(ctx, call, w)
	got := outcomeOf{
		Verdict: result.Verdict.String(), Usage: result.Usage, Started: result.Started,
		Attempts: result.Attempts, Body: w.Body.String(),
	}
	var refusal *verdict.Refusal
	switch {
	case errors.As(err, &refusal):
		got.Reason = refusal.Reason
		assert.Equal(t, result.Verdict, refusal.Verdict)
	case err != nil:
		t.Errorf("error %v is no refusal", err)
	}
	return got
}

func TestStream(t *testing.T) {
	errorText := string(errorEvent(verdict.EndpointFailed))
	full := []string{delta("a"), delta("b"), usageEvent, doneEvent}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		change  func(*Call)
		want    outcomeOf
	}{
		{"usage event dropped", sends(full...), nil, outcomeOf{"Ran", "", 6, true, 1, delta("a") + delta("b") + doneEvent}},
		{
			"usage event passed on", sends(full...), func(c *Call) { c.Model.ReportUsage = true },
			outcomeOf{"Ran", "", 6, true, 1, strings.Join(full, "")},
		},
		{"usage counted", sends(delta("a"), doneEvent), nil, outcomeOf{"Ran", "", 11, true, 1, delta("a") + doneEvent}},
		{"killed within the stream", breaks(delta("a")), nil, outcomeOf{"MayHaveRun", verdict.EndpointFailed, 11, true, 1, delta("a") + errorText}},
		{"no end", sends(delta("a")), nil, outcomeOf{"MayHaveRun", verdict.EndpointFailed, 11, true, 1, delta("a") + errorText}},
		{
			"cut at the limit", sends(delta("a"), delta("b"), usageEvent, doneEvent), func(c *Call) { c.Model.MaxTokens = 1 },
			outcomeOf{"Ran", "", 11, true, 1, delta("a") + string(origin{ID: "c", Object: "chat.completion.chunk"}.lastEvents(nil))},
		},
		{"wrong content type", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, delta("a"))
		}, once, outcomeOf{"MayHaveRun", verdict.EndpointFailed, 10, false, 1, ""}},
		{"event too long", sends(delta(strings.Repeat("x", DefaultEventBytes))), once, outcomeOf{"MayHaveRun", verdict.EndpointFailed, 10, false, 1, ""}},
		{
			"refused unrun", refuses, once, outcomeOf{"NotRun", verdict.EndpointRefused, 0, false, 1, ""},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := streamCall()
			if c.change != nil {
				c.change(call)
			}
			assert.Equal(t, c.want, perform(t, newFixture(t, c.handler), t.Context(), call))
		})
	}
}

// once keeps a call from being tried again.
func once(c *Call) { c.Route.Limits.Attempts = 1 }

// refuses answers that the request was not run.
func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(verdictHeader, "NotRun")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRetry(t *testing.T) {
	t.Run("idempotent call after a broken answer", func(t *testing.T) {
		f := newFixture(t, breaks(), sends(delta("a"), doneEvent))
		for range 10 {
			got := perform(t, f, t.Context(), streamCall())
			assert.Equal(t, delta("a")+doneEvent, got.Body)
		}
	})
	t.Run("never after MayHaveRun for non-idempotent calls", func(t *testing.T) {
		var runs atomic.Int64
		handler := func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		f := newFixture(t, handler, handler, handler)
		assert.Equal(t, outcomeOf{"MayHaveRun", verdict.EndpointFailed, 1, false, 1, ""}, perform(t, f, t.Context(), plainCall()))
		assert.Equal(t, 1, runs.Load())
	})
	t.Run("after NotRun for all", func(t *testing.T) {
		f := newFixture(t, refuses, refuses, refuses)
		assert.Equal(t, outcomeOf{"NotRun", verdict.EndpointRefused, 0, false, 3, ""}, perform(t, f, t.Context(), plainCall()))
		assert.Equal(t, 2, f.counter("retry.endpoint_refused"))
	})
	t.Run("a refusal doesn't take back that an attempt may have run", func(t *testing.T) {
		var runs atomic.Int64
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			refuses(w, r)
		})
		call := streamCall()
		call.Route.Limits.Attempts = 2
		assert.Equal(t, outcomeOf{"MayHaveRun", verdict.EndpointRefused, 0, false, 2, ""}, perform(t, f, t.Context(), call))
	})
	t.Run("lease lapsed", func(t *testing.T) {
		var runs atomic.Int64
		f := newFixture(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		call := plainCall()
		call.CheckDispatch = func() error { return verdict.Refuse(verdict.LeaseLapsed, "") }
		assert.Equal(t, outcomeOf{"NotRun", verdict.LeaseLapsed, 0, false, 1, ""}, perform(t, f, t.Context(), call))
		assert.Equal(t, 0, runs.Load())
	})
}

func TestSilence(t *testing.T) {
	brief := func(c *Call) *Call {
		c.Route.Limits.HeaderTimeout, c.Route.Limits.FirstTokenTimeout = 30*time.Millisecond, 30*time.Millisecond
		c.Route.Limits.TokenTimeout, c.Route.Limits.Attempts = 30*time.Millisecond, 1
		return c
	}
	assertSilent := func(t *testing.T, handler http.HandlerFunc, want outcomeOf) {
		t.Helper()
		assert.Equal(t, want, perform(t, newFixture(t, handler), t.Context(), brief(streamCall())))
	}
	t.Run("no headers", func(t *testing.T) {
		assertSilent(t, silent(), outcomeOf{"MayHaveRun", verdict.EndpointSilent, 0, false, 1, ""})
	})
	t.Run("no first event", func(t *testing.T) {
		assertSilent(t, silent(": alive\n\n"), outcomeOf{"MayHaveRun", verdict.EndpointSilent, 10, false, 1, ""})
	})
	t.Run("within the stream", func(t *testing.T) {
		want := delta("a") + string(errorEvent(verdict.EndpointSilent))
		assertSilent(t, silent(delta("a")), outcomeOf{"MayHaveRun", verdict.EndpointSilent, 11, true, 1, want})
	})
	t.Run("whole request", func(t *testing.T) {
		call := streamCall()
		call.Route.Limits.RequestTimeout = 50 * time.Millisecond
		got := perform(t, newFixture(t, silent()), t.Context(), call)
		assert.Equal(t, outcomeOf{"MayHaveRun", verdict.OutcomeUnknown, 0, false, 1, ""}, got)
	})
}

func TestCallerGone(t *testing.T) {
	cancelled := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		sends(delta("a"))(w, r)
		cancel()
		<-r.Context().Done()
		close(cancelled)
	})
	got := perform(t, f, ctx, streamCall())
	<-cancelled
	assert.Equal(t, verdict.CallerWentAway, got.Reason)
	assert.Equal(t, "MayHaveRun", got.Verdict)
}

func TestReusedConnectionClosed(t *testing.T) {
	var runs atomic.Int64
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1) == 1 {
			return
		}
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	})
	for _, body := range []string{"{}", ""} {
		runs.Store(0)
		call := plainCall()
		call.Body = []byte(body)
		assert.Equal(t, "Ran", perform(t, f, t.Context(), call).Verdict)
		got := perform(t, f, t.Context(), call)
		assert.Equal(t, outcomeOf{"MayHaveRun", verdict.EndpointFailed, 1, false, 1, ""}, got)
		assert.Equal(t, 2, runs.Load())
	}
}

func TestWhole(t *testing.T) {
	t.Run("headers", func(t *testing.T) {
		var got http.Header
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			got = r.Header
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusFound)
		})
		call := plainCall()
		call.Header.Set("Authorization", "Bearer key")
		call.Header.Set("Connection", "X-Hop")
		call.Header.Set("X-Hop", "1")
		assert.Equal(t, outcomeOf{"Ran", "", 1, true, 1, ""}, perform(t, f, t.Context(), call))
		got.Del(timeoutHeader)
		assert.Equal(t, http.Header{"Idempotency-Key": {"booking-1"}, "Content-Length": {"2"}}, got)
	})
	t.Run("usage", func(t *testing.T) {
		body := `{"usage":{"prompt_tokens":3,"completion_tokens":4}}`
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		call := streamCall()
		call.Model.Stream = false
		assert.Equal(t, outcomeOf{"Ran", "", 7, true, 1, body}, perform(t, f, t.Context(), call))
	})
	t.Run("long answer", func(t *testing.T) {
		body := strings.Repeat("x", 3*DefaultBufferBytes)
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		assert.Equal(t, outcomeOf{"Ran", "", 1, true, 1, body}, perform(t, f, t.Context(), plainCall()))
	})
	t.Run("broken answer", func(t *testing.T) {
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		})
		assert.Equal(t, outcomeOf{"MayHaveRun", verdict.EndpointFailed, 1, false, 1, ""}, perform(t, f, t.Context(), plainCall()))
	})
}
