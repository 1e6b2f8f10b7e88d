// Package clock provides waits that a context can cancel. They use the runtime's timers, so that tests in a synctest
// bubble run on a fake clock.
package clock

import (
	"context"
	"time"
)

// Sleep pauses the caller for a duration. It returns true after the full wait and false as soon as the context has ended.
// A wait of zero or less only checks the context.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
