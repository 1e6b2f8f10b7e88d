package endpoint

import "time"

const (
	// StreamSlotTime is how long a slot of StreamSlots accepts streams.
	StreamSlotTime = 2 * time.Second
	// StreamSlotCount is the number of slots that hold the streams of StreamMemory.
	StreamSlotCount = int64(StreamMemory / StreamSlotTime)
	// maxSlotStreams bounds the streams of a slot, whose record is to stay below 256 KB.
	maxSlotStreams = 8192
)

// StreamSlots groups the versions of streams into records of a ring, each of which is written again until its slot is full. A record that
// takes the place of an older one thus drops only streams older than StreamMemory. The zero value is empty.
type StreamSlots[T any] struct {
	sequence     int64
	openedAt     time.Time
	streams      []T
	acknowledged int
}

// SlotRecord is what is to be written to a slot of the ring.
type SlotRecord[T any] struct {
	// Sequence numbers the records of a ring. It is not reused after the process has started again.
	Sequence int64
	Streams  []T
}

// Slot returns the slot in the ring.
func (r SlotRecord[T]) Slot() int64 { return r.Sequence % StreamSlotCount }

// Resume continues a ring after the highest sequence number that it holds.
func (s *StreamSlots[T]) Resume(highest int64) { s.sequence = max(s.sequence, highest+1) }

// Add adds a stream to the current slot. It returns false if too many wait to be acknowledged.
func (s *StreamSlots[T]) Add(now time.Time, stream T) bool {
	isOld := now.Sub(s.openedAt) >= StreamSlotTime || len(s.streams) >= maxSlotStreams
	if isOld && s.acknowledged == len(s.streams) {
		if len(s.streams) > 0 {
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
func (s *StreamSlots[T]) Pending() (SlotRecord[T], bool) {
	return SlotRecord[T]{Sequence: s.sequence, Streams: s.streams[:len(s.streams):len(s.streams)]}, s.acknowledged < len(s.streams)
}

// Acknowledge records that a record has been written.
func (s *StreamSlots[T]) Acknowledge(written SlotRecord[T]) {
	if written.Sequence == s.sequence {
		s.acknowledged = max(s.acknowledged, len(written.Streams))
	}
}
