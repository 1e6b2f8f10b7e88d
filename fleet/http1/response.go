package http1

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// responseConnection is a connection on which a client reads responses. The kernel reports a reset once; if a write meets it, the next read gets io.EOF,
// which net/http takes for the end of a body without a length. A read fails in place of that.
type responseConnection struct {
	net.Conn

	// writes is locked during a write.
	writes sync.Mutex

	mu sync.Mutex
	// failure is the error of the first write that failed.
	failure error
}

// NetConn returns the wrapped connection.
func (c *responseConnection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns the error of a failed write in place of io.EOF if the connection was reset.
func (c *responseConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// Write implements net.Conn.
func (c *responseConnection) Write(p []byte) (int, error) {
	c.writes.Lock()
	defer c.writes.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.failure = cmp.Or(c.failure, err)
	}
	return n, err
}

// endError returns io.EOF if the server has ended the connection, and otherwise the error with which it broke.
func (c *responseConnection) endError() error {
	if isBroken(c.Conn) {
		// A write that has met the reset returns at once.
		c.writes.Lock()
		defer c.writes.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The kernel reports a reset that follows an end as EPIPE.
	if c.failure == nil || errors.Is(c.failure, syscall.EPIPE) {
		return io.EOF
	}
	return c.failure
}

// isBroken reports whether a connection was reset, has timed out or was closed on this end.
func isBroken(connection net.Conn) bool {
	if _, ok := Unwrap[*net.TCPConn](connection); !ok {
		return false
	}
	isReset := false
	isOpen := Control(connection, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return !isOpen || isReset
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialForResponses returns a DialFunc that opens connections with another one, or with a net.Dialer if that is nil. Reads of such a connection fail where
// the connection broke and the kernel reports an end.
func DialForResponses(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &responseConnection{Conn: connection}, nil
	}
}

// Transport is an http.Transport whose connections DialForResponses opens.
type Transport struct{ *http.Transport }

// NewTransport makes a transport one of which all responses are checked.
func NewTransport(t *http.Transport) *Transport {
	t.DialContext = DialForResponses(t.DialContext)
	return &Transport{Transport: t}
}
