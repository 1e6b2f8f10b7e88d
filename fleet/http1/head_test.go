package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// answeringServer answers each request with given bytes, which arrive one by one or together, and keeps the connection.
type answeringServer struct {
	listener net.Listener
	answer   string
	isSlow   bool
}

func (s *answeringServer) loop() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.run(connection)
	}
}

func (s *answeringServer) run(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if !s.isSlow {
			_, _ = io.WriteString(connection, s.answer)
			continue
		}
		for i := range s.answer {
			_, _ = io.WriteString(connection, s.answer[i:i+1])
		}
	}
}

// get returns the status and body of an answer, over a connection that has carried another one before.
func get(t *testing.T, answer string, isSlow bool) (status int, body string, err error) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	defer func() { _ = listener.Close() }()
	s := &answeringServer{listener: listener, answer: answer, isSlow: isSlow}
	go s.loop()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/", http.NoBody)
		assert.Must(t, err)
		response, err := transport.RoundTrip(request)
		if err != nil {
			return 0, "", err
		}
		content, err := io.ReadAll(response.Body)
		assert.NoError(t, err)
		assert.NoError(t, response.Body.Close())
		status, body = response.StatusCode, string(content)
	}
	return status, body, nil
}

// TestMalformedHeads guards against answers whose heads aren't HTTP/1.
func TestMalformedHeads(t *testing.T) {
	const whole = "Content-Length: 2\r\n\r\nok"
	for _, head := range []string{
		"HTTP/1.1 000 None\r\n", "HTTP/1.1 001 None\r\n", "HTTP/1.1 099 None\r\n", "HTTP/1.0 000 None\r\n", "HTTP/1.1 600 None\r\n", "HTTP/1.1 999 None\r\n",
		"HTTP/1.1 000\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1\t200 OK\r\n",
		"HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/1.10 200 OK\r\n", "http/1.1 200 OK\r\n", "ICY 200 OK\r\n", "\r\nHTTP/1.1 200 OK\r\n", "\x00\x00",
		"HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 200 O\rK\r\n", "HTTP/1.1 200 O\x7fK\r\n", "HTTP/1.1 200-OK\r\n",
		"HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nA : c\r\n", "HTTP/1.1 200 OK\r\nA\t: c\r\n", "HTTP/1.1 200 OK\r\nA\x01: c\r\n",
		"HTTP/1.1 200 OK\r\nA\x00: c\r\n", "HTTP/1.1 200 OK\r\nA\x7f: c\r\n", "HTTP/1.1 200 OK\r\nA\x80: c\r\n", "HTTP/1.1 200 OK\r\nA(: c\r\n",
		"HTTP/1.1 200 OK\r\n: c\r\n", "HTTP/1.1 200 OK\r\nA\r\n", "HTTP/1.1 200 OK\r\n A: c\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r", "HTTP/1.1 200 OK\nA : b\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"HTTP/1.1 404 None\r\nA B: c\r\n", "HTTP/1.1 103 Hints\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 None\r\n",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nA : c\r\n", "HTTP/1.1 099 Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		for _, isSlow := range []bool{false, true} {
			_, _, err := get(t, head+whole, isSlow)
			if !errors.Is(err, ErrMalformedHead) {
				t.Errorf("%q, byte by byte %v: error %v", head, isSlow, err)
			}
		}
	}
}

// TestMalformedHeadAfterPartOfLine guards against a client that waits for more of a malformed head.
func TestMalformedHeadAfterPartOfLine(t *testing.T) {
	client, server := net.Pipe()
	connection := &responseConnection{Conn: client}
	BeginResponse(connection)
	go func() {
		_, _ = io.WriteString(server, "HTTP/1.1 200 O")
		_, _ = io.WriteString(server, "\x00K\r\n\r\n")
	}()
	_, err := http.ReadResponse(bufio.NewReader(connection), nil) //nolint:bodyclose // there is no response
	assert.Fails(t, err)
	assert.ErrorIs(t, ResponseError(connection, err), ErrMalformedHead)
}

// TestWellFormedHeads guards against sound answers that are taken for malformed ones.
func TestWellFormedHeads(t *testing.T) {
	const whole = "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		answer string
		status int
	}{
		{"HTTP/1.1 200 OK\r\n" + whole, 200},
		{"HTTP/1.1 200\r\n" + whole, 200},
		{"HTTP/1.1 200 \r\n" + whole, 200},
		{"HTTP/1.1 200 Schön, \t wirklich\r\n" + whole, 200},
		{"HTTP/1.0 599 Last\r\nConnection: keep-alive\r\n" + whole, 599},
		{"HTTP/1.1 200 OK\nContent-Length:2\n\nok", 200},
		{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\nEmpty:\r\nText: ä : (b)\r\n" + whole, 200},
		{"HTTP/1.1 200 OK\r\nFolded: a\r\n b : c\r\n" + whole, 200},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 404 None\r\n" + whole, 404},
	} {
		for _, isSlow := range []bool{false, true} {
			status, body, err := get(t, c.answer, isSlow)
			assert.NoError(t, err)
			assert.Equal(t, c.status, status)
			assert.Equal(t, "ok", body)
		}
	}
	t.Run("the body looks like heads", func(t *testing.T) {
		body := strings.Repeat("HTTP/1.1 000 None\r\nA : b\r\n\r\n", 2000)
		status, got, err := get(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ndac0\r\n"+body+"\r\n0\r\n\r\n", false)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		assert.Equal(t, true, got == body)
	})
}
