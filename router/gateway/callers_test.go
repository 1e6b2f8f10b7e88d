package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/router/tcptest"
)

// newConnectionPair returns both ends of a TCP connection: the router's and the caller's.
func newConnectionPair(t *testing.T) (*callerConnection, net.Conn) {
	t.Helper()
	socket, err := listen(t.Context(), "127.0.0.1:0", 0)
	assert.Must(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", socket.Addr().String())
	assert.Must(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := callerListener{Listener: socket, traffic: &Traffic{}}.Accept()
	assert.Must(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*callerConnection), caller
}

func TestIdleConnections(t *testing.T) {
	later := func() time.Time { return time.Now().Add(2 * quietPeriod) }
	t.Run("a quiet connection is idle", func(t *testing.T) {
		connection, _ := newConnectionPair(t)
		c := &callerConnections{}
		c.trackState(connection, http.StateIdle)
		idle, open := c.idleConnections(later())
		assert.Equal(t, 1, len(idle))
		assert.Equal(t, 1, open)
	})
	t.Run("a connection that serves a request is not idle", func(t *testing.T) {
		connection, _ := newConnectionPair(t)
		c := &callerConnections{}
		c.trackState(connection, http.StateActive)
		idle, open := c.idleConnections(later())
		assert.Equal(t, 0, len(idle))
		assert.Equal(t, 1, open)
	})
	t.Run("a connection with an unread request is not idle", func(t *testing.T) {
		connection, caller := newConnectionPair(t)
		c := &callerConnections{}
		c.trackState(connection, http.StateIdle)
		_, err := io.WriteString(caller, "GET")
		assert.Must(t, err)
		for http1.UnreadBytes(connection) == 0 {
			time.Sleep(time.Millisecond)
		}
		idle, _ := c.idleConnections(later())
		assert.Equal(t, 0, len(idle))
	})
	t.Run("a connection whose request was just read is not idle", func(t *testing.T) {
		connection, caller := newConnectionPair(t)
		c := &callerConnections{}
		c.trackState(connection, http.StateIdle)
		_, err := io.WriteString(caller, "GET")
		assert.Must(t, err)
		_, err = io.ReadFull(connection, make([]byte, 3))
		assert.Must(t, err)
		idle, _ := c.idleConnections(later())
		assert.Equal(t, 0, len(idle))
		c.trackState(connection, http.StateActive)
		c.trackState(connection, http.StateIdle)
		idle, _ = c.idleConnections(time.Now())
		assert.Equal(t, 0, len(idle))
		idle, _ = c.idleConnections(later())
		assert.Equal(t, 1, len(idle))
	})
	t.Run("closed connections are no longer tracked", func(t *testing.T) {
		connection, _ := newConnectionPair(t)
		c := &callerConnections{}
		c.trackState(connection, http.StateIdle)
		c.trackState(connection, http.StateClosed)
		_, open := c.idleConnections(later())
		assert.Equal(t, 0, open)
	})
}

// TestLeave guards against a draining router that accepts new connections or aborts the request in progress.
func TestLeave(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	c := &callerConnections{}
	server := &http.Server{ConnState: c.trackState, ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		w.Header().Set("Connection", "close")
	})}
	socket, err := listen(t.Context(), "127.0.0.1:0", 0)
	assert.Must(t, err)
	c.listener = callerListener{Listener: socket, traffic: &Traffic{}}
	served := make(chan error)
	go func() { served <- serve(server, c.listener) }()
	answered := make(chan int)
	go func() {
		response, err := http.Get("http://" + socket.Addr().String())
		if err != nil {
			answered <- 0
			return
		}
		_ = response.Body.Close()
		answered <- response.StatusCode
	}()
	<-started
	drained := make(chan struct{})
	go func() { c.drainUntil(t.Context(), time.Now().Add(time.Hour)); close(drained) }()
	assert.NoError(t, <-served)
	// The system closes the socket a moment after Accept has returned.
	waitFor(t, func() bool {
		late, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", socket.Addr().String())
		if err == nil {
			_ = late.Close()
		}
		return err != nil
	})
	close(finish)
	assert.Equal(t, http.StatusOK, <-answered)
	<-drained
}

// lateConnection is a connection whose Read returns data only after the connection was closed.
type lateConnection struct {
	net.Conn

	closed chan struct{}
}

func (c *lateConnection) Read(p []byte) (int, error) {
	<-c.closed
	return copy(p, "GET"), nil
}

func (c *lateConnection) Close() error {
	close(c.closed)
	return nil
}

// TestDrainedConnectionGivesNoRequest guards against a request that is read from a connection while the connection is closed as idle, and can't be answered.
func TestDrainedConnectionGivesNoRequest(t *testing.T) {
	socket, err := listen(t.Context(), "127.0.0.1:0", 0)
	assert.Must(t, err)
	c := &callerConnections{listener: socket}
	connection := &callerConnection{byteCountingConnection: byteCountingConnection{
		Conn: &lateConnection{closed: make(chan struct{})}, traffic: &Traffic{},
	}}
	c.trackState(connection, http.StateIdle)
	drained := make(chan struct{})
	go func() { c.drainUntil(t.Context(), time.Now().Add(time.Hour)); close(drained) }()
	n, err := connection.Read(make([]byte, 3))
	assert.Equal(t, 0, n)
	assert.Equal(t, true, errors.Is(err, net.ErrClosed))
	c.trackState(connection, http.StateClosed)
	<-drained
}

// TestCallerOfUnknownState guards against requests that are refused as if their callers had left because the kernel tells nothing of their connections.
func TestCallerOfUnknownState(t *testing.T) {
	local, remote := net.Pipe()
	c := &callerConnection{byteCountingConnection: byteCountingConnection{Conn: tcptest.Opaque{Conn: local}}}
	assert.Equal(t, false, c.hasLeft())
	assert.NoError(t, remote.Close())
	assert.Equal(t, false, c.hasLeft())
	now := time.Now()
	assert.Equal(t, now, c.arrival(now))
}
