package ledgerstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// fakeLog is a log in memory, which each client reaches over a link of its own.
type fakeLog struct {
	mu      sync.Mutex
	entries map[string][][]byte
	// times are when the entries were appended.
	times map[string][]time.Time
	// first is the lowest offset that the ledger's stream keeps.
	first   platform.Offset
	down    bool
	appends int
	bytes   int
	random  *rand.Rand
}

// fakeLink is a client's way to the log, with the faults of that way.
type fakeLink struct {
	log *fakeLog
	// delay is the time of a call; silent links let calls time out, down ones fail at once.
	delay  time.Duration
	down   bool
	silent bool
	// blind links fail reads only, mute ones let appends time out.
	blind bool
	mute  bool
	// lostAnswers and copies are the parts of appends whose answer is lost after they took effect and
	// that take effect twice; half of the copies are late.
	lostAnswers float64
	copies      float64
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{entries: map[string][][]byte{}, times: map[string][]time.Time{}, random: rand.New(rand.NewPCG(seed, 0))}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) append(stream string, payload []byte) platform.Offset {
	l.entries[stream] = append(l.entries[stream], payload)
	l.times[stream] = append(l.times[stream], time.Now())
	l.appends++
	l.bytes += len(payload)
	return platform.Offset(len(l.entries[stream]) - 1)
}

// entriesFrom returns what a stream holds from an offset on, up to limit entries.
func (l *fakeLog) entriesFrom(stream string, from platform.Offset, limit int) []platform.Entry {
	entries := []platform.Entry{}
	for i := int(from); i < len(l.entries[stream]) && len(entries) < limit; i++ {
		entries = append(entries, platform.Entry{Offset: platform.Offset(i), Payload: l.entries[stream][i]})
	}
	return entries
}

// enter waits for the call's time and reports whether the call reaches the log.
func (k *fakeLink) enter(ctx context.Context) error {
	k.log.mu.Lock()
	delay, silent := k.delay, k.silent
	k.log.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	waitForSignal(ctx, nil, delay)
	k.log.mu.Lock()
	defer k.log.mu.Unlock()
	if k.down || k.log.down || k.silent || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (k *fakeLink) Append(ctx context.Context, stream string, payload []byte) (platform.Offset, error) {
	k.log.mu.Lock()
	mute := k.mute
	k.log.mu.Unlock()
	if mute {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if err := k.enter(ctx); err != nil {
		return 0, err
	}
	l := k.log
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.append(stream, payload)
	if l.random.Float64() < k.copies/2 {
		l.append(stream, payload)
	}
	if l.random.Float64() < k.copies/2 {
		late := time.Duration(l.random.Int64N(int64(time.Second)))
		time.AfterFunc(late, func() { l.set(func() { l.append(stream, payload) }) })
	}
	if l.random.Float64() < k.lostAnswers {
		return 0, platform.ErrUnavailable
	}
	return offset, nil
}

func (k *fakeLink) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if err := k.enter(ctx); err != nil {
		return nil, err
	}
	l := k.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.blind {
		return nil, platform.ErrUnavailable
	}
	if stream == platform.LedgerStream(0) && from < l.first {
		return nil, &platform.TruncatedError{Stream: stream, First: l.first}
	}
	return l.entriesFrom(stream, from, limit), nil
}
