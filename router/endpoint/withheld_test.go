package endpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// respondWithStatus returns a handler that responds with the given status.
func respondWithStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Seed", "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, http.StatusText(status))
	}
}

func TestEndpointErrors(t *testing.T) {
	succeed := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") }
	respondLong := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadGateway)
		_, _ = io.WriteString(w, strings.Repeat("x", DefaultMaxBufferedBytes+1))
	}
	idempotentCall := func() *Call { call := plainCall(); call.Idempotent = true; return call }
	// Each attempt gets the next handler in attempts; any further attempt gets the last one.
	for _, c := range []struct {
		name     string
		call     *Call
		attempts []http.HandlerFunc
		want     callOutcome
		status   int
		verdict  string
	}{
		{"stream", streamCall(), []http.HandlerFunc{respondWithStatus(500), respondWithEvents(delta("a"), doneEvent)}, callOutcome{"Ran", "", 11, true, 2, delta("a") + doneEvent}, 200, ""},
		{"stream with all attempts failed", streamCall(), []http.HandlerFunc{respondWithStatus(502)}, callOutcome{"MayHaveRun", "", 0, true, 3, "Bad Gateway"}, 502, "MayHaveRun"},
		{"plain", idempotentCall(), []http.HandlerFunc{respondWithStatus(503), succeed}, callOutcome{"Ran", "", 1, true, 2, "booked"}, 200, ""},
		{"plain with all attempts failed", idempotentCall(), []http.HandlerFunc{respondWithStatus(500), respondWithStatus(504)}, callOutcome{"MayHaveRun", "", 1, true, 3, "Gateway Timeout"}, 504, "MayHaveRun"},
		{"connection breaks on retry", idempotentCall(), []http.HandlerFunc{respondWithStatus(500), respondAndDisconnect()}, callOutcome{"MayHaveRun", "", 1, true, 3, "Internal Server Error"}, 500, "MayHaveRun"},
		{"refused on retry", idempotentCall(), []http.HandlerFunc{respondWithStatus(500), refuseUnrun}, callOutcome{"MayHaveRun", "", 1, true, 3, "Internal Server Error"}, 500, "MayHaveRun"},
		{"response larger than the buffer", idempotentCall(), []http.HandlerFunc{respondLong}, callOutcome{"Ran", "", 1, true, 1, strings.Repeat("x", DefaultMaxBufferedBytes+1)}, 502, ""},
		{"status that is not retried", idempotentCall(), []http.HandlerFunc{respondWithStatus(501)}, callOutcome{"Ran", "", 1, true, 1, "Not Implemented"}, 501, ""},
		{"non-idempotent", plainCall(), []http.HandlerFunc{respondWithStatus(503)}, callOutcome{"Ran", "", 1, true, 1, "Service Unavailable"}, 503, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				c.attempts[min(int(sent.Add(1)), len(c.attempts))-1](w, r)
			}
			f, w := newFixture(t, handler, handler, handler), httptest.NewRecorder()
			assert.Equal(t, c.want, performOn(t, f, t.Context(), c.call, w))
			assert.Equal(t, c.status, w.Code)
			assert.Equal(t, c.verdict, w.Header().Get(verdictHeader))
			assert.Equal(t, c.want.Attempts, int(sent.Load()))
		})
	}
}

func TestErringEndpointIsEjected(t *testing.T) {
	f := newFixture(t, respondWithStatus(500))
	for i, want := range []int64{0, 0, 0, 0, 0, 0, 1} {
		call := streamCall()
		// The first three requests share a fingerprint and count as one request that is retried.
		call.Fingerprint = ledger.Fingerprint(max(i, 2))
		allowOneAttempt(call)
		_ = perform(t, f, t.Context(), call)
		assert.Equal(t, want, f.counter("endpoint.ejected.erring"))
	}
}
