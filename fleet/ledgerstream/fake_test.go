package ledgerstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// fakeLog is an in-memory log. Each client reaches it over its own fakeLink.
type fakeLog struct {
	mu      sync.Mutex
	entries map[string][][]byte
	// appendedAt holds the times of the appends of each stream's entries.
	appendedAt map[string][]time.Time
	// firstOffset is the lowest offset that the ledger's stream still has.
	firstOffset platform.Offset
	down        bool
	appends     int
	bytes       int
	random      *rand.Rand
}

// fakeLink is a client's connection to the log, with the faults to inject into it.
type fakeLink struct {
	log *fakeLog
	// delay is the duration of a call. If hangs is true, calls time out; if down is true, they fail after delay.
	delay time.Duration
	down  bool
	hangs bool
	// failsReads makes reads fail, and hangsAppends makes appends time out.
	failsReads   bool
	hangsAppends bool
	// lostAnswerRate is the fraction of appends that take effect although the caller gets an error. duplicateRate
	// is the fraction that take effect twice; half of the duplicates are appended with a delay.
	lostAnswerRate float64
	duplicateRate  float64
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{entries: map[string][][]byte{}, appendedAt: map[string][]time.Time{}, random: rand.New(rand.NewPCG(seed, 0))}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) append(stream string, payload []byte) platform.Offset {
	l.entries[stream] = append(l.entries[stream], payload)
	l.appendedAt[stream] = append(l.appendedAt[stream], time.Now())
	l.appends++
	l.bytes += len(payload)
	return platform.Offset(len(l.entries[stream]) - 1)
}

// entriesFrom returns up to limit entries of a stream, beginning with offset from.
func (l *fakeLog) entriesFrom(stream string, from platform.Offset, limit int) []platform.Entry {
	entries := []platform.Entry{}
	for i := int(from); i < len(l.entries[stream]) && len(entries) < limit; i++ {
		entries = append(entries, platform.Entry{Offset: platform.Offset(i), Payload: l.entries[stream][i]})
	}
	return entries
}

// startCall waits for the duration of a call and returns an error if the call does not reach the log.
func (k *fakeLink) startCall(ctx context.Context) error {
	k.log.mu.Lock()
	delay, hangs := k.delay, k.hangs
	k.log.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	waitForSignal(ctx, nil, delay)
	k.log.mu.Lock()
	defer k.log.mu.Unlock()
	if k.down || k.log.down || k.hangs || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (k *fakeLink) Append(ctx context.Context, stream string, payload []byte) (platform.Offset, error) {
	k.log.mu.Lock()
	hangs := k.hangsAppends
	k.log.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if err := k.startCall(ctx); err != nil {
		return 0, err
	}
	l := k.log
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.append(stream, payload)
	if l.random.Float64() < k.duplicateRate/2 {
		l.append(stream, payload)
	}
	if l.random.Float64() < k.duplicateRate/2 {
		duplicateDelay := time.Duration(l.random.Int64N(int64(time.Second)))
		time.AfterFunc(duplicateDelay, func() { l.set(func() { l.append(stream, payload) }) })
	}
	if l.random.Float64() < k.lostAnswerRate {
		return 0, platform.ErrUnavailable
	}
	return offset, nil
}

func (k *fakeLink) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if err := k.startCall(ctx); err != nil {
		return nil, err
	}
	l := k.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.failsReads {
		return nil, platform.ErrUnavailable
	}
	if stream == platform.LedgerStream(0) && from < l.firstOffset {
		return nil, &platform.TruncatedError{Stream: stream, First: l.firstOffset}
	}
	return l.entriesFrom(stream, from, limit), nil
}
