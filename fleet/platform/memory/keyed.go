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

// KeyedLog is an in-memory platform.KeyedLog whose history expires at once when Expire is called. Its zero value is empty
// and has no faults.
type KeyedLog struct {
	Faults

	mutex  sync.Mutex
	topics map[keyedPartition]*keyedTopic
	// refuse makes the next calls fail with ErrRefused; late holds appends that take effect later.
	refuse   int
	holdBack bool
	late     []func()
}

type keyedPartition struct {
	topic     string
	partition int
}

// keyedTopic holds a partition: its history from first on and the newest record of each key.
type keyedTopic struct {
	first   int64
	records []platform.KeyedRecord
	newest  map[string][]byte
}

// RefuseCalls makes the next calls fail without doing anything.
func (l *KeyedLog) RefuseCalls(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuse = n
}

// HoldBack makes appends get no answer and take effect only in Release, if their condition still holds then.
func (l *KeyedLog) HoldBack(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.holdBack = on
}

// Release lets the appends that were held back take effect.
func (l *KeyedLog) Release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, apply := range l.late {
		apply()
	}
	l.late = nil
}

// Expire forgets the history of all partitions. The newest record of each key stays.
func (l *KeyedLog) Expire() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, t := range l.topics {
		t.first += int64(len(t.records))
		t.records = nil
	}
}

func (l *KeyedLog) enter(ctx context.Context) error {
	if err := l.Enter(ctx); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.refuse > 0 {
		l.refuse--
		return platform.ErrRefused
	}
	return nil
}

func (l *KeyedLog) topicLocked(topic string, partition int) *keyedTopic {
	key := keyedPartition{topic, partition}
	if l.topics == nil {
		l.topics = make(map[keyedPartition]*keyedTopic)
	}
	if l.topics[key] == nil {
		l.topics[key] = &keyedTopic{newest: make(map[string][]byte)}
	}
	return l.topics[key]
}

func (t *keyedTopic) end() int64 { return t.first + int64(len(t.records)) }

// Newest implements platform.KeyedLog.
func (l *KeyedLog) Newest(ctx context.Context, topic string, partition int) (platform.KeyedState, error) {
	if err := l.enter(ctx); err != nil {
		return platform.KeyedState{}, fmt.Errorf("newest of %s: %w", topic, err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t := l.topicLocked(topic, partition)
	state := platform.KeyedState{End: t.end()}
	for key, value := range t.newest {
		state.Records = append(state.Records, platform.KeyedRecord{Key: key, Value: slices.Clone(value)})
	}
	return state, nil
}

// ReadKeyed implements platform.KeyedLog.
func (l *KeyedLog) ReadKeyed(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.KeyedTail, error) {
	for end := time.Now().Add(wait); ; {
		if err := l.enter(ctx); err != nil {
			return platform.KeyedTail{}, fmt.Errorf("read %s: %w", topic, err)
		}
		tail, err := l.tail(topic, partition, from)
		if err != nil || len(tail.Records) > 0 || !time.Now().Before(end) {
			return tail, err
		}
		if !clock.Sleep(ctx, keyedPoll) {
			return platform.KeyedTail{}, ctx.Err()
		}
	}
}

// keyedPoll is how often a read that waits looks for records.
const keyedPoll = 10 * time.Millisecond

func (l *KeyedLog) tail(topic string, partition int, from int64) (platform.KeyedTail, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t := l.topicLocked(topic, partition)
	if from < t.first {
		return platform.KeyedTail{}, platform.ErrTrimmed
	}
	if from >= t.end() {
		return platform.KeyedTail{Next: from}, nil
	}
	return platform.KeyedTail{Records: slices.Clone(t.records[from-t.first:]), Next: t.end()}, nil
}

// AppendAt implements platform.KeyedLog.
func (l *KeyedLog) AppendAt(ctx context.Context, topic string, partition int, at int64, records []platform.KeyedRecord) (int64, error) {
	if err := l.enter(ctx); err != nil {
		return 0, fmt.Errorf("append to %s: %w", topic, err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t := l.topicLocked(topic, partition)
	if l.holdBack {
		l.late = append(l.late, func() { t.append(at, records) })
		return 0, fmt.Errorf("append to %s: %w", topic, platform.ErrUnavailable)
	}
	if !t.append(at, records) {
		return t.end(), fmt.Errorf("append to %s: %w", topic, platform.ErrMoved)
	}
	if l.losesAnswer() {
		return 0, fmt.Errorf("append to %s: %w: answer lost", topic, platform.ErrUnavailable)
	}
	return t.end(), nil
}

// append adds records if the partition ends at the offset.
func (t *keyedTopic) append(at int64, records []platform.KeyedRecord) bool {
	if at != platform.AnyOffset && at != t.end() {
		return false
	}
	for _, r := range records {
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r.Value
	}
	return true
}
