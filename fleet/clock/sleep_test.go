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
		// wait is how long to sleep, ends when the context does; lasts is what Sleep reports, passed the time that it takes.
		wait, ends time.Duration
		lasts      bool
		passed     time.Duration
	}{
		{"waits", 3 * time.Second, time.Minute, true, 3 * time.Second},
		{"ends with the context", time.Minute, 3 * time.Second, false, 3 * time.Second},
		{"nothing to wait for", 0, time.Minute, true, 0},
		{"less than nothing", -time.Second, time.Minute, true, 0},
		{"nothing to wait for and no context", 0, 0, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.ends)
				defer cancel()
				begun := time.Now()
				assert.Equal(t, c.lasts, Sleep(ctx, c.wait))
				assert.Equal(t, c.passed, time.Since(begun))
			})
		})
	}
}
