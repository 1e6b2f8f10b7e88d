package http1

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// responseConnection is a connection on which a client reads responses. A read fails where net/http would take a part of a response for a whole one: at
// an end in place of a reset, and at a malformed head. The kernel reports a reset once; if a write meets it, the next read gets io.EOF, which ends a body
// without a length.
type responseConnection struct {
	net.Conn

	// writes is locked during a write.
	writes sync.Mutex

	mu sync.Mutex
	// head checks the heads of responses, failure is the error of the first write that failed. Both are guarded by mu.
	head    headReader
	failure error
}

// NetConn returns the wrapped connection.
func (c *responseConnection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns the error of a failed write in place of io.EOF if the connection was reset, and wraps ErrMalformedHead.
func (c *responseConnection) Read(p []byte) (int, error) {
	// A bufio.Reader that has a part of a line drops the error and reads again.
	if err := c.readHead(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if headErr := c.readHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

func (c *responseConnection) readHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.read(p)
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

// DialForResponses returns a DialFunc that opens connections with another one, or with a net.Dialer if that is nil. Reads of such a connection fail with
// ErrMalformedHead at a head of a response that isn't HTTP/1, and with the reason where the connection broke and the kernel reports an end.
// BeginResponse is to be called for each exchange.
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

// BeginResponse tells a connection of DialForResponses, or one that wraps it, that the next bytes are the head of a response. It is called before the
// request is sent, when the response before is complete. It has no effect on other connections.
func BeginResponse(connection net.Conn) {
	if c, ok := Unwrap[*responseConnection](connection); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.head.begin()
	}
}

// ResponseError returns the error of an exchange on a connection of DialForResponses, or one that wraps it. net/http doesn't wrap the errors of reads that
// end within a line. It returns err for other connections, and for nil.
func ResponseError(connection net.Conn, err error) error {
	if connection == nil || err == nil {
		return err
	}
	c, ok := Unwrap[*responseConnection](connection)
	if !ok {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.head.failure, err)
}

// Transport is an http.Transport whose connections DialForResponses opens.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that checks all responses. It replaces t.DialContext.
func NewTransport(t *http.Transport) *Transport {
	t.DialContext = DialForResponses(t.DialContext)
	return &Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[net.Conn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			BeginResponse(info.Conn)
			used.Store(&info.Conn)
		},
	})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if connection := used.Load(); err != nil && connection != nil {
		err = ResponseError(*connection, err)
	}
	return response, err
}
