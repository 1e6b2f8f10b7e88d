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
	errSealed   = errors.New("attempt has ended")
	errReplayed = errors.New("attempt was already sent on another connection")
)

// gate stands between one attempt and the connections that carry it. It knows whether a byte of the
// attempt has left the process, and lets it leave on one connection only: net/http's transport sends
// some requests again by itself, which would run them twice.
type gate struct {
	// check is called right before the first byte is written.
	check func() error

	mu      sync.Mutex
	carrier *gatedConn
	sealed  bool
	refused error
}

// enter is called before each write. An error means that nothing may be written.
func (g *gate) enter(c *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.carrier == c:
		return nil
	case g.carrier != nil:
		return errReplayed
	case g.sealed:
		return errSealed
	}
	if g.check != nil {
		if err := g.check(); err != nil {
			g.refused = err
			return err
		}
	}
	g.carrier = c
	return nil
}

// seal ends the attempt and reports whether any byte of it may have left. After it returned false
// none will.
func (g *gate) seal() (written bool, refused error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.carrier != nil, g.refused
}

// forget ends the attempt for good. The connection keeps the gate while it is idle, and must not keep
// the call with it.
func (g *gate) forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed, g.check, g.refused = true, nil, nil
}

// trace ties the connection that the transport picks to the attempt.
func (g *gate) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				c.gate.Store(g)
			}
		},
	})
}

// gatedConn is a connection to an endpoint. It writes only what the gate of its present attempt
// lets pass.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write asks the gate first.
func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.enter(c); err != nil {
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
			return &gatedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    DefaultIdlePerPool,
		IdleConnTimeout:        s.IdleTimeout,
		MaxResponseHeaderBytes: DefaultHeaderBytes,
	}
}
