package memory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// record returns a slice of one record with the key "a" and the given value.
func record(value string) []platform.KeyedRecord {
	return []platform.KeyedRecord{{Key: "a", Value: []byte(value)}}
}

func TestKeyedLog(t *testing.T) {
	t.Run("conditional append", func(t *testing.T) {
		l := &KeyedLog{}
		end, err := l.AppendAt(t.Context(), "topic", 0, 0, record("1"))
		assert.NoError(t, err)
		assert.Equal(t, int64(1), end)
		_, err = l.AppendAt(t.Context(), "topic", 0, 0, record("2"))
		assert.ErrorIs(t, err, platform.ErrConflict)
		_, err = l.AppendAt(t.Context(), "topic", 0, platform.AnyOffset, record("3"))
		assert.NoError(t, err)
		state, err := l.Newest(t.Context(), "topic", 0)
		assert.NoError(t, err)
		assert.Equal(t, platform.KeyedState{Records: record("3"), End: 2}, state)
	})
	t.Run("a record with an empty value deletes its key", func(t *testing.T) {
		l := &KeyedLog{}
		_, _ = l.AppendAt(t.Context(), "topic", 0, 0, record("1"))
		_, _ = l.AppendAt(t.Context(), "topic", 0, 1, record(""))
		state, err := l.Newest(t.Context(), "topic", 0)
		assert.NoError(t, err)
		assert.Equal(t, 0, len(state.Records))
	})
	t.Run("the newest records remain when the history expires", func(t *testing.T) {
		l := &KeyedLog{}
		_, _ = l.AppendAt(t.Context(), "topic", 0, 0, record("1"))
		l.Expire()
		_, err := l.ReadKeyed(t.Context(), "topic", 0, 0, 0)
		assert.ErrorIs(t, err, platform.ErrTrimmed)
		state, err := l.Newest(t.Context(), "topic", 0)
		assert.NoError(t, err)
		assert.Equal(t, 1, len(state.Records))
	})
	t.Run("delayed and refused appends", func(t *testing.T) {
		l := &KeyedLog{}
		l.SetAppendsDelayed(true)
		_, err := l.AppendAt(t.Context(), "topic", 0, 0, record("late"))
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		l.SetAppendsDelayed(false)
		l.RefuseCalls(1)
		_, err = l.AppendAt(t.Context(), "topic", 0, 0, record("refused"))
		assert.ErrorIs(t, err, platform.ErrRefused)
		l.ApplyDelayedAppends()
		state, err := l.Newest(t.Context(), "topic", 0)
		assert.NoError(t, err)
		assert.Equal(t, record("late"), state.Records)
	})
	t.Run("a read waits for records", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := &KeyedLog{}
			tail, err := l.ReadKeyed(t.Context(), "topic", 0, 0, time.Second)
			assert.NoError(t, err)
			assert.Equal(t, 0, len(tail.Records))
			time.AfterFunc(time.Second, func() { _, _ = l.AppendAt(t.Context(), "topic", 0, 0, record("1")) })
			tail, err = l.ReadKeyed(t.Context(), "topic", 0, 0, time.Minute)
			assert.NoError(t, err)
			assert.Equal(t, platform.KeyedTail{Records: record("1"), Next: 1}, tail)
		})
	})
}
