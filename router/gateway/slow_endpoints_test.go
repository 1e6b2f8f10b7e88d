package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const slowEndpointBody = 256 << 10

// newSlowEndpointsTest returns a gateway with one endpoint, whose connections have receive buffers of some KB, and its socket.
func newSlowEndpointsTest(t *testing.T) (*gatewayTest, net.Listener) {
	t.Helper()
	g := newGatewayTest(t)
	g.state.Configuration.Load().Limits.BodyBytes = slowEndpointBody
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	socket, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	g.state.Directory.Store(site.NewDirectory([]site.Endpoint{{Name: "slow", Service: "plain", Address: socket.Addr().String()}}))
	return g, socket
}

func (g *gatewayTest) sendLargeBody() callResult {
	return g.call(http.MethodPost, "/order/", strings.Repeat("x", slowEndpointBody), withDeadline("15000"))
}

// TestEndpointsThatReadSlowly guards against requests with large bodies that are cut because their endpoints don't read for longer than it takes to
// give up a silent one.
func TestEndpointsThatReadSlowly(t *testing.T) {
	t.Parallel()
	g, socket := newSlowEndpointsTest(t)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(acknowledgmentTimeout + time.Second)
		n, err := io.Copy(io.Discard, r.Body)
		assert.NoError(t, err)
		assert.Equal(t, int64(slowEndpointBody), n)
		w.Header().Set("Id", r.Header.Get("Id"))
		answerSealed("answer")(w, r)
	})}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	got := g.sendLargeBody()
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "answer", got.body)
}

// TestSilentEndpointOfALargeBody guards against a request with a large body that waits until its deadline for an endpoint that acknowledges nothing.
func TestSilentEndpointOfALargeBody(t *testing.T) {
	t.Parallel()
	g, socket := newSlowEndpointsTest(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		connection, err := socket.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 1))
		dropArrivals(t, connection.(*net.TCPConn))
		accepted <- connection
	}()
	got := g.sendLargeBody()
	_ = (<-accepted).Close()
	assert.Equal(t, http.StatusBadGateway, got.status)
	assert.Equal(t, true, strings.Contains(got.body, "endpoint_failed"))
}
