package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
)

// TCP keep-alive parameters. They let the kernel detect connections whose state a middlebox, such as a NAT gateway,
// has dropped without notice.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

var (
	errAttemptEnded = errors.New("write to the endpoint after the end of the attempt")
	errResent       = errors.New("attempt was already sent on another connection")
)

// writeGuard controls the writes of one attempt to its connection. It records whether any byte of the attempt was
// written, and permits writes on a single connection only, because net/http's transport resends some requests by
// itself, which would run them twice.
type writeGuard struct {
	// check is called right before the first byte is written.
	check func() error

	// bound is the connection that the transport selected last, isReused whether an earlier request was sent on it.
	bound    atomic.Pointer[guardedConn]
	isReused atomic.Bool

	mu sync.Mutex
	// connection is the one that the attempt was written to.
	connection *guardedConn
	hasEnded   bool
	refusal    error
}

// allowWrite is called before each write of the attempt. On an error the connection must not write anything.
func (g *writeGuard) allowWrite(c *guardedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.connection == c:
		return nil
	case g.connection != nil:
		return errResent
	case g.hasEnded:
		return errAttemptEnded
	case !c.begin():
		return errUnclean
	}
	if g.check != nil {
		if err := g.check(); err != nil {
			g.refusal = err
			return err
		}
	}
	g.connection = c
	return nil
}

// end ends the attempt and reports whether any byte of it may have been written. If written is false, no byte will be
// written later. refusal is the error of the dispatch check, if any.
func (g *writeGuard) end() (written bool, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasEnded = true
	return g.connection != nil, g.refusal
}

// detach ends the attempt and drops its references. An idle connection keeps its guard until the next request and
// would otherwise keep the call in memory.
func (g *writeGuard) detach() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasEnded, g.check, g.refusal = true, nil, nil
}

// conclude tells the connection whether the endpoint refused the request, after which no other is sent on it. It must be
// called once after each exchange: the connection's next request waits for it.
func (g *writeGuard) conclude(refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connection != nil {
		g.connection.conclude(refused)
	}
}

// rejection reports whether nothing of the attempt was written because the connection was unclean, and ends the attempt
// if so. isReused reports whether a new connection may do.
func (g *writeGuard) rejection() (isRejected, isReused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.bound.Load()
	isRejected = g.connection == nil && c != nil && c.isRejected()
	g.hasEnded = g.hasEnded || isRejected
	return isRejected, g.isReused.Load()
}

// responseError returns the error of the attempt's exchange.
func (g *writeGuard) responseError(err error) error {
	if c := g.bound.Load(); c != nil {
		return http1.ResponseError(c, err)
	}
	return err
}

// boundConnection returns the connection of the attempt; nil if there is none.
func (g *writeGuard) boundConnection() net.Conn {
	c := g.bound.Load()
	if c == nil {
		return nil
	}
	return c
}

// bind records the connection that the transport selects.
func (g *writeGuard) bind(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*guardedConn)
	if !ok {
		return
	}
	http1.BeginResponse(c)
	g.bound.Store(c)
	g.isReused.Store(info.Reused)
	c.bind(g)
}

// withTrace returns a context that binds the connection that the transport selects to this guard.
func (g *writeGuard) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: g.bind,
		// The first byte may be left from what the transport read before it put the connection back.
		GotFirstResponseByte: func() {
			if c := g.bound.Load(); c != nil {
				c.recordInput()
			}
		},
		PutIdleConn: func(error) {
			if c := g.bound.Load(); c != nil {
				c.release(g)
			}
		},
	})
}

// newTransport returns a transport with an empty connection pool for one endpoint, whose connections a witness knows.
func newTransport(s Settings, witness *http1.Witness) *http.Transport {
	dialer := &net.Dialer{
		Timeout: s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	dial := http1.DialForResponses(witness.Track(dialer.DialContext))
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newGuardedConn(c), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    DefaultMaxIdleConnections,
		IdleConnTimeout:        s.IdleTimeout,
		MaxResponseHeaderBytes: DefaultMaxResponseHeaderBytes,
	}
}
