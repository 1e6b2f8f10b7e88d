package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// witnessCount is the number of witnesses to a server, which are opened witnessInterval apart.
	witnessCount    = 2
	witnessInterval = 150 * time.Millisecond
	// witnessIdleTime is how long witnesses stay open after the last request or response.
	witnessIdleTime = 2500 * time.Millisecond
	// settleDelay is the time after the loss of a witness from which on data that arrives shows that the process goes on. Data that the process sent
	// before its end may take longer than the end of the witness.
	settleDelay = 40 * time.Millisecond
	// lossPrecision bounds the error of the times at which the kernel says that connections ended.
	lossPrecision = 10 * time.Millisecond
	// refusalMargin is the time after the opening of a connection up to which a reset shows that the server has too many. The kernel also resets connections
	// that a process that ends hasn't accepted, as one that was suspended.
	refusalMargin = 100 * time.Millisecond
	// refusedTime is the time after such a reset in which requests don't wait for a witness.
	refusedTime = 2 * witnessInterval
)

// Witness shows whether a server's process outlasts its responses. It knows the connections to the server, and opens some, the witnesses, on which nothing
// is sent. The kernel closes all connections of a process that ends, whereas a process closes only that of a response that it has ended, and idle ones.
// Its methods may be called concurrently.
type Witness struct {
	// Dial opens a connection to the server.
	Dial func(ctx context.Context) (net.Conn, error)
	// IsWanted is set by the first response that ends with its connection. Witnesses of like servers may share it.
	IsWanted *atomic.Bool
	// IsLeaving reports whether the server is known to stop, so that it may finish responses while it accepts no connections; nil if that isn't known.
	IsLeaving func() bool

	mu sync.Mutex
	// open are the connections that neither end has ended, lost the witnesses that the server ended not long ago.
	open map[*trackedConnection]struct{}
	lost []*trackedConnection
	// isDialing reports whether run is in progress, isAwaited whether a request or response has begun since run began to open its newest witness.
	isDialing, isAwaited bool
	// attempted is closed when a witness has been opened, or couldn't be; nil if no request waits for that. attemptedAt is when the attempt in progress
	// began; zero if there is none. refusedAt is when the server last reset a witness as one connection too many.
	attempted              chan struct{}
	attemptedAt, refusedAt time.Time
	// pause ends the time between the openings of two witnesses.
	pause *time.Timer
	// responses is the number of responses in progress that end with their connections.
	responses int
	// idle closes the witnesses; nil before the first one.
	idle *time.Timer
}

// Track returns a DialFunc that opens connections to the server with another one and makes them known to w.
func (w *Witness) Track(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return w.track(connection), nil
	}
}

// track returns a connection to the server that is known to w.
func (w *Witness) track(connection net.Conn) *trackedConnection {
	if c, ok := Unwrap[*trackedConnection](connection); ok {
		return c
	}
	c := &trackedConnection{Conn: connection, owner: w, openedAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = make(map[*trackedConnection]struct{})
	}
	w.open[c] = struct{}{}
	return c
}

// WithTrace returns a context with which a transport calls Prepare between the selection of a connection and the sending of the request. A witness that
// was opened before may belong to an earlier process.
func (w *Witness) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { w.Prepare(ctx) }})
}

// Prepare opens the witnesses if responses of the server end with their connections. It waits for the first one, at most confirmDialTime: a process that
// ends before a witness is open can't be told from one that goes on.
func (w *Witness) Prepare(ctx context.Context) {
	if !w.IsWanted.Load() {
		return
	}
	attempted := w.openAwaited()
	if attempted == nil {
		return
	}
	timer := time.NewTimer(confirmDialTime)
	defer timer.Stop()
	select {
	case <-attempted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// openAwaited opens the witnesses and returns what is closed after the next attempt; nil if a witness is open, or the server doesn't let one be opened.
func (w *Witness) openAwaited() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openLocked()
	isOverdue := !w.attemptedAt.IsZero() && time.Since(w.attemptedAt) > confirmDialTime
	isRefused := time.Since(w.refusedAt) < refusedTime
	if w.countLocked() > 0 || isOverdue || isRefused {
		return nil
	}
	if w.attempted == nil {
		w.attempted = make(chan struct{})
	}
	return w.attempted
}

func (w *Witness) openLocked() {
	if w.idle == nil {
		w.idle = time.AfterFunc(witnessIdleTime, w.Close)
	} else {
		w.idle.Reset(witnessIdleTime)
	}
	w.isAwaited = true
	if !w.isDialing && w.countLocked() < witnessCount {
		w.isDialing = true
		go w.run()
	}
}

// countLocked returns the number of open witnesses.
func (w *Witness) countLocked() int {
	count := 0
	for c := range w.open {
		if c.isWitness && !stateOf(c.Conn).isOver() {
			count++
		}
	}
	return count
}

// run opens witnesses until there are enough, or the server has not kept the newest one open and no request has begun since.
func (w *Witness) run() {
	for isWanted := true; isWanted; {
		w.mu.Lock()
		w.isAwaited, w.attemptedAt = false, time.Now()
		w.mu.Unlock()
		newest, err := w.add(w.Dial(context.Background()))
		if err == nil {
			<-w.pause.C
		}
		w.mu.Lock()
		isWanted = err == nil && (w.isAwaited || newest.isOpenLocked()) && w.countLocked() < witnessCount
		w.isDialing = isWanted
		w.mu.Unlock()
	}
}

// add makes a new connection a witness.
func (w *Witness) add(connection net.Conn, err error) (*trackedConnection, error) {
	var c *trackedConnection
	if err == nil {
		c = w.track(connection)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attemptedAt = time.Time{}
	if w.attempted != nil {
		close(w.attempted)
		w.attempted = nil
	}
	if err != nil {
		return nil, err
	}
	c.isWitness = true
	w.pause = time.NewTimer(witnessInterval)
	w.idle.Reset(witnessIdleTime)
	go c.run()
	return c, nil
}

// beginResponse is called at the beginning of a response that ends with its connection, endResponse at its end.
func (w *Witness) beginResponse() {
	w.IsWanted.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responses++
	w.openLocked()
}

func (w *Witness) endResponse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responses--
	w.idle.Reset(witnessIdleTime)
}

// Close closes the witnesses, or leaves that to the idle time while a response is in progress. A later request opens others.
func (w *Witness) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.responses > 0 {
		w.idle.Reset(witnessIdleTime)
		return
	}
	for c := range w.open {
		if c.isWitness {
			delete(w.open, c)
			_ = c.Conn.Close()
		}
	}
}

// recordLoss records that the server has ended a connection, unless this end had closed it before. A witness is replaced while responses are in progress.
func (w *Witness) recordLoss(c *trackedConnection, isReset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, isOpen := w.open[c]; !isOpen {
		return
	}
	delete(w.open, c)
	now := time.Now()
	ago, isTold := sinceEnd(c.Conn)
	c.lostAt, c.isLossTold, c.isReset = now.Add(-ago), isTold, isReset
	if age := SinceArrival(c.Conn); age > 0 {
		c.arrivedAt = now.Add(-age)
	}
	switch {
	case !c.isWitness:
		return
	case c.isRefused(now):
		w.refusedAt = now
		return
	case w.countLocked() == 0:
		w.pause.Reset(0)
	}
	c.isOnly = w.isOnlyLocked(c)
	w.lost = slices.DeleteFunc(w.lost, func(l *trackedConnection) bool { return now.Sub(l.lostAt) > 2*lossMargin })
	w.lost = append(w.lost, c)
	if w.responses > 0 {
		w.openLocked()
	}
}

// isOnlyLocked reports whether no other witness was open at any time since the opening of a lost one.
func (w *Witness) isOnlyLocked(c *trackedConnection) bool {
	return w.countLocked() == 0 && !slices.ContainsFunc(w.lost, func(l *trackedConnection) bool { return l.lostAt.After(c.openedAt) })
}

// recordArrivals records what has arrived on the open connections after the loss of a witness.
func (w *Witness) recordArrivals(c *trackedConnection) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.lostAt.IsZero() {
		return
	}
	c.arrivals = make(map[*trackedConnection]int64, len(w.open))
	for o := range w.open {
		c.arrivals[o] = o.receivedBytes()
	}
}

// others returns what is known of the connections other than the one on which a response ended; nil if that isn't known.
func (w *Witness) others(own *trackedConnection) []otherConnection {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var others []otherConnection
	for c := range w.open {
		switch {
		case c == own:
		case c.isOpenLocked():
			others = append(others, otherConnection{openedAt: c.openedAt, isWitness: c.isWitness, isTold: stateOf(c.Conn) == socketOpen})
		case c.isWitness && !c.isRefused(now):
			ago, isTold := sinceEnd(c.Conn)
			others = append(others, otherConnection{openedAt: c.openedAt, lostAt: now.Add(-ago), isOnly: w.isOnlyLocked(c), isWitness: true, isTold: isTold})
		}
	}
	for _, c := range w.lost {
		others = append(others, otherConnection{
			openedAt: c.openedAt, lostAt: c.lostAt, isOutlasted: c.isOutlastedBy(own), isOnly: c.isOnly, isWitness: c.isWitness, isTold: c.isLossTold,
		})
	}
	return others
}

// trackedConnection is a connection to the server of a Witness.
type trackedConnection struct {
	net.Conn

	owner    *Witness
	openedAt time.Time
	// readBytes counts the bytes that were read.
	readBytes atomic.Int64

	// The fields below are guarded by the owner's mutex. isWitness reports whether nothing is sent on the connection, lostAt is when the server ended it;
	// zero before. arrivedAt is when the last data arrived; zero if that isn't known.
	isWitness         bool
	lostAt, arrivedAt time.Time
	// isLossTold reports whether the kernel told when the connection was lost, isReset whether a read has shown that the server reset it.
	isLossTold, isReset bool
	// isOnly reports whether it was the only witness until then.
	isOnly bool
	// arrivals are the bytes that had arrived on other connections settleDelay after the loss of this one; nil before.
	arrivals map[*trackedConnection]int64
}

// NetConn returns the wrapped connection.
func (c *trackedConnection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *trackedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.readBytes.Add(int64(n))
	if isReset := errors.Is(err, syscall.ECONNRESET); isReset || errors.Is(err, io.EOF) {
		c.owner.recordLoss(c, isReset)
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// run waits until a witness ends.
func (c *trackedConnection) run() {
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c})
	time.Sleep(settleDelay)
	c.owner.recordArrivals(c)
	_ = c.Close()
}

// isRefused reports whether the server reset the connection as one too many.
func (c *trackedConnection) isRefused(now time.Time) bool {
	return now.Sub(c.openedAt) < refusalMargin && (c.isReset || stateOf(c.Conn) == socketReset)
}

// isOpenLocked reports whether neither a read nor the kernel has shown that the connection is over.
func (c *trackedConnection) isOpenLocked() bool {
	return c.lostAt.IsZero() && !stateOf(c.Conn).isOver()
}

// receivedBytes returns the number of bytes that have arrived.
func (c *trackedConnection) receivedBytes() int64 {
	return c.readBytes.Load() + int64(UnreadBytes(c.Conn))
}

// isOutlastedBy reports whether the process has sent something on another connection after it lost this one.
func (c *trackedConnection) isOutlastedBy(own *trackedConnection) bool {
	switch {
	case own == nil:
		return false
	case own.openedAt.Sub(c.lostAt) > lossPrecision:
		return true
	case !own.arrivedAt.IsZero():
		return own.arrivedAt.Sub(c.lostAt) > settleDelay
	}
	before, isKnown := c.arrivals[own]
	return isKnown && own.receivedBytes() > before
}

// endOf returns when the server ended a connection; now if that isn't known.
func (w *Witness) endOf(c *trackedConnection) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c == nil || c.lostAt.IsZero() {
		return time.Now()
	}
	return c.lostAt
}
