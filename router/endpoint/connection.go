package endpoint

import (
	"errors"
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
)

// errUnclean is the error of a first write on a connection whose next bytes may belong to an earlier request.
var errUnclean = errors.New("connection may hold bytes of an answer to an earlier request")

// guardedConn is a connection to an endpoint. It writes only the bytes that the guard of its current attempt permits. The
// answers of endpoints name no request, so an attempt begins only on a connection on which everything received belongs to
// complete answers and no request was refused.
type guardedConn struct {
	net.Conn

	mu sync.Mutex
	// changed signals changes of the fields below.
	changed sync.Cond
	guard   *writeGuard
	// isReading reports whether net/http's transport waits for bytes. Between two answers it does so only when nothing is
	// left of what it read before.
	isReading bool
	// isIdle reports whether no request was written since the latest answer, hasVerdict whether that answer is known to be
	// no refusal.
	isIdle, hasVerdict bool
	// isUnclean reports whether no further request may be written, isClosed whether the connection was closed.
	isUnclean, isClosed bool
}

func newGuardedConn(c net.Conn) *guardedConn {
	guarded := &guardedConn{Conn: c, isIdle: true, hasVerdict: true}
	guarded.changed.L = &guarded.mu
	return guarded
}

// NetConn returns the wrapped connection.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// bind makes a guard the one of the connection's current attempt. The answers to all earlier ones are complete.
func (c *guardedConn) bind(g *writeGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard, c.isIdle = g, true
}

// release records that the answer to the attempt of a guard is complete. If the connection has another guard by now,
// bind has done so.
func (c *guardedConn) release(g *writeGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = c.isIdle || c.guard == g
}

// begin waits until the transport has nothing left of earlier answers and the latest one is known to be no refusal. It
// reports whether a request may be written.
func (c *guardedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (!c.isReading || !c.hasVerdict) && !c.isUnclean && !c.isClosed {
		c.changed.Wait()
	}
	if c.isUnclean || c.isClosed || hasInput(c.Conn) {
		c.isUnclean = true
		return false
	}
	c.isIdle, c.hasVerdict = false, false
	return true
}

// conclude ends the wait of begin for the verdict on the latest answer. An endpoint may write a refusal once more, and it
// would be taken for the answer to the next request, so nothing more is written after one.
func (c *guardedConn) conclude(refused bool) {
	c.mu.Lock()
	c.hasVerdict, c.isUnclean = true, c.isUnclean || refused
	c.changed.Broadcast()
	c.mu.Unlock()
	if refused {
		_ = c.Close()
	}
}

// recordInput records that bytes arrived. They belong to no request if none was written since the latest answer.
func (c *guardedConn) recordInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isUnclean = c.isUnclean || c.isIdle
	c.changed.Broadcast()
}

// isRejected reports whether the connection is one on which no request may begin.
func (c *guardedConn) isRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isUnclean
}

func (c *guardedConn) setReading(isReading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = isReading
	c.changed.Broadcast()
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	if n > 0 {
		c.recordInput()
	}
	return n, err
}

// Write writes p to the connection if the guard permits it.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	g := c.guard
	c.mu.Unlock()
	if g != nil {
		if err := g.allowWrite(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// hasInput reports whether bytes, or the end of the connection, have arrived and were not read yet.
func hasInput(c net.Conn) bool {
	if _, ok := http1.Unwrap[*net.TCPConn](c); !ok {
		return false
	}
	var peekErr error
	isOpen := http1.Control(c, func(fd int) {
		_, _, peekErr = unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return !isOpen || !errors.Is(peekErr, unix.EAGAIN)
}
