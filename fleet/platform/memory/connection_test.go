package memory

import (
	"testing"
	"testing/synctest"
	"time"

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

// TestCutEndsCallsInProgress guards against a long poll that reads over a connection which was cut after the poll began.
func TestCutEndsCallsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sharedLog := &KeyedLog{}
		connection := &Connection{KeyedLog: sharedLog}
		result := make(chan error)
		go func() {
			_, err := connection.ReadKeyed(t.Context(), "topic", 0, 0, time.Minute)
			result <- err
		}()
		synctest.Wait()
		connection.Cut.Store(true)
		_, err := sharedLog.AppendAt(t.Context(), "topic", 0, platform.AnyOffset, []platform.KeyedRecord{{Key: "key", Value: []byte("value")}})
		assert.NoError(t, err)
		assert.ErrorIs(t, <-result, platform.ErrUnavailable)
	})
}
