package endpoint

import "time"

const (
	// savedSlack is the part of the bounds' slack that the fleet may save up, steadySlack the one that each window brings. The rest
	// is for requests that routers count later than callers sent them.
	savedSlack  = 0.5
	steadySlack = 0.25
	// paidRatio is the part of the bounds' ratio that a request pays, savedRatio the one that lets its router save up more.
	paidRatio  = 0.75
	savedRatio = 0.15
	// recentSlots is the number of parts of a window in which requests are counted.
	recentSlots = 10
)

// RepeatBounds are what operators allow the whole fleet: in each window a service may get Ratio repeats a request, and Slack
// repeats beside.
type RepeatBounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// DefaultRepeatBounds are those of sites whose operators name none.
func DefaultRepeatBounds() RepeatBounds {
	return RepeatBounds{Ratio: DefaultRetryShare, Slack: DefaultRetryBurst, Window: 10 * time.Second}
}

// RepeatBudget is one router's part of the repeats that a service may get. The parts of all routers keep the bounds in every
// window, however often routers start again: a router that starts has nothing, and earns with its requests and with
// the time that it runs. Its zero value is ready for use.
//
// In a window a router repeats at most what it had saved up, what its requests pay and what the time brings. With r routers, and
// its requests in this window and in the one before, that is
//
//	savedSlack*Slack/r + savedRatio*Ratio*before + steadySlack*Slack/r + paidRatio*Ratio*requests
//
// so that all together stay below Slack + Ratio*max(before, requests).
type RepeatBudget struct {
	saved float64
	// at is when saved was last brought up to date.
	at time.Time
	// recent counts the requests of the last window by its parts; newest is the index of the last part, begun its beginning.
	recent [recentSlots]int
	newest int
	begun  time.Time
}

// First counts a request.
func (b *RepeatBudget) First(now time.Time, bounds RepeatBounds, routers int) {
	b.update(now, bounds, routers)
	b.recent[b.newest]++
	b.saved = min(b.saved+paidRatio*bounds.Ratio, b.most(bounds, routers))
}

// Take takes a repeat and reports whether it was there.
func (b *RepeatBudget) Take(now time.Time, bounds RepeatBounds, routers int) bool {
	if b.Saved(now, bounds, routers) < 1 {
		return false
	}
	b.saved--
	return true
}

// Saved returns how many repeats are saved up.
func (b *RepeatBudget) Saved(now time.Time, bounds RepeatBounds, routers int) float64 {
	b.update(now, bounds, routers)
	return b.saved
}

// update adds what the time since the last update brings, and drops what is above the most that may be saved up.
func (b *RepeatBudget) update(now time.Time, bounds RepeatBounds, routers int) {
	if bounds.Window < recentSlots {
		b.saved = 0
		return
	}
	if b.at.IsZero() {
		b.begun = now
	} else {
		b.saved += steadySlack * slack(bounds, routers) * now.Sub(b.at).Seconds() / bounds.Window.Seconds()
	}
	b.at = now
	b.forget(now, bounds.Window/recentSlots)
	b.saved = min(b.saved, b.most(bounds, routers))
}

// forget drops the requests that are older than a window, in parts of a width. It goes by the steady clock, which the times have.
func (b *RepeatBudget) forget(now time.Time, width time.Duration) {
	passed := now.Sub(b.begun) / width
	for range min(passed, recentSlots) {
		b.newest = (b.newest + 1) % recentSlots
		b.recent[b.newest] = 0
	}
	b.begun = b.begun.Add(passed * width)
}

// most returns how many repeats a router may save up.
func (b *RepeatBudget) most(bounds RepeatBounds, routers int) float64 {
	requests := 0
	for _, n := range b.recent {
		requests += n
	}
	return savedSlack*slack(bounds, routers) + savedRatio*bounds.Ratio*float64(requests)
}

// slack returns a router's part of the slack. A router that doesn't know the fleet yet has none.
func slack(bounds RepeatBounds, routers int) float64 {
	if routers < 1 {
		return 0
	}
	return bounds.Slack / float64(routers)
}
