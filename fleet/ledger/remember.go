package ledger

import (
	"encoding/binary"
	"iter"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// request is what is remembered of a request identifier: it has an open, or it was billed.
type request struct {
	fingerprint Fingerprint
	opens       uint32
	idempotent  bool
	billed      bool
}

// requestTable remembers request identifiers.
type requestTable struct {
	// open holds the requests with opens.
	open map[RequestIdentifier]request
	// closed lists the others, all of them billed, in the order of their offsets; non-idempotent ones and
	// idempotent ones apart.
	closed [2]closedQueue
	// index finds the newest line of a closed request. The lowest bit of a position is the queue.
	index index[RequestIdentifier]
}

// Indexes of the queues of closed requests.
const (
	idempotentQueue = iota
	nonIdempotentQueue
)

// queueOf returns the index of the queue of a request.
func queueOf(q request) uint32 {
	if q.idempotent {
		return idempotentQueue
	}
	return nonIdempotentQueue
}

// digest returns the digest by which a request is found.
func (i RequestIdentifier) digest() uint32 { return binary.BigEndian.Uint32(i[:]) }

// element returns the element of a closed request.
func (t *requestTable) element(position uint32) *closedRequest {
	return t.closed[position&1].at(position >> 1)
}

// isAt reports whether the line at a position is one of a request.
func (t *requestTable) isAt(position uint32, id RequestIdentifier) bool {
	return t.element(position).id == id
}

// find returns what is remembered of a request identifier.
func (t *requestTable) find(id RequestIdentifier) (request, bool) {
	if q, ok := t.open[id]; ok {
		return q, true
	}
	position, ok := t.index.find(id, id.digest(), t.isAt)
	if !ok {
		return request{}, false
	}
	return request{
		fingerprint: t.element(position).fingerprint, idempotent: position&1 == idempotentQueue, billed: true,
	}, true
}

// addOpen counts an accepted open of a request of which q was known. The line of a closed one is void from then on.
func (t *requestTable) addOpen(r *Open, q request) {
	if q.opens == 0 && q.billed {
		position, _ := t.index.find(r.Request, r.Request.digest(), t.isAt)
		t.index.remove(r.Request, r.Request.digest(), position)
	}
	if t.open == nil {
		t.open = make(map[RequestIdentifier]request)
	}
	q.fingerprint = r.Fingerprint
	q.idempotent = r.Idempotent
	q.opens++
	t.open[r.Request] = q
}

// release closes one of a request's opens and forgets a request that has no other and no bill.
func (t *requestTable) release(id RequestIdentifier, next platform.Offset) {
	q := t.open[id]
	if q.opens == 1 && !q.billed {
		delete(t.open, id)
		return
	}
	t.closeOpen(id, q, next)
}

// closeOpen closes one of a request's opens; the window starts with the last one.
func (t *requestTable) closeOpen(id RequestIdentifier, q request, next platform.Offset) {
	q.opens--
	if q.opens > 0 {
		t.open[id] = q
		return
	}
	delete(t.open, id)
	t.addClosed(queueOf(q), closedRequest{id: id, fingerprint: q.fingerprint, closedOffset: next})
}

// addClosed adds a line for a request that has none.
func (t *requestTable) addClosed(queue uint32, c closedRequest) {
	number := t.closed[queue].push(c)
	t.index.add(c.id, c.id.digest(), number<<1|queue)
}

// size returns the number of request identifiers that are remembered.
func (t *requestTable) size() int {
	return len(t.open) + t.index.size()
}

// currentElements returns the lines of a queue that aren't void.
func (t *requestTable) currentElements(queue uint32) iter.Seq[*closedRequest] {
	q := &t.closed[queue]
	return func(yield func(*closedRequest) bool) {
		for number := q.firstNumber; number != q.nextNumber; number = (number + 1) & elementNumberMask {
			c := q.at(number)
			position, ok := t.index.find(c.id, c.id.digest(), t.isAt)
			if ok && position == number<<1|queue && !yield(c) {
				return
			}
		}
	}
}

// evictExpired drops the identifiers whose window ended before the entry below next, and returns their number.
func (t *requestTable) evictExpired(next platform.Offset, w Window) uint64 {
	return t.evictClosed(idempotentQueue, next, w.Idempotent) +
		t.evictClosed(nonIdempotentQueue, next, w.NonIdempotent)
}

// evictClosed drops identifiers from the front of a queue.
func (t *requestTable) evictClosed(queue uint32, next platform.Offset, window uint64) uint64 {
	evicted := uint64(0)
	q := &t.closed[queue]
	for !q.isEmpty() {
		c := q.at(q.firstNumber)
		if uint64(next-c.closedOffset) <= window {
			break
		}
		if t.index.remove(c.id, c.id.digest(), q.firstNumber<<1|queue) {
			evicted++
		}
		q.pop()
	}
	return evicted
}

// closedRequest says when a request's last open was closed: the state's next offset after it.
type closedRequest struct {
	id           RequestIdentifier
	fingerprint  Fingerprint
	closedOffset platform.Offset
}

// Sizes of a queue of closed requests.
const (
	// closedChunkSize is the number of lines that are allocated together.
	closedChunkSize = 1 << 10
	// elementNumberMask keeps the number of a line within the 31 bits that a position leaves it.
	elementNumberMask = 1<<31 - 1
)

// closedQueue is a first-in first-out queue whose lines have consecutive numbers. It holds no pointers but
// those to its chunks, so that the garbage collector has nothing to follow in them.
type closedQueue struct {
	chunks []*[closedChunkSize]closedRequest
	// firstNumber is the number of the firstNumber line, and next that of the line after the last one.
	firstNumber uint32
	nextNumber  uint32
}

func (q *closedQueue) isEmpty() bool { return q.firstNumber == q.nextNumber }

// at returns the line of a number.
func (q *closedQueue) at(number uint32) *closedRequest {
	distance := (number - q.firstNumber&^(closedChunkSize-1)) & elementNumberMask
	return &q.chunks[distance/closedChunkSize][distance%closedChunkSize]
}

// push adds a line at the end and returns its number.
func (q *closedQueue) push(c closedRequest) uint32 {
	number := q.nextNumber
	if number%closedChunkSize == 0 {
		q.chunks = append(q.chunks, new([closedChunkSize]closedRequest))
	}
	q.nextNumber = (number + 1) & elementNumberMask
	*q.at(number) = c
	return number
}

// pop removes the first line.
func (q *closedQueue) pop() {
	q.firstNumber = (q.firstNumber + 1) & elementNumberMask
	if q.firstNumber%closedChunkSize == 0 {
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
	}
}
