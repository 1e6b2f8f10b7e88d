package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
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

// tracked dials the server and makes the connection known to a witness.
func (s *pipedServer) tracked(t *testing.T, w *Witness) (connection, accepted net.Conn) {
	t.Helper()
	connection, err := w.Track(func(ctx context.Context, _, _ string) (net.Conn, error) { return s.dial(ctx) })(t.Context(), "", "")
	assert.Must(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection, <-s.accepted
}

// acceptWitnesses returns the server's ends of the witnesses, which are open then.
func (s *pipedServer) acceptWitnesses(w *Witness) (witnesses []net.Conn) {
	for range witnessCount {
		witnesses = append(witnesses, <-s.accepted)
	}
	for w.count() < witnessCount || w.opensWitnesses() {
		time.Sleep(time.Millisecond)
	}
	return witnesses
}

func (w *Witness) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.countLocked()
}

func (w *Witness) opensWitnesses() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isDialing
}

// closeAll closes connections as the kernel does when their process ends.
func closeAll(connections ...net.Conn) {
	for _, c := range connections {
		_ = c.Close()
	}
}

// newWitness returns a witness for a server that has ended a response with its connection before, and the server's ends of the connections.
func newWitness(t *testing.T, s *pipedServer) (*Witness, []net.Conn) {
	t.Helper()
	w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
	w.beginResponse()
	witnesses := s.acceptWitnesses(w)
	w.endResponse()
	t.Cleanup(w.Close)
	w.Prepare(t.Context())
	return w, witnesses
}

// TestConfirmEnd guards against the end of a connection taken for the end of an answer, and against connections for answers that mark their own end.
func TestConfirmEnd(t *testing.T) {
	for _, c := range []struct {
		name     string
		length   int64
		encoding []string
		// end is what happens to the server and its other connections before the answer ends.
		end  func(s *pipedServer, others []net.Conn)
		want error
	}{
		{"server goes on", -1, nil, func(*pipedServer, []net.Conn) {}, nil},
		{"server has ended", -1, nil, func(s *pipedServer, others []net.Conn) {
			_ = s.listener.Close()
			closeAll(others...)
		}, ErrUnconfirmedEnd},
		{"another server listens at once", -1, nil, func(_ *pipedServer, others []net.Conn) { closeAll(others...) }, ErrUnconfirmedEnd},
		{"sockets of a process that ends are closed slowly", -1, nil, func(_ *pipedServer, others []net.Conn) {
			time.AfterFunc(confirmDelay/2, func() { closeAll(others...) })
		}, ErrUnconfirmedEnd},
		{"length", 4, nil, nil, nil},
		{"chunks", -1, []string{"chunked"}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPipedServer(t)
			reader, writer := io.Pipe()
			response := &http.Response{ContentLength: -1, Body: reader}
			response.ContentLength, response.TransferEncoding = c.length, c.encoding
			w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
			w.Prepare(t.Context())
			w.ConfirmEnd(t.Context(), response, nil)
			go func() {
				_, _ = io.WriteString(writer, "te")
				var others []net.Conn
				if c.end != nil {
					others = s.acceptWitnesses(w)
				}
				_, _ = io.WriteString(writer, "xt")
				if c.end != nil {
					c.end(s, others)
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
		w.ConfirmEnd(t.Context(), response, nil)
		_, err := io.ReadAll(response.Body)
		assert.NoError(t, err)
	})
}

// TestEndWithoutWitness guards against answers that are cut because nothing is known of their server's process, and against those of a server that is gone.
func TestEndWithoutWitness(t *testing.T) {
	for _, c := range []struct {
		name      string
		failure   error
		isLeaving bool
		want      error
	}{
		{"refused", syscall.ECONNREFUSED, false, ErrUnconfirmedEnd},
		{"refused by a server that stops", syscall.ECONNREFUSED, true, nil},
		{"reset", syscall.ECONNRESET, false, nil},
		{"no route", syscall.EHOSTUNREACH, false, nil},
		{"time-out", context.DeadlineExceeded, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("text"))}
			w := &Witness{
				IsWanted: &atomic.Bool{}, IsLeaving: func() bool { return c.isLeaving },
				Dial: func(context.Context) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: c.failure} },
			}
			w.ConfirmEnd(t.Context(), response, nil)
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, "text", string(body))
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, false, errors.Is(err, syscall.ECONNREFUSED))
			assert.Equal(t, c.want != nil, err != nil && strings.Contains(err.Error(), "no other connections known"))
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		w := &Witness{IsWanted: &atomic.Bool{}, Dial: func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}}
		assert.NoError(t, w.Confirm(t.Context(), nil))
	})
}

// TestIdleConnectionsThatServersClose guards against answers that are cut because their server closes idle connections, which it does while it goes on.
func TestIdleConnectionsThatServersClose(t *testing.T) {
	for _, c := range []struct {
		name string
		// wait is the time between the losses of the witnesses, hasData whether a part of the answer comes after them.
		wait    time.Duration
		hasData bool
		want    error
	}{
		{"one by one", witnessInterval, false, nil},
		{"together, before a part of the answer", 0, true, nil},
		{"together, after the answer", 0, false, errProcessEnded},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPipedServer(t)
			w, witnesses := newWitness(t, s)
			own, accepted := s.tracked(t, w)
			assert.NoError(t, witnesses[0].Close())
			time.Sleep(c.wait)
			assert.NoError(t, witnesses[1].Close())
			time.Sleep(2 * settleDelay)
			if c.hasData {
				_, err := io.WriteString(accepted, "text")
				assert.Must(t, err)
			}
			assert.NoError(t, accepted.Close())
			_, err := io.ReadAll(own)
			assert.NoError(t, err)
			assert.ErrorIs(t, w.confirm(t.Context(), own), c.want)
		})
	}
	t.Run("before the request", func(t *testing.T) {
		s := newPipedServer(t)
		w, witnesses := newWitness(t, s)
		closeAll(witnesses...)
		for w.count() > 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * settleDelay)
		own, accepted := s.tracked(t, w)
		w.Prepare(t.Context())
		assert.NoError(t, accepted.Close())
		assert.NoError(t, w.confirm(t.Context(), own))
	})
}

// TestSuspendedServerEnds guards against a part of an answer as the whole, because a process that was suspended ends before it has accepted the second
// witness, which the kernel resets.
func TestSuspendedServerEnds(t *testing.T) {
	s := newPipedServer(t)
	w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
	t.Cleanup(w.Close)
	w.beginResponse()
	own, accepted := s.tracked(t, w)
	first := <-s.accepted
	second := <-s.accepted
	time.Sleep(witnessInterval)
	Reset(second)
	closeAll(first, accepted)
	_, err := io.ReadAll(own)
	assert.NoError(t, err)
	assert.ErrorIs(t, w.confirm(t.Context(), own), errProcessEnded)
}

// TestLossesSeenLate guards against whole answers that are cut because a router that was suspended sees connections end together that a server closed one
// after the other.
func TestLossesSeenLate(t *testing.T) {
	for _, c := range []struct {
		name string
		// wait is the time between the ends of the connections, as between their openings at a time-out.
		wait time.Duration
		want error
	}{{"one by one", 2 * witnessInterval, nil}, {"together", 0, errProcessEnded}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newPipedServer(t)
			w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
			var accepted []net.Conn
			for range witnessCount {
				witness, other := s.tracked(t, w)
				tracked, _ := Unwrap[*trackedConnection](witness)
				tracked.isWitness = true
				accepted = append(accepted, other)
				time.Sleep(2 * witnessInterval)
			}
			own, other := s.tracked(t, w)
			for _, a := range append(accepted, other) {
				assert.NoError(t, a.Close())
				time.Sleep(c.wait)
			}
			time.Sleep(confirmDelay)
			_, err := io.ReadAll(own)
			assert.NoError(t, err)
			assert.ErrorIs(t, w.confirm(t.Context(), own), c.want)
		})
	}
}

// TestOpenConnectionConfirmsEnd guards against answers that are cut although their server keeps another connection open.
func TestOpenConnectionConfirmsEnd(t *testing.T) {
	s := newPipedServer(t)
	w, witnesses := newWitness(t, s)
	kept, accepted := s.tracked(t, w)
	time.Sleep(2 * adoptMargin)
	closeAll(witnesses...)
	assert.NoError(t, w.confirm(t.Context(), nil))
	assert.NoError(t, accepted.Close())
	assert.ErrorIs(t, w.confirm(t.Context(), nil), errProcessEnded)
	assert.NoError(t, kept.Close())
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
		w.Prepare(t.Context())
		w.ConfirmEnd(t.Context(), response, nil)
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
	w, witnesses := newWitness(t, s)
	reader, writer := io.Pipe()
	response := &http.Response{ContentLength: -1, Body: reader}
	w.ConfirmEnd(t.Context(), response, nil)
	go func() {
		time.Sleep(witnessIdleTime + time.Second)
		closeAll(witnesses...)
		_ = writer.Close()
	}()
	_, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrUnconfirmedEnd)
	assert.NoError(t, response.Body.Close())
	assert.Equal(t, 0, w.responses)
}

// TestWitnessIsReplacedDuringResponse guards against an answer that pauses beyond the server's time-out of idle connections and has no witness when the
// process ends.
func TestWitnessIsReplacedDuringResponse(t *testing.T) {
	s := newPipedServer(t)
	w, witnesses := newWitness(t, s)
	reader, writer := io.Pipe()
	response := &http.Response{ContentLength: -1, Body: reader}
	w.ConfirmEnd(t.Context(), response, nil)
	go func() {
		closeAll(witnesses...)
		others := s.acceptWitnesses(w)
		time.Sleep(lossMargin)
		closeAll(others...)
		_ = writer.Close()
	}()
	_, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrUnconfirmedEnd)
	assert.NoError(t, response.Body.Close())
}

// TestLeavingServerEndsAfterItsResponse guards against a whole answer that is cut because its server, which stops, ends its process soon after.
func TestLeavingServerEndsAfterItsResponse(t *testing.T) {
	s := newPipedServer(t)
	w, witnesses := newWitness(t, s)
	w.IsLeaving = func() bool { return true }
	time.AfterFunc(2*firstDelay, func() { closeAll(witnesses...) })
	assert.NoError(t, w.Confirm(t.Context(), nil))
}

// TestRequestWaitsForWitness guards against a part of an answer as the whole, because its server's process ends before a witness is open.
func TestRequestWaitsForWitness(t *testing.T) {
	s := newPipedServer(t)
	w := &Witness{IsWanted: &atomic.Bool{}, Dial: func(ctx context.Context) (net.Conn, error) {
		time.Sleep(confirmDialTime / 4)
		return s.dial(ctx)
	}}
	t.Cleanup(w.Close)
	w.IsWanted.Store(true)
	w.Prepare(t.Context())
	assert.Equal(t, 1, w.count())
	t.Run("unreachable", func(t *testing.T) {
		w := &Witness{IsWanted: w.IsWanted, Dial: func(context.Context) (net.Conn, error) { return nil, syscall.EHOSTUNREACH }}
		w.Prepare(t.Context())
		assert.Equal(t, 0, w.count())
	})
}

// TestWitnessIsLostWhileOpening guards against an answer without a witness because the process before ended while witnesses were opened.
func TestWitnessIsLostWhileOpening(t *testing.T) {
	s := newPipedServer(t)
	w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
	t.Cleanup(w.Close)
	w.IsWanted.Store(true)
	w.Prepare(t.Context())
	assert.NoError(t, (<-s.accepted).Close())
	w.Prepare(t.Context())
	assert.Equal(t, witnessCount, len(s.acceptWitnesses(w)))
}

// TestWitnessIsClosedDuringResponse guards against an answer without a witness because its server was listed anew meanwhile.
func TestWitnessIsClosedDuringResponse(t *testing.T) {
	s := newPipedServer(t)
	w, witnesses := newWitness(t, s)
	reader, writer := io.Pipe()
	response := &http.Response{ContentLength: -1, Body: reader}
	w.ConfirmEnd(t.Context(), response, nil)
	w.Close()
	closeAll(witnesses...)
	assert.NoError(t, writer.Close())
	_, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrUnconfirmedEnd)
	assert.NoError(t, response.Body.Close())
	w.Close()
	assert.Equal(t, 0, w.count())
}

// TestServerThatEndedWithItsAnswer guards against an answer that a router reads after its server has ended and another one listens.
func TestServerThatEndedWithItsAnswer(t *testing.T) {
	s := newPipedServer(t)
	w, witnesses := newWitness(t, s)
	closeAll(witnesses...)
	for w.count() > 0 {
		time.Sleep(time.Millisecond)
	}
	response := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("text"))}
	w.ConfirmEnd(t.Context(), response, nil)
	_, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrUnconfirmedEnd)
}

// TestWitnessThatIsClosedAsIdle guards against whole answers that are cut because the server closed idle connections long before their end, while nothing
// else arrived.
func TestWitnessThatIsClosedAsIdle(t *testing.T) {
	t.Parallel()
	s := newPipedServer(t)
	reader, writer := io.Pipe()
	response := &http.Response{ContentLength: -1, Body: reader}
	w := &Witness{Dial: s.dial, IsWanted: &atomic.Bool{}}
	t.Cleanup(w.Close)
	w.Prepare(t.Context())
	w.ConfirmEnd(t.Context(), response, nil)
	go func() {
		others := s.acceptWitnesses(w)
		_, _ = io.WriteString(writer, "text")
		closeAll(others...)
		time.Sleep(lossMargin + 200*time.Millisecond)
		_ = writer.Close()
	}()
	_, err := io.ReadAll(response.Body)
	assert.NoError(t, err)
}
