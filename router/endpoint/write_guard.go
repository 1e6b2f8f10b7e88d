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
)

// Bounds within which the kernel finds a connection that something between its ends has forgotten.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

var (
	errAttemptEnded = errors.New("attempt has ended")
	errResent       = errors.New("attempt was already sent on another connection")
)

// writeGuard stands between one attempt and the connections that carry it. It knows whether a byte of the
// attempt has left the process, and lets it leave on one connection only: net/http's transport sends
// some requests again by itself, which would run them twice.
type writeGuard struct {
	// check is called right before the first byte is written.
	check func() error

	mu         sync.Mutex
	connection *guardedConn
	hasEnded   bool
	refusal    error
}

// allowWrite is called before each write. An error means that nothing may be written.
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

// end ends the attempt and reports whether any byte of it may have left. After it returned false
// none will.
func (g *writeGuard) end() (written bool, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasEnded = true
	return g.connection != nil, g.refusal
}

// detach ends the attempt for good. The connection keeps the gate while it is idle, and must not keep
// the call with it.
func (g *writeGuard) detach() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasEnded, g.check, g.refusal = true, nil, nil
}

// withTrace ties the connection that the transport picks to the attempt.
func (g *writeGuard) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*guardedConn); ok {
				c.guard.Store(g)
			}
		},
	})
}

// guardedConn is a connection to an endpoint. It writes only what the gate of its present attempt
// lets pass.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
}

// Write asks the gate first.
func (c *guardedConn) Write(p []byte) (int, error) {
	if g := c.guard.Load(); g != nil {
		if err := g.allowWrite(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// newTransport returns an empty pool of connections to one endpoint.
func newTransport(s Settings) *http.Transport {
	dialer := &net.Dialer{
		Timeout: s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    DefaultIdlePerPool,
		IdleConnTimeout:        s.IdleTimeout,
		MaxResponseHeaderBytes: DefaultHeaderBytes,
	}
}
