package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// repeatsOf returns how many repeats routers have at once, each after some requests and a while.
func repeatsOf(routers, requests int, wait time.Duration) int {
	repeats := 0
	var budgets []*retryBudgets
	for range routers {
		b := &retryBudgets{fleet: func() int { return routers }}
		b.bound(endpoint.RepeatBounds{Ratio: 0.2, Slack: 52, Window: 10 * time.Second})
		budgets = append(budgets, b)
		for range requests {
			b.first("service")
		}
	}
	time.Sleep(wait)
	for _, b := range budgets {
		for b.repeat("service") {
			repeats++
		}
	}
	return repeats
}

// TestRetryBudgets checks what routers repeat at once together.
func TestRetryBudgets(t *testing.T) {
	for _, c := range []struct {
		name                    string
		routers, requests, want int
		wait                    time.Duration
	}{
		{"routers that start", 6, 0, 0, 0},
		{"many routers that start", 300, 0, 0, 0},
		{"requests pay for repeats", 1, 21, 3, 0},
		{"a quiet fleet's part of the slack", 6, 1, 24, time.Minute},
		{"a quiet fleet larger than the slack", 75, 1, 0, time.Minute},
		{"a busy fleet larger than the slack", 75, 40, 75, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assert.Equal(t, c.want, repeatsOf(c.routers, c.requests, c.wait)) })
		})
	}
	t.Run("each service has its own", func(t *testing.T) {
		b := &retryBudgets{bounds: endpoint.DefaultRepeatBounds()}
		for range 10 {
			b.first("one")
		}
		assert.Equal(t, false, b.repeat("other"))
		assert.Equal(t, true, b.repeat("one"))
	})
	t.Run("bounds that are lowered", func(t *testing.T) {
		b := &retryBudgets{bounds: endpoint.DefaultRepeatBounds()}
		for range 40 {
			b.first("service")
		}
		b.bound(endpoint.RepeatBounds{Window: time.Second})
		assert.Equal(t, false, b.repeat("service"))
	})
}
