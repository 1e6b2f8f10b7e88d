package ledger

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// Default windows in offsets: at 240 appends a second for about nine minutes and nineteen hours, and in
// proportion longer on a calmer stream.
const (
	DefaultIdempotentWindow    = 1 << 17
	DefaultNonIdempotentWindow = 1 << 24
)

// Window is the number of offsets for which a request identifier is remembered after its last open was
// closed. A zero takes the default.
type Window struct{ Idempotent, NonIdempotent uint64 }

// orDefault returns the window with its defaults filled in.
func (w Window) orDefault() Window {
	if w.Idempotent == 0 {
		w.Idempotent = DefaultIdempotentWindow
	}
	if w.NonIdempotent == 0 {
		w.NonIdempotent = DefaultNonIdempotentWindow
	}
	return w
}

// Indexes of the queues of closed requests.
const (
	idempotentQueue = iota
	nonIdempotentQueue
)

// queueOf returns the index of the queue of a request.
func queueOf(q request) int {
	if q.idempotent {
		return idempotentQueue
	}
	return nonIdempotentQueue
}

// forget drops the identifiers whose window ended before the entry below next, and returns their number.
func (t *requestTable) forget(next platform.Offset, w Window) uint64 {
	return t.forgetClosed(&t.closed[idempotentQueue], next, w.Idempotent) +
		t.forgetClosed(&t.closed[nonIdempotentQueue], next, w.NonIdempotent)
}

// forgetClosed drops identifiers from the front of a queue. An identifier that was opened again is
// listed again when it is closed, so that its older line is void.
func (t *requestTable) forgetClosed(queue *closedQueue, next platform.Offset, window uint64) uint64 {
	forgotten := uint64(0)
	for {
		c, ok := queue.first()
		if !ok || uint64(next-c.closed) <= window {
			return forgotten
		}
		queue.pop()
		if t.isCurrent(c) {
			delete(t.known, c.id)
			forgotten++
		}
	}
}

// isCurrent reports whether a line of a queue is the newest one of its request.
func (t *requestTable) isCurrent(c closedRequest) bool {
	q, ok := t.known[c.id]
	return ok && q.opens == 0 && q.closed == c.closed
}

// closedRequest says when a request's last open was closed.
type closedRequest struct {
	closed platform.Offset
	id     RequestIdentifier
}

// closedQueue is a first-in first-out queue.
type closedQueue struct {
	entries []closedRequest
	// head is the index of the first entry.
	head int
}

// push adds an entry at the end.
func (q *closedQueue) push(c closedRequest) {
	if q.head > len(q.entries)/2 && len(q.entries) == cap(q.entries) {
		q.entries = append(q.entries[:0], q.entries[q.head:]...)
		q.head = 0
	}
	q.entries = append(q.entries, c)
}

// first returns the first entry.
func (q *closedQueue) first() (closedRequest, bool) {
	if q.head == len(q.entries) {
		return closedRequest{}, false
	}
	return q.entries[q.head], true
}

// pop removes the first entry.
func (q *closedQueue) pop() {
	q.head++
	if q.head == len(q.entries) {
		q.entries, q.head = q.entries[:0], 0
	}
}

// attemptWindowSize is how far an attempt's number may lie below the highest one of its incarnation.
const attemptWindowSize = 1024

// attemptWindow remembers which of an incarnation's attempt numbers were used. Numbers far below the
// highest one count as used.
type attemptWindow struct {
	highest uint64
	// used holds a bit for each of the attemptWindowSize numbers up to highest.
	used [attemptWindowSize / 64]uint64
}

// contains reports whether a number was used or is too low to tell.
func (w *attemptWindow) contains(number uint64) bool {
	if number > w.highest {
		return false
	}
	if w.highest-number >= attemptWindowSize {
		return true
	}
	return w.used[number/64%uint64(len(w.used))]&(1<<(number%64)) != 0
}

// add marks a number as used.
func (w *attemptWindow) add(number uint64) {
	if number > w.highest {
		w.raise(number)
	}
	w.used[number/64%uint64(len(w.used))] |= 1 << (number % 64)
}

// raise clears the bits of the numbers above the former highest one.
func (w *attemptWindow) raise(number uint64) {
	if number-w.highest >= attemptWindowSize {
		w.used = [attemptWindowSize / 64]uint64{}
	} else {
		for n := w.highest + 1; n <= number; n++ {
			w.used[n/64%uint64(len(w.used))] &^= 1 << (n % 64)
		}
	}
	w.highest = number
}
