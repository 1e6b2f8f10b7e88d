package memory

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

func TestConnection(t *testing.T) {
	sharedLog := &KeyedLog{}
	cut, connected := &Connection{KeyedLog: sharedLog}, &Connection{KeyedLog: sharedLog}
	records := []platform.KeyedRecord{{Key: "key", Value: []byte("value")}}
	callAll := func(c *Connection) []error {
		_, appended := c.AppendAt(t.Context(), "topic", 0, platform.AnyOffset, records)
		_, read := c.ReadKeyed(t.Context(), "topic", 0, 0, 0)
		_, newest := c.Newest(t.Context(), "topic", 0)
		return []error{appended, read, newest}
	}
	cut.Cut.Store(true)
	for _, err := range callAll(cut) {
		assert.ErrorIs(t, err, platform.ErrUnavailable)
	}
	state, err := connected.Newest(t.Context(), "topic", 0)
	assert.NoError(t, err)
	assert.Equal(t, int64(0), state.End)
	for _, err := range callAll(connected) {
		assert.NoError(t, err)
	}
	cut.Cut.Store(false)
	state, err = cut.Newest(t.Context(), "topic", 0)
	assert.NoError(t, err)
	assert.Equal(t, int64(1), state.End)
}
