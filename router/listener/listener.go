// Package listener accepts the connections of an HTTP server's clients, within the bounds that fleet/connections decides. net/http parses a head as
// it arrives, so that what heads may take has to be bounded before net/http reads them.
package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/connections"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

const (
	// discardTime and discardBytes bound the reading of what is left of a request that was refused: a client that is still sending would get a
	// reset in place of the refusal.
	discardTime  = 500 * time.Millisecond
	discardBytes = 256 << 10
	// unreadCheckInterval is the interval at which unread bytes are counted while there are many connections.
	unreadCheckInterval = 100 * time.Millisecond
)

// Settings are the bounds of a Limiter.
type Settings struct {
	Limits connections.Limits
	// Refuse returns the whole answer to a request whose head is refused. If it is nil, the connection is closed without an answer.
	Refuse func(verdict.Reason) []byte
	// Count increments a counter.
	Count func(counter string)
}

// Limiter bounds the connections of a server. It is safe for concurrent use.
type Limiter struct {
	settings Settings

	mu    sync.Mutex
	table connections.Table
	open  map[*connections.Connection]*connection
}

// Limit has a server's connections bounded. Its listeners must be those that Wrap returns, and it must be called before the server serves.
func Limit(server *http.Server, settings Settings) *Limiter {
	l := &Limiter{settings: settings, open: make(map[*connections.Connection]*connection)}
	l.table.Limits = settings.Limits
	server.Handler = discardingHandler{next: server.Handler}
	server.ConnState = l.trackStates(server.ConnState)
	return l
}

// Wrap returns a listener whose connections are bounded.
func (l *Limiter) Wrap(listener net.Listener) net.Listener {
	return &boundedListener{Listener: listener, limiter: l}
}

// ReceiveBuffer returns a function that sets the size in bytes of the receive buffers of a listener's connections. It is meant as the Control
// function of a net.ListenConfig. Linux doubles the size, for what it needs beside the data. It returns nil for a size of zero.
func ReceiveBuffer(size int64) func(network, address string, c syscall.RawConn) error {
	if size <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		// A failure leaves the system's default.
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(size)) })
	}
}

// trackStates returns the hook http.Server.ConnState that tells where requests begin and end, before it calls the next hook.
func (l *Limiter) trackStates(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(socket net.Conn, state http.ConnState) {
		if c, ok := http1.Unwrap[*connection](socket); ok {
			l.enter(c, state)
		}
		if next != nil {
			next(socket, state)
		}
	}
}

func (l *Limiter) enter(c *connection, state http.ConnState) {
	l.record(c, state)
	c.isServing.Store(state == http.StateActive)
	if state == http.StateIdle {
		c.endBody()
	}
}

// record notes the state of a connection in the table.
func (l *Limiter) record(c *connection, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		l.table.Serve(&c.entry)
	case http.StateIdle:
		l.table.EndRequest(time.Now(), &c.entry)
	case http.StateClosed, http.StateHijacked:
		l.removeLocked(c)
	case http.StateNew:
	}
}

func (l *Limiter) removeLocked(c *connection) {
	l.table.Remove(&c.entry)
	delete(l.open, &c.entry)
}

// remove removes a connection that is closed.
func (l *Limiter) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

// add adds a new connection, and returns false if there is no place for it.
func (l *Limiter) add(c *connection) bool {
	l.mu.Lock()
	victim, ok := l.table.Add(time.Now(), &c.entry)
	if ok {
		l.open[&c.entry] = c
	}
	victims := l.takeLocked(victim)
	l.mu.Unlock()
	if !ok {
		l.settings.Count(connectionRefused)
	}
	l.closeAll(victims, connectionClosedForNew)
	return ok
}

// receive notes data of a head. It returns why the head is refused; empty if it isn't.
func (l *Limiter) receive(c *connection, data []byte) verdict.Reason {
	l.mu.Lock()
	outcome, removed := l.table.Receive(time.Now(), &c.entry, data)
	victims := l.takeLocked(removed...)
	l.mu.Unlock()
	l.closeAll(victims, connectionClosedForHeads)
	switch outcome {
	case connections.TooManyLines:
		l.settings.Count(headTooManyLines)
		return verdict.TooManyHeaders
	case connections.NoMemory:
		l.settings.Count(headNoMemory)
		return verdict.MemoryExhausted
	case connections.Continues:
	}
	return ""
}

// takeLocked returns the connections of entries that the table has removed.
func (l *Limiter) takeLocked(entries ...*connections.Connection) []*connection {
	var taken []*connection
	for _, e := range entries {
		if c, ok := l.open[e]; ok {
			taken = append(taken, c)
			delete(l.open, e)
		}
	}
	return taken
}

// Run closes the connections on which most is unread whenever unread bytes exceed their memory, until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	for clock.Sleep(ctx, unreadCheckInterval) {
		l.closeHeldBack()
	}
	return nil
}

func (l *Limiter) closeHeldBack() { l.closeAll(l.takeHeldBack(), connectionHeldBack) }

// takeHeldBack removes the connections on which most is unread, if unread bytes exceed their memory.
func (l *Limiter) takeHeldBack() []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.table.MayHoldTooMuch() {
		return nil
	}
	unread := make(map[*connections.Connection]int64, len(l.open))
	for entry, c := range l.open {
		unread[entry] = int64(http1.UnreadBytes(c))
	}
	return l.takeLocked(l.table.RemoveHeldBack(unread)...)
}

// closeAll closes connections for the sake of others, and counts each.
func (l *Limiter) closeAll(victims []*connection, counter string) {
	for _, c := range victims {
		l.settings.Count(counter)
		_ = c.Close()
	}
}

// boundedListener accepts connections within the bounds of a limiter.
type boundedListener struct {
	net.Listener

	limiter *Limiter
}

// Accept implements net.Listener.
func (b *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: accepted, limiter: b.limiter}
		if b.limiter.add(c) {
			return c, nil
		}
		http1.Reset(accepted)
	}
}
