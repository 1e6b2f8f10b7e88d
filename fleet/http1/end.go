package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

// ErrUnconfirmedEnd means that the connection of a response ended and may have been closed before the end of its body.
var ErrUnconfirmedEnd = errors.New("connection ended without a sign that the answer is whole")

const (
	// confirmDelay is the time between the end of a connection and the look at another one: the sockets of a process that ends are not closed at once.
	confirmDelay = 20 * time.Millisecond
	// idleCloseMargin is the time before the end of a response from which on the loss of the other connection shows the end of the process, and not that
	// the server closes idle connections.
	idleCloseMargin = 1 * time.Second
	// refusalMargin is the time after the opening of a connection up to which a reset shows that the server has too many.
	refusalMargin = 200 * time.Millisecond
	// adoptMargin is the time before the end of a response up to which another connection must have been opened to show that the process goes on.
	adoptMargin = 100 * time.Millisecond
	// witnessIdleTime is how long a witness stays open after the last request or response.
	witnessIdleTime = 2500 * time.Millisecond
)

// Witness is a connection to a server on which nothing is sent. The kernel closes it together with all others of a process that ends, whereas a process closes
// only the connection of an answer that it has ended. Its methods may be called concurrently.
type Witness struct {
	// Dial opens a connection to the server.
	Dial func(ctx context.Context) (net.Conn, error)
	// IsWanted is set by the first response that ends with its connection. Witnesses of like servers may share it.
	IsWanted *atomic.Bool

	mu sync.Mutex
	// connection is nil while none is open. isDialing reports whether run is in progress.
	connection *witnessConnection
	isDialing  bool
	// responses is the number of responses in progress that end with their connections.
	responses int
	// idle closes the connection; nil before the first one.
	idle *time.Timer
}

// Watch begins to watch the server for a response. It is called before the request is sent.
func (w *Witness) Watch(ctx context.Context) *Watch {
	if !w.IsWanted.Load() {
		return &Watch{witness: w}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.connection != nil && stateOf(w.connection) != socketOpen {
		w.closeLocked()
	}
	w.openLocked(ctx)
	return &Watch{witness: w, connection: w.connection}
}

func (w *Witness) openLocked(ctx context.Context) {
	if w.idle == nil {
		w.idle = time.AfterFunc(witnessIdleTime, w.Close)
	} else {
		w.idle.Reset(witnessIdleTime)
	}
	if w.connection == nil && !w.isDialing {
		w.isDialing = true
		go w.run(context.WithoutCancel(ctx))
	}
}

// run opens the connection.
func (w *Witness) run(ctx context.Context) {
	connection, err := w.Dial(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDialing = false; err == nil {
		w.connection = &witnessConnection{Conn: connection, openedAt: time.Now()}
		w.idle.Reset(witnessIdleTime)
		go w.connection.run()
	}
}

// release is called at the end of a response that ends with its connection.
func (w *Witness) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responses--
	w.idle.Reset(witnessIdleTime)
}

// Close closes the connection, or leaves that to the idle time while a response is in progress. A later Watch opens another one.
func (w *Witness) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.responses > 0 {
		w.idle.Reset(witnessIdleTime)
		return
	}
	w.closeLocked()
}

func (w *Witness) closeLocked() {
	if w.connection != nil {
		w.connection.giveUp()
		w.connection = nil
	}
}

func (w *Witness) open(ctx context.Context) {
	w.IsWanted.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responses++
	w.openLocked(ctx)
}

func (w *Witness) current() *witnessConnection {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connection
}

// witnessConnection is a connection of a Witness that records when the server ends it.
type witnessConnection struct {
	net.Conn

	openedAt time.Time

	mu sync.Mutex
	// lostAt is when the server ended the connection; zero before. isGivenUp reports whether this end closed it before that, or the server reset it at once,
	// as it does with connections beyond its limit.
	lostAt    time.Time
	isGivenUp bool
}

// NetConn returns the wrapped connection.
func (c *witnessConnection) NetConn() net.Conn { return c.Conn }

// run waits until the connection ends.
func (c *witnessConnection) run() {
	tcp, ok := Unwrap[*net.TCPConn](c.Conn)
	if !ok {
		return
	}
	_, _ = io.Copy(io.Discard, tcp)
	_, _ = c.loss(time.Now())
}

// loss returns when the server ended the connection, which is now at the latest, and whether this end closed it before that.
func (c *witnessConnection) loss(now time.Time) (lostAt time.Time, isGivenUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isGivenUp || !c.lostAt.IsZero() {
		return c.lostAt, c.isGivenUp
	}
	switch stateOf(c.Conn) {
	case socketOpen:
	case socketEnded:
		c.lostAt = now
	case socketReset:
		// The kernel resets connections that a process hasn't accepted when it ends.
		if now.Sub(c.openedAt) < refusalMargin {
			c.isGivenUp = true
		} else {
			c.lostAt = now
		}
	}
	return c.lostAt, c.isGivenUp
}

func (c *witnessConnection) wasGivenUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isGivenUp
}

// giveUp closes the connection.
func (c *witnessConnection) giveUp() {
	lostAt, _ := c.loss(time.Now())
	c.mu.Lock()
	c.isGivenUp = lostAt.IsZero()
	c.mu.Unlock()
	_ = c.Close()
}

// Watch watches a server during one response.
type Watch struct {
	witness *Witness
	// connection is the one that was open when the request was sent, or has been opened since; nil if there is none.
	connection *witnessConnection
}

// ConfirmEnd makes the body of a response that ends with its connection end with ErrUnconfirmedEnd in place of io.EOF if the server's process seems to have ended
// with it. Without a witness, the server must accept a connection after the end.
func (w *Watch) ConfirmEnd(ctx context.Context, response *http.Response) {
	if EndsWithConnection(response) && response.Body != http.NoBody {
		w.witness.open(ctx)
		response.Body = &confirmedBody{ReadCloser: response.Body, ctx: ctx, watch: w}
	}
}

// adopt takes a connection that has been opened since the request was sent, up to a time. One that is opened after the end of the response may lead to
// another process.
func (w *Watch) adopt(until time.Time) {
	if w.connection != nil && !w.connection.wasGivenUp() {
		return
	}
	w.connection = nil
	if current := w.witness.current(); current != nil && current.openedAt.Before(until) {
		w.connection = current
	}
}

var errWitnessLost = errors.New("another connection to the server ended with it")

// Confirm returns ErrUnconfirmedEnd after the end of a response's connection unless the server's process has outlasted it, as ConfirmEnd does.
func (w *Watch) Confirm(ctx context.Context) error {
	if failure := w.confirm(ctx); failure != nil {
		// The failure is not wrapped: it is none of the exchange with the server.
		return fmt.Errorf("%w: %s", ErrUnconfirmedEnd, failure.Error())
	}
	return nil
}

// confirm returns an error unless the server's process has outlasted the response.
func (w *Watch) confirm(ctx context.Context) error {
	endedAt := time.Now()
	w.adopt(endedAt)
	clock.Sleep(ctx, confirmDelay)
	if w.connection != nil {
		lostAt, isGivenUp := w.connection.loss(time.Now())
		switch {
		case isGivenUp, !lostAt.IsZero() && endedAt.Sub(lostAt) > idleCloseMargin:
		case !lostAt.IsZero():
			return errWitnessLost
		case endedAt.Sub(w.connection.openedAt) > adoptMargin:
			return nil
		}
	}
	accepted, err := w.witness.Dial(ctx)
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		// A server resets connections beyond its limit.
		return nil
	case err != nil:
		return err
	default:
		return accepted.Close()
	}
}

// confirmedBody is the body of a response whose end is to be confirmed.
type confirmedBody struct {
	io.ReadCloser

	ctx    context.Context
	watch  *Watch
	closed sync.Once
	// ended is the error of the last read; nil before.
	ended error
}

// Read implements io.Reader.
func (b *confirmedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		b.watch.adopt(time.Now())
	case errors.Is(err, io.EOF):
		if failure := b.watch.Confirm(b.ctx); failure != nil {
			err = failure
		}
	}
	b.ended = err
	return n, err
}

// Close implements io.Closer.
func (b *confirmedBody) Close() error {
	b.closed.Do(b.watch.witness.release)
	return b.ReadCloser.Close()
}
