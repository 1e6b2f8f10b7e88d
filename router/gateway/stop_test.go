package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// pipeListener is a net.Listener whose connections are in-memory pipes.
type pipeListener struct {
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case l.accepted <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// stopTest is a router that is told to stop while requests are in progress, with callers and an endpoint on in-memory connections.
type stopTest struct {
	t        *testing.T
	gateway  *gatewayTest
	node     *Node
	callers  *pipeListener
	endpoint *http.Server
	server   *http.Server
	stopped  chan struct{}
}

// runStopTest runs check in a bubble with a router whose endpoint answers with the given handler. The grace period is 8 s.
func runStopTest(t *testing.T, answer http.HandlerFunc, check func(s *stopTest)) {
	t.Helper()
	runStopTestOn(t, newGatewayTest(t, answer), check)
}

// runStopTestOn is runStopTest with the endpoints of g, of which the first answers in place of all.
func runStopTestOn(t *testing.T, g *gatewayTest, check func(s *stopTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &stopTest{t: t, gateway: g, callers: newPipeListener(), stopped: make(chan struct{})}
		endpoints := newPipeListener()
		s.endpoint = &http.Server{Handler: g.endpoints[0], ReadHeaderTimeout: time.Minute}
		go func() { _ = s.endpoint.Serve(endpoints) }()
		g.server.targets.mu.Lock()
		for _, route := range testRoutes() {
			g.server.targets.updateDirectoryLocked(g.state.Directory.Load(), route.Services)
		}
		for _, e := range g.server.targets.byName {
			e.transport.DialContext = func(context.Context, string, string) (net.Conn, error) { return endpoints.dial() }
		}
		g.server.targets.mu.Unlock()
		s.node = &Node{Settings: Settings{Grace: 8 * time.Second}, Board: g.state, Server: g.server, Payer: g.server.payer, Logger: g.server.logger}
		s.server = s.node.newCallerServer()
		s.node.callers.listener = callerListener{Listener: s.callers, traffic: &Traffic{}}
		go func() { _ = serve(s.server, s.node.callers.listener) }()
		defer s.close()
		check(s)
	})
}

func (s *stopTest) close() {
	_ = s.endpoint.Close()
	_ = s.server.Close()
	for _, e := range s.gateway.server.targets.byName {
		e.transport.CloseIdleConnections()
	}
}

// stop tells the router to stop. It returns at once.
func (s *stopTest) stop() { s.stopWith(s.t.Context()) }

// stopWith makes the router stop with a context that is ended if one of the router's loops has failed. It returns at once.
func (s *stopTest) stopWith(ctx context.Context) {
	go func() {
		defer close(s.stopped)
		s.node.shutDown(ctx, s.server, func() {}, &errgroup.Group{})
	}()
}

// caller is a caller with one connection that it uses for several requests.
type caller struct {
	s          *stopTest
	connection net.Conn
	reader     *bufio.Reader
	// method is the method of its requests if their answers have no body.
	method string
}

func (s *stopTest) newCaller() *caller {
	connection, err := s.callers.dial()
	assert.Must(s.t, err)
	s.t.Cleanup(func() { _ = connection.Close() })
	return &caller{s: s, connection: connection, reader: bufio.NewReader(connection)}
}

// send writes a request whose deadline is the given number of milliseconds ahead.
func (c *caller) send(path, milliseconds string) {
	c.write("POST " + path + " HTTP/1.1\r\nHost: h\r\nId: id-1\r\nAuthorization: Bearer key\r\nLeft: " + milliseconds +
		"\r\nContent-Length: 2\r\n\r\nhi")
}

// write writes a part of a request.
func (c *caller) write(part string) {
	_, err := io.WriteString(c.connection, part)
	assert.Must(c.s.t, err)
}

// receive reads an answer and returns its status, or zero if the connection ends before the answer is complete.
func (c *caller) receive() int {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: c.method})
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// waitForCaller delays an answer until the caller leaves or the time is over.
func waitForCaller(r *http.Request, wait time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(wait):
	}
}

// TestStopAnswersEveryRequest guards against a stop that closes connections on which a whole request was read and no answer has begun.
func TestStopAnswersEveryRequest(t *testing.T) {
	for _, c := range []struct {
		name, path string
		want       int
	}{
		{"may run once", "/order/1", http.StatusBadGateway},
		{"may be repeated", "/read/1", http.StatusBadGateway},
		{"stream", "/chat/1", http.StatusBadGateway},
	} {
		t.Run("an endpoint that gives no answer, "+c.name, func(t *testing.T) {
			runStopTest(t, func(_ http.ResponseWriter, r *http.Request) { waitForCaller(r, time.Minute) }, func(s *stopTest) {
				caller := s.newCaller()
				caller.send(c.path, "30000")
				synctest.Wait()
				s.stop()
				assert.Equal(t, c.want, caller.receive())
				<-s.stopped
			})
		})
	}
	t.Run("a request on a connection from before the stop, which the grace period is too short for", func(t *testing.T) {
		runStopTest(t, answerSlowly(4*time.Second), func(s *stopTest) {
			caller := s.newCaller()
			caller.send("/chat/1", "30000")
			synctest.Wait()
			s.stop()
			assert.Equal(t, http.StatusOK, caller.receive())
			caller.send("/order/2", "30000")
			assert.Equal(t, http.StatusServiceUnavailable, caller.receive())
			assert.Equal(t, 1, s.gateway.endpoints[0].requestCount())
			<-s.stopped
		})
	})
	t.Run("a request on a connection from before the stop that ends in time", func(t *testing.T) {
		runStopTest(t, answerSlowly(3*time.Second), func(s *stopTest) {
			caller := s.newCaller()
			caller.send("/chat/1", "30000")
			synctest.Wait()
			s.stop()
			assert.Equal(t, http.StatusOK, caller.receive())
			caller.send("/order/2", "3500")
			assert.Equal(t, http.StatusOK, caller.receive())
			<-s.stopped
		})
	})
	t.Run("a request whose body ends late, which the grace period is too short for", func(t *testing.T) {
		runStopTest(t, answerSlowly(4*time.Second), func(s *stopTest) {
			s.stop()
			time.Sleep(2 * time.Second)
			caller := s.newCaller()
			caller.write("POST /chat/1 HTTP/1.1\r\nHost: h\r\nId: id-1\r\nAuthorization: Bearer key\r\nLeft: 30000\r\nContent-Length: 2\r\n\r\nh")
			time.Sleep(3 * time.Second)
			caller.write("i")
			assert.Equal(t, http.StatusServiceUnavailable, caller.receive())
			assert.Equal(t, 0, s.gateway.endpoints[0].requestCount())
			<-s.stopped
		})
	})
	t.Run("a request whose headers arrive in two parts on a connection from before the stop", func(t *testing.T) {
		runStopTest(t, answerSlowly(0), func(s *stopTest) {
			caller := s.newCaller()
			caller.send("/order/1", "30000")
			assert.Equal(t, http.StatusOK, caller.receive())
			time.Sleep(time.Second)
			caller.write("POST /order/2 HTTP/1.1\r\nHost: h\r\nId: id-1\r\n")
			s.stop()
			time.Sleep(3 * time.Second)
			caller.write("Authorization: Bearer key\r\nLeft: 1000\r\nContent-Length: 2\r\n\r\nhi")
			assert.Equal(t, http.StatusOK, caller.receive())
			<-s.stopped
		})
	})
	for _, c := range []struct {
		name       string
		isKept     bool
		after      time.Duration
		want, runs int
	}{
		{"on a new connection", false, 2 * time.Second, http.StatusBadGateway, 1},
		{"on a connection from before the stop", true, 2 * time.Second, http.StatusBadGateway, 1},
		{"late, on a connection from before the stop", true, 3 * time.Second, http.StatusServiceUnavailable, 0},
	} {
		t.Run("a request that may run once and takes longer than the grace period, "+c.name, func(t *testing.T) {
			runStopTest(t, answerSlowly(time.Minute), func(s *stopTest) {
				var caller *caller
				if c.isKept {
					caller = s.newCaller()
					// A part of the next request keeps the connection open.
					caller.write("POST /order/1 HTTP/1.1\r\nHost: h\r\nId: id-1\r\n")
					synctest.Wait()
				}
				s.stop()
				time.Sleep(c.after)
				if c.isKept {
					caller.write("Authorization: Bearer key\r\nLeft: 30000\r\nContent-Length: 2\r\n\r\nhi")
				} else {
					caller = s.newCaller()
					caller.send("/order/1", "30000")
				}
				assert.Equal(t, c.want, caller.receive())
				assert.Equal(t, c.runs, s.gateway.endpoints[0].requestCount())
				<-s.stopped
			})
		})
	}
	t.Run("a request during the stop gets its answer", func(t *testing.T) {
		runStopTest(t, answerSlowly(time.Second), func(s *stopTest) {
			s.stop()
			time.Sleep(2 * time.Second)
			caller := s.newCaller()
			caller.send("/order/1", "30000")
			assert.Equal(t, http.StatusOK, caller.receive())
			<-s.stopped
		})
	})
}

// TestStopAnswersEveryForm guards against forms of requests that net/http treats apart from others and that get no answer in a stop.
func TestStopAnswersEveryForm(t *testing.T) {
	const headers = "Host: h\r\nId: id-1\r\nAuthorization: Bearer key\r\nLeft: 30000\r\n"
	for _, c := range []struct{ name, request, method, afterContinue string }{
		{name: "HTTP/1.0", request: "POST /order/1 HTTP/1.0\r\n" + headers + "Content-Length: 2\r\n\r\nhi"},
		{name: "HEAD", method: http.MethodHead, request: "HEAD /read/1 HTTP/1.1\r\n" + headers + "\r\n"},
		{name: "chunks", request: "POST /order/1 HTTP/1.1\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{
			name: "a body that waits for 100", request: "POST /order/1 HTTP/1.1\r\n" + headers + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n",
			afterContinue: "hi",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runStopTest(t, func(_ http.ResponseWriter, r *http.Request) { waitForCaller(r, time.Minute) }, func(s *stopTest) {
				caller := s.newCaller()
				caller.method = c.method
				caller.write(c.request)
				if c.afterContinue != "" {
					assert.Equal(t, http.StatusContinue, caller.receive())
					caller.write(c.afterContinue)
				}
				synctest.Wait()
				s.stop()
				assert.Equal(t, http.StatusBadGateway, caller.receive())
				assert.Equal(t, 1, s.gateway.endpoints[0].requestCount())
				<-s.stopped
			})
		})
	}
	t.Run("pipelined behind a stream from before the stop", func(t *testing.T) {
		runStopTest(t, answerSlowly(4*time.Second), func(s *stopTest) {
			caller := s.newCaller()
			request := "POST /chat/1 HTTP/1.1\r\n" + headers + "Content-Length: 2\r\n\r\nhi"
			caller.write(request + request)
			synctest.Wait()
			s.stop()
			assert.Equal(t, http.StatusOK, caller.receive())
			assert.Equal(t, http.StatusServiceUnavailable, caller.receive())
			<-s.stopped
		})
	})
}

// TestStopGivesEndpointsError guards against a stop that replaces an endpoint's error answer by one of its own, because it ended the repeat of the
// request.
func TestStopGivesEndpointsError(t *testing.T) {
	isRepeat := &atomic.Bool{}
	answer := func(w http.ResponseWriter, r *http.Request) {
		if isRepeat.Swap(true) {
			waitForCaller(r, time.Minute)
			return
		}
		answerError(w, r)
	}
	runStopTestOn(t, newGatewayTest(t, answer, answer), func(s *stopTest) {
		// The budget for repeats is filled anew, since the clock of the bubble is behind the one by which it was filled.
		s.gateway.server.retries = retryBudgets{limits: endpoint.DefaultRepeatBounds()}
		for range 100 {
			s.gateway.server.retries.recordRequest("plain")
		}
		caller := s.newCaller()
		caller.send("/read/1", "30000")
		synctest.Wait()
		assert.Equal(t, 2, s.gateway.endpoints[0].requestCount())
		s.stop()
		assert.Equal(t, http.StatusInternalServerError, caller.receive())
		<-s.stopped
	})
}

// TestInterruptedErrorBlamesNoEndpoint guards against an endpoint that counts as failed because the router ended the request, or its caller left,
// while an error answer was read.
func TestInterruptedErrorBlamesNoEndpoint(t *testing.T) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_ = http.NewResponseController(w).Flush()
		waitForCaller(r, time.Minute)
	}
	for _, c := range []struct {
		name string
		end  func(s *stopTest, c *caller)
	}{
		{"the router stops", func(s *stopTest, c *caller) {
			s.stop()
			assert.Equal(t, http.StatusBadGateway, c.receive())
			<-s.stopped
		}},
		{"the deadline is over", func(_ *stopTest, c *caller) { assert.Equal(t, http.StatusBadGateway, c.receive()) }},
		{"the caller leaves", func(_ *stopTest, c *caller) { _ = c.connection.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runStopTest(t, answer, func(s *stopTest) {
				caller := s.newCaller()
				caller.send("/read/1", "20000")
				synctest.Wait()
				c.end(s, caller)
				synctest.Wait()
				for _, e := range s.gateway.server.targets.byName {
					assert.Equal(t, 0, e.failures)
					assert.Equal(t, 0, len(e.exposures))
				}
			})
		})
	}
}

// TestFailureAnswersEveryRequest guards against a router that cuts the requests in progress when one of its loops fails, before or during a
// stop.
func TestFailureAnswersEveryRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		failAfter time.Duration
	}{{"the reason of the stop", 0}, {"during the stop", time.Second}, {"while connections are drained", 3 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			runStopTest(t, answerSlowly(5*time.Second), func(s *stopTest) {
				caller := s.newCaller()
				caller.send("/chat/1", "30000")
				synctest.Wait()
				ctx, fail := context.WithCancel(s.t.Context())
				if c.failAfter == 0 {
					fail()
				}
				s.stopWith(ctx)
				time.Sleep(c.failAfter)
				fail()
				assert.Equal(t, http.StatusOK, caller.receive())
				<-s.stopped
			})
		})
	}
	t.Run("accepts no more connections", func(t *testing.T) {
		runStopTest(t, answerSlowly(time.Second), func(s *stopTest) {
			ctx, fail := context.WithCancel(s.t.Context())
			fail()
			s.stopWith(ctx)
			synctest.Wait()
			_, err := s.callers.dial()
			assert.Equal(t, true, errors.Is(err, net.ErrClosed))
			<-s.stopped
		})
	})
}

// answerSlowly returns a handler that begins a successful answer at once and ends it after a delay.
func answerSlowly(delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "seal-1")
		if strings.HasPrefix(r.URL.Path, "/chat/") {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		waitForCaller(r, delay)
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	}
}

// TestStopFitsGracePeriod guards against a stop that takes longer than its grace period, after which the process is killed.
func TestStopFitsGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, 20 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			runStopTest(t, func(_ http.ResponseWriter, r *http.Request) { waitForCaller(r, time.Minute) }, func(s *stopTest) {
				s.node.Settings.Grace = grace
				caller, idle := s.newCaller(), s.newCaller()
				caller.send("/order/1", "30000")
				synctest.Wait()
				startedAt := time.Now()
				s.stop()
				assert.Equal(t, http.StatusBadGateway, caller.receive())
				<-s.stopped
				assert.Equal(t, true, time.Since(startedAt) < grace)
				assert.Equal(t, 0, idle.receive())
			})
		})
	}
}

func TestStopSchedule(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := newStopSchedule(now, 8*time.Second)
	assert.Equal(t, 7*time.Second, s.EndAt.Sub(now))
	for _, c := range []struct {
		name               string
		received, deadline time.Duration
		want               bool
	}{
		{"before connections are refused", 2 * time.Second, 15 * time.Second, true},
		{"late, ends in time", 3 * time.Second, 6 * time.Second, true},
		{"late, would be cut", 3 * time.Second, 7 * time.Second, false},
		{"after the end", 7 * time.Second, 8 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, s.admits(now.Add(c.received), now.Add(c.deadline)))
		})
	}
	t.Run("a router that doesn't stop", func(t *testing.T) {
		assert.Equal(t, true, stopSchedule{}.admits(now, now.Add(time.Hour)))
	})
}
