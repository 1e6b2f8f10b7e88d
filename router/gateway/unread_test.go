package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
)

// busyListener accepts connections of which the server reads late, as on a machine whose processor is busy.
type busyListener struct {
	net.Listener

	// delay is the time from the arrival of a request until it is read.
	delay time.Duration
}

// Accept implements net.Listener.
func (l busyListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &busyConnection{Conn: connection, delay: l.delay, closed: make(chan struct{})}, nil
}

// busyConnection is a connection on which the first read is late and further ones return only when the connection is closed.
type busyConnection struct {
	net.Conn

	delay  time.Duration
	isRead bool
	closed chan struct{}
	once   sync.Once
}

// NetConn returns the wrapped connection.
func (c *busyConnection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *busyConnection) Read(p []byte) (int, error) {
	if c.isRead {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.isRead = true
	for http1.UnreadBytes(c.Conn) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(c.delay)
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *busyConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// serveBusily serves callers of the server on connections that are read late. It returns its address, and a channel that gets a value at the end of each
// request.
func (g *gatewayTest) serveBusily(t *testing.T, delay time.Duration) (address string, ended <-chan struct{}) {
	t.Helper()
	served := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { served <- struct{}{} }()
		g.server.ServeHTTP(w, r)
	})
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	server := &http.Server{Handler: handler, ConnContext: withCaller(nil), ReadHeaderTimeout: time.Minute}
	go func() {
		_ = server.Serve(callerListener{Listener: busyListener{Listener: listener, delay: delay}, traffic: &g.state.Traffic})
	}()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), served
}

// sendTo writes a request of a test caller and returns the connection.
func sendTo(t *testing.T, address, path string) net.Conn {
	t.Helper()
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.Must(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h\r\nId: id-1\r\nAuthorization: Bearer key\r\n\r\n", path)
	assert.Must(t, err)
	return connection
}

// TestCallerThatLeftUnnoticed guards against requests that are sent on though their caller has left, because the server hasn't read the close yet.
func TestCallerThatLeftUnnoticed(t *testing.T) {
	t.Run("before a further attempt", func(t *testing.T) {
		var caller net.Conn
		leave := func(http.ResponseWriter, *http.Request) {
			_ = caller.Close()
			// The loopback delivers the end at once.
			time.Sleep(10 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		g := newGatewayTest(t, leave, leave)
		address, ended := g.serveBusily(t, 0)
		sent := make(chan struct{})
		g.server.targets.onPermit = func() { <-sent }
		caller = sendTo(t, address, "/read/")
		close(sent)
		<-ended
		assert.Equal(t, 1, g.endpoints[0].requestCount()+g.endpoints[1].requestCount())
		assert.Equal(t, "caller_went_away", g.lastField("request ended", "Outcome"))
	})
	t.Run("before the request is read", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("answer"))
		address, ended := g.serveBusily(t, 100*time.Millisecond)
		assert.NoError(t, sendTo(t, address, "/read/").Close())
		<-ended
		g.assertRequestCounts(0)
	})
}

// TestTimeThatRequestsWaitUnread guards against requests that are served after their route's time-out, because the time before they were read doesn't count.
func TestTimeThatRequestsWaitUnread(t *testing.T) {
	g := newGatewayTest(t, answerSealed("answer"))
	address, ended := g.serveBusily(t, 200*time.Millisecond)
	sendTo(t, address, "/quick/")
	<-ended
	g.assertRequestCounts(0)
	assert.Equal(t, "deadline_too_short", g.lastField("request ended", "Outcome"))
}

// lastField returns a field of the last log line with a message as text; empty if there is none.
func (g *gatewayTest) lastField(message, field string) string {
	last := ""
	for _, line := range g.lines.Entries {
		if line.Message == message {
			last = fmt.Sprint(line.Fields.Get(field))
		}
	}
	return last
}
