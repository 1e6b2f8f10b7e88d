// Package bodies reads the bodies of requests into memory, within the bounds that fleet/bodymemory decides. A body for which there is no
// room isn't read, so that its sender is held back by TCP.
package bodies

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/bodymemory"
)

const (
	// partBytes is the size of the parts in which a long body is kept. firstPartBytes is that of the first part if the length isn't known.
	partBytes      = 64 << 10
	firstPartBytes = 4 << 10
	// checkInterval is the interval at which a waiting request looks for senders that are too slow.
	checkInterval = 100 * time.Millisecond
	// discardTime bounds the reading of what is left of a body that is refused.
	discardTime = 50 * time.Millisecond
	// answerDivisor is the part of the memory that answers may take which their callers are slow to read: one in answerDivisor bytes.
	answerDivisor = 4
)

// Errors of Read.
var (
	// ErrNoRoom means that there is no memory for the body, or was none in time.
	ErrNoRoom = errors.New("no memory left for the body")
	// ErrTooSlow means that the body was given up since others waited for its room.
	ErrTooSlow = errors.New("body arrives too slowly while others wait for its memory")
)

// ReadDeadliner sets the time at which reads of a body fail. http.ResponseController implements it.
type ReadDeadliner interface{ SetReadDeadline(t time.Time) error }

// Source is a body that is to be read.
type Source struct {
	Body io.Reader
	// Length is the announced length in bytes; negative if none is. Limit is the longest that is allowed; zero for any.
	Length, Limit int64
	// Deadline bounds the reads of Body. Its errors are ignored.
	Deadline ReadDeadliner
	// WaitUntil is when the request no longer waits for room.
	WaitUntil time.Time
}

// Store holds the bodies of all requests of a router. It is safe for concurrent use.
type Store struct {
	count       func(counter string)
	readTimeout time.Duration

	mu     sync.Mutex
	budget bodymemory.Budget
	// answers is the number of bytes that ReserveAnswer has taken.
	answers int64
	reading map[*bodymemory.Claim]*intake
}

// NewStore returns a store for memory bytes, or without a bound if memory is zero. Bodies must arrive within readTimeout. count
// increments a counter.
func NewStore(memory int64, readTimeout time.Duration, count func(counter string)) *Store {
	return &Store{
		count: count, readTimeout: readTimeout, reading: make(map[*bodymemory.Claim]*intake),
		budget: bodymemory.Budget{Bytes: memory, ReadTimeout: readTimeout},
	}
}

// Reserve takes room for bytes that are in memory already, or returns false if there is none now. The caller gives it back with release.
func (s *Store) Reserve(size int64) (release func(), ok bool) {
	i := &intake{store: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	i.claim.Received = size
	if s.budget.Extend(time.Now(), &i.claim, size) != bodymemory.Granted {
		s.wake(s.budget.Release(time.Now(), &i.claim))
		return nil, false
	}
	s.wake(s.budget.Complete(time.Now(), &i.claim))
	return i.release, true
}

// ReserveAnswer takes room, of a part of the memory, for bytes of an answer that its caller is slow to take, or returns false if there is none
// now. The caller gives it back with release.
func (s *Store) ReserveAnswer(size int64) (release func(), ok bool) {
	if !s.addToAnswers(size) {
		return nil, false
	}
	releaseRoom, ok := s.Reserve(size)
	if !ok {
		s.addToAnswers(-size)
		return nil, false
	}
	return func() {
		releaseRoom()
		s.addToAnswers(-size)
	}, true
}

// addToAnswers adds to the bytes of answers, and returns false if these would exceed their part of the memory.
func (s *Store) addToAnswers(size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size > 0 && s.budget.Bytes > 0 && s.answers+size > s.budget.Bytes/answerDivisor {
		return false
	}
	s.answers += size
	return true
}

// Read reads a body. It fails with ErrNoRoom, ErrTooSlow, an *http.MaxBytesError if the body is longer than its limit, the context's cause
// if that ends while the body waits, or an error of the source. The caller releases the body.
func (s *Store) Read(ctx context.Context, source Source) (*Body, error) {
	if source.Length == 0 {
		return &Body{}, nil
	}
	i := &intake{store: s, source: source}
	_ = source.Deadline.SetReadDeadline(time.Now().Add(s.readTimeout))
	body, err := i.read(ctx)
	if err != nil {
		i.release()
		// net/http reads what is left of a short body before it writes the refusal.
		_ = source.Deadline.SetReadDeadline(time.Now().Add(discardTime))
		return nil, err
	}
	_ = source.Deadline.SetReadDeadline(time.Time{})
	return body, nil
}

// wake tells the requests that own the claims that they have been granted. The store's lock must be held.
func (s *Store) wake(granted []*bodymemory.Claim) {
	for _, c := range granted {
		close(s.reading[c].granted)
	}
}

// cutSlowest gives up the body of the slowest sender, if others wait for its room.
func (s *Store) cutSlowest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.budget.Slowest(time.Now())
	if c == nil {
		return
	}
	s.count(bodyCut)
	i := s.reading[c]
	i.isCut = true
	_ = i.source.Deadline.SetReadDeadline(time.Now())
}

// intake is the reading of one body.
type intake struct {
	store  *Store
	source Source
	claim  bodymemory.Claim
	// granted is closed when the claim is granted after a wait. isCut reports whether the body was given up. Both are guarded by the store's lock.
	granted chan struct{}
	isCut   bool
	first   [1]byte
	body    Body
}

// read reads the body up to its end. Room is claimed when the first byte has arrived.
func (i *intake) read(ctx context.Context) (*Body, error) {
	if i.source.Limit > 0 && i.source.Length > i.source.Limit {
		return nil, &http.MaxBytesError{Limit: i.source.Limit}
	}
	_, err := io.ReadFull(i.source.Body, i.first[:])
	if errors.Is(err, io.EOF) {
		return &Body{}, nil
	}
	if err != nil {
		return nil, err
	}
	if err := i.extend(ctx); err != nil {
		return nil, err
	}
	i.begin()
	for {
		part, err := i.space(ctx)
		if err != nil {
			return nil, err
		}
		n, err := i.source.Body.Read(part)
		if n > 0 && i.isFull() {
			return nil, &http.MaxBytesError{Limit: i.body.length}
		}
		i.received(n)
		if errors.Is(err, io.EOF) {
			return i.complete(), nil
		}
		if err != nil {
			return nil, i.failure(err)
		}
	}
}

// begin puts the first byte into the first part.
func (i *intake) begin() {
	size := min(firstPartBytes, i.claim.Size())
	if i.source.Length > 0 {
		size = min(partBytes, i.source.Length)
	}
	i.body.firstPart[0] = append(make([]byte, 0, size), i.first[0])
	i.body.parts, i.body.length = i.body.firstPart[:], 1
}

// space returns the unused space of the last part, or a new part if that is full and more is to come.
func (i *intake) space(ctx context.Context) ([]byte, error) {
	last := i.body.parts[len(i.body.parts)-1]
	if len(last) < cap(last) {
		return last[len(last):cap(last)], nil
	}
	if i.isFull() {
		// The end of the body has to be read too.
		return make([]byte, 1), nil
	}
	if i.body.length >= i.claim.Size() {
		if err := i.extend(ctx); err != nil {
			return nil, err
		}
	}
	size := int64(partBytes)
	if i.source.Length < 0 {
		size = min(2*int64(cap(last)), partBytes)
	}
	size = min(size, i.claim.Size()-i.body.length)
	i.body.parts = append(i.body.parts, make([]byte, 0, size))
	return i.body.parts[len(i.body.parts)-1][:size], nil
}

// isFull reports whether no further byte is allowed.
func (i *intake) isFull() bool {
	return i.body.length == i.source.Length || i.source.Limit > 0 && i.body.length >= i.source.Limit
}

// received counts bytes that were read into the space of the last part.
func (i *intake) received(n int) {
	last := &i.body.parts[len(i.body.parts)-1]
	*last = (*last)[:len(*last)+n]
	i.body.length += int64(n)
	i.store.mu.Lock()
	defer i.store.mu.Unlock()
	i.claim.Received = i.body.length
}

// nextSize returns the size of the next claim: that of the body if it is known. Else it is that of a small body, then the longest that is
// allowed, so that no body that holds much waits for more.
func (i *intake) nextSize() int64 {
	switch {
	case i.source.Length > 0:
		return i.source.Length
	case i.claim.Size() == 0 && i.source.Limit > 0:
		return min(bodymemory.SmallBytes, i.source.Limit)
	case i.claim.Size() == 0:
		return bodymemory.SmallBytes
	case i.source.Limit > i.claim.Size():
		return i.source.Limit
	default:
		return 2 * i.claim.Size()
	}
}

// extend claims room for the next bytes and waits for it.
func (i *intake) extend(ctx context.Context) error {
	s := i.store
	s.mu.Lock()
	if i.isCut {
		s.mu.Unlock()
		return ErrTooSlow
	}
	s.reading[&i.claim] = i
	outcome := s.budget.Extend(time.Now(), &i.claim, i.nextSize())
	if outcome == bodymemory.Waits {
		i.granted = make(chan struct{})
	}
	s.mu.Unlock()
	switch outcome {
	case bodymemory.Granted:
		return nil
	case bodymemory.Refused:
		s.count(bodyNoRoom)
		return ErrNoRoom
	default:
		s.count(bodyWaited)
		return i.wait(ctx)
	}
}

// wait waits for room. The time for which the sender was held back doesn't count as time to read the body.
func (i *intake) wait(ctx context.Context) error {
	ctx, cancel := context.WithDeadlineCause(ctx, i.source.WaitUntil, ErrNoRoom)
	defer cancel()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-i.granted:
			_ = i.source.Deadline.SetReadDeadline(time.Now().Add(i.store.readTimeout))
			return nil
		case <-ticker.C:
			i.store.cutSlowest()
		case <-ctx.Done():
			err := context.Cause(ctx)
			if errors.Is(err, ErrNoRoom) {
				i.store.count(bodyGaveUp)
			}
			return err
		}
	}
}

// complete returns the body that was read.
func (i *intake) complete() *Body {
	s := i.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(s.budget.Complete(time.Now(), &i.claim))
	i.source.Body = nil
	i.body.intake = i
	i.body.users.Store(1)
	return &i.body
}

// failure returns why the body could not be read.
func (i *intake) failure(err error) error {
	i.store.mu.Lock()
	defer i.store.mu.Unlock()
	if i.isCut {
		return ErrTooSlow
	}
	return err
}

// release gives the room back.
func (i *intake) release() {
	s := i.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(s.budget.Release(time.Now(), &i.claim))
	delete(s.reading, &i.claim)
}
