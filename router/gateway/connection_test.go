package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
)

// pipeEndpoint is an endpoint in the bubble of a test. Its answers have no body, except late ones.
type pipeEndpoint struct {
	transport *http.Transport
	// answerFor returns the identifier in the answer to a request; nil if it is always the request's own.
	answerFor   func(identifier string) string
	connections atomic.Int32
	// late is closed when the request's own answer is to follow one with another identifier; nil if none follows.
	late chan struct{}
	// onClose is called when a router's end of a connection is closed, before its reader learns of it; nil if nothing is to be done.
	onClose func()
}

func newPipeEndpoint() *pipeEndpoint {
	e := &pipeEndpoint{}
	e.transport = newTransport(&Traffic{}, func(context.Context, string, string) (net.Conn, error) {
		e.connections.Add(1)
		here, there := net.Pipe()
		go e.serve(there)
		return &pipeConnection{Conn: here, endpoint: e}, nil
	})
	return e
}

func (e *pipeEndpoint) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		own := request.Header.Get("Id")
		identifier := own
		if e.answerFor != nil {
			identifier = e.answerFor(own)
		}
		writeAnswer(connection, identifier, "")
		if identifier != own && e.late != nil {
			<-e.late
			writeAnswer(connection, own, "late")
		}
	}
}

func writeAnswer(connection net.Conn, identifier, body string) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", identifier, len(body), body)
}

// pipeConnection is the router's end of a connection to a pipeEndpoint.
type pipeConnection struct {
	net.Conn

	endpoint *pipeEndpoint
	isClosed atomic.Bool
}

func (c *pipeConnection) Write(p []byte) (int, error) {
	if c.isClosed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *pipeConnection) Close() error {
	if c.isClosed.CompareAndSwap(false, true) && c.endpoint.onClose != nil {
		c.endpoint.onClose()
	}
	return c.Conn.Close()
}

// close closes the connections once nothing goes on any more.
func (e *pipeEndpoint) close() {
	time.Sleep(time.Second)
	e.transport.CloseIdleConnections()
}

// exchange sends a request as the forwarding of requests does, and returns the identifier in its answer.
func (e *pipeEndpoint) exchange(ctx context.Context, identifier string) (string, error) {
	var writes atomic.Int32
	direct := &directExchange{
		transport: e.transport, identifier: identifier, identifierHeader: "Id", writes: &writes, witness: &http1.Witness{IsWanted: &atomic.Bool{}},
	}
	response, err := direct.roundTrip(ctx, func(ctx context.Context) *http.Request {
		return endpointRequest(ctx, http.MethodPost, &url.URL{Scheme: "http", Host: "endpoint", Path: "/"}, "h", http.Header{"Id": {identifier}}, http.NoBody, 0)
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Id") != identifier {
		direct.connection.close()
	}
	return response.Header.Get("Id"), nil
}

// nextRequest is a request that is sent while an exchange has not ended yet.
type nextRequest struct {
	endpoint *pipeEndpoint
	done     chan struct{}
	answer   string
	err      error
	// onWrite is called before the first byte is written; nil if nothing is to be done.
	onWrite func()
}

func (r *nextRequest) run() {
	defer close(r.done)
	var hasWritten atomic.Bool
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{WroteHeaderField: func(string, []string) {
		if r.onWrite != nil && hasWritten.CompareAndSwap(false, true) {
			r.onWrite()
		}
	}})
	r.answer, r.err = r.endpoint.exchange(ctx, "next")
}

// start sends the request and waits until it can't go on.
func (r *nextRequest) start() {
	r.done = make(chan struct{})
	go r.run()
	synctest.Wait()
}

func (r *nextRequest) assertAnswered(t *testing.T) {
	t.Helper()
	<-r.done
	assert.NoError(t, r.err)
	assert.Equal(t, "next", r.answer)
}

// TestConnectionOfNextRequest guards against a request that fails because it took the connection of an exchange that had not ended yet
// and then ended badly.
func TestConnectionOfNextRequest(t *testing.T) {
	answerWrongly := func(identifier string) string {
		if identifier == "wrong" {
			return "another"
		}
		return identifier
	}
	for _, c := range []struct {
		name, identifier string
		// isCanceled is whether the caller of the first request leaves once its answer has been read.
		isCanceled bool
		// opensAnother is whether the next request is sent on another connection.
		opensAnother bool
	}{
		{"own answer", "own", false, false},
		{"answer to another request", "wrong", false, true},
		{"caller has left", "own", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newPipeEndpoint()
				defer e.close()
				e.answerFor = answerWrongly
				next := &nextRequest{endpoint: e}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var hasStarted atomic.Bool
				traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) {
					if !hasStarted.CompareAndSwap(false, true) {
						return
					}
					next.start()
					if c.isCanceled {
						cancel()
						synctest.Wait()
					}
				}})
				_, err := e.exchange(traced, c.identifier)
				assert.Equal(t, c.isCanceled, err != nil)
				next.assertAnswered(t)
				assert.Equal(t, c.opensAnother, e.connections.Load() > 1)
			})
		})
	}
	for _, isLate := range []bool{false, true} {
		t.Run(fmt.Sprintf("closed after an answer to another request, own answer follows: %t", isLate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newPipeEndpoint()
				defer e.close()
				e.answerFor = answerWrongly
				next := &nextRequest{endpoint: e}
				if isLate {
					e.late = make(chan struct{})
					next.onWrite = func() {
						close(e.late)
						time.Sleep(time.Millisecond)
					}
				}
				e.onClose = func() {
					e.onClose = nil
					next.done = make(chan struct{})
					next.run()
				}
				_, err := e.exchange(t.Context(), "wrong")
				assert.NoError(t, err)
				next.assertAnswered(t)
			})
		})
	}
}

// BenchmarkExchange measures exchanges beside each other, and how many connections they open.
func BenchmarkExchange(b *testing.B) {
	e := newPipeEndpoint()
	defer e.transport.CloseIdleConnections()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := e.exchange(context.Background(), "own"); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(e.connections.Load())/float64(b.N), "connections/op")
}
