package memory

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Retention limits the entries that a stream retains. A zero field sets no limit.
type Retention struct {
	// Entries is the maximum number of entries that each stream retains.
	Entries int
	// Age is how long a stream retains an entry.
	Age time.Duration
}

// Log is an in-memory platform.Log. The zero value is empty, retains all entries and injects no faults.
type Log struct {
	Faults

	mutex     sync.Mutex
	retention Retention
	streams   map[string]*stream
	// appendInterval is the minimum time between two appends. nextAppendTime is the earliest time at which a new append
	// may take effect.
	appendInterval time.Duration
	nextAppendTime time.Time
}

// stream holds the retained entries of a stream, the first of which has the offset firstOffset. The element i of
// appendTimes is the append time of the entry i.
type stream struct {
	firstOffset platform.Offset
	entries     []platform.Entry
	appendTimes []time.Time
}

// SetRetention sets the retention of all streams. The next append to a stream, or read from it, drops the entries
// beyond it.
func (l *Log) SetRetention(retention Retention) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.retention = retention
}

// SetAppendRate limits the appends per second, counted over all streams. Appends above the rate wait. Zero sets no limit.
func (l *Log) SetAppendRate(perSecond int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appendInterval = 0
	if perSecond > 0 {
		l.appendInterval = time.Second / time.Duration(perSecond)
	}
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, payload []byte) (platform.Offset, error) {
	if err := l.Apply(ctx); err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", name, err)
	}
	if !clock.Sleep(ctx, l.reserveAppendSlot()) {
		return 0, fmt.Errorf("append to stream %s: %w: %w", name, platform.ErrUnavailable, ctx.Err())
	}
	offset := l.append(name, payload)
	if l.answerIsLost() {
		return 0, fmt.Errorf("append to stream %s: %w: answer lost", name, platform.ErrUnavailable)
	}
	return offset, nil
}

// reserveAppendSlot reserves the next time at which the append rate allows an append, and returns the wait until then.
func (l *Log) reserveAppendSlot() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.nextAppendTime.Before(now) {
		l.nextAppendTime = now
	}
	wait := l.nextAppendTime.Sub(now)
	l.nextAppendTime = l.nextAppendTime.Add(l.appendInterval)
	return wait
}

// append adds a copy of the payload to a stream, without faults, and returns its offset.
func (l *Log) append(name string, payload []byte) platform.Offset {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.streams == nil {
		l.streams = make(map[string]*stream)
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	offset := s.nextOffset()
	s.entries = append(s.entries, platform.Entry{Offset: offset, Payload: bytes.Clone(payload)})
	s.appendTimes = append(s.appendTimes, time.Now())
	s.trim(l.retention, time.Now())
	return offset
}

// Read implements platform.Log. It returns payloads of at most platform.MaxReadBytes in total, or a single
// longer one.
func (l *Log) Read(ctx context.Context, name string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if err := l.Apply(ctx); err != nil {
		return nil, fmt.Errorf("read stream %s: %w", name, err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.streams[name]
	if s == nil {
		return nil, nil
	}
	s.trim(l.retention, time.Now())
	if from < s.firstOffset {
		return nil, &platform.TruncatedError{Stream: name, First: s.firstOffset}
	}
	return s.readFrom(from, limit), nil
}

// nextOffset returns the offset of the next entry to be appended.
func (s *stream) nextOffset() platform.Offset { return s.firstOffset + platform.Offset(len(s.entries)) }

// readFrom returns copies of up to limit retained entries from an offset on, within platform.MaxReadBytes.
func (s *stream) readFrom(from platform.Offset, limit int) []platform.Entry {
	if from >= s.nextOffset() || limit <= 0 {
		return nil
	}
	var read []platform.Entry
	size := 0
	for _, entry := range s.entries[from-s.firstOffset:] {
		size += len(entry.Payload)
		if len(read) == limit || (len(read) > 0 && size > platform.MaxReadBytes) {
			break
		}
		entry.Payload = bytes.Clone(entry.Payload)
		read = append(read, entry)
	}
	return read
}

// trim drops the oldest entries of a stream until the rest meets both limits of the retention.
func (s *stream) trim(retention Retention, now time.Time) {
	dropCount := 0
	if retention.Entries > 0 {
		dropCount = max(0, len(s.entries)-retention.Entries)
	}
	if retention.Age > 0 {
		for dropCount < len(s.appendTimes) && now.Sub(s.appendTimes[dropCount]) >= retention.Age {
			dropCount++
		}
	}
	s.firstOffset += platform.Offset(dropCount)
	s.entries = s.entries[dropCount:]
	s.appendTimes = s.appendTimes[dropCount:]
}
