package memory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// KeyedLog is an in-memory platform.KeyedLog. It retains all records until Expire is called. The zero value is empty and
// injects no faults.
type KeyedLog struct {
	Faults

	mutex      sync.Mutex
	partitions map[partitionKey]*partitionState
	// pendingRefusals is the number of further calls that fail with platform.ErrRefused.
	pendingRefusals int
	// delaysAppends is true while appends are stored in delayedAppends, to take effect in ApplyDelayedAppends.
	delaysAppends  bool
	delayedAppends []func()
}

// partitionKey identifies a partition of a topic.
type partitionKey struct {
	topic     string
	partition int
}

// partitionState holds the records of a partition from firstOffset on, and the newest value of each key.
type partitionState struct {
	firstOffset int64
	records     []platform.KeyedRecord
	newest      map[string][]byte
}

// RefuseCalls makes the next n calls fail with platform.ErrRefused and without effect.
func (l *KeyedLog) RefuseCalls(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pendingRefusals = n
}

// SetAppendsDelayed switches the delay of appends on or off. While it is on, appends fail with platform.ErrUnavailable
// and take effect only when ApplyDelayedAppends is called, if the partition still ends at the expected offset.
func (l *KeyedLog) SetAppendsDelayed(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delaysAppends = on
}

// ApplyDelayedAppends applies the delayed appends in the order in which they were called.
func (l *KeyedLog) ApplyDelayedAppends() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, apply := range l.delayedAppends {
		apply()
	}
	l.delayedAppends = nil
}

// Expire drops all records of all partitions except for the newest record of each key.
func (l *KeyedLog) Expire() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, p := range l.partitions {
		p.firstOffset += int64(len(p.records))
		p.records = nil
	}
}

// applyFaults waits for the configured delay, and fails during an outage or if RefuseCalls applies to the call.
func (l *KeyedLog) applyFaults(ctx context.Context) error {
	if err := l.Apply(ctx); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pendingRefusals > 0 {
		l.pendingRefusals--
		return platform.ErrRefused
	}
	return nil
}

// partitionLocked returns the state of a partition and creates it if necessary. The caller must hold the mutex.
func (l *KeyedLog) partitionLocked(topic string, partition int) *partitionState {
	key := partitionKey{topic, partition}
	if l.partitions == nil {
		l.partitions = make(map[partitionKey]*partitionState)
	}
	if l.partitions[key] == nil {
		l.partitions[key] = &partitionState{newest: make(map[string][]byte)}
	}
	return l.partitions[key]
}

// end returns the offset that the next record appended to the partition will get.
func (p *partitionState) end() int64 { return p.firstOffset + int64(len(p.records)) }

// Newest implements platform.KeyedLog.
func (l *KeyedLog) Newest(ctx context.Context, topic string, partition int) (platform.KeyedState, error) {
	if err := l.applyFaults(ctx); err != nil {
		return platform.KeyedState{}, fmt.Errorf("read newest records of %s: %w", topic, err)
	}
	return l.State(topic, partition), nil
}

// State returns the newest records of a partition, regardless of faults.
func (l *KeyedLog) State(topic string, partition int) platform.KeyedState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p := l.partitionLocked(topic, partition)
	state := platform.KeyedState{End: p.end()}
	for key, value := range p.newest {
		state.Records = append(state.Records, platform.KeyedRecord{Key: key, Value: slices.Clone(value)})
	}
	return state
}

// ReadKeyed implements platform.KeyedLog.
func (l *KeyedLog) ReadKeyed(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.KeyedTail, error) {
	for waitEnd := time.Now().Add(wait); ; {
		if err := l.applyFaults(ctx); err != nil {
			return platform.KeyedTail{}, fmt.Errorf("read %s: %w", topic, err)
		}
		tail, err := l.tailFrom(topic, partition, from)
		if err != nil || len(tail.Records) > 0 || !time.Now().Before(waitEnd) {
			return tail, err
		}
		if !clock.Sleep(ctx, readPollInterval) {
			return platform.KeyedTail{}, ctx.Err()
		}
	}
}

// readPollInterval is the interval at which ReadKeyed checks for new records while it waits.
const readPollInterval = 10 * time.Millisecond

// tailFrom returns the records of a partition from an offset on, or platform.ErrTrimmed if the offset has expired.
func (l *KeyedLog) tailFrom(topic string, partition int, from int64) (platform.KeyedTail, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p := l.partitionLocked(topic, partition)
	if from < p.firstOffset {
		return platform.KeyedTail{}, platform.ErrTrimmed
	}
	if from >= p.end() {
		return platform.KeyedTail{Next: from}, nil
	}
	return platform.KeyedTail{Records: slices.Clone(p.records[from-p.firstOffset:]), Next: p.end()}, nil
}

// AppendAt implements platform.KeyedLog.
func (l *KeyedLog) AppendAt(ctx context.Context, topic string, partition int, end int64, records []platform.KeyedRecord) (int64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, fmt.Errorf("append to %s: %w", topic, err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p := l.partitionLocked(topic, partition)
	if l.delaysAppends {
		l.delayedAppends = append(l.delayedAppends, func() { p.append(end, records) })
		return 0, fmt.Errorf("append to %s: %w", topic, platform.ErrUnavailable)
	}
	if !p.append(end, records) {
		return p.end(), fmt.Errorf("append to %s: %w", topic, platform.ErrConflict)
	}
	if l.answerIsLost() {
		return 0, fmt.Errorf("append to %s: %w: answer lost", topic, platform.ErrUnavailable)
	}
	return p.end(), nil
}

// append adds the records and returns true if the partition ends at the expected offset or that offset is
// platform.AnyOffset.
func (p *partitionState) append(end int64, records []platform.KeyedRecord) bool {
	if end != platform.AnyOffset && end != p.end() {
		return false
	}
	for _, r := range records {
		p.records = append(p.records, r)
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
			continue
		}
		p.newest[r.Key] = r.Value
	}
	return true
}
