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

// fixture is a dispatcher in front of test endpoints.
type fixture struct {
	*Dispatcher
	board *blackboard.Board
	set   operator.InstanceSet
}

func newFixture(tb testing.TB, handlers ...http.HandlerFunc) *fixture {
	tb.Helper()
	f := &fixture{board: &blackboard.Board{Metrics: metrics.NewRegistry()}}
	for _, handler := range handlers {
		server := httptest.NewServer(answerProbes(handler))
		tb.Cleanup(server.Close)
		f.addEndpoint(server.Listener.Addr().String())
	}
	f.Dispatcher = NewDispatcher(f.board, Settings{Region: testZone, AvailabilityZone: testZone})
	tb.Cleanup(func() { assertNothingInFlight(tb, f) })
	return f
}

// assertNothingInFlight checks that every reserved slot was freed and every counter is described.
func assertNothingInFlight(tb testing.TB, f *fixture) {
	tb.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		assert.Equal(tb, 0, p.inFlight)
		assert.Equal(tb, 0, p.suspectsInFlight)
	}
	f.board.Metrics.Each(func(name string, _ any) {
		described := slices.ContainsFunc(Counters(), func(d Description) bool { return d.Name == name })
		if !described {
			tb.Errorf("counter %s has no description", name)
		}
	})
}

// answerProbes wraps a handler and answers probes itself, so that the handler gets calls only.
func answerProbes(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != DefaultProbePath {
			handler(w, r)
		}
	}
}

// addEndpoint declares another endpoint.
func (f *fixture) addEndpoint(address string) {
	f.set.Endpoints = append(f.set.Endpoints, operator.Endpoint{
		Name: fmt.Sprintf("engine-%d", len(f.set.Endpoints)), Service: testService, Address: address,
		Region: testZone, AvailabilityZone: testZone,
	})
	f.storeConfiguration()
}

// storeConfiguration stores a configuration with the fixture's endpoints on the board.
func (f *fixture) storeConfiguration() {
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

// delta returns an event with one token.
func delta(text string) string {
	return fmt.Sprintf("data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
}

const (
	usageEvent = "data: {\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2,\"total_tokens\":6}}\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// respondWithEvents returns a handler that responds with an event stream.
func respondWithEvents(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStreamType)
		for _, e := range events {
			_, _ = io.WriteString(w, e)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// respondAndDisconnect returns a handler that responds with events and then closes the connection.
func respondAndDisconnect(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if len(events) > 0 {
			respondWithEvents(events...)(w, r)
		}
		panic(http.ErrAbortHandler)
	}
}

// respondAndStall returns a handler that responds with events and then sends nothing until the request is cancelled.
func respondAndStall(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if len(events) > 0 {
			respondWithEvents(events...)(w, r)
		}
		<-r.Context().Done()
	}
}

// callOutcome holds the properties of a finished call that tests compare.
type callOutcome struct {
	Verdict  string
	Reason   verdict.Reason
	Usage    ledger.Tokens
	Started  bool
	Attempts int
	Body     string
}

func perform(t *testing.T, f *fixture, ctx context.Context, call *Call) callOutcome { //nolint:revive // t first in tests
	t.Helper()
	return performOn(t, f, ctx, call, httptest.NewRecorder())
}

func performOn(t *testing.T, f *fixture, ctx context.Context, call *Call, w *httptest.ResponseRecorder) callOutcome { //nolint:revive // t first in tests
	t.Helper()
	result, err := f.Do(ctx, call, w)
	got := callOutcome{
		Verdict: result.Verdict.String(), Usage: result.Usage, Started: result.ResponseStarted,
		Attempts: result.Attempts, Body: w.Body.String(),
	}
	var refusal *verdict.Refusal
	switch {
	case errors.As(err, &refusal):
		got.Reason = refusal.Reason
		assert.Equal(t, result.Verdict, refusal.Verdict)
	case err != nil:
		t.Errorf("error %v is not a *verdict.Refusal", err)
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
		want    callOutcome
	}{
		{"usage event removed", respondWithEvents(full...), nil, callOutcome{"Ran", "", 6, true, 1, delta("a") + delta("b") + doneEvent}},
		{
			"usage event relayed", respondWithEvents(full...), func(c *Call) { c.Model.ReportUsage = true },
			callOutcome{"Ran", "", 6, true, 1, strings.Join(full, "")},
		},
		{"no usage event", respondWithEvents(delta("a"), doneEvent), nil, callOutcome{"Ran", "", 11, true, 1, delta("a") + doneEvent}},
		{"connection broken after the first event", respondAndDisconnect(delta("a")), nil, callOutcome{"MayHaveRun", verdict.EndpointFailed, 11, true, 1, delta("a") + errorText}},
		{"stream without [DONE]", respondWithEvents(delta("a")), nil, callOutcome{"MayHaveRun", verdict.EndpointFailed, 11, true, 1, delta("a") + errorText}},
		{
			"truncated at the maximum length", respondWithEvents(delta("a"), delta("b"), usageEvent, doneEvent), func(c *Call) { c.Model.MaxTokens = 1 },
			callOutcome{"Ran", "", 11, true, 1, delta("a") + string(chunkMetadata{ID: "c", Object: "chat.completion.chunk"}.finalEvents(nil))},
		},
		{"wrong content type", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, delta("a"))
		}, allowOneAttempt, callOutcome{"MayHaveRun", verdict.EndpointFailed, 10, false, 1, ""}},
		{"event too long", respondWithEvents(delta(strings.Repeat("x", DefaultMaxEventBytes))), allowOneAttempt, callOutcome{"MayHaveRun", verdict.EndpointFailed, 10, false, 1, ""}},
		{
			"refused without running", refuseUnrun, allowOneAttempt, callOutcome{"NotRun", verdict.EndpointRefused, 0, false, 1, ""},
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

// allowOneAttempt keeps a call from being retried.
func allowOneAttempt(c *Call) { c.Route.Limits.Attempts = 1 }

// refuseUnrun responds that the request was not run.
func refuseUnrun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(verdictHeader, "NotRun")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRetry(t *testing.T) {
	t.Run("idempotent call after a broken response", func(t *testing.T) {
		f := newFixture(t, respondAndDisconnect(), respondWithEvents(delta("a"), doneEvent))
		for range 10 {
			got := perform(t, f, t.Context(), streamCall())
			assert.Equal(t, delta("a")+doneEvent, got.Body)
		}
	})
	t.Run("no retry of non-idempotent calls after MayHaveRun", func(t *testing.T) {
		var runs atomic.Int64
		handler := func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		f := newFixture(t, handler, handler, handler)
		assert.Equal(t, callOutcome{"MayHaveRun", verdict.EndpointFailed, 1, false, 1, ""}, perform(t, f, t.Context(), plainCall()))
		assert.Equal(t, 1, runs.Load())
	})
	t.Run("retry of all calls after NotRun", func(t *testing.T) {
		f := newFixture(t, refuseUnrun, refuseUnrun, refuseUnrun)
		assert.Equal(t, callOutcome{"NotRun", verdict.EndpointRefused, 0, false, 3, ""}, perform(t, f, t.Context(), plainCall()))
		assert.Equal(t, 2, f.counter("retry.endpoint_refused"))
	})
	t.Run("verdict stays MayHaveRun after a later refusal", func(t *testing.T) {
		var runs atomic.Int64
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			refuseUnrun(w, r)
		})
		call := streamCall()
		call.Route.Limits.Attempts = 2
		assert.Equal(t, callOutcome{"MayHaveRun", verdict.EndpointRefused, 0, false, 2, ""}, perform(t, f, t.Context(), call))
	})
	t.Run("lease lapsed", func(t *testing.T) {
		var runs atomic.Int64
		f := newFixture(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		call := plainCall()
		call.CheckDispatch = func() error { return verdict.Refuse(verdict.LeaseExpired, "") }
		assert.Equal(t, callOutcome{"NotRun", verdict.LeaseExpired, 0, false, 1, ""}, perform(t, f, t.Context(), call))
		assert.Equal(t, 0, runs.Load())
	})
}

func TestSilence(t *testing.T) {
	withShortTimeouts := func(c *Call) *Call {
		c.Route.Limits.HeaderTimeout, c.Route.Limits.FirstTokenTimeout = 30*time.Millisecond, 30*time.Millisecond
		c.Route.Limits.TokenTimeout, c.Route.Limits.Attempts = 30*time.Millisecond, 1
		return c
	}
	assertUnresponsive := func(t *testing.T, handler http.HandlerFunc, want callOutcome) {
		t.Helper()
		assert.Equal(t, want, perform(t, newFixture(t, handler), t.Context(), withShortTimeouts(streamCall())))
	}
	t.Run("no headers", func(t *testing.T) {
		assertUnresponsive(t, respondAndStall(), callOutcome{"MayHaveRun", verdict.EndpointUnresponsive, 0, false, 1, ""})
	})
	t.Run("no first event", func(t *testing.T) {
		assertUnresponsive(t, respondAndStall(": alive\n\n"), callOutcome{"MayHaveRun", verdict.EndpointUnresponsive, 10, false, 1, ""})
	})
	t.Run("no further event", func(t *testing.T) {
		want := delta("a") + string(errorEvent(verdict.EndpointUnresponsive))
		assertUnresponsive(t, respondAndStall(delta("a")), callOutcome{"MayHaveRun", verdict.EndpointUnresponsive, 11, true, 1, want})
	})
	t.Run("request timeout", func(t *testing.T) {
		call := streamCall()
		call.Route.Limits.RequestTimeout = 50 * time.Millisecond
		got := perform(t, newFixture(t, respondAndStall()), t.Context(), call)
		assert.Equal(t, callOutcome{"MayHaveRun", verdict.OutcomeUnknown, 0, false, 1, ""}, got)
	})
}

func TestCallerGone(t *testing.T) {
	cancelled := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		respondWithEvents(delta("a"))(w, r)
		cancel()
		<-r.Context().Done()
		close(cancelled)
	})
	got := perform(t, f, ctx, streamCall())
	<-cancelled
	assert.Equal(t, verdict.CallerDisconnected, got.Reason)
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
		assert.Equal(t, callOutcome{"MayHaveRun", verdict.EndpointFailed, 1, false, 1, ""}, got)
		assert.Equal(t, 2, runs.Load())
	}
}

// respondUnframed returns a handler whose response has neither a length nor chunks and ends with the connection.
func respondUnframed(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if connection, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n"+body)
			_ = connection.Close()
		}
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
		assert.Equal(t, callOutcome{"Ran", "", 1, true, 1, ""}, perform(t, f, t.Context(), call))
		got.Del(timeoutHeader)
		assert.Equal(t, http.Header{"Idempotency-Key": {"booking-1"}, "Content-Length": {"2"}}, got)
	})
	t.Run("usage", func(t *testing.T) {
		body := `{"usage":{"prompt_tokens":3,"completion_tokens":4}}`
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		call := streamCall()
		call.Model.Stream = false
		assert.Equal(t, callOutcome{"Ran", "", 7, true, 1, body}, perform(t, f, t.Context(), call))
	})
	t.Run("response that ends with its connection", func(t *testing.T) {
		const whole, cut = `{"choices":[{"message":{"content":"abcd"}}]}`, `{"choices":[{"message":{"co`
		for _, c := range []struct {
			name, body string
			want       callOutcome
		}{
			{"whole", whole, callOutcome{"Ran", "", promptBound + 2, true, 1, whole}},
			{"cut", cut, callOutcome{"MayHaveRun", verdict.EndpointFailed, promptBound, false, 1, ""}},
		} {
			t.Run(c.name, func(t *testing.T) {
				f := newFixture(t, respondUnframed(c.body))
				call := streamCall()
				call.Idempotent, call.Model.Stream = false, false
				assert.Equal(t, c.want, perform(t, f, t.Context(), call))
			})
		}
	})
	t.Run("response larger than the buffer", func(t *testing.T) {
		body := strings.Repeat("x", 3*DefaultMaxBufferedBytes)
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		assert.Equal(t, callOutcome{"Ran", "", 1, true, 1, body}, perform(t, f, t.Context(), plainCall()))
	})
	t.Run("incomplete response", func(t *testing.T) {
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		})
		assert.Equal(t, callOutcome{"MayHaveRun", verdict.EndpointFailed, 1, false, 1, ""}, perform(t, f, t.Context(), plainCall()))
	})
}
