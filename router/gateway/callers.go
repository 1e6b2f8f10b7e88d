package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

const (
	// quietTime is how long nothing must have arrived on a connection before it is closed as idle: a busy router may take
	// that long from a request's bytes to its handler.
	quietTime = 500 * time.Millisecond
	// idlePause lies between two looks for idle connections of a router that is leaving.
	idlePause = 50 * time.Millisecond
)

// callerConnections are the open connections of callers.
type callerConnections struct {
	// socket accepts new ones.
	socket net.Listener

	mu   sync.Mutex
	open map[net.Conn]http.ConnState
}

// note implements the hook http.Server.ConnState.
func (c *callerConnections) note(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]http.ConnState)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, connection)
		return
	}
	c.open[connection] = state
}

// leave accepts no more connections and closes idle ones until none is open or the context ends. Unlike
// http.Server.Shutdown it leaves a connection alone on which a request has arrived that the server has not read yet.
func (c *callerConnections) leave(ctx context.Context) {
	_ = c.socket.Close()
	for ctx.Err() == nil {
		idle, open := c.idle(time.Now())
		for _, connection := range idle {
			_ = connection.Close()
		}
		if open == 0 {
			return
		}
		clock.Sleep(ctx, idlePause)
	}
}

// idle returns the connections that may be closed, and the number of all.
func (c *callerConnections) idle(now time.Time) ([]net.Conn, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []net.Conn
	for connection, state := range c.open {
		if caller, ok := connection.(*callerConnection); ok && state == http.StateIdle && caller.quiet(now) {
			idle = append(idle, connection)
		}
	}
	return idle, len(c.open)
}

// callerConnection notes when something last arrived.
type callerConnection struct {
	countedConnection

	arrived atomic.Int64
}

// Read implements net.Conn.
func (c *callerConnection) Read(p []byte) (int, error) {
	n, err := c.countedConnection.Read(p)
	if n > 0 {
		c.arrived.Store(time.Now().UnixNano())
	}
	return n, err
}

// quiet reports whether nothing has arrived for a while and nothing waits to be read.
func (c *callerConnection) quiet(now time.Time) bool {
	return now.Sub(time.Unix(0, c.arrived.Load())) > quietTime && c.unread() == 0
}

// unread returns the bytes that have arrived and have not been read; zero if that can't be told.
func (c *callerConnection) unread() int {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener

	traffic *Traffic
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConnection{countedConnection: countedConnection{Conn: connection, traffic: l.traffic}}, nil
}
