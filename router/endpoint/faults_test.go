package endpoint

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// executions counts how often each request was executed.
type executions struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *executions) add(nonce string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[nonce]++
}

// serveWithFaults executes requests and fails at random, before or after the execution.
func (r *executions) serveWithFaults(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	nonce := string(body)
	respond := respondWithEvents(delta(nonce), delta(nonce), doneEvent)
	switch rand.IntN(10) {
	case 0:
		refuseUnrun(w, request)
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		r.add(nonce)
		panic(http.ErrAbortHandler)
	case 3:
		r.add(nonce)
		respondAndDisconnect(delta(nonce))(w, request)
	case 4:
		r.add(nonce)
		respond(w, request)
		// The connection closes while the router reuses it or shortly before.
		if connection, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = connection.Close()
		}
	default:
		r.add(nonce)
		respond(w, request)
	}
}

// TestFaults checks the guarantees to callers while endpoints fail at random: a non-idempotent call runs at most
// once, the verdict NotRun is true, and each caller gets the response to its own request or none.
func TestFaults(t *testing.T) {
	const calls = 600
	r := &executions{count: make(map[string]int)}
	f := newFixture(t, r.serveWithFaults, r.serveWithFaults, r.serveWithFaults)
	f.settings.QueueTimeout, f.settings.QueueLength = 10*time.Second, calls
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() {
			call := streamCall()
			call.Idempotent = i%2 == 0
			call.Header = http.Header{"Idempotency-Key": {fmt.Sprint(i)}}
			call.Body = fmt.Appendf(nil, "nonce-%d", i)
			w := httptest.NewRecorder()
			result, err := f.Do(t.Context(), call, w)
			r.assertGuarantees(t, call, result, err, w.Body.String())
		})
	}
	group.Wait()
}

func (r *executions) assertGuarantees(t *testing.T, call *Call, result Result, err error, body string) {
	t.Helper()
	r.mu.Lock()
	count := r.count[string(call.Body)]
	r.mu.Unlock()
	if !call.Idempotent && count > 1 {
		t.Errorf("non-idempotent call was executed %d times", count)
	}
	if result.Verdict == verdict.NotRun && count > 0 {
		t.Errorf("call was executed %d times but has verdict %s", count, result.Verdict)
	}
	first := delta(string(call.Body))
	switch {
	case err == nil:
		assert.Equal(t, first+first+doneEvent, body)
	case result.ResponseStarted:
		assert.Equal(t, first+string(errorEvent(verdict.EndpointFailed)), body)
	default:
		assert.Equal(t, "", body)
	}
}
