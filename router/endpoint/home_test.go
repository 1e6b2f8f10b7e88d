package endpoint

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// homeTest is a dispatcher in front of endpoints in several regions, which count the calls that they get.
type homeTest struct {
	*fixture

	t     *testing.T
	calls []*atomic.Int64
	// routes and teams are those of the configuration, evacuated its evacuated zones.
	routes    map[string]operator.Route
	teams     map[string]operator.Team
	evacuated []string
}

// newHomeTest returns a dispatcher with an endpoint in the zone a1 of region a, for example, for each place "a1".
func newHomeTest(t *testing.T, handler http.HandlerFunc, places ...string) *homeTest {
	t.Helper()
	h := &homeTest{t: t, routes: make(map[string]operator.Route), teams: make(map[string]operator.Team)}
	var handlers []http.HandlerFunc
	for range places {
		calls := &atomic.Int64{}
		h.calls = append(h.calls, calls)
		handlers = append(handlers, func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			handler(w, r)
		})
	}
	h.fixture = newFixture(t, handlers...)
	for i, place := range places {
		h.set.Endpoints[i].AvailabilityZone, h.set.Endpoints[i].Region = place, place[:1]
	}
	h.store()
	return h
}

func (h *homeTest) store() {
	h.storeConfiguration()
	c := *h.board.Configuration.Load()
	c.Routes, c.Teams, c.EvacuatedZones = h.routes, h.teams, h.evacuated
	h.board.Configuration.Store(&c)
}

// allow puts a configuration in force that allows regions for the route "chat" and the team "studio".
func (h *homeTest) allow(route, team []string) {
	h.routes = map[string]operator.Route{"chat": {Name: "chat", Service: testService, Regions: route}}
	h.teams = map[string]operator.Team{"studio": {Name: "studio", Regions: team}}
	h.store()
}

// do performs a call and returns the reason of its refusal, or an empty one.
func (h *homeTest) do(call *Call) verdict.Reason {
	h.t.Helper()
	result, err := h.Do(h.t.Context(), call, httptest.NewRecorder())
	if err == nil {
		return ""
	}
	var refusal *verdict.Refusal
	assert.Equal(h.t, true, asRefusal(err, &refusal))
	assert.Equal(h.t, verdict.NotRun, result.Verdict)
	return refusal.Reason
}

func asRefusal(err error, refusal **verdict.Refusal) bool {
	r, ok := err.(*verdict.Refusal) //nolint:errorlint // Do returns it unwrapped
	*refusal = r
	return ok
}

func (h *homeTest) assertCalls(want ...int64) {
	h.t.Helper()
	var got []int64
	for _, c := range h.calls {
		got = append(got, c.Load())
	}
	assert.Equal(h.t, want, got)
}

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(verdictHeader, verdict.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestHomeOfCalls guards against attempts, first ones and retries, at endpoints outside the regions that the call's route and team allow.
func TestHomeOfCalls(t *testing.T) {
	for _, c := range []struct {
		name        string
		route, team []string
	}{{"route", []string{"b"}, nil}, {"team", nil, []string{"b"}}, {"both", []string{"a", "b"}, []string{"b", "c"}}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHomeTest(t, respondWithEvents(delta("x"), usageEvent, doneEvent), "a1", "b1", "c1")
			h.allow(c.route, c.team)
			for range 6 {
				assert.Equal(t, verdict.Reason(""), h.do(streamCall()))
			}
			h.assertCalls(0, 6, 0)
		})
	}
	t.Run("retries", func(t *testing.T) {
		h := newHomeTest(t, refuseNotRun, "a1", "b1", "b2", "c1")
		h.allow([]string{"b"}, nil)
		call := streamCall()
		call.Route.Limits.Attempts = 6
		h.do(call)
		assert.Equal(t, []int64{0, 0}, []int64{h.calls[0].Load(), h.calls[3].Load()})
		assert.Equal(t, int64(6), h.calls[1].Load()+h.calls[2].Load())
	})
	t.Run("no endpoint", func(t *testing.T) {
		h := newHomeTest(t, refuseNotRun, "a1", "c1")
		h.allow([]string{"b"}, nil)
		assert.Equal(t, verdict.NoEndpointInRegion, h.do(streamCall()))
		h.allow([]string{"a"}, []string{"c"})
		assert.Equal(t, verdict.RegionsDisjoint, h.do(streamCall()))
		h.assertCalls(0, 0)
	})
}

// TestHomeOfFallbacks guards against a fallback that serves a call outside the regions of the call's own route, or of the fallback.
func TestHomeOfFallbacks(t *testing.T) {
	for _, c := range []struct {
		name          string
		own, fallback []string
		want          verdict.Reason
	}{
		{"allowed", []string{"b"}, nil, ""},
		{"allowed by both", []string{"b"}, []string{"a", "b"}, ""},
		{"outside the regions of the own route", []string{"a"}, nil, verdict.NoEndpointInRegion},
		{"outside the regions of the fallback", []string{"a", "b"}, []string{"a"}, verdict.NoEndpointInRegion},
		{"none in common", []string{"a"}, []string{"b"}, verdict.NoEndpointInRegion},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHomeTest(t, respondWithEvents(delta("x"), usageEvent, doneEvent), "b1")
			h.routes = map[string]operator.Route{
				"chat":  {Name: "chat", Service: "nobody", Regions: c.own, Fallbacks: []string{"other"}},
				"other": {Name: "other", Service: testService, Regions: c.fallback, Model: "other"},
			}
			h.store()
			call := streamCall()
			call.Route = h.routes["chat"]
			assert.Equal(t, c.want, h.do(call))
			h.assertCalls(map[bool]int64{true: 1}[c.want == ""])
		})
	}
}

// TestHomeChangesBeforeCallIsSent guards against calls that leave their regions, or enter an evacuated zone, because the configuration changed after
// the endpoint was chosen.
func TestHomeChangesBeforeCallIsSent(t *testing.T) {
	for name, change := range map[string]func(h *homeTest){
		"route":      func(h *homeTest) { h.allow([]string{"b"}, nil) },
		"team":       func(h *homeTest) { h.allow(nil, []string{"b"}) },
		"disjoint":   func(h *homeTest) { h.allow([]string{"a"}, []string{"b"}) },
		"evacuation": func(h *homeTest) { h.evacuated = []string{"a1"}; h.store() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHomeTest(t, respondWithEvents(doneEvent), "a1")
			call := streamCall()
			j := &job{dispatcher: h.Dispatcher, call: call, limits: call.Route.Limits.WithDefaults(), w: httptest.NewRecorder(), route: call.Route, body: call.Body}
			p, refusal := h.acquire(t.Context(), j)
			assert.Equal(t, true, refusal == nil)
			change(h)
			out := j.attempt(t.Context(), p)
			assert.Equal(t, verdict.NotRun, out.verdict)
			assert.ErrorIs(t, out.cause, errPlaceWithdrawn)
			assert.Equal(t, int64(1), h.counter(callWithdrawn))
			h.assertCalls(0)
		})
	}
}

// TestEvacuatedZoneGetsNoCalls guards against calls to endpoints in an evacuated zone, and running ones that an evacuation ends.
func TestEvacuatedZoneGetsNoCalls(t *testing.T) {
	h := newHomeTest(t, respondWithEvents(delta("x"), usageEvent, doneEvent), "a1", "a2")
	h.evacuated = []string{"a1"}
	h.store()
	for range 6 {
		assert.Equal(t, verdict.Reason(""), h.do(streamCall()))
	}
	h.assertCalls(0, 6)
	h.evacuated = []string{"a1", "a2"}
	h.store()
	assert.Equal(t, verdict.ZoneEvacuated, h.do(streamCall()))
	h.assertCalls(0, 6)
	t.Run("running calls", func(t *testing.T) {
		begun, evacuated := make(chan struct{}), make(chan struct{})
		h := newHomeTest(t, func(w http.ResponseWriter, r *http.Request) {
			close(begun)
			<-evacuated
			respondWithEvents(delta("x"), usageEvent, doneEvent)(w, r)
		}, "a1")
		go func() {
			<-begun
			h.evacuated = []string{"a1"}
			h.store()
			close(evacuated)
		}()
		assert.Equal(t, verdict.Reason(""), h.do(streamCall()))
	})
}

// TestHomeOfQueuedCalls guards against calls that wait behind others with allowed regions whose endpoints are full, and against waiting calls that
// former regions let through.
func TestHomeOfQueuedCalls(t *testing.T) {
	hold := make(chan struct{})
	h := newHomeTest(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/hold") {
			<-hold
		}
		respondWithEvents(delta("x"), usageEvent, doneEvent)(w, r)
	}, "a1", "b1")
	h.set.Endpoints[0].Concurrency, h.set.Endpoints[1].Concurrency = 1, 1
	h.routes = map[string]operator.Route{"in-a": {Name: "in-a", Service: testService, Regions: []string{"a"}}}
	h.store()
	callTo := func(route, path string) *Call {
		call := streamCall()
		call.Route.Name, call.Path = route, path
		return call
	}
	results := make(chan verdict.Reason, 2)
	go func() { results <- h.do(callTo("in-a", "/hold")) }()
	waitUntil(t, func() bool { return h.calls[0].Load() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	waiting := make(chan error, 1)
	go func() {
		_, err := h.Do(ctx, callTo("in-a", "/queued"), httptest.NewRecorder())
		waiting <- err
	}()
	waitUntil(t, func() bool { return h.counter(callQueued) == 1 })
	assert.Equal(t, verdict.Reason(""), h.do(callTo("open", "/open")))
	assert.Equal(t, int64(1), h.calls[1].Load())
	h.routes = map[string]operator.Route{"in-a": {Name: "in-a", Service: testService, Regions: []string{"c"}}}
	h.store()
	close(hold)
	assert.Equal(t, verdict.Reason(""), <-results)
	var refusal *verdict.Refusal
	assert.Equal(t, true, asRefusal(<-waiting, &refusal))
	assert.Equal(t, verdict.NoEndpointInRegion, refusal.Reason)
	h.assertCalls(1, 1)
}

// waitUntil polls until a condition holds, at most until the test's own deadline.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("condition not met before the test's deadline")
		case <-time.After(time.Millisecond):
		}
	}
}
