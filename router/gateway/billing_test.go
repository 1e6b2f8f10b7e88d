package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestBilledTokens guards against answers that nobody pays for, against prompts that nobody pays for although an endpoint may have read
// them, their answers lost or not, and against teams that pay for requests that did not run. The prompt of the request has 100 tokens,
// an event at most 5.
func TestBilledTokens(t *testing.T) {
	leave := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	breakOff := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	breakOffAfterHead := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	var aborted atomic.Bool
	abortFirst := func(w http.ResponseWriter, r *http.Request) {
		if !aborted.Swap(true) {
			abortConnection(w, r)
		}
		answerSealed("id: 1\n\n")(w, r)
	}
	for _, c := range []struct {
		name    string
		path    string
		answers []http.HandlerFunc
		// left is how long the caller stays; zero if it stays to the end.
		left time.Duration
		want int64
	}{
		{"whole answer", "/chat/", []http.HandlerFunc{answerSealed("id: 1\n\nid: 2\n\n")}, 0, 110},
		{"refused", "/chat/", []http.HandlerFunc{answerNotRun}, 0, 0},
		{"answer lost", "/chat/", []http.HandlerFunc{abortConnection}, 0, 100},
		{"all answers lost", "/talk/", []http.HandlerFunc{abortConnection, abortConnection}, 0, 100},
		{"answer lost, retry answered", "/talk/", []http.HandlerFunc{abortFirst, abortFirst}, 0, 105},
		{"broken off after an event", "/chat/", []http.HandlerFunc{breakOff}, 0, 105},
		{"broken off after the head", "/chat/", []http.HandlerFunc{breakOffAfterHead}, 0, 100},
		{"error answer", "/chat/", []http.HandlerFunc{answerError}, 0, 105},
		{"caller left", "/chat/", []http.HandlerFunc{leave}, 50 * time.Millisecond, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, c.answers...)
			ctx := t.Context()
			if c.left > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, c.left)
				defer cancel()
			}
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, c.path, strings.NewReader("prompt"))
			r.Host = "h"
			for name, value := range map[string]string{"Id": "id-1", "Authorization": "Bearer key", "Demand": "subject"} {
				r.Header.Set(name, value)
			}
			j := &job{server: g.server, w: httptest.NewRecorder(), r: r, received: time.Now()}
			j.serve()
			assert.Equal(t, c.want, j.billedTokens())
		})
	}
}
