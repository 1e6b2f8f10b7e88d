package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// silence is how long a sound endpoint sends nothing, accepts no connections and reads nothing.
const silence = 1200 * time.Millisecond

// silentEndpoint is a sound endpoint behind connections in memory, which falls silent at times.
type silentEndpoint struct {
	connections chan net.Conn
	server      *http.Server
	requests    atomic.Int32

	mu          sync.Mutex
	silentUntil time.Time
}

func (e *silentEndpoint) fallSilent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(silence)
}

func (e *silentEndpoint) silenceLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.silentUntil)
}

// Accept returns the next connection that a router opened.
func (e *silentEndpoint) Accept() (net.Conn, error) {
	c, ok := <-e.connections
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close is called by the HTTP server that ends.
func (e *silentEndpoint) Close() error { return nil }

// Addr returns an address that nobody uses.
func (e *silentEndpoint) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection like a dialer with dialTimeout whose packets aren't answered during the silence.
func (e *silentEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	if left := e.silenceLeft(); left > dialTimeout {
		time.Sleep(dialTimeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	time.Sleep(e.silenceLeft())
	router, own := net.Pipe()
	e.connections <- &silentConnection{Conn: own, endpoint: e}
	return router, nil
}

// silentConnection is the endpoint's side of a connection.
type silentConnection struct {
	net.Conn
	endpoint *silentEndpoint
}

func (c *silentConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(c.endpoint.silenceLeft())
	return n, err
}

func (c *silentConnection) Write(p []byte) (int, error) {
	time.Sleep(c.endpoint.silenceLeft())
	return c.Conn.Write(p)
}

// silentFleet is a router in front of endpoints that fall silent.
type silentFleet struct {
	t         *testing.T
	server    *Server
	endpoints []*silentEndpoint
	crashes   atomic.Int32
}

func newSilentFleet(t *testing.T, endpoints int) *silentFleet {
	t.Helper()
	f := &silentFleet{t: t}
	var listed []site.Endpoint
	for i := range endpoints {
		e := &silentEndpoint{connections: make(chan net.Conn)}
		e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e.requests.Add(1)
			answerAfterSilence(w, r)
		})}
		f.endpoints = append(f.endpoints, e)
		listed = append(listed, site.Endpoint{Name: string(rune('a' + i)), Service: "engine", Address: addressOf(i), Slots: 8})
		go func() { _ = e.server.Serve(e) }()
	}
	configuration := &site.Configuration{
		Version: 1, Routes: testRoutes(), Teams: []site.Team{{Name: "studio", Keys: []string{"key"}}}, Limits: site.Limits{HeaderBytes: 2000, BodyBytes: 1000},
	}
	configuration.Index()
	state := &Board{Metrics: metrics.NewRegistry()}
	logger := &log.Logger{Handler: discard.New()}
	payer := allowance.NewHolder(&keyed.KeyedLog{}, allowance.Settings{Holder: "router/1", Instance: "router", Logger: logger, DrawTimeout: time.Millisecond})
	payer.Configure(configuration)
	state.Configuration.Store(configuration)
	state.Directory.Store(site.NewDirectory(listed))
	f.server = NewServer(state, testProtocol(), Location{}, payer, logger)
	targets := &f.server.targets
	targets.onCrash = func(time.Time, string, []endpoint.InterruptedExchange) { f.crashes.Add(1) }
	targets.mu.Lock()
	defer targets.mu.Unlock()
	targets.updateDirectoryLocked(state.Directory.Load(), []site.WeightedService{{Service: "engine", Weight: 1}})
	targets.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		i := slices.IndexFunc(listed, func(e site.Endpoint) bool { return e.Address == address })
		return f.endpoints[i].dial(ctx, network, address)
	}
	return f
}

// addressOf returns the address of the i-th endpoint.
func addressOf(i int) string { return fmt.Sprintf("127.0.0.1:%d", i+1) }

// answerAfterSilence streams three events, half a second apart.
func answerAfterSilence(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "seal-1")
	for _, event := range []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"} {
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(500 * time.Millisecond)
	}
}

// call sends a request for a stream.
func (f *silentFleet) call() *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/talk/", strings.NewReader(""))
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, r)
	return w
}

func (f *silentFleet) stop() {
	// Checks of whether endpoints can be reached end within this time.
	time.Sleep(dialTimeout + heldOpenTime)
	for _, e := range f.endpoints {
		close(e.connections)
		_ = e.server.Close()
	}
	for _, known := range f.server.targets.byName {
		known.transport.CloseIdleConnections()
	}
	synctest.Wait()
}

func (f *silentFleet) assertServed(answers chan *httptest.ResponseRecorder, requests ...int32) {
	got := <-answers
	assert.Equal(f.t, http.StatusOK, got.Code)
	assert.Equal(f.t, "id: 1\n\nid: 2\n\nid: 3\n\n", got.Body.String())
	for i, e := range f.endpoints {
		assert.Equal(f.t, requests[i], e.requests.Load())
	}
	assert.Equal(f.t, int32(0), f.crashes.Load())
	for _, known := range f.server.targets.byName {
		assert.Equal(f.t, 0, len(known.exposures))
	}
}

// TestSilentEndpointIsSound guards against streams that are cut, requests that are sent twice or wait for other endpoints, and endpoints that count
// as crashed, because a sound endpoint sends nothing for a second or so.
func TestSilentEndpointIsSound(t *testing.T) {
	run := func(name string, endpoints int, body func(f *silentFleet, answers chan *httptest.ResponseRecorder)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSilentFleet(t, endpoints)
				body(f, make(chan *httptest.ResponseRecorder, 2))
				f.stop()
			})
		})
	}
	run("within a stream", 1, func(f *silentFleet, answers chan *httptest.ResponseRecorder) {
		go func() { answers <- f.call() }()
		time.Sleep(700 * time.Millisecond)
		f.endpoints[0].fallSilent()
		f.assertServed(answers, 1)
	})
	run("on a kept connection", 1, func(f *silentFleet, answers chan *httptest.ResponseRecorder) {
		f.call()
		f.endpoints[0].fallSilent()
		answers <- f.call()
		f.assertServed(answers, 2)
	})
	run("on a new connection, and another endpoint has room", 2, func(f *silentFleet, answers chan *httptest.ResponseRecorder) {
		f.endpoints[0].fallSilent()
		// The router chooses the silent endpoint first.
		f.server.targets.byName["b"].inFlight++
		answers <- f.call()
		f.assertServed(answers, 0, 1)
		time.Sleep(maxBackoff)
		f.server.targets.mu.Lock()
		assert.Equal(f.t, false, time.Now().Before(f.server.targets.byName["a"].blockedUntil))
		f.server.targets.mu.Unlock()
	})
	run("on a new connection to the only endpoint", 1, func(f *silentFleet, answers chan *httptest.ResponseRecorder) {
		f.endpoints[0].fallSilent()
		assert.Equal(f.t, http.StatusServiceUnavailable, f.call().Code)
		assert.Equal(f.t, int32(0), f.endpoints[0].requests.Load())
		time.Sleep(silence)
		answers <- f.call()
		f.assertServed(answers, 1)
	})
}
