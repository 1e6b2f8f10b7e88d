package endpoint

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// siteBounds are the bounds of a site with six routers.
func siteBounds() RepeatBounds { return RepeatBounds{Ratio: 0.2, Slack: 52, Window: 10 * time.Second} }

// fleetRepeats are routers whose every request fails at once, and what their service got.
type fleetRepeats struct {
	bounds   RepeatBounds
	budgets  []RepeatBudget
	requests []time.Time
	repeats  []time.Time
}

// request sends one to a router, which repeats it as often as it may.
func (f *fleetRepeats) request(now time.Time, router, most int) {
	f.requests = append(f.requests, now)
	b := &f.budgets[router]
	b.First(now, f.bounds, len(f.budgets))
	for range most {
		if !b.Take(now, f.bounds, len(f.budgets)) {
			return
		}
		f.repeats = append(f.repeats, now)
	}
}

// excess returns by how much the worst window is above its bound; negative if every window keeps it.
func (f *fleetRepeats) excess() float64 {
	worst := -f.bounds.Slack
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
		worst = max(worst, float64(count(f.repeats, begin, end))-f.bounds.Slack-f.bounds.Ratio*float64(requests))
	}
	return worst
}

// TestRepeatsStayBoundedOverRestarts guards against budgets that each start of a router fills again.
func TestRepeatsStayBoundedOverRestarts(t *testing.T) {
	t.Run("all restart each second", func(t *testing.T) {
		f := &fleetRepeats{bounds: siteBounds(), budgets: make([]RepeatBudget, 6)}
		for i := range 3000 {
			if i%100 == 0 {
				clear(f.budgets)
			}
			f.request(start().Add(time.Duration(i)*10*time.Millisecond), i%6, 3)
		}
		assert.Equal(t, true, len(f.repeats) > 0)
		assert.Equal(t, true, f.excess() <= 0)
	})
	t.Run("any order", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			f := &fleetRepeats{
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
						f.request(now, router, 4)
					}
				}
			}
			check(t, f.excess() <= 1e-9, "%.2f repeats above the bound", f.excess())
		})
	})
}

func TestRepeatBudget(t *testing.T) {
	repeats := func(b *RepeatBudget, now time.Time, routers int) int {
		n := 0
		for b.Take(now, siteBounds(), routers) {
			n++
		}
		return n
	}
	t.Run("a router that starts has nothing", func(t *testing.T) {
		assert.Equal(t, 0, repeats(&RepeatBudget{}, start(), 6))
	})
	t.Run("requests pay for repeats", func(t *testing.T) {
		b := &RepeatBudget{}
		for range 21 {
			b.First(start(), siteBounds(), 6)
		}
		assert.Equal(t, 3, repeats(b, start(), 6))
	})
	t.Run("time brings a part of the slack to a router without requests", func(t *testing.T) {
		b := &RepeatBudget{}
		b.First(start(), siteBounds(), 6)
		assert.Equal(t, 1, repeats(b, start().Add(4*time.Second), 6))
		assert.Equal(t, 4, repeats(b, start().Add(time.Hour), 6))
	})
	t.Run("a router that doesn't know the fleet has no part of the slack", func(t *testing.T) {
		b := &RepeatBudget{}
		b.First(start(), siteBounds(), 0)
		assert.Equal(t, 0, repeats(b, start().Add(time.Hour), 0))
	})
	t.Run("a large fleet repeats what requests pay for", func(t *testing.T) {
		b := &RepeatBudget{}
		for range 378 {
			b.First(start(), siteBounds(), 370)
		}
		assert.Equal(t, 11, repeats(b, start(), 370))
	})
	t.Run("what was saved up in a small fleet is dropped in a larger one", func(t *testing.T) {
		b := &RepeatBudget{}
		b.First(start(), siteBounds(), 1)
		assert.Equal(t, 26, repeats(b, start().Add(time.Minute), 1))
		b.First(start().Add(time.Minute), siteBounds(), 1)
		assert.Equal(t, 1, repeats(b, start().Add(2*time.Minute), 15))
	})
}
