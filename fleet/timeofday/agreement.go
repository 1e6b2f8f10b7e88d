// Package timeofday determines the time of day by agreement among the clocks of several machines. The wall clock of a
// single machine may jump, and a machine that lost power has no other clock that continues from before.
//
// A clock is compared by the boot time that it implies: its reading less the time since this machine booted. The boot
// time doesn't change while the machine runs, so one agreement lasts until the machine reboots, whatever its own wall
// clock does in the meantime.
package timeofday

import (
	"slices"
	"sync"
	"time"
)

const (
	// Tolerance is the maximum difference from the median at which a clock agrees.
	Tolerance = 100 * time.Millisecond
	// MinClocks is the minimum number of clocks that must agree, this machine's own included.
	MinClocks = 3
	// clocksPerOutlier is the number of clocks per one that may disagree.
	clocksPerOutlier = 6
)

// Agree returns the median of the boot times that several clocks imply. It returns false if fewer than MinClocks
// clocks are within Tolerance of it, or if too many are not.
func Agree(bootTimes []time.Time) (time.Time, bool) {
	if len(bootTimes) < MinClocks {
		return time.Time{}, false
	}
	sorted := slices.SortedFunc(slices.Values(bootTimes), time.Time.Compare)
	median := sorted[len(sorted)/2]
	agreeing := 0
	for _, t := range sorted {
		if t.Sub(median).Abs() <= Tolerance {
			agreeing++
		}
	}
	outliers := len(sorted) - agreeing
	return median, agreeing >= MinClocks && outliers <= len(sorted)/clocksPerOutlier
}

// Estimate is what several clocks tell of the boot time of this machine. The true one is at most Tolerance before Latest less Spread, and at most Tolerance
// after Latest.
type Estimate struct {
	Latest time.Time
	// Spread is the difference between the latest and the earliest boot time that the clocks imply; zero if they agree.
	Spread time.Duration
}

// Span returns the estimate of clocks that don't agree. It holds unless all of them are wrong in the same direction. It returns false for fewer than
// MinClocks clocks.
func Span(bootTimes []time.Time) (Estimate, bool) {
	if len(bootTimes) < MinClocks {
		return Estimate{}, false
	}
	latest := slices.MaxFunc(bootTimes, time.Time.Compare)
	return Estimate{Latest: latest, Spread: latest.Sub(slices.MinFunc(bootTimes, time.Time.Compare))}, true
}

// Agreement holds the result of the comparisons with other machines. The zero value expects a result; a nil Agreement
// expects none. Its methods are safe for concurrent use.
type Agreement struct {
	mu sync.Mutex
	// bootTime is the agreed boot time of this machine, zero until there is one. span is what clocks tell that don't agree, zero before.
	bootTime time.Time
	span     Estimate
	// abandoned is true if no agreement is expected.
	abandoned bool
}

// SetBootTime records the agreed boot time of this machine.
func (a *Agreement) SetBootTime(bootTime time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bootTime = bootTime
}

// SetSpan records what clocks that don't agree tell of the boot time of this machine.
func (a *Agreement) SetSpan(span Estimate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.span = span
}

// Abandon records that no agreement is expected, because there are too few other machines.
func (a *Agreement) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
}

// BootTime returns the agreed boot time of this machine, or false if there is none.
func (a *Agreement) BootTime() (time.Time, bool) {
	if a == nil {
		return time.Time{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bootTime, !a.bootTime.IsZero()
}

// Estimate returns the agreed boot time of this machine or, until there is one, what clocks that don't agree tell. It returns false if there is neither.
func (a *Agreement) Estimate() (Estimate, bool) {
	if agreed, ok := a.BootTime(); ok || a == nil {
		return Estimate{Latest: agreed}, ok
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.span, !a.span.Latest.IsZero()
}

// IsPending reports whether there is no agreement yet, but one is expected.
func (a *Agreement) IsPending() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bootTime.IsZero() && !a.abandoned
}
