package endpoint

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// siteBounds returns the bounds of a site with six routers.
func siteBounds() RepeatBounds { return RepeatBounds{Ratio: 0.2, Slack: 52, Window: 10 * time.Second} }

// failingFleet is a fleet of routers whose attempts all fail at once; it records when their service got requests and
// repeats.
type failingFleet struct {
	bounds   RepeatBounds
	budgets  []RepeatBudget
	requests []time.Time
	repeats  []time.Time
}

// sendRequest sends a request to a router, which repeats it until its budget or maxRepeats is exhausted.
func (f *failingFleet) sendRequest(now time.Time, router, maxRepeats int) {
	f.requests = append(f.requests, now)
	b := &f.budgets[router]
	b.RecordRequest(now, f.bounds, len(f.budgets))
	for range maxRepeats {
		if !b.Withdraw(now, f.bounds, len(f.budgets)) {
			return
		}
		f.repeats = append(f.repeats, now)
	}
}

// maxExcess returns the largest number of repeats above the bound in any window; negative if every window is within
// its bound.
func (f *failingFleet) maxExcess() float64 {
	maximum := -f.bounds.Slack
	count := func(times []time.Time, from, to time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	for _, begin := range f.repeats {
		end, half := begin.Add(f.bounds.Window), f.bounds.Window/2
		requests := max(
			count(f.requests, begin, end), count(f.requests, begin.Add(-f.bounds.Window), begin), count(f.requests, begin.Add(-half), end.Add(-half)),
		)
		maximum = max(maximum, float64(count(f.repeats, begin, end))-f.bounds.Slack-f.bounds.Ratio*float64(requests))
	}
	return maximum
}

// TestRepeatsStayBoundedOverRestarts guards against budgets that are full after each restart: routers that restart
// often would then exceed the bounds of the fleet.
func TestRepeatsStayBoundedOverRestarts(t *testing.T) {
	t.Run("all routers restart each second", func(t *testing.T) {
		f := &failingFleet{bounds: siteBounds(), budgets: make([]RepeatBudget, 6)}
		for i := range 3000 {
			if i%100 == 0 {
				clear(f.budgets)
			}
			f.sendRequest(start().Add(time.Duration(i)*10*time.Millisecond), i%6, 3)
		}
		assert.Equal(t, true, len(f.repeats) > 0)
		assert.Equal(t, true, f.maxExcess() <= 0)
	})
	t.Run("any order of requests and restarts", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			f := &failingFleet{
				bounds: RepeatBounds{
					Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 60).Draw(t, "slack"),
					Window: time.Duration(rapid.IntRange(1, 20).Draw(t, "window")) * time.Second,
				},
				budgets: make([]RepeatBudget, rapid.IntRange(1, 40).Draw(t, "routers")),
			}
			now := start()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
				router := rapid.IntRange(0, len(f.budgets)-1).Draw(t, "router")
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					f.budgets[router] = RepeatBudget{}
				case 1:
					clear(f.budgets)
				default:
					for range rapid.IntRange(1, 40).Draw(t, "requests") {
						f.sendRequest(now, router, 4)
					}
				}
			}
			check(t, f.maxExcess() <= 1e-9, "a window has %.2f repeats above its bound", f.maxExcess())
		})
	})
}

func TestRepeatBudget(t *testing.T) {
	withdrawAll := func(b *RepeatBudget, now time.Time, routers int) int {
		n := 0
		for b.Withdraw(now, siteBounds(), routers) {
			n++
		}
		return n
	}
	t.Run("a router that starts has no repeats", func(t *testing.T) {
		assert.Equal(t, 0, withdrawAll(&RepeatBudget{}, start(), 6))
	})
	t.Run("requests earn repeats", func(t *testing.T) {
		b := &RepeatBudget{}
		for range 21 {
			b.RecordRequest(start(), siteBounds(), 6)
		}
		assert.Equal(t, 3, withdrawAll(b, start(), 6))
	})
	t.Run("a part of the slack accrues to a router without requests", func(t *testing.T) {
		b := &RepeatBudget{}
		b.RecordRequest(start(), siteBounds(), 6)
		assert.Equal(t, 1, withdrawAll(b, start().Add(4*time.Second), 6))
		assert.Equal(t, 4, withdrawAll(b, start().Add(time.Hour), 6))
	})
	t.Run("a router that doesn't know the fleet has no part of the slack", func(t *testing.T) {
		b := &RepeatBudget{}
		b.RecordRequest(start(), siteBounds(), 0)
		assert.Equal(t, 0, withdrawAll(b, start().Add(time.Hour), 0))
	})
	t.Run("a router of a large fleet repeats what its requests earn", func(t *testing.T) {
		b := &RepeatBudget{}
		for range 378 {
			b.RecordRequest(start(), siteBounds(), 370)
		}
		assert.Equal(t, 11, withdrawAll(b, start(), 370))
	})
	t.Run("repeats saved up in a small fleet are dropped in a larger one", func(t *testing.T) {
		b := &RepeatBudget{}
		b.RecordRequest(start(), siteBounds(), 1)
		assert.Equal(t, 26, withdrawAll(b, start().Add(time.Minute), 1))
		b.RecordRequest(start().Add(time.Minute), siteBounds(), 1)
		assert.Equal(t, 1, withdrawAll(b, start().Add(2*time.Minute), 15))
	})
}
