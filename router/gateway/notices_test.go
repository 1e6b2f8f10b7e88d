package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// withHeader returns a handler that adds a header to the answers of another.
func withHeader(name, value string, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		answer(w, r)
	}
}

// TestLeavingEndpointGetsNoRequests guards against requests that reach an endpoint which has said in an answer that it leaves while the
// directory still lists it as ready.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	misdirected := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for _, c := range []struct {
		name, path string
		leaving    http.HandlerFunc
	}{
		{"complete answer", "/order/", answerSealed("answer")},
		{"stream", "/chat/", answerSealed("id: 1\n\n")},
		{"refusal", "/order/", answerNotRun},
		{"error that is not passed on", "/read/", answerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, withHeader("Leaves", "1", c.leaving), answerSealed("id: 1\n\n"))
			both := g.state.Directory.Load()
			g.state.Directory.Store(site.NewDirectory([]site.Endpoint{both.Endpoints("plain")[0], both.Endpoints("engine")[0]}))
			g.call(http.MethodPost, c.path, "", nil)
			g.state.Directory.Store(both)
			for range 12 {
				assert.Equal(t, http.StatusOK, g.call(http.MethodPost, c.path, "", nil).status)
			}
			assert.Equal(t, 1, g.endpoints[0].requestCount())
			assert.Equal(t, int64(1), g.counterValue(endpointLeaving))
		})
	}
	t.Run("other values", func(t *testing.T) {
		g := newGatewayTest(t, withHeader("Leaves", "0", answerSealed("answer")))
		for range 3 {
			assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
		}
	})
	t.Run("another endpoint at the address", func(t *testing.T) {
		g := newGatewayTest(t, withHeader("Leaves", "1", misdirected))
		g.call(http.MethodPost, "/order/", "", nil)
		assert.Equal(t, int64(0), g.counterValue(endpointLeaving))
	})
	t.Run("the only endpoint serves for a short time, its next process again", func(t *testing.T) {
		g := newGatewayTest(t, withHeader("Leaves", "1", answerSealed("answer")))
		assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
		assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
		g.server.targets.mu.Lock()
		known := g.server.targets.byName["plaina"]
		known.notices = endpoint.Notices{}
		known.notices.RecordLeaving(time.Now().Add(-time.Minute))
		g.server.targets.mu.Unlock()
		assert.Equal(t, http.StatusServiceUnavailable, g.call(http.MethodPost, "/order/", "", nil).status)
		next := known.Endpoint
		next.StartedAt++
		g.state.Directory.Store(site.NewDirectory([]site.Endpoint{next}))
		assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
	})
}

// TestPausedEndpointGetsNoRequests guards against requests that reach an endpoint in a pause that it asked for, and against callers
// that are held or sent away for longer than the pause.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name, retryAfter string
		answer           http.HandlerFunc
		paused           bool
	}{
		{"refusal", "30", answerNotRun, true},
		{"refusal without a pause", "", answerNotRun, false},
		{"refusal with a date", "Wed, 21 Oct 2026 07:28:00 GMT", answerNotRun, false},
		{"failure", "30", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		{"another status", "30", answerError, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, withHeader("Retry-After", c.retryAfter, c.answer))
			g.call(http.MethodPost, "/order/", "", nil)
			got := g.call(http.MethodPost, "/order/", "", nil)
			if !c.paused {
				g.assertRequestCounts(2)
				return
			}
			g.assertRequestCounts(1)
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			assert.NoError(t, err)
			assert.Equal(t, true, seconds > 29 && seconds < 31)
			assert.Equal(t, int64(1), g.counterValue(endpointPaused))
		})
	}
	t.Run("other endpoints serve", func(t *testing.T) {
		g := newGatewayTest(t, withHeader("Retry-After", "30", answerNotRun), answerSealed("answer"))
		for range 12 {
			assert.Equal(t, "answer", g.call(http.MethodPost, "/order/", "", nil).body)
		}
		assert.Equal(t, true, g.endpoints[0].requestCount() <= 1)
	})
}
