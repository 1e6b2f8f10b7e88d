package http1

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestToldState guards against a connection that passes for ended or reset because the kernel doesn't tell its state.
func TestToldState(t *testing.T) {
	for _, c := range []struct {
		name string
		info *unix.TCPInfo
		err  error
		want socketState
	}{
		{"refused", nil, syscall.EPERM, socketUnknown},
		{"unknown option", &unix.TCPInfo{}, syscall.ENOPROTOOPT, socketUnknown},
		{"nothing filled in", &unix.TCPInfo{}, nil, socketUnknown},
		{"closed on this end", nil, net.ErrClosed, socketReset},
		{"established", &unix.TCPInfo{State: unix.BPF_TCP_ESTABLISHED}, nil, socketOpen},
		{"ended", &unix.TCPInfo{State: unix.BPF_TCP_CLOSE_WAIT}, nil, socketEnded},
		{"reset", &unix.TCPInfo{State: unix.BPF_TCP_CLOSE}, nil, socketReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := toldState(c.info, c.err)
			assert.Equal(t, c.want, got)
			assert.Equal(t, c.want == socketEnded || c.want == socketReset, got.isOver())
		})
	}
}

// TestHasLeft guards against a caller that passes for one that has left because nothing is known of its connection.
func TestHasLeft(t *testing.T) {
	s := newPipedServer(t)
	connection, err := s.dial(t.Context())
	assert.Must(t, err)
	accepted := <-s.accepted
	assert.Equal(t, false, HasLeft(accepted))
	assert.NoError(t, connection.Close())
	for !HasLeft(accepted) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, false, HasLeft(opaque{accepted}))
	assert.Equal(t, time.Duration(0), SinceArrival(opaque{accepted}))
	assert.NoError(t, accepted.Close())
	assert.Equal(t, true, HasLeft(accepted))
}

// opaque is a connection of which the kernel tells nothing.
type opaque struct{ net.Conn }

// TestConnectionsOfUnknownState guards, where the kernel tells nothing of connections, against whole answers that are cut, and against the end of a process
// that goes unnoticed.
func TestConnectionsOfUnknownState(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(witnesses []net.Conn, accepted net.Conn)
		want error
	}{
		{"server goes on", func(_ []net.Conn, accepted net.Conn) { _ = accepted.Close() }, nil},
		{"witnesses end one by one", func(witnesses []net.Conn, accepted net.Conn) {
			_ = witnesses[0].Close()
			time.Sleep(witnessInterval)
			closeAll(witnesses[1], accepted)
		}, nil},
		{"process ends", func(witnesses []net.Conn, accepted net.Conn) { closeAll(append(witnesses, accepted)...) }, errProcessEnded},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPipedServer(t)
			dial := func(ctx context.Context) (net.Conn, error) {
				connection, err := s.dial(ctx)
				return opaque{connection}, err
			}
			w := &Witness{Dial: dial, IsWanted: &atomic.Bool{}}
			t.Cleanup(w.Close)
			w.beginResponse()
			witnesses := s.acceptWitnesses(w)
			time.Sleep(2 * adoptMargin)
			own, err := w.Track(func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) })(t.Context(), "", "")
			assert.Must(t, err)
			accepted := <-s.accepted
			c.end(witnesses, accepted)
			_, err = io.ReadAll(own)
			assert.NoError(t, err)
			assert.ErrorIs(t, w.confirm(t.Context(), own), c.want)
		})
	}
}
