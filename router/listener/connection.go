package listener

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/connections"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/http1"
)

// errHeadRefused is the error of reads of a connection on which a head was refused.
var errHeadRefused = errors.New("head of a request was refused")

// connection is a client's connection whose heads are bounded.
type connection struct {
	net.Conn

	limiter *Limiter
	// entry is guarded by the limiter's lock.
	entry connections.Connection
	// isServing reports whether a request is in progress, so that what arrives belongs to no head.
	isServing atomic.Bool
}

func newConnection(accepted net.Conn, limiter *Limiter) *connection {
	return &connection{Conn: accepted, limiter: limiter}
}

// NetConn returns the wrapped connection.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It answers a request whose head is refused, and fails from then on.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 || c.isServing.Load() {
		return n, err
	}
	if reason := c.limiter.receive(c, p[:n]); reason != "" {
		c.refuse(reason)
		// net/http answers other types of errors.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
	}
	return n, err
}

// refuse answers the request whose head is arriving, and reads on for a moment.
func (c *connection) refuse(reason verdict.Reason) {
	if c.limiter.settings.Refuse == nil {
		return
	}
	end := time.Now().Add(discardTime)
	_ = c.SetDeadline(end)
	if _, err := c.Write(c.limiter.settings.Refuse(reason)); err != nil {
		return
	}
	if tcp, ok := http1.Unwrap[*net.TCPConn](c.Conn); ok {
		_ = tcp.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, discardBytes)
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}
