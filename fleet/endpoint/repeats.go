package endpoint

import "time"

const (
	// savedSlackFraction is the fraction of RepeatBounds.Slack that the fleet may save up; steadySlackFraction is the
	// fraction that accrues in each window. The rest covers requests that routers count later than the callers sent
	// them.
	savedSlackFraction  = 0.5
	steadySlackFraction = 0.25
	// earnedRatioFraction is the fraction of RepeatBounds.Ratio that each request earns in repeats;
	// savedRatioFraction is the fraction of RepeatBounds.Ratio by which each request raises the maximum that its router
	// may save up.
	earnedRatioFraction = 0.75
	savedRatioFraction  = 0.15
	// windowSlots is the number of slots of a window in which requests are counted.
	windowSlots = 10
)

// RepeatBounds are the operators' bounds for the whole fleet: in each window a service may get Ratio repeats for each
// request, plus Slack repeats.
type RepeatBounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// DefaultRepeatBounds returns the bounds of sites whose operators set none.
func DefaultRepeatBounds() RepeatBounds {
	return RepeatBounds{Ratio: DefaultRetryShare, Slack: DefaultRetryBurst, Window: 10 * time.Second}
}

// RepeatBudget is one router's part of the repeats that a service may get. The parts of all routers together stay
// within the bounds in every window, no matter how often routers restart: a restarted router has an empty budget and
// earns repeats with its requests and over time. The zero value is ready for use.
//
// In one window a router sends at most the repeats that it saved up, those that its requests earn and those that
// accrue over time. For r routers, with the router's number of requests in the previous window (before) and in this
// window (requests), the sum is
//
//	savedSlackFraction*Slack/r + savedRatioFraction*Ratio*before + steadySlackFraction*Slack/r + earnedRatioFraction*Ratio*requests
//
// so that the whole fleet stays below Slack + Ratio*max(before, requests).
type RepeatBudget struct {
	// balance is the number of repeats that the router has saved up.
	balance float64
	// updatedAt is the time up to which accrued repeats are included in balance.
	updatedAt time.Time
	// requestsPerSlot counts the requests of the last window by slot; newestSlot is the index of the current slot and
	// slotStart the time at which it started.
	requestsPerSlot [windowSlots]int
	newestSlot      int
	slotStart       time.Time
}

// RecordRequest records a request, that is the first attempt of a call.
func (b *RepeatBudget) RecordRequest(now time.Time, bounds RepeatBounds, routers int) {
	b.update(now, bounds, routers)
	b.requestsPerSlot[b.newestSlot]++
	b.balance = min(b.balance+earnedRatioFraction*bounds.Ratio, b.maxBalance(bounds, routers))
}

// Withdraw takes a repeat from the budget and reports whether one was available.
func (b *RepeatBudget) Withdraw(now time.Time, bounds RepeatBounds, routers int) bool {
	if b.Balance(now, bounds, routers) < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the number of repeats that the router has saved up.
func (b *RepeatBudget) Balance(now time.Time, bounds RepeatBounds, routers int) float64 {
	b.update(now, bounds, routers)
	return b.balance
}

// update adds the repeats that accrued since the last update and lowers the balance to its maximum.
func (b *RepeatBudget) update(now time.Time, bounds RepeatBounds, routers int) {
	if bounds.Window < windowSlots {
		b.balance = 0
		return
	}
	if b.updatedAt.IsZero() {
		b.slotStart = now
	} else {
		b.balance += steadySlackFraction * routerSlack(bounds, routers) * now.Sub(b.updatedAt).Seconds() / bounds.Window.Seconds()
	}
	b.updatedAt = now
	b.dropExpiredSlots(now, bounds.Window/windowSlots)
	b.balance = min(b.balance, b.maxBalance(bounds, routers))
}

// dropExpiredSlots clears the request counts that are older than a window of windowSlots slots. It relies on the
// monotonic clock reading of the times, so changes of the wall clock have no effect.
func (b *RepeatBudget) dropExpiredSlots(now time.Time, slotWidth time.Duration) {
	passedSlots := now.Sub(b.slotStart) / slotWidth
	for range min(passedSlots, windowSlots) {
		b.newestSlot = (b.newestSlot + 1) % windowSlots
		b.requestsPerSlot[b.newestSlot] = 0
	}
	b.slotStart = b.slotStart.Add(passedSlots * slotWidth)
}

// maxBalance returns the maximum number of repeats that a router may save up.
func (b *RepeatBudget) maxBalance(bounds RepeatBounds, routers int) float64 {
	requests := 0
	for _, n := range b.requestsPerSlot {
		requests += n
	}
	return savedSlackFraction*routerSlack(bounds, routers) + savedRatioFraction*bounds.Ratio*float64(requests)
}

// routerSlack returns one router's part of the slack. A router that does not know the size of the fleet yet has no
// slack.
func routerSlack(bounds RepeatBounds, routers int) float64 {
	if routers < 1 {
		return 0
	}
	return bounds.Slack / float64(routers)
}
