package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// slowCallersTest is a router that callers reach over sockets of the kernel.
type slowCallersTest struct {
	*gatewayTest

	node   *Node
	server *http.Server
}

func newSlowCallersTest(t *testing.T, answer http.HandlerFunc) *slowCallersTest {
	t.Helper()
	g := newGatewayTest(t, answer)
	s := &slowCallersTest{gatewayTest: g, node: &Node{Settings: Settings{Grace: 8 * time.Second}, Board: g.state, Server: g.server, Payer: g.server.payer, Logger: g.server.logger}}
	s.server = s.node.newCallerServer()
	socket, err := listen(t.Context(), "127.0.0.1:0", 0)
	assert.Must(t, err)
	s.node.acceptCallers(s.server, socket)
	go func() { _ = s.node.silent.run(t.Context()) }()
	go func() { _ = serve(s.server, s.node.callers.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// waitUntilIdle waits until a connection is idle, so that the kernel has the whole of its answer.
func (s *slowCallersTest) waitUntilIdle() {
	for idle := 0; idle == 0; time.Sleep(time.Millisecond) {
		connections, _ := s.node.callers.idleConnections(time.Now().Add(quietPeriod + time.Second))
		idle = len(connections)
	}
}

// slowCaller is a caller that has sent a request, and reads the answer when the test says so.
type slowCaller struct {
	t          *testing.T
	connection *net.TCPConn
	reader     *bufio.Reader
}

// send sends a request on a new connection with a receive buffer of the given size; zero stands for the kernel's.
func (s *slowCallersTest) send(t *testing.T, identifier string, receiveBytes int) *slowCaller {
	t.Helper()
	dialed, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.node.callers.listener.Addr().String())
	assert.Must(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	c := &slowCaller{t: t, connection: dialed.(*net.TCPConn), reader: bufio.NewReaderSize(dialed, 512)}
	if receiveBytes > 0 {
		assert.Must(t, c.connection.SetReadBuffer(receiveBytes))
	}
	_, err = fmt.Fprintf(c.connection, "GET /read/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nAuthorization: Bearer key\r\nLeft: 15000\r\n\r\n", identifier)
	assert.Must(t, err)
	return c
}

// dropArrivals makes the kernel drop all packets that arrive on a connection, so that its end acknowledges nothing.
func dropArrivals(t *testing.T, connection *net.TCPConn) {
	t.Helper()
	raw, err := connection.SyscallConn()
	assert.NoError(t, err)
	// The only instruction of the filter accepts no byte of a packet.
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	assert.NoError(t, raw.Control(func(fd uintptr) {
		assert.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]}))
	}))
}

// assertWhole reads the rest of an answer, burst bytes at a time with pauses between them, and checks its length.
func (c *slowCaller) assertWhole(want, burst int, pauses ...time.Duration) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.Must(c.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(c.t, http.StatusOK, response.StatusCode)
	read := int64(0)
	for _, pause := range pauses {
		n, err := io.CopyN(io.Discard, response.Body, int64(burst))
		assert.NoError(c.t, err)
		read += n
		time.Sleep(pause)
	}
	n, err := io.Copy(io.Discard, response.Body)
	assert.NoError(c.t, err)
	assert.Equal(c.t, int64(want), read+n)
}

// TestSlowCallersGetWholeAnswers guards against answers that are cut because their callers don't read for longer than it takes to give up a
// silent caller.
func TestSlowCallersGetWholeAnswers(t *testing.T) {
	const (
		smallAnswer = 14 << 10
		largeAnswer = 16 << 20
		windowBytes = 4 << 10
	)
	t.Run("a small window", func(t *testing.T) {
		t.Parallel()
		s := newSlowCallersTest(t, answerSealed(strings.Repeat("x", smallAnswer)))
		pause := acknowledgmentTimeout + 700*time.Millisecond
		s.send(t, "slow", windowBytes).assertWhole(smallAnswer, windowBytes, pause, pause)
	})
	t.Run("a long pause in an answer that exceeds the buffers, at an endpoint that cuts off what isn't read", func(t *testing.T) {
		t.Parallel()
		s := newSlowCallersTest(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "seal-1")
			part := make([]byte, 64<<10)
			for range largeAnswer / len(part) {
				_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(2 * time.Second))
				if _, err := w.Write(part); err != nil {
					return
				}
			}
		})
		s.send(t, "slow", 0).assertWhole(largeAnswer, 1, writeTimeout+time.Second)
	})
	t.Run("a router that stops", func(t *testing.T) {
		t.Parallel()
		s := newSlowCallersTest(t, answerSealed(strings.Repeat("x", smallAnswer)))
		c := s.send(t, "slow", windowBytes)
		s.waitUntilIdle()
		assert.Equal(t, true, s.node.callers.drainUntil(t.Context(), time.Now().Add(time.Minute)))
		c.assertWhole(smallAnswer, windowBytes)
	})
}

// TestSilentCallersAreGivenUp guards against connections that are kept for callers which acknowledge nothing, and against those of callers that
// acknowledge but don't read being closed with them.
func TestSilentCallersAreGivenUp(t *testing.T) {
	t.Parallel()
	const answerBytes = 64 << 10
	silenced := make(chan struct{})
	s := newSlowCallersTest(t, func(w http.ResponseWriter, r *http.Request) {
		<-silenced
		answerSealed(strings.Repeat("x", answerBytes))(w, r)
	})
	slow := s.send(t, "slow", 4<<10)
	gone := s.send(t, "gone", 0)
	for s.endpoints[0].requestCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	dropArrivals(t, gone.connection)
	close(silenced)
	for s.node.callers.count() == 2 {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, int64(1), s.counterValue(callerSilent))
	slow.assertWhole(answerBytes, 1)
	var requests []any
	for _, line := range s.lines.Entries {
		if line.Fields["Unacknowledged"] != nil {
			requests = append(requests, line.Fields[fieldRequest])
		}
	}
	assert.Equal(t, []any{"gone"}, requests)
}

// TestUndeliveredAnswersAreLogged guards against a log that says of an answer only that it was given, when its caller has reset the connection
// before it had all of it.
func TestUndeliveredAnswersAreLogged(t *testing.T) {
	t.Parallel()
	s := newSlowCallersTest(t, answerSealed(strings.Repeat("x", 64<<10)))
	c := s.send(t, "reset", 4<<10)
	s.waitUntilIdle()
	assert.Must(t, c.connection.SetLinger(0))
	assert.Must(t, c.connection.Close())
	for s.node.callers.count() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, int64(1), s.counterValue(callerUndelivered))
}
