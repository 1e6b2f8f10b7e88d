// Package clock waits on the runtime's clock, which tests pause and advance.
package clock

import (
	"context"
	"time"
)

// Sleep waits, or until the context ends, and reports whether the context lasted.
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
