package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// uploadBytes is more than the sockets between a router and an endpoint hold, so that the router still writes the request when the answer comes.
const uploadBytes = 8 << 20

// newHeadEndpoint starts an endpoint that calls answer for each connection after it has read the head of a request, and closes the connection then.
func newHeadEndpoint(t *testing.T, answer func(connection *net.TCPConn)) *rawEndpoint {
	t.Helper()
	e := &rawEndpoint{readsHeadOnly: true, answer: func(connection net.Conn, _ string) {
		tcp, _ := connection.(*net.TCPConn)
		answer(tcp)
	}}
	e.start(t)
	return e
}

// allowUploads sets the bound of request bodies to uploadBytes.
func (g *gatewayTest) allowUploads() {
	changed := *g.state.Configuration.Load()
	changed.Limits = site.Limits{HeaderBytes: changed.Limits.HeaderBytes, BodyBytes: uploadBytes}
	changed.Index()
	g.state.Configuration.Store(&changed)
}

// uploadEnd is how an endpoint ends the connection of an upload that it hasn't read.
type uploadEnd struct {
	name string
	end  func(connection *net.TCPConn)
}

// uploadResets are ends that reset the connection.
func uploadResets() []uploadEnd {
	reset := func(delay time.Duration) func(*net.TCPConn) {
		return func(connection *net.TCPConn) {
			time.Sleep(delay)
			_ = connection.SetLinger(0)
		}
	}
	return []uploadEnd{
		{"reset at once", reset(0)},
		{"reset after a moment", reset(30 * time.Millisecond)},
		{"reset while the upload stalls", reset(330 * time.Millisecond)},
		{"closed with bytes unread", func(*net.TCPConn) { time.Sleep(30 * time.Millisecond) }},
		{"reset after a part of the request", func(connection *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, connection, 16<<10)
			_ = connection.SetLinger(0)
		}},
	}
}

// TestAnswersResetDuringUploads guards against a part of an answer without a length that reaches the caller as whole, because the connection was reset while
// the router wrote the request.
func TestAnswersResetDuringUploads(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
		for _, end := range uploadResets() {
			t.Run(status+", "+end.name, func(t *testing.T) {
				t.Parallel()
				e := newHeadEndpoint(t, func(connection *net.TCPConn) {
					_, _ = io.WriteString(connection, "HTTP/1.1 "+status+"\r\nId: id-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n")
					end.end(connection)
				})
				g := newGatewayTest(t)
				g.setEndpoints(e)
				g.allowUploads()
				for _, path := range []string{"/order/", "/read/", "/chat/", "/talk/", "/whole/"} {
					for range 3 {
						got := g.call(http.MethodPost, path, upload, nil)
						if !got.truncated && got.status != http.StatusBadGateway {
							t.Errorf("%s: status %d, whole body %q", path, got.status, got.body)
						}
					}
				}
				g.assertNoneAnswered()
			})
		}
	}
}

// TestAnswersResetElsewhere guards against a part of an answer that reaches the caller as whole, because the connection of the router that carries the
// exchange was reset.
func TestAnswersResetElsewhere(t *testing.T) {
	upload := strings.Repeat("x", 48<<10)
	for _, end := range uploadResets() {
		t.Run(end.name, func(t *testing.T) {
			e := newHeadEndpoint(t, func(connection *net.TCPConn) {
				_, _ = io.WriteString(connection, eventsHead+"\r\nid: 1\ndata: a\n\n")
				end.end(connection)
			})
			f := newCutOffFleet(t, 2)
			for _, g := range f.routers {
				g.setEndpoints(e)
				g.allowUploads()
			}
			for _, path := range []string{"/order/", "/read/", "/chat/", "/talk/", "/whole/"} {
				got := f.routers[0].call(http.MethodPost, path, upload, nil)
				if !got.truncated && got.status != http.StatusBadGateway {
					t.Errorf("%s: status %d, whole body %q", path, got.status, got.body)
				}
			}
			f.routers[0].assertNoneAnswered()
		})
	}
}

// TestContinuationsResetDuringUploads guards against a stream that ends as complete because the connection of its continuation was reset.
func TestContinuationsResetDuringUploads(t *testing.T) {
	for _, end := range uploadResets() {
		t.Run(end.name, func(t *testing.T) {
			arrivals := make(chan int, 2)
			arrivals <- 1
			e := newHeadEndpoint(t, func(connection *net.TCPConn) {
				switch arrival := <-arrivals; arrival {
				case 1:
					_, _ = io.WriteString(connection, eventsHead+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
					arrivals <- 2
				default:
					_, _ = io.WriteString(connection, eventsHead+"\r\nid: 2\ndata: b\n\n")
					end.end(connection)
					arrivals <- arrival
				}
			})
			g := newGatewayTest(t)
			g.setEndpoints(e, e)
			g.allowUploads()
			got := g.call(http.MethodPost, "/talk/", strings.Repeat("x", uploadBytes), nil)
			if !got.truncated && got.status != http.StatusBadGateway {
				t.Errorf("status %d, whole body %q", got.status, got.body)
			}
		})
	}
}

// TestWholeAnswersDuringUploads guards against whole answers that are cut because their endpoint hasn't read the request, or resets the connection after their end.
func TestWholeAnswersDuringUploads(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\n"
	endSending := func(delay time.Duration) func(*net.TCPConn) {
		return func(connection *net.TCPConn) {
			_ = connection.CloseWrite()
			time.Sleep(delay)
			_ = connection.SetLinger(0)
		}
	}
	for _, c := range []struct {
		name, answer string
		end          func(connection *net.TCPConn)
	}{
		{"without a length, the request is read after it", head + "\r\nwhole", func(connection *net.TCPConn) {
			_ = connection.CloseWrite()
			_, _ = io.Copy(io.Discard, connection)
		}},
		{"without a length, reset soon after the end", head + "\r\nwhole", endSending(50 * time.Millisecond)},
		{"without a length, reset after the end", head + "\r\nwhole", endSending(200 * time.Millisecond)},
		{"with a length, the request is read after it", head + "Content-Length: 5\r\n\r\nwhole", func(connection *net.TCPConn) {
			_, _ = io.Copy(io.Discard, connection)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newHeadEndpoint(t, func(connection *net.TCPConn) {
				_, _ = io.WriteString(connection, c.answer)
				c.end(connection)
			})
			for i := range 5 {
				g := newGatewayTest(t)
				g.setEndpoints(e)
				g.allowUploads()
				got := g.call(http.MethodPost, "/order/", strings.Repeat("x", uploadBytes), func(r *http.Request) { r.Header.Set("Left", "10000") })
				assert.Equal(t, "200 whole false", fmt.Sprint(got.status, " ", got.body, " ", got.truncated))
				if t.Failed() {
					t.Fatalf("call %d", i)
				}
			}
		})
	}
}

// assertNoneAnswered ends the server and asserts that no log line says that an answer was whole.
func (g *gatewayTest) assertNoneAnswered() {
	g.t.Helper()
	g.listener.Close()
	for _, line := range g.lines.Entries {
		if line.Fields.Get("Outcome") == "answered" {
			g.t.Errorf("a log line says that the answer was whole: %v", line.Fields)
		}
	}
}
