package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/connections"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// serverTest is a server whose connections are bounded.
type serverTest struct {
	*Limiter

	address string
	release chan struct{}

	countsMutex sync.Mutex
	counts      map[string]int
}

// newServerTest starts a server. Its handler answers without reading the body, except at the path /body. At /wait it waits for release.
func newServerTest(t *testing.T, limits connections.Limits) *serverTest {
	t.Helper()
	s := &serverTest{counts: make(map[string]int), release: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/body" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if r.URL.Path == "/half" {
			_, _ = io.CopyN(io.Discard, r.Body, 500_000)
		}
		if r.URL.Path == "/wait" || r.URL.Path == "/half" {
			<-s.release
		}
		if r.URL.Path == "/half" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(w, "served")
	})}
	s.Limiter = Limit(server, Settings{Limits: limits, Count: s.count, Refuse: func(reason verdict.Reason) []byte {
		return FormatRefusal(reason, http.Header{"Verdict": {"NotRun"}}, struct{ Code string }{string(reason)})
	}})
	socket, err := (&net.ListenConfig{Control: ReceiveBuffer(limits.ReceiveBytes)}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	s.address = socket.Addr().String()
	go func() { _ = server.Serve(s.Wrap(socket)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *serverTest) count(name string) {
	s.countsMutex.Lock()
	defer s.countsMutex.Unlock()
	s.counts[name]++
}

func (s *serverTest) counted(name string) int {
	s.countsMutex.Lock()
	defer s.countsMutex.Unlock()
	return s.counts[name]
}

// client is a connection to the server.
type client struct {
	net.Conn

	reader *bufio.Reader
}

func (s *serverTest) dial(t *testing.T) *client {
	t.Helper()
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	assert.Must(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return &client{connection, bufio.NewReader(connection)}
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.Must(t, err)
}

// assertAnswer reads an answer and compares its status and body.
func (c *client) assertAnswer(t *testing.T, status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.Must(t, err)
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	assert.Must(t, err)
	assert.Equal(t, status, response.StatusCode)
	assert.Equal(t, body, string(read))
}

// assertClosed reads until the connection is closed, without an answer.
func (c *client) assertClosed(t *testing.T) {
	t.Helper()
	read, _ := io.ReadAll(c.reader)
	assert.Equal(t, "", string(read))
}

const ordinaryRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestUnfinishedHeads guards against heads that stay unfinished and take the memory of others.
func TestUnfinishedHeads(t *testing.T) {
	s := newServerTest(t, connections.Limits{HeadMemory: 70_000})
	long := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 10_000)
	var clients []*client
	for range 3 {
		c := s.dial(t)
		c.send(t, long)
		clients = append(clients, c)
	}
	clients[0].assertClosed(t)
	ordinary := s.dial(t)
	ordinary.send(t, ordinaryRequest)
	ordinary.assertAnswer(t, http.StatusOK, "served")
	clients[2].send(t, "\r\n\r\n")
	clients[2].assertAnswer(t, http.StatusOK, "served")
	assert.Equal(t, 1, s.counted(connectionClosedForHeads))
}

// TestHeadOfTooManyLines guards against a refusal that its client doesn't get, since it is still sending.
func TestHeadOfTooManyLines(t *testing.T) {
	s := newServerTest(t, connections.Limits{HeadLines: 100})
	c := s.dial(t)
	c.send(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 10_000))
	c.assertAnswer(t, http.StatusRequestHeaderFieldsTooLarge, `{"Code":"too_many_headers"}`)
	assert.Equal(t, 1, s.counted(headTooManyLines))
	t.Run("lines of a body", func(t *testing.T) {
		c := s.dial(t)
		for range 2 {
			c.send(t, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n"+strings.Repeat("\n", 3000))
			c.assertAnswer(t, http.StatusOK, "served")
		}
	})
}

// TestHeadsOfRequestsInProgressAreCounted guards against long heads that are forgotten once their bodies begin.
func TestHeadsOfRequestsInProgressAreCounted(t *testing.T) {
	s := newServerTest(t, connections.Limits{HeadMemory: 50_000})
	long := "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX: " + strings.Repeat("x", 10_000) + "\r\n\r\n"
	first := s.dial(t)
	first.send(t, long+"b")
	waitUntil(func() bool { return s.serving() == 1 })
	second := s.dial(t)
	second.send(t, long)
	second.assertAnswer(t, http.StatusServiceUnavailable, `{"Code":"memory_exhausted"}`)
	first.send(t, "body")
	first.assertAnswer(t, http.StatusOK, "served")
	waitUntil(func() bool { return s.serving() == 0 })
	third := s.dial(t)
	third.send(t, long+"bbody")
	third.assertAnswer(t, http.StatusOK, "served")
	assert.Equal(t, 1, s.counted(headNoMemory))
}

// serving returns the number of connections with a request in progress.
func (s *serverTest) serving() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, c := range s.open {
		if c.isServing.Load() {
			count++
		}
	}
	return count
}

// waitUntil polls a condition. Only the timeout of the test run limits the wait.
func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// TestTooManyClients guards against clients that find no place since others don't use theirs, and against the loss of requests in progress.
func TestTooManyClients(t *testing.T) {
	s := newServerTest(t, connections.Limits{Connections: 2})
	serving, idle := s.dial(t), s.dial(t)
	serving.send(t, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nb")
	idle.send(t, ordinaryRequest)
	idle.assertAnswer(t, http.StatusOK, "served")
	waitUntil(func() bool { return s.serving() == 1 })
	next := s.dial(t)
	idle.assertClosed(t)
	next.send(t, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nb")
	waitUntil(func() bool { return s.serving() == 2 })
	// The reset may come before the dial has returned.
	if refused, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address); err == nil {
		(&client{refused, bufio.NewReader(refused)}).assertClosed(t)
		_ = refused.Close()
	}
	waitUntil(func() bool { return s.counted(connectionRefused) == 1 })
	for _, c := range []*client{serving, next} {
		c.send(t, "body")
		c.assertAnswer(t, http.StatusOK, "served")
	}
	assert.Equal(t, 1, s.counted(connectionClosedForNew))
}

// TestHeldBackClients guards against bytes that clients have sent and nobody reads, and against the loss of others for them.
func TestHeldBackClients(t *testing.T) {
	s := newServerTest(t, connections.Limits{ReceiveBytes: 64 << 10, UnreadMemory: 1000})
	ordinary := s.dial(t)
	ordinary.send(t, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nb")
	heldBack := s.dial(t)
	heldBack.send(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("x", 20_000))
	waitUntil(func() bool {
		s.closeHeldBack()
		return s.counted(connectionHeldBack) == 1
	})
	heldBack.assertClosed(t)
	close(s.release)
	ordinary.send(t, "body")
	ordinary.assertAnswer(t, http.StatusOK, "served")
}

// TestReceiveBuffers guards against clients that have much unread, and against long bodies that arrive slowly where round trips are long.
func TestReceiveBuffers(t *testing.T) {
	const small, large = 8 << 10, 64 << 10
	s := newServerTest(t, connections.Limits{ReceiveBytes: small, BodyReceiveBytes: large})
	unread := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		total := 0
		for _, c := range s.open {
			total += http1.UnreadBytes(c)
		}
		return total
	}
	c := s.dial(t)
	c.send(t, "POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	body := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, strings.Repeat("b", 1_000_000))
		body <- err
	}()
	waitUntil(func() bool { return unread() > 4*small })
	close(s.release)
	assert.Must(t, <-body)
	c.assertAnswer(t, http.StatusOK, "served")
	waitUntil(func() bool { return s.serving() == 0 })
	s = newServerTest(t, connections.Limits{ReceiveBytes: small, BodyReceiveBytes: large})
	c = s.dial(t)
	c.send(t, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	assert.Must(t, c.Conn.(*net.TCPConn).SetWriteBuffer(small))
	assert.Must(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err := io.WriteString(c, strings.Repeat("b", 1_000_000))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Equal(t, true, unread() <= 2*small)
	close(s.release)
}
