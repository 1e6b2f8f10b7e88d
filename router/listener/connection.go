package listener

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/connections"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
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
	// bodyBytes is the number of bytes that were read during the request in progress. A long body gets a larger receive buffer.
	bodyBytes atomic.Int64
}

// NetConn returns the wrapped connection.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It answers a request whose head is refused, and fails from then on.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if c.isServing.Load() {
		c.receiveBody(int64(n))
		return n, err
	}
	if reason := c.limiter.receive(c, p[:n]); reason != "" {
		c.refuse(reason)
		// net/http answers other types of errors.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
	}
	return n, err
}

// receiveBody enlarges the receive buffer once a body is found to be long.
func (c *connection) receiveBody(bytes int64) {
	limits := c.limiter.settings.Limits
	if read := c.bodyBytes.Add(bytes); read >= limits.ReceiveBytes && read-bytes < limits.ReceiveBytes {
		c.setReceiveBuffer(limits.BodyReceiveBytes)
	}
}

// endBody makes the receive buffer small again after a long body.
func (c *connection) endBody() {
	if limits := c.limiter.settings.Limits; c.bodyBytes.Swap(0) >= limits.ReceiveBytes {
		c.setReceiveBuffer(limits.ReceiveBytes)
	}
}

// setReceiveBuffer sets the size of the receive buffer and of the TCP window; zero leaves them as they are. Linux bounds the window by the buffer
// of the listener otherwise.
func (c *connection) setReceiveBuffer(size int64) {
	if size <= 0 {
		return
	}
	http1.Control(c.Conn, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, int(size))
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, int(size))
	})
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
