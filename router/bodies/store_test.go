package bodies

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

const (
	testMemory  = 8 << 20
	testTimeout = 5 * time.Second
	largeBytes  = 4 << 20
)

// storeTest is a store whose counters are kept.
type storeTest struct {
	*Store

	countsMutex sync.Mutex
	counts      map[string]int
}

func newStoreTest() *storeTest {
	s := &storeTest{counts: make(map[string]int)}
	s.Store = NewStore(testMemory, testTimeout, func(name string) {
		s.countsMutex.Lock()
		defer s.countsMutex.Unlock()
		s.counts[name]++
	})
	return s
}

// sender is the sending end of a body's connection.
type sender struct {
	net.Conn

	source Source
}

// newSender returns the sender of a body that ends with its connection or its announced length.
func newSender(length, limit int64) *sender {
	local, remote := net.Pipe()
	body := io.Reader(remote)
	if length >= 0 {
		body = io.LimitReader(remote, length)
	}
	return &sender{Conn: local, source: Source{Body: body, Length: length, Limit: limit, Deadline: remote, WaitUntil: time.Now().Add(3 * time.Second)}}
}

// result is what Read returned, and how long it took.
type result struct {
	body *Body
	err  error
	took time.Duration
}

// start reads the sender's body.
func (s *storeTest) start(ctx context.Context, from *sender) <-chan result {
	results, startedAt := make(chan result, 1), time.Now()
	go func() {
		body, err := s.Read(ctx, from.source)
		results <- result{body, err, time.Since(startedAt)}
	}()
	return results
}

// send sends n bytes and reports whether all were read.
func (s *sender) send(n int) bool {
	_, err := io.WriteString(s, strings.Repeat("b", n))
	return err == nil
}

// held returns the bytes of all claims.
func (s *storeTest) held() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Held()
}

func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name          string
		length, limit int64
		sent          int
	}{
		{"empty", 0, 0, 0}, {"announced and small", 10, 100, 10}, {"a whole part", partBytes, 0, partBytes},
		{"announced and long", 300_000, 300_000, 300_000}, {"in chunks", -1, 1 << 20, 300_000}, {"in chunks, without a limit", -1, 0, 700_000},
		{"in chunks, as long as allowed", -1, 100, 100},
		{"in chunks and empty", -1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, from := newStoreTest(), newSender(c.length, c.limit)
				results := s.start(t.Context(), from)
				if c.sent > 0 {
					assert.Equal(t, true, from.send(c.sent))
				}
				_ = from.Close()
				got := <-results
				assert.Must(t, got.err)
				want := strings.Repeat("b", c.sent)
				assert.Equal(t, true, string(got.body.Bytes()) == want)
				reader := got.body.Open()
				read, err := io.ReadAll(reader)
				assert.Must(t, err)
				assert.Equal(t, true, string(read) == want)
				assert.Equal(t, int64(c.sent), s.held())
				got.body.Release()
				if len(got.body.parts) > 1 {
					assert.Equal(t, int64(c.sent), s.held())
				}
				assert.Must(t, reader.Close())
				assert.Must(t, reader.Close())
				assert.Equal(t, int64(0), s.held())
			})
		})
	}
}

// TestAnnouncedBodyCostsNothing guards against memory for bodies of which nothing arrives, and against a wait for senders without a limit.
func TestAnnouncedBodyCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoreTest()
		results := s.start(t.Context(), newSender(largeBytes, 0))
		synctest.Wait()
		assert.Equal(t, int64(0), s.held())
		got := <-results
		assert.Equal(t, true, isTimeout(got.err))
		assert.Equal(t, testTimeout, got.took)
	})
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// TestTooLongBody guards against reading a body that is longer than allowed.
func TestTooLongBody(t *testing.T) {
	for _, length := range []int64{101, -1} {
		synctest.Test(t, func(t *testing.T) {
			s, from := newStoreTest(), newSender(length, 100)
			results := s.start(t.Context(), from)
			if length < 0 {
				from.send(101)
			}
			var tooLarge *http.MaxBytesError
			assert.Equal(t, true, errors.As((<-results).err, &tooLarge))
			assert.Equal(t, int64(0), s.held())
		})
	}
}

// TestBodyWaitsUnread guards against reading a body for which there is no room, and against a time limit that passes while its sender is
// held back.
func TestBodyWaitsUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first, second := newStoreTest(), newSender(largeBytes, 0), newSender(largeBytes, 0)
		firstResults := s.start(t.Context(), first)
		first.send(largeBytes)
		held := (<-firstResults).body
		secondResults := s.start(t.Context(), second)
		second.send(1)
		assert.Must(t, second.SetWriteDeadline(time.Now().Add(time.Second)))
		assert.Equal(t, false, second.send(1))
		assert.Equal(t, int64(largeBytes), s.held())
		held.Release()
		time.Sleep(testTimeout - time.Millisecond)
		assert.Must(t, second.SetWriteDeadline(time.Time{}))
		assert.Equal(t, true, second.send(largeBytes-1))
		got := <-secondResults
		assert.Must(t, got.err)
		assert.Equal(t, map[string]int{bodyWaited: 1}, s.counts)
	})
}

// TestNoRoomInTime guards against a wait beyond its end, a wait after the request was ended, and room that isn't given back after either.
func TestNoRoomInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newStoreTest(), newSender(largeBytes, 0)
		results := s.start(t.Context(), first)
		first.send(largeBytes)
		held := (<-results).body
		waiting, left := newSender(largeBytes, 0), newSender(largeBytes, 0)
		ctx, cancel := context.WithCancelCause(t.Context())
		waitingResults, leftResults := s.start(t.Context(), waiting), s.start(ctx, left)
		waiting.send(1)
		left.send(1)
		time.Sleep(time.Second)
		cancel(io.ErrClosedPipe)
		assert.ErrorIs(t, (<-leftResults).err, io.ErrClosedPipe)
		got := <-waitingResults
		assert.ErrorIs(t, got.err, ErrNoRoom)
		assert.Equal(t, 3*time.Second, got.took)
		held.Release()
		assert.Equal(t, int64(0), s.held())
		assert.Equal(t, 0, s.budget.Waiting())
		assert.Equal(t, 0, len(s.reading))
	})
}

// TestBodyThatNeverFits guards against a wait of a body that is larger than the memory for all.
func TestBodyThatNeverFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, from := newStoreTest(), newSender(testMemory, 0)
		results := s.start(t.Context(), from)
		from.send(1)
		got := <-results
		assert.ErrorIs(t, got.err, ErrNoRoom)
		assert.Equal(t, time.Duration(0), got.took)
	})
}

// TestSlowSenderIsCut guards against a sender that stops and keeps room from others until its time is over.
func TestSlowSenderIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, slow, next := newStoreTest(), newSender(largeBytes, 0), newSender(largeBytes, 0)
		slowResults, nextResults := s.start(t.Context(), slow), s.start(t.Context(), next)
		slow.send(10)
		synctest.Wait()
		assert.Equal(t, true, next.send(largeBytes))
		got := <-slowResults
		assert.ErrorIs(t, got.err, ErrTooSlow)
		assert.Equal(t, 500*time.Millisecond, got.took)
		assert.Must(t, (<-nextResults).err)
	})
}

// TestReserve guards against room reserved beyond the bound, or not given back.
func TestReserve(t *testing.T) {
	s := newStoreTest()
	release, ok := s.Reserve(largeBytes)
	assert.Equal(t, true, ok)
	_, ok = s.Reserve(largeBytes)
	assert.Equal(t, false, ok)
	release()
	assert.Equal(t, int64(0), s.held())
	_, ok = s.Reserve(largeBytes)
	assert.Equal(t, true, ok)
}

// BenchmarkReadBody measures the reading of a body that has arrived.
func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int{1 << 10, 12 << 10, 1 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			content, s := strings.Repeat("b", size), NewStore(64<<20, testTimeout, func(string) {})
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				body, err := s.Read(b.Context(), Source{Body: strings.NewReader(content), Length: int64(size), Deadline: noDeadline{}})
				assert.Must(b, err)
				body.Release()
			}
		})
	}
}

// noDeadline ignores deadlines.
type noDeadline struct{}

// SetReadDeadline implements ReadDeadliner.
func (noDeadline) SetReadDeadline(time.Time) error { return nil }

// TestReserveAnswer guards against answers to slow callers that take the memory which the bodies of requests need.
func TestReserveAnswer(t *testing.T) {
	s := NewStore(100, time.Second, func(string) {})
	first, ok := s.ReserveAnswer(20)
	assert.Equal(t, true, ok)
	_, ok = s.ReserveAnswer(6)
	assert.Equal(t, false, ok)
	second, ok := s.ReserveAnswer(5)
	assert.Equal(t, true, ok)
	first()
	third, ok := s.ReserveAnswer(20)
	assert.Equal(t, true, ok)
	second()
	third()
	assert.Equal(t, int64(0), s.budget.Held())
	t.Run("bodies hold all of it", func(t *testing.T) {
		var held []func()
		for range 4 {
			release, ok := s.Reserve(25)
			assert.Equal(t, true, ok)
			held = append(held, release)
		}
		_, ok := s.ReserveAnswer(5)
		assert.Equal(t, false, ok)
		for _, release := range held {
			release()
		}
		_, ok = s.ReserveAnswer(25)
		assert.Equal(t, true, ok)
	})
	t.Run("no bound", func(t *testing.T) {
		_, ok := NewStore(0, time.Second, func(string) {}).ReserveAnswer(1 << 40)
		assert.Equal(t, true, ok)
	})
}
