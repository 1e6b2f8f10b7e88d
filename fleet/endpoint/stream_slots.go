package endpoint

import (
	"slices"
	"time"
)

const (
	// StreamSlotTime is how long a slot of StreamSlots accepts streams.
	StreamSlotTime = 2 * time.Second
	// slotStreams is the number of streams from which on a slot accepts no more.
	slotStreams = 128
	// maxUnwrittenStreams bounds the streams of slots that have not been written, whose records are to stay below 256 KB together.
	maxUnwrittenStreams = 8192
)

// StreamSlots groups the versions of streams into records, so that few calls write them. The record of a slot is written again until the slot
// is full, and is dropped when its streams are older than StreamMemory. The zero value is empty.
type StreamSlots[T any] struct {
	next int64
	// open are the slot that accepts streams, which is the last one, and those before it that have not been written.
	open []streamSlot[T]
	// closed are the slots that have been written and not been dropped, the oldest first.
	closed []closedSlot
}

// streamSlot is a slot of which the first streams have been written.
type streamSlot[T any] struct {
	sequence int64
	openedAt time.Time
	streams  []T
	written  int
}

// closedSlot is a slot that has been written and accepts no more streams.
type closedSlot struct {
	sequence int64
	closedAt time.Time
}

// SlotRecord is the record of a slot. Sequence numbers the slots; a process that starts again doesn't reuse the numbers of former ones.
type SlotRecord[T any] struct {
	Sequence int64
	Streams  []T
}

// PendingSlots is what is to be written of StreamSlots, and the numbers of the records that are to be deleted.
type PendingSlots[T any] struct {
	Records []SlotRecord[T]
	Dropped []int64
}

// Resume continues after the slots of former processes, which are dropped later.
func (s *StreamSlots[T]) Resume(now time.Time, former []int64) {
	for _, sequence := range slices.Sorted(slices.Values(former)) {
		s.closed = append(s.closed, closedSlot{sequence, now})
		s.next = max(s.next, sequence+1)
	}
	for i := range s.open {
		s.open[i].sequence = s.next
		s.next++
	}
}

// Add adds a stream to the current slot. It returns false if too many wait to be written.
func (s *StreamSlots[T]) Add(now time.Time, stream T) bool {
	unwritten := 0
	for _, slot := range s.open {
		unwritten += len(slot.streams) - slot.written
	}
	if unwritten >= maxUnwrittenStreams {
		return false
	}
	if n := len(s.open); n == 0 || len(s.open[n-1].streams) >= slotStreams || now.Sub(s.open[n-1].openedAt) >= StreamSlotTime {
		s.open = append(s.open, streamSlot[T]{sequence: s.next, openedAt: now})
		s.next++
		s.closeWritten(now)
	}
	current := &s.open[len(s.open)-1]
	current.streams = append(current.streams, stream)
	return true
}

// closeWritten closes the slots that have been written and accept no more streams.
func (s *StreamSlots[T]) closeWritten(now time.Time) {
	last := len(s.open) - 1
	var open []streamSlot[T]
	for i, slot := range s.open {
		if i < last && slot.written == len(slot.streams) {
			s.closed = append(s.closed, closedSlot{slot.sequence, now})
			continue
		}
		open = append(open, slot)
	}
	s.open = open
}

// Pending returns what waits to be written. It returns false if nothing does, however many records are to be deleted.
func (s *StreamSlots[T]) Pending(now time.Time) (PendingSlots[T], bool) {
	var pending PendingSlots[T]
	for _, slot := range s.open {
		if slot.written < len(slot.streams) {
			pending.Records = append(pending.Records, SlotRecord[T]{Sequence: slot.sequence, Streams: slices.Clip(slot.streams)})
		}
	}
	for _, c := range s.closed {
		if now.Sub(c.closedAt) > StreamMemory {
			pending.Dropped = append(pending.Dropped, c.sequence)
		}
	}
	return pending, len(pending.Records) > 0
}

// Acknowledge records what has been written and deleted.
func (s *StreamSlots[T]) Acknowledge(now time.Time, pending PendingSlots[T]) {
	s.closed = slices.DeleteFunc(s.closed, func(c closedSlot) bool { return slices.Contains(pending.Dropped, c.sequence) })
	for _, record := range pending.Records {
		for i := range s.open {
			if s.open[i].sequence == record.Sequence {
				s.open[i].written = max(s.open[i].written, len(record.Streams))
			}
		}
	}
	s.closeWritten(now)
}
