package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// cutForm is how a router is cut off from endpoints.
type cutForm string

const (
	// cutRefuses: new connections are refused, open ones live on.
	cutRefuses cutForm = "new connections are refused"
	// cutResets: open connections are reset, and new ones are refused.
	cutResets cutForm = "connections are reset"
	// cutHangs: nothing arrives on open connections, and new ones get no answer.
	cutHangs cutForm = "connections hang"
	// cutResetsNew: all connections are reset, new ones as soon as they are open.
	cutResetsNew cutForm = "new connections are reset"
	// cutHealed: the router reaches endpoints again.
	cutHealed cutForm = ""
)

// cutNetwork is a router's network to the endpoints.
type cutNetwork struct {
	mu      sync.Mutex
	form    cutForm
	changed chan struct{}
	open    []*cutConnection
}

// set changes how the router is cut off.
func (n *cutNetwork) set(form cutForm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.form = form
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
	if form == cutResets || form == cutResetsNew {
		for _, c := range n.open {
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

// state returns the form of the cut and a channel that is closed when it changes.
func (n *cutNetwork) state() (cutForm, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.form, n.changed
}

func (n *cutNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch form, _ := n.state(); form {
	case cutRefuses, cutResets:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case cutHangs:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &cutConnection{TCPConn: connection.(*net.TCPConn), network: n, closed: make(chan struct{})} //nolint:forcetypeassert // TCP only
	if form, _ := n.state(); form == cutResetsNew {
		return &resetConnection{cutConnection: c}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, c)
	return c, nil
}

// cutConnection is a connection that nothing passes while its router's connections hang.
type cutConnection struct {
	*net.TCPConn

	network *cutNetwork
	once    sync.Once
	closed  chan struct{}
}

func (c *cutConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

func (c *cutConnection) Write(p []byte) (int, error) {
	if form, _ := c.network.state(); form == cutHangs {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

func (c *cutConnection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for {
		form, changed := c.network.state()
		if form != cutHangs {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// resetConnection is a connection that is reset as soon as it is open.
type resetConnection struct{ *cutConnection }

func (c *resetConnection) Write(p []byte) (int, error) { return len(p), nil }

func (c *resetConnection) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
}

// relayFleet is a fleet of routers in front of the same endpoints. The first router's endpoints are those of all.
type relayFleet struct {
	routers  []*gatewayTest
	networks []*cutNetwork
	// stops end the routers' connections to each other.
	stops []context.CancelFunc
}

func newRelayFleet(t *testing.T, routers int, answers ...http.HandlerFunc) *relayFleet {
	t.Helper()
	return newRelayFleetIn(t, make([]string, routers), answers...)
}

// newRelayFleetIn returns a fleet with a router in each of some regions.
func newRelayFleetIn(t *testing.T, regions []string, answers ...http.HandlerFunc) *relayFleet {
	t.Helper()
	f, shared, routers := &relayFleet{}, &keyed.KeyedLog{}, len(regions)
	for i, region := range regions {
		g, network := newGatewayTestIn(t, region), &cutNetwork{}
		if i == 0 {
			g = newGatewayTestIn(t, region, answers...)
		} else {
			g.state.Directory.Store(f.routers[0].state.Directory.Load())
		}
		g.server.targets.dial = network.dial
		ctx, stop := context.WithCancel(t.Context())
		g.server.ConnectRouters(startRouter(ctx, t, fmt.Sprintf("router-%d", i), shared))
		f.routers, f.networks, f.stops = append(f.routers, g), append(f.networks, network), append(f.stops, stop)
	}
	for _, g := range f.routers {
		waitFor(t, func() bool { return g.server.targets.routers.Roster.Len() == routers })
	}
	return f
}

// cut cuts a router off and, unless its open connections live on, sends it requests until it has found that.
func (f *relayFleet) cut(t *testing.T, router int, form cutForm) {
	t.Helper()
	g := f.routers[router]
	f.networks[router].set(form)
	if form == cutRefuses {
		return
	}
	waitFor(t, func() bool {
		g.call(http.MethodGet, "/read/", "", func(r *http.Request) { r.Header.Set("Left", "300") })
		return g.server.targets.isCutOff("plain")
	})
}

// sendOrders sends requests that may run once to the first router, all at the same time, and returns how many were served.
func (f *relayFleet) sendOrders(requests int) int64 {
	var served atomic.Int64
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() {
			got := f.routers[0].call(http.MethodPost, "/order/", "body", func(r *http.Request) {
				r.Header.Set("Id", fmt.Sprint("order-", i))
				r.Header.Set("Left", "5000")
			})
			if got.status == http.StatusOK && got.body == "answer" {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	return served.Load()
}

// assertEachRanOnce asserts that each request of sendOrders reached endpoints once.
func (f *relayFleet) assertEachRanOnce(t *testing.T, requests int) {
	t.Helper()
	arrivals, want := make(map[string]int), make(map[string]int)
	for _, e := range f.routers[0].endpoints {
		for i := range e.requestCount() {
			r, _ := e.request(i)
			if r.Method == http.MethodPost {
				arrivals[r.Header.Get("Id")]++
			}
		}
	}
	for i := range requests {
		want[fmt.Sprint("order-", i)] = 1
	}
	assert.Equal(t, want, arrivals)
}

// TestCutOffRouterServesItsCallers guards against refusals by a router that reaches no endpoint while other routers do.
func TestCutOffRouterServesItsCallers(t *testing.T) {
	const requests = int64(20)
	for _, form := range []cutForm{cutRefuses, cutResets, cutHangs, cutResetsNew} {
		t.Run(string(form), func(t *testing.T) {
			answer := answerAfterPause
			f := newRelayFleet(t, 3, answer, answer, answer, answer)
			for range 8 {
				assert.Equal(t, http.StatusOK, f.routers[0].call(http.MethodGet, "/read/", "", nil).status)
			}
			f.cut(t, 0, form)
			assert.Equal(t, requests, f.sendOrders(int(requests)))
			f.assertEachRanOnce(t, int(requests))
		})
	}
}

// answerAfterPause answers after some time, so that requests need connections of their own.
func answerAfterPause(w http.ResponseWriter, r *http.Request) {
	time.Sleep(50 * time.Millisecond)
	answerSealed("answer")(w, r)
}
