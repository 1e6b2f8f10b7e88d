package endpoint

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestStreamSlots guards against records that take the place of streams that may still be resumed, and against streams that are never written.
func TestStreamSlots(t *testing.T) {
	start := time.Unix(1, 0)
	write := func(ring map[int64][]int, s *StreamSlots[int]) {
		if record, ok := s.Pending(); ok {
			ring[record.Slot()] = record.Streams
			s.Acknowledge(record)
		}
	}
	t.Run("a ring holds the streams of StreamMemory", func(t *testing.T) {
		var s StreamSlots[int]
		ring := make(map[int64][]int)
		last := int(3 * StreamMemory / time.Second)
		for i := range last + 1 {
			assert.Equal(t, true, s.Add(start.Add(time.Duration(i)*time.Second), i))
			write(ring, &s)
		}
		held := make(map[int]bool)
		for _, streams := range ring {
			for _, stream := range streams {
				held[stream] = true
			}
		}
		for i := last - int((StreamMemory-StreamSlotTime)/time.Second); i <= last; i++ {
			assert.Equal(t, true, held[i])
		}
		assert.Equal(t, true, len(ring) <= int(StreamSlotCount))
	})
	t.Run("streams wait for an acknowledgement", func(t *testing.T) {
		var s StreamSlots[int]
		for i := range 100 {
			s.Add(start.Add(time.Duration(i)*time.Second), i)
		}
		record, ok := s.Pending()
		assert.Equal(t, true, ok)
		assert.Equal(t, 100, len(record.Streams))
		s.Add(start.Add(100*time.Second), 100)
		s.Acknowledge(record)
		record, ok = s.Pending()
		assert.Equal(t, true, ok)
		assert.Equal(t, 101, len(record.Streams))
	})
	t.Run("too many wait", func(t *testing.T) {
		var s StreamSlots[int]
		for i := range maxSlotStreams {
			assert.Equal(t, true, s.Add(start, i))
		}
		assert.Equal(t, false, s.Add(start, 0))
		record, _ := s.Pending()
		s.Acknowledge(record)
		assert.Equal(t, true, s.Add(start, 0))
		next, _ := s.Pending()
		assert.Equal(t, record.Sequence+1, next.Sequence)
	})
	t.Run("a late acknowledgement of an earlier slot", func(t *testing.T) {
		var s StreamSlots[int]
		s.Add(start, 0)
		early, _ := s.Pending()
		s.Acknowledge(early)
		s.Add(start.Add(StreamSlotTime), 1)
		s.Acknowledge(early)
		_, ok := s.Pending()
		assert.Equal(t, true, ok)
	})
	t.Run("a process that starts again", func(t *testing.T) {
		var s StreamSlots[int]
		s.Resume(41)
		s.Add(start, 0)
		record, _ := s.Pending()
		assert.Equal(t, int64(42), record.Sequence)
	})
}
