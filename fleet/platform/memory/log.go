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

// Retention says how long entries are kept. A zero field sets no bound.
type Retention struct {
	// Entries is how many entries each stream keeps.
	Entries int
	// Age is how long an entry is kept.
	Age time.Duration
}

// Log is an in-memory platform.Log. Its zero value is empty, keeps everything and has no faults.
type Log struct {
	Faults

	mutex     sync.Mutex
	retention Retention
	streams   map[string]*stream
	// interval lies between two appends; nextAppend is when the next one may take effect.
	interval   time.Duration
	nextAppend time.Time
}

// stream holds the kept entries; times runs parallel to entries.
type stream struct {
	first   platform.Offset
	entries []platform.Entry
	times   []time.Time
}

// Retain sets the retention of all streams. What it no longer covers is dropped at the next call.
func (l *Log) Retain(retention Retention) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.retention = retention
}

// SetAppendRate bounds the appends of all streams together; those above the rate wait. Zero sets no bound.
func (l *Log) SetAppendRate(perSecond int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.interval = 0
	if perSecond > 0 {
		l.interval = time.Second / time.Duration(perSecond)
	}
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, payload []byte) (platform.Offset, error) {
	if err := l.Enter(ctx); err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", name, err)
	}
	if !clock.Sleep(ctx, l.reserveAppend()) {
		return 0, fmt.Errorf("append to stream %s: %w: %w", name, platform.ErrUnavailable, ctx.Err())
	}
	offset := l.append(name, payload)
	if l.losesAnswer() {
		return 0, fmt.Errorf("append to stream %s: %w: answer lost", name, platform.ErrUnavailable)
	}
	return offset, nil
}

// reserveAppend takes the next place of the append rate and returns the time until then.
func (l *Log) reserveAppend() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.nextAppend.Before(now) {
		l.nextAppend = now
	}
	wait := l.nextAppend.Sub(now)
	l.nextAppend = l.nextAppend.Add(l.interval)
	return wait
}

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
	offset := s.next()
	s.entries = append(s.entries, platform.Entry{Offset: offset, Payload: bytes.Clone(payload)})
	s.times = append(s.times, time.Now())
	s.trim(l.retention, time.Now())
	return offset
}

// Read implements platform.Log. An answer holds at most platform.MaxReadBytes of payload, but
// always one entry if there is one.
func (l *Log) Read(ctx context.Context, name string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if err := l.Enter(ctx); err != nil {
		return nil, fmt.Errorf("read stream %s: %w", name, err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.streams[name]
	if s == nil {
		return nil, nil
	}
	s.trim(l.retention, time.Now())
	if from < s.first {
		return nil, &platform.TruncatedError{Stream: name, First: s.first}
	}
	return s.read(from, limit), nil
}

func (s *stream) next() platform.Offset { return s.first + platform.Offset(len(s.entries)) }

func (s *stream) read(from platform.Offset, limit int) []platform.Entry {
	if from >= s.next() || limit <= 0 {
		return nil
	}
	var read []platform.Entry
	size := 0
	for _, entry := range s.entries[from-s.first:] {
		size += len(entry.Payload)
		if len(read) == limit || (len(read) > 0 && size > platform.MaxReadBytes) {
			break
		}
		entry.Payload = bytes.Clone(entry.Payload)
		read = append(read, entry)
	}
	return read
}

// trim drops what the retention no longer covers.
func (s *stream) trim(retention Retention, now time.Time) {
	drop := 0
	if retention.Entries > 0 {
		drop = max(0, len(s.entries)-retention.Entries)
	}
	if retention.Age > 0 {
		for drop < len(s.times) && now.Sub(s.times[drop]) >= retention.Age {
			drop++
		}
	}
	s.first += platform.Offset(drop)
	s.entries = s.entries[drop:]
	s.times = s.times[drop:]
}
