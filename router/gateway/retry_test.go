package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// countRetries returns how many retries the routers can take at once, each after a number of requests and a wait.
func countRetries(routers, requests int, wait time.Duration) int {
	retries := 0
	var budgets []*retryBudgets
	for range routers {
		b := &retryBudgets{countRouters: func() int { return routers }}
		b.setLimits(endpoint.RepeatBounds{Ratio: 0.2, Slack: 52, Window: 10 * time.Second})
		budgets = append(budgets, b)
		for range requests {
			b.recordRequest("service")
		}
	}
	time.Sleep(wait)
	for _, b := range budgets {
		for b.takeRetry("service") {
			retries++
		}
	}
	return retries
}

// TestRetryBudgets guards against retries of all routers together that exceed the limits of the fleet.
func TestRetryBudgets(t *testing.T) {
	for _, c := range []struct {
		name                    string
		routers, requests, want int
		wait                    time.Duration
	}{
		{"routers that start", 6, 0, 0, 0},
		{"many routers that start", 300, 0, 0, 0},
		{"requests add to the retry budget", 1, 21, 3, 0},
		{"an idle fleet's share of the slack", 6, 1, 24, time.Minute},
		{"an idle fleet larger than the slack", 75, 1, 0, time.Minute},
		{"a busy fleet larger than the slack", 75, 40, 75, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assert.Equal(t, c.want, countRetries(c.routers, c.requests, c.wait)) })
		})
	}
	t.Run("each service has a budget of its own", func(t *testing.T) {
		b := &retryBudgets{limits: endpoint.DefaultRepeatBounds()}
		for range 10 {
			b.recordRequest("one")
		}
		assert.Equal(t, false, b.takeRetry("other"))
		assert.Equal(t, true, b.takeRetry("one"))
	})
	t.Run("limits that are lowered", func(t *testing.T) {
		b := &retryBudgets{limits: endpoint.DefaultRepeatBounds()}
		for range 40 {
			b.recordRequest("service")
		}
		b.setLimits(endpoint.RepeatBounds{Window: time.Second})
		assert.Equal(t, false, b.takeRetry("service"))
	})
}
