package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/router/unacked"
)

const (
	// quietPeriod is how long a connection must have been idle before it is closed: its next request may have been read together with the
	// one before, or be on its way.
	quietPeriod = 500 * time.Millisecond
	// idleCheckInterval is the interval at which a router that shuts down checks for idle connections.
	idleCheckInterval = 50 * time.Millisecond
)

// callerConnections tracks the open connections of callers.
type callerConnections struct {
	// listener accepts new connections of callers.
	listener net.Listener

	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// trackState records the state of a connection. It is the hook http.Server.ConnState.
func (c *callerConnections) trackState(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = make(map[net.Conn]http.ConnState)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, connection)
		return
	}
	c.states[connection] = state
	if caller, ok := connection.(*callerConnection); ok && state == http.StateIdle {
		caller.recordIdle(time.Now())
	}
}

// drainUntil closes the listener, then closes idle connections until none is open or the time has come. It reports whether none is open. Unlike
// http.Server.Shutdown, it keeps a connection open on which a request has arrived that the server has not read yet.
func (c *callerConnections) drainUntil(ctx context.Context, end time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	_ = c.listener.Close()
	for {
		idle, total := c.idleConnections(time.Now())
		for _, connection := range idle {
			connection.closeIfQuiet(time.Now())
		}
		if total == 0 {
			return true
		}
		if !clock.Sleep(ctx, idleCheckInterval) {
			return false
		}
	}
}

// idleConnections returns the idle connections that may be closed, and the number of all open connections.
func (c *callerConnections) idleConnections(now time.Time) ([]*callerConnection, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []*callerConnection
	for connection, state := range c.states {
		if caller, ok := connection.(*callerConnection); ok && state == http.StateIdle && caller.isQuiet(now) {
			idle = append(idle, caller)
		}
	}
	return idle, len(c.states)
}

// count returns the number of open connections.
func (c *callerConnections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// callerConnection is a caller's connection that records whether a request is being read from it.
type callerConnection struct {
	byteCountingConnection

	// hasWritten reports whether data was written that isn't known to be acknowledged, request is the identifier of the newest request.
	hasWritten atomic.Bool
	request    atomic.Pointer[string]
	// peer is what silentCallers.run has observed of the caller.
	peer unacked.Peer
	// onClose is called before the connection is closed; nil if nothing is to be done.
	onClose func(*callerConnection)

	mu sync.Mutex
	// idleSince is when the last answer ended, isReading whether data was read after that: a part of the next request.
	idleSince time.Time
	isReading bool
	// arrivedAt is when the first data of the newest request arrived.
	arrivedAt time.Time
	// isClosed is true once the connection was closed as quiet.
	isClosed bool
}

// Read implements net.Conn. It returns no data that arrived while the connection was closed as quiet, so that no request is read
// from it that can't be answered.
func (c *callerConnection) Read(p []byte) (int, error) {
	n, err := c.byteCountingConnection.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	if n > 0 && !c.isReading {
		c.isReading, c.arrivedAt = true, time.Now().Add(-http1.SinceArrival(c))
	}
	return n, err
}

// arrival returns when the newest request arrived, which may have waited until it was read. It returns now for nil.
func (c *callerConnection) arrival(now time.Time) time.Time {
	if c == nil {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivedAt.IsZero() || c.arrivedAt.After(now) {
		return now
	}
	return c.arrivedAt
}

// hasLeft reports whether the caller has closed the connection, as far as the kernel knows. The server learns of that only when it reads, which takes long
// on a busy machine. It returns false for nil, and while a further request waits to be read.
func (c *callerConnection) hasLeft() bool {
	return c != nil && http1.HasLeft(c) && http1.UnreadBytes(c) == 0
}

// Write implements net.Conn.
func (c *callerConnection) Write(p []byte) (int, error) {
	c.hasWritten.Store(true)
	return c.byteCountingConnection.Write(p)
}

// Close implements net.Conn.
func (c *callerConnection) Close() error {
	if c.onClose != nil {
		c.onClose(c)
	}
	return c.byteCountingConnection.Close()
}

// recordIdle records that an answer has ended.
func (c *callerConnection) recordIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.isReading = now, false
}

// closeIfQuiet closes the connection if it is quiet.
func (c *callerConnection) closeIfQuiet(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isQuietLocked(now) {
		c.isClosed = true
		_ = c.Close()
	}
}

// isQuiet reports whether nothing of a request has arrived since an answer ended at least quietPeriod ago.
func (c *callerConnection) isQuiet(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isQuietLocked(now)
}

func (c *callerConnection) isQuietLocked(now time.Time) bool {
	return !c.isReading && now.Sub(c.idleSince) > quietPeriod && http1.UnreadBytes(c) == 0
}

// callerListener accepts callers' connections and counts their bytes.
type callerListener struct {
	net.Listener

	traffic *Traffic
	// onClose is called before a connection is closed; nil if nothing is to be done.
	onClose func(*callerConnection)
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConnection{byteCountingConnection: byteCountingConnection{Conn: connection, traffic: l.traffic}, onClose: l.onClose}, nil
}
