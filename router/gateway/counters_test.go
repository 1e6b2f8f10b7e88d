package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// counterValue returns the value of one of the router's counters.
func (g *gatewayTest) counterValue(name string) int64 {
	return metrics.GetOrRegisterCounter(name, g.state.Metrics).Count()
}

func TestSentCounters(t *testing.T) {
	t.Run("a first endpoint and retries", func(t *testing.T) {
		g := newGatewayTest(t, abortConnection, abortConnection, abortConnection, abortConnection)
		g.call(http.MethodGet, "/read/", "", nil)
		g.listener.Close()
		assert.Equal(t, int64(1), g.counterValue("sent.first.plain"))
		assert.Equal(t, int64(2), g.counterValue("sent.repeat.plain"))
		assert.Equal(t, int64(0), g.counterValue("sent.by_transport.plain"))
		var steps []string
		for _, line := range g.lines.Entries {
			if line.Message == "attempt failed" {
				steps = append(steps, fmt.Sprint(line.Fields.Get("Next")))
			}
		}
		assert.Equal(t, []string{"repeat", "repeat", "end"}, steps)
	})
	t.Run("nothing was sent", func(t *testing.T) {
		g := newGatewayTest(t)
		g.state.Directory.Store(site.NewDirectory([]site.Endpoint{{Name: "gone", Service: "plain", Address: unreachable(t)}}))
		g.call(http.MethodGet, "/read/", "", nil)
		assert.Equal(t, int64(1), g.counterValue("sent.nothing.plain"))
		assert.Equal(t, int64(0), g.counterValue("sent.first.plain"))
	})
}

// TestNoTimeLeftTakesNoRepeat guards against retries taken from the budget for requests whose deadline is too near for
// any endpoint.
func TestNoTimeLeftTakesNoRepeat(t *testing.T) {
	g := newGatewayTest(t, answerSealed("never"), answerSealed("never"), answerSealed("never"))
	before := g.server.retries.availableRetries("plain")
	got := g.call(http.MethodGet, "/read/", "", func(r *http.Request) { r.Header.Set("Left", "4") })
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, true, g.server.retries.availableRetries("plain") >= before)
	assert.Equal(t, int64(1), g.counterValue("sent.nothing.plain"))
	g.assertRequestCounts(0, 0, 0)
}

// closingEndpoint closes the connection after every third request without announcing it, which may happen while the
// next request on this connection is in flight.
type closingEndpoint struct {
	mu       sync.Mutex
	arrivals map[string]int
	total    int
}

func (c *closingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	identifier := r.Header.Get("Id")
	c.mu.Lock()
	c.arrivals[identifier]++
	c.total++
	closes := c.total%3 == 0
	c.mu.Unlock()
	body := "answer"
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", identifier, len(body), body)
	if !closes {
		w.Header().Set("Id", identifier)
		w.Header().Set("Seal", "s")
		_, _ = w.Write([]byte(body))
		return
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = connection.Write([]byte(answer))
	_ = connection.Close()
}

// TestClosedKeptConnections guards against requests that the HTTP transport resends by itself after an endpoint closed
// a kept-alive connection.
func TestClosedKeptConnections(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		repeatable         bool
	}{
		{http.MethodGet, "/read/", "", true},
		{http.MethodGet, "/order/", "", false},
		{http.MethodPost, "/order/", "", false},
		{http.MethodPost, "/order/", "body", false},
	} {
		t.Run(c.method+c.path+c.body, func(t *testing.T) {
			endpoint := &closingEndpoint{arrivals: make(map[string]int)}
			listener := httptest.NewServer(endpoint)
			t.Cleanup(listener.Close)
			g := newGatewayTest(t)
			g.state.Directory.Store(site.NewDirectory([]site.Endpoint{
				{Name: "closing", Service: "plain", Address: strings.TrimPrefix(listener.URL, "http://")},
			}))
			var calls sync.WaitGroup
			for caller := range 8 {
				calls.Go(func() {
					for i := range 25 {
						g.call(c.method, c.path, c.body, func(r *http.Request) {
							r.Header.Set("Id", fmt.Sprintf("%d-%d", caller, i))
							r.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%d", caller, i))
						})
					}
				})
			}
			calls.Wait()
			endpoint.mu.Lock()
			defer endpoint.mu.Unlock()
			sent := g.counterValue("sent.first.plain") + g.counterValue("sent.repeat.plain")
			assert.Equal(t, true, int64(endpoint.total) <= sent)
			assert.Equal(t, int64(0), g.counterValue("sent.by_transport.plain"))
			for identifier, n := range endpoint.arrivals {
				if !c.repeatable && n > 1 {
					t.Errorf("%s arrived %d times", identifier, n)
				}
			}
		})
	}
}
