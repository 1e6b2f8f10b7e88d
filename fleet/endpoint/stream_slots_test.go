package endpoint

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// slotRecords are the records of StreamSlots on the platform.
type slotRecords map[int64][]int

// write writes what is pending, and adds streams before the write is acknowledged.
func (r slotRecords) write(now time.Time, s *StreamSlots[int], meanwhile ...int) (written int) {
	pending, _ := s.Pending(now)
	for _, record := range pending.Records {
		r[record.Sequence] = record.Streams
		written += len(record.Streams)
	}
	for _, dropped := range pending.Dropped {
		delete(r, dropped)
	}
	for _, stream := range meanwhile {
		s.Add(now, stream)
	}
	s.Acknowledge(now, pending)
	return written
}

// TestStreamSlots guards against records that are dropped while their streams may still be resumed, that stay for ever, that are written many
// times, or never.
func TestStreamSlots(t *testing.T) {
	const writesPerSecond = 4
	start := time.Unix(1, 0)
	for _, perWrite := range []int{1, 3, 250} {
		var s StreamSlots[int]
		records, newest, written := make(slotRecords), 0, 0
		end := start.Add(3 * StreamMemory)
		for now := start; now.Before(end); now = now.Add(time.Second / writesPerSecond) {
			var added []int
			for range perWrite {
				newest++
				added = append(added, newest)
			}
			written += records.write(now, &s, added...)
		}
		records.write(end, &s)
		held := make(map[int]bool)
		for _, streams := range records {
			for _, stream := range streams {
				held[stream] = true
			}
		}
		perSecond := perWrite * writesPerSecond
		inMemory := perSecond * int(StreamMemory/time.Second)
		missing := 0
		for stream := newest - inMemory + 1; stream <= newest; stream++ {
			if !held[stream] {
				missing++
			}
		}
		assert.Equal(t, 0, missing)
		assert.Equal(t, true, len(held) <= inMemory+2*perSecond*int(StreamSlotTime/time.Second))
		assert.Equal(t, true, written <= newest*writesPerSecond*int(StreamSlotTime/time.Second))
		if perWrite > slotStreams {
			assert.Equal(t, true, written <= 2*newest)
		}
	}
	t.Run("streams wait to be written", func(t *testing.T) {
		var s StreamSlots[int]
		records := make(slotRecords)
		for i := range 100 {
			s.Add(start.Add(time.Duration(i)*time.Second), i)
		}
		assert.Equal(t, 100, records.write(start, &s, 100))
		assert.Equal(t, true, records.write(start, &s) > 0)
		assert.Equal(t, 0, records.write(start, &s))
	})
	t.Run("too many wait", func(t *testing.T) {
		var s StreamSlots[int]
		for i := range maxUnwrittenStreams {
			assert.Equal(t, true, s.Add(start, i))
		}
		assert.Equal(t, false, s.Add(start, 0))
		assert.Equal(t, maxUnwrittenStreams, make(slotRecords).write(start, &s))
		assert.Equal(t, true, s.Add(start, 0))
	})
	t.Run("a late acknowledgement of a part", func(t *testing.T) {
		var s StreamSlots[int]
		s.Add(start, 0)
		early, _ := s.Pending(start)
		s.Add(start, 1)
		records := make(slotRecords)
		records.write(start, &s)
		s.Acknowledge(start, early)
		assert.Equal(t, 0, records.write(start, &s))
	})
	t.Run("a process that starts again", func(t *testing.T) {
		var s StreamSlots[int]
		s.Add(start, 0)
		s.Resume(start, []int64{41, 7})
		s.Add(start, 1)
		pending, _ := s.Pending(start.Add(StreamMemory))
		assert.Equal(t, PendingSlots[int]{Records: []SlotRecord[int]{{Sequence: 42, Streams: []int{0, 1}}}}, pending)
		pending, _ = s.Pending(start.Add(StreamMemory + 1))
		assert.Equal(t, []int64{7, 41}, pending.Dropped)
	})
}
