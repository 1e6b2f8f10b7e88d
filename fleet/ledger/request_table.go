package ledger

import (
	"encoding/binary"
	"iter"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// request is the information kept on a request identifier that has open reservations or has been billed.
type request struct {
	fingerprint Fingerprint
	opens       uint32
	idempotent  bool
	billed      bool
}

// requestTable holds the request identifiers that have open reservations, or that were billed within their window.
type requestTable struct {
	// open holds the requests with at least one open reservation.
	open map[RequestIdentifier]request
	// closed holds the billed requests without an open reservation, ordered by the offset at which their last open was
	// closed. Idempotent and other requests have separate queues, because their windows differ.
	closed [2]closedQueue
	// index maps the identifier of a closed request to the position of its element: the number of the element in its
	// queue, shifted left by one, with the index of the queue in the lowest bit.
	index index[RequestIdentifier]
}

// Indexes of the queues in requestTable.closed.
const (
	idempotentQueue = iota
	nonIdempotentQueue
)

// queueOf returns the index of the queue that a request belongs to once it is closed.
func queueOf(q request) uint32 {
	if q.idempotent {
		return idempotentQueue
	}
	return nonIdempotentQueue
}

// digest returns the digest under which the index stores the identifier. The identifier is a hash, so its first four
// bytes suffice.
func (i RequestIdentifier) digest() uint32 { return binary.BigEndian.Uint32(i[:]) }

// element returns the queue element at a position of the index.
func (t *requestTable) element(position uint32) *closedRequest {
	return t.closed[position&1].at(position >> 1)
}

// isAt reports whether the queue element at a position belongs to a request identifier.
func (t *requestTable) isAt(position uint32, id RequestIdentifier) bool {
	return t.element(position).id == id
}

// find returns the information on a request identifier, and false if the table has none.
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

// addOpen counts an accepted open of a request, whose state before the open is q. If the request was closed, it
// removes the queue element of the request from the index, which makes the element stale.
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

// release closes one open of a request without a bill. The request is removed from the table if that was its only
// open and it isn't billed.
func (t *requestTable) release(id RequestIdentifier, next platform.Offset) {
	q := t.open[id]
	if q.opens == 1 && !q.billed {
		delete(t.open, id)
		return
	}
	t.closeOpen(id, q, next)
}

// closeOpen closes one open of a request. The window of the request starts when its last open is closed.
func (t *requestTable) closeOpen(id RequestIdentifier, q request, next platform.Offset) {
	q.opens--
	if q.opens > 0 {
		t.open[id] = q
		return
	}
	delete(t.open, id)
	t.addClosed(queueOf(q), closedRequest{id: id, fingerprint: q.fingerprint, closedOffset: next})
}

// addClosed adds a queue element for a closed request, which must not be in the index yet.
func (t *requestTable) addClosed(queue uint32, c closedRequest) {
	number := t.closed[queue].push(c)
	t.index.add(c.id, c.id.digest(), number<<1|queue)
}

// size returns the number of request identifiers in the table.
func (t *requestTable) size() int {
	return len(t.open) + t.index.size()
}

// currentElements iterates over the elements of a queue that the index still refers to. Elements of requests that were
// opened again are stale.
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

// evictExpired removes the request identifiers whose window has ended when the state's next offset is next, and returns
// their number.
func (t *requestTable) evictExpired(next platform.Offset, w Window) uint64 {
	return t.evictClosed(idempotentQueue, next, w.Idempotent) +
		t.evictClosed(nonIdempotentQueue, next, w.NonIdempotent)
}

// evictClosed removes the elements whose window has ended from the front of a queue. It returns the number of request
// identifiers that it removed, which doesn't include stale elements.
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

// closedRequest is a billed request without an open reservation. closedOffset is the state's next offset after the
// entry that closed the last open.
type closedRequest struct {
	id           RequestIdentifier
	fingerprint  Fingerprint
	closedOffset platform.Offset
}

// Sizes of a closedQueue.
const (
	// closedChunkSize is the number of elements in one allocation of a closedQueue.
	closedChunkSize = 1 << 10
	// elementNumberMask limits element numbers to 31 bits: the 32nd bit of a position holds the index of the queue.
	elementNumberMask = 1<<31 - 1
)

// closedQueue is a first-in, first-out queue whose elements have consecutive numbers, which wrap around after 31 bits.
// The elements contain no pointers, so the garbage collector doesn't scan the chunks.
type closedQueue struct {
	chunks []*[closedChunkSize]closedRequest
	// firstNumber is the number of the first element, and nextNumber the number that the next added element gets.
	firstNumber uint32
	nextNumber  uint32
}

func (q *closedQueue) isEmpty() bool { return q.firstNumber == q.nextNumber }

// at returns the element with the given number, which must be in the queue or be the next one to add.
func (q *closedQueue) at(number uint32) *closedRequest {
	distance := (number - q.firstNumber&^(closedChunkSize-1)) & elementNumberMask
	return &q.chunks[distance/closedChunkSize][distance%closedChunkSize]
}

// push adds an element at the end and returns its number.
func (q *closedQueue) push(c closedRequest) uint32 {
	number := q.nextNumber
	if number%closedChunkSize == 0 {
		q.chunks = append(q.chunks, new([closedChunkSize]closedRequest))
	}
	q.nextNumber = (number + 1) & elementNumberMask
	*q.at(number) = c
	return number
}

// pop removes the first element and frees the first chunk once all of its elements are removed.
func (q *closedQueue) pop() {
	q.firstNumber = (q.firstNumber + 1) & elementNumberMask
	if q.firstNumber%closedChunkSize == 0 {
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
	}
}
