package endpoint

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// slotRecords are the records of StreamSlots on the platform.
type slotRecords map[int64][]int

func (r slotRecords) write(now time.Time, s *StreamSlots[int]) {
	record, ok := s.Pending(now)
	if !ok {
		return
	}
	r[record.Sequence] = record.Streams
	for _, dropped := range record.Dropped {
		delete(r, dropped)
	}
	s.Acknowledge(record)
}

// TestStreamSlots guards against records that are dropped while their streams may still be resumed, that stay for ever, or that are never
// written.
func TestStreamSlots(t *testing.T) {
	const writesPerSecond = 4
	start := time.Unix(1, 0)
	for _, perWrite := range []int{1, 3, 250} {
		var s StreamSlots[int]
		records, newest := make(slotRecords), 0
		end := start.Add(3 * StreamMemory)
		for now := start; now.Before(end); now = now.Add(time.Second / writesPerSecond) {
			for range perWrite {
				newest++
				assert.Equal(t, true, s.Add(now, newest))
			}
			records.write(now, &s)
		}
		held := make(map[int]bool)
		for _, streams := range records {
			for _, stream := range streams {
				held[stream] = true
			}
		}
		perSecond := perWrite * writesPerSecond
		inMemory := perSecond * int(StreamMemory/time.Second)
		for stream := newest - inMemory + 1; stream <= newest; stream++ {
			assert.Equal(t, true, held[stream])
		}
		assert.Equal(t, true, len(held) <= inMemory+2*perSecond*int(StreamSlotTime/time.Second))
	}
	t.Run("streams wait for an acknowledgement", func(t *testing.T) {
		var s StreamSlots[int]
		for i := range 100 {
			s.Add(start.Add(time.Duration(i)*time.Second), i)
		}
		record, ok := s.Pending(start)
		assert.Equal(t, true, ok)
		assert.Equal(t, 100, len(record.Streams))
		s.Add(start.Add(100*time.Second), 100)
		s.Acknowledge(record)
		record, ok = s.Pending(start)
		assert.Equal(t, true, ok)
		assert.Equal(t, 101, len(record.Streams))
	})
	t.Run("too many wait", func(t *testing.T) {
		var s StreamSlots[int]
		for i := range maxSlotStreams {
			assert.Equal(t, true, s.Add(start, i))
		}
		assert.Equal(t, false, s.Add(start, 0))
		record, _ := s.Pending(start)
		s.Acknowledge(record)
		assert.Equal(t, true, s.Add(start, 0))
		next, _ := s.Pending(start)
		assert.Equal(t, record.Sequence+1, next.Sequence)
	})
	t.Run("a late acknowledgement of an earlier slot", func(t *testing.T) {
		var s StreamSlots[int]
		s.Add(start, 0)
		early, _ := s.Pending(start)
		s.Acknowledge(early)
		s.Add(start.Add(StreamSlotTime), 1)
		s.Acknowledge(early)
		_, ok := s.Pending(start)
		assert.Equal(t, true, ok)
	})
	t.Run("a process that starts again", func(t *testing.T) {
		var s StreamSlots[int]
		s.Resume(start, []int64{41, 7})
		s.Add(start, 0)
		record, _ := s.Pending(start.Add(StreamMemory))
		assert.Equal(t, SlotRecord[int]{Sequence: 42, Streams: []int{0}}, record)
		record, _ = s.Pending(start.Add(StreamMemory + 1))
		assert.Equal(t, []int64{7, 41}, record.Dropped)
	})
}
