package endpoint

import (
	"slices"
	"time"
)

const (
	// StreamSlotTime is how long a slot of StreamSlots accepts streams.
	StreamSlotTime = 2 * time.Second
	// fullSlotStreams is the number of streams from which on a slot that has been written accepts no more, maxSlotStreams that of a slot that
	// can't be written, whose record is to stay below 256 KB.
	fullSlotStreams = 128
	maxSlotStreams  = 8192
)

// StreamSlots groups the versions of streams into records, so that few calls write them. The record of a slot is written again until the slot
// is full, and is dropped when its streams are older than StreamMemory. The zero value is empty.
type StreamSlots[T any] struct {
	sequence     int64
	openedAt     time.Time
	streams      []T
	acknowledged int
	// closed are the earlier slots that have not been dropped, the oldest first.
	closed []closedSlot
}

// closedSlot is a slot that accepts no more streams.
type closedSlot struct {
	sequence int64
	closedAt time.Time
}

// SlotRecord is what is to be written of StreamSlots.
type SlotRecord[T any] struct {
	// Sequence numbers the slots. A process that starts again doesn't reuse the numbers of former ones.
	Sequence int64
	Streams  []T
	// Dropped are the slots whose records are to be deleted.
	Dropped []int64
}

// Resume continues after the slots of former processes, which are dropped later.
func (s *StreamSlots[T]) Resume(now time.Time, former []int64) {
	for _, sequence := range slices.Sorted(slices.Values(former)) {
		s.closed = append(s.closed, closedSlot{sequence, now})
		s.sequence = max(s.sequence, sequence+1)
	}
}

// Add adds a stream to the current slot. It returns false if too many wait to be acknowledged.
func (s *StreamSlots[T]) Add(now time.Time, stream T) bool {
	isFull := len(s.streams) >= fullSlotStreams || now.Sub(s.openedAt) >= StreamSlotTime
	if isFull && s.acknowledged == len(s.streams) {
		if len(s.streams) > 0 {
			s.closed = append(s.closed, closedSlot{s.sequence, now})
			s.sequence++
		}
		s.openedAt, s.streams, s.acknowledged = now, nil, 0
	}
	if len(s.streams) >= maxSlotStreams {
		return false
	}
	s.streams = append(s.streams, stream)
	return true
}

// Pending returns the record of the current slot, and false if nothing of it waits to be acknowledged.
func (s *StreamSlots[T]) Pending(now time.Time) (SlotRecord[T], bool) {
	record := SlotRecord[T]{Sequence: s.sequence, Streams: slices.Clip(s.streams)}
	for _, c := range s.closed {
		if now.Sub(c.closedAt) > StreamMemory {
			record.Dropped = append(record.Dropped, c.sequence)
		}
	}
	return record, s.acknowledged < len(s.streams)
}

// Acknowledge records that a record has been written.
func (s *StreamSlots[T]) Acknowledge(written SlotRecord[T]) {
	s.closed = slices.DeleteFunc(s.closed, func(c closedSlot) bool { return slices.Contains(written.Dropped, c.sequence) })
	if written.Sequence == s.sequence {
		s.acknowledged = max(s.acknowledged, len(written.Streams))
	}
}
