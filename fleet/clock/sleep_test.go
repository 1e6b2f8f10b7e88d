package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestSleep(t *testing.T) {
	for _, c := range []struct {
		name string
		// wait is the argument of Sleep and timeout that of the context. wantCompleted is the expected result of Sleep,
		// wantElapsed the expected duration of the call.
		wait, timeout time.Duration
		wantCompleted bool
		wantElapsed   time.Duration
	}{
		{"waits", 3 * time.Second, time.Minute, true, 3 * time.Second},
		{"context ends during the wait", time.Minute, 3 * time.Second, false, 3 * time.Second},
		{"zero wait", 0, time.Minute, true, 0},
		{"negative wait", -time.Second, time.Minute, true, 0},
		{"zero wait with an expired context", 0, 0, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				start := time.Now()
				assert.Equal(t, c.wantCompleted, Sleep(ctx, c.wait))
				assert.Equal(t, c.wantElapsed, time.Since(start))
			})
		})
	}
}
