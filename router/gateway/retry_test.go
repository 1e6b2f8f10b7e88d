package gateway

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestRetryBudgets checks what routers repeat at once together, without a request that pays for it.
func TestRetryBudgets(t *testing.T) {
	for _, c := range []struct{ routers, want int }{{1, retryBurst}, {6, 6 * retryBurst}, {75, 75}, {300, 300}} {
		repeats := 0
		for range c.routers {
			b := &retryBudgets{fleet: func() int { return c.routers }}
			for b.repeat("service") {
				repeats++
			}
		}
		assert.Equal(t, c.want, repeats)
	}
	t.Run("requests pay for repeats", func(t *testing.T) {
		b := &retryBudgets{}
		for b.repeat("service") {
			continue
		}
		for range 21 {
			b.first("service")
		}
		assert.Equal(t, true, b.repeat("service"))
		assert.Equal(t, true, b.repeat("service"))
		assert.Equal(t, true, b.repeat("service"))
		assert.Equal(t, false, b.repeat("service"))
	})
}
