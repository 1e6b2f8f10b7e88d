package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// pipedServer accepts connections, which it closes when it ends.
type pipedServer struct {
	listener net.Listener
	accepted chan net.Conn
}

func newPipedServer(t *testing.T) *pipedServer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	s := &pipedServer{listener: listener, accepted: make(chan net.Conn, 8)}
	t.Cleanup(func() { _ = listener.Close() })
	go s.loop()
	return s
}

func (s *pipedServer) loop() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted <- connection
	}
}

func (s *pipedServer) dial(ctx context.Context) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", s.listener.Addr().String())
}

func waitUntilOpen(w *Witness) {
	for w.current() == nil {
		time.Sleep(time.Millisecond)
	}
}

// TestConfirmEnd guards against the end of a connection taken for the end of an answer, and against a connection for answers that mark their own end.
func TestConfirmEnd(t *testing.T) {
	none := func(*pipedServer, net.Conn) {}
	for _, c := range []struct {
		name     string
		length   int64
		encoding []string
		// end is what happens to the server and its other connection before the answer ends.
		end  func(s *pipedServer, other net.Conn)
		want error
	}{
		{"server goes on", -1, nil, none, nil},
		{"server has ended", -1, nil, func(s *pipedServer, other net.Conn) {
			_ = s.listener.Close()
			_ = other.Close()
		}, ErrUnconfirmedEnd},
		{"another server listens at once", -1, nil, func(_ *pipedServer, other net.Conn) { _ = other.Close() }, ErrUnconfirmedEnd},
		{"length", 4, nil, nil, nil},
		{"chunks", -1, []string{"chunked"}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPipedServer(t)
			reader, writer := io.Pipe()
			response := &http.Response{ContentLength: c.length, TransferEncoding: c.encoding, Body: reader}
			w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
			w.Watch(t.Context()).ConfirmEnd(t.Context(), response)
			go func() {
				_, _ = io.WriteString(writer, "te")
				var other net.Conn
				if c.end != nil {
					other = <-s.accepted
					waitUntilOpen(w)
				}
				_, _ = io.WriteString(writer, "xt")
				if c.end != nil {
					c.end(s, other)
				}
				_ = writer.Close()
			}()
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, "text", string(body))
			assert.ErrorIs(t, err, c.want)
			_, err = response.Body.Read(make([]byte, 1))
			assert.Equal(t, true, err != nil)
			w.Close()
			if c.end == nil {
				assert.Equal(t, 0, len(s.accepted))
			}
		})
	}
	t.Run("without a body", func(t *testing.T) {
		response := &http.Response{ContentLength: -1, Body: http.NoBody}
		w := &Witness{IsWanted: &atomic.Bool{}, Dial: func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }}
		w.Watch(t.Context()).ConfirmEnd(t.Context(), response)
		_, err := io.ReadAll(response.Body)
		assert.NoError(t, err)
	})
	t.Run("no connection", func(t *testing.T) {
		failure := errors.New("refused")
		response := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("text"))}
		w := &Witness{IsWanted: &atomic.Bool{}, Dial: func(context.Context) (net.Conn, error) { return nil, failure }}
		w.Watch(t.Context()).ConfirmEnd(t.Context(), response)
		_, err := io.ReadAll(response.Body)
		assert.ErrorIs(t, err, ErrUnconfirmedEnd)
		assert.Equal(t, false, errors.Is(err, failure))
	})
}

// watchAgain returns a watch for a server that has ended a response with its connection before, and the server's end of the witness.
func watchAgain(t *testing.T, s *pipedServer) (*Watch, net.Conn) {
	t.Helper()
	w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
	w.open(t.Context())
	other := <-s.accepted
	waitUntilOpen(w)
	w.release()
	t.Cleanup(w.Close)
	return w.Watch(t.Context()), other
}

// TestIdleConnectionsThatServersClose guards against answers that are cut because a server closes its idle connections long before their end.
func TestIdleConnectionsThatServersClose(t *testing.T) {
	for _, c := range []struct {
		name string
		ago  time.Duration
		want error
	}{{"long before the end", 2 * idleCloseMargin, nil}, {"with the end", 0, errWitnessLost}} {
		t.Run(c.name, func(t *testing.T) {
			watch, other := watchAgain(t, newPipedServer(t))
			assert.NoError(t, other.Close())
			for stateOf(watch.connection) == socketOpen {
				time.Sleep(time.Millisecond)
			}
			lostAt, _ := watch.connection.loss(time.Now())
			watch.connection.mu.Lock()
			watch.connection.lostAt = lostAt.Add(-c.ago)
			watch.connection.mu.Unlock()
			assert.ErrorIs(t, watch.confirm(t.Context()), c.want)
		})
	}
	t.Run("before the request", func(t *testing.T) {
		s := newPipedServer(t)
		watch, other := watchAgain(t, s)
		assert.NoError(t, other.Close())
		for stateOf(watch.connection) == socketOpen {
			time.Sleep(time.Millisecond)
		}
		again := watch.witness.Watch(t.Context())
		<-s.accepted
		assert.NoError(t, again.confirm(t.Context()))
	})
}

// resettingServer resets each connection, as a server does with those beyond its limit.
func resettingServer(t *testing.T) *pipedServer {
	t.Helper()
	s := newPipedServer(t)
	go func() {
		for connection := range s.accepted {
			Reset(connection)
		}
	}()
	return s
}

// TestServerAtItsLimit guards against whole answers that are cut because their server resets connections beyond its limit.
func TestServerAtItsLimit(t *testing.T) {
	s := resettingServer(t)
	w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
	for range 3 {
		response := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("text"))}
		w.Watch(t.Context()).ConfirmEnd(t.Context(), response)
		time.Sleep(10 * time.Millisecond)
		_, err := io.ReadAll(response.Body)
		assert.NoError(t, err)
		assert.NoError(t, response.Body.Close())
	}
	w.Close()
}

// TestWitnessIsKeptForResponse guards against an answer that pauses and has no witness when it ends.
func TestWitnessIsKeptForResponse(t *testing.T) {
	s := newPipedServer(t)
	watch, other := watchAgain(t, s)
	reader, writer := io.Pipe()
	response := &http.Response{ContentLength: -1, Body: reader}
	watch.ConfirmEnd(t.Context(), response)
	go func() {
		time.Sleep(witnessIdleTime + time.Second)
		_ = other.Close()
		_ = writer.Close()
	}()
	_, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrUnconfirmedEnd)
	assert.NoError(t, response.Body.Close())
	assert.Equal(t, 0, watch.witness.responses)
}

// TestWitnessIsClosedDuringResponse guards against an answer without a witness because its server was listed anew meanwhile.
func TestWitnessIsClosedDuringResponse(t *testing.T) {
	s := newPipedServer(t)
	watch, other := watchAgain(t, s)
	reader, writer := io.Pipe()
	response := &http.Response{ContentLength: -1, Body: reader}
	watch.ConfirmEnd(t.Context(), response)
	watch.witness.Close()
	assert.NoError(t, other.Close())
	assert.NoError(t, writer.Close())
	_, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrUnconfirmedEnd)
	assert.NoError(t, response.Body.Close())
	watch.witness.Close()
	assert.Equal(t, true, watch.witness.current() == nil)
}

// TestServerThatEndedWithItsAnswer guards against an answer that a router reads after its server has ended and another one listens.
func TestServerThatEndedWithItsAnswer(t *testing.T) {
	s := newPipedServer(t)
	watch, other := watchAgain(t, s)
	assert.NoError(t, other.Close())
	for stateOf(watch.connection) == socketOpen {
		time.Sleep(time.Millisecond)
	}
	response := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("text"))}
	watch.ConfirmEnd(t.Context(), response)
	_, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrUnconfirmedEnd)
}

// TestWitnessThatIsClosedAsIdle guards against whole answers that are cut because the server closed an idle connection long before their end, while nothing
// else arrived.
func TestWitnessThatIsClosedAsIdle(t *testing.T) {
	t.Parallel()
	s := newPipedServer(t)
	reader, writer := io.Pipe()
	response := &http.Response{ContentLength: -1, Body: reader}
	w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
	t.Cleanup(w.Close)
	w.Watch(t.Context()).ConfirmEnd(t.Context(), response)
	go func() {
		other := <-s.accepted
		_, _ = io.WriteString(writer, "text")
		_ = other.Close()
		time.Sleep(idleCloseMargin + 200*time.Millisecond)
		_ = writer.Close()
	}()
	_, err := io.ReadAll(response.Body)
	assert.NoError(t, err)
}
