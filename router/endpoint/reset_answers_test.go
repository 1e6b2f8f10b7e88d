package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// uploadBytes is more than the sockets between a router and an endpoint hold, so that the router still writes the request when the response comes.
const uploadBytes = 8 << 20

// headEndpoint answers each connection after it has read the head of a request, and then ends the connection.
type headEndpoint struct {
	listener net.Listener
	answer   string
	end      func(connection *net.TCPConn)
}

// newHeadFixture returns a dispatcher in front of such an endpoint.
func newHeadFixture(t *testing.T, answer string, end func(connection *net.TCPConn)) *fixture {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &headEndpoint{listener: listener, answer: answer, end: end}
	go e.loop()
	f := newFixture(t)
	f.addEndpoint(listener.Addr().String())
	return f
}

func (e *headEndpoint) loop() {
	for {
		accepted, err := e.listener.Accept()
		if err != nil {
			return
		}
		tcp, _ := accepted.(*net.TCPConn)
		if _, err := http.ReadRequest(bufio.NewReader(tcp)); err == nil {
			_, _ = io.WriteString(tcp, e.answer)
			e.end(tcp)
		}
		_ = tcp.Close()
	}
}

// TestAnswersResetDuringUploads guards against a part of a response without a length that counts as whole, because the connection was reset while the router
// wrote the request.
func TestAnswersResetDuringUploads(t *testing.T) {
	reset := func(delay time.Duration) func(*net.TCPConn) {
		return func(connection *net.TCPConn) {
			time.Sleep(delay)
			_ = connection.SetLinger(0)
		}
	}
	for _, end := range []struct {
		name string
		end  func(connection *net.TCPConn)
	}{
		{"reset at once", reset(0)},
		{"reset after a moment", reset(30 * time.Millisecond)},
		{"reset while the upload stalls", reset(330 * time.Millisecond)},
		{"closed with bytes unread", func(*net.TCPConn) { time.Sleep(30 * time.Millisecond) }},
		{"reset after a part of the upload", func(connection *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, connection, 64<<10)
			_ = connection.SetLinger(0)
		}},
	} {
		for _, answer := range []struct {
			name, text string
			call       *Call
		}{
			{"plain", "HTTP/1.1 200 OK\r\n\r\npart", plainCall()},
			{"plain error", "HTTP/1.1 500 Failed\r\n\r\npart", plainCall()},
			{"engine's error", "HTTP/1.1 500 Failed\r\n\r\npart", bufferedModelCall()},
			{"stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + delta("a"), streamCall()},
		} {
			t.Run(answer.name+", "+end.name, func(t *testing.T) {
				t.Parallel()
				for range 3 {
					call := *answer.call
					call.Body = bytes.Repeat([]byte("x"), uploadBytes)
					got := perform(t, newHeadFixture(t, answer.text, end.end), t.Context(), &call)
					assert.Equal(t, "MayHaveRun", got.Verdict)
				}
			})
		}
	}
}
