package endpoint

import (
	"cmp"
	"time"
)

// Parameters of the adaptive limit.
const (
	// firstLimit is the limit before the first answer as a part of the declared one, limitFloor the
	// lowest one, so that an endpoint is still measured.
	firstLimit = 0.125
	limitFloor = 1.0
	// limitIncrease is what a full round of answers adds.
	limitIncrease = 2.0
	// A latency above latencyTolerance times the lowest one plus latencySlack means a queue at the
	// endpoint. The slack covers what varies without one, such as prompts that are not in the cache.
	latencyTolerance = 3.0
	latencySlack     = 400 * time.Millisecond
	// limitDecrease bounds a single decrease, refusedDecrease is that for a refusal.
	limitDecrease   = 0.5
	refusedDecrease = 0.8
	// baselineDrift lets the baseline follow an endpoint that has become slower for good.
	baselineDrift = 1.002
)

// Limit adapts the number of requests in progress at an endpoint to the time until its first byte: it
// grows while it is in full use and shrinks in proportion when the latency tells of a queue.
type Limit struct {
	// Most is the declared limit; zero counts as DefaultEndpointConcurrency.
	Most int
	// value is the present limit; zero before the first answer.
	value    float64
	baseline time.Duration
	// shrunk is when the limit last shrank.
	shrunk time.Time
}

// Value returns the present limit.
func (l *Limit) Value() int { return int(l.present()) }

func (l *Limit) present() float64 {
	most := float64(cmp.Or(l.Most, DefaultEndpointConcurrency))
	return min(most, max(limitFloor, cmp.Or(l.value, firstLimit*most)))
}

// Observe takes in the time to the first byte of an answer, and how many requests were in progress. A
// latency of zero says that the time tells nothing of a queue.
func (l *Limit) Observe(now time.Time, latency time.Duration, inFlight int) {
	bound := l.queuedFrom(latency)
	switch {
	case latency > bound:
		l.shrink(now, latency, float64(bound)/float64(latency))
	case inFlight >= l.Value():
		l.value = l.present() + limitIncrease/l.present()
	}
}

// queuedFrom takes a latency into the baseline and returns the one from which on there is a queue.
func (l *Limit) queuedFrom(latency time.Duration) time.Duration {
	if latency > 0 {
		l.sample(latency)
	}
	return time.Duration(latencyTolerance*float64(l.baseline)) + latencySlack
}

// Grow raises a limit in full use after the endpoint reported that nothing waits there: requests that last
// long give too few answers to grow by.
func (l *Limit) Grow(inFlight int) {
	if inFlight >= l.Value() {
		l.value = l.present() + 1
	}
}

// Refused shrinks the limit after an endpoint refused a request that was sent so long ago.
func (l *Limit) Refused(now time.Time, latency time.Duration) {
	l.shrink(now, latency, refusedDecrease)
}

// shrink ignores requests that were sent before the limit last shrank: they tell nothing about what
// that has changed.
func (l *Limit) shrink(now time.Time, latency time.Duration, factor float64) {
	if now.Add(-latency).Before(l.shrunk) {
		return
	}
	l.shrunk = now
	l.value = max(limitFloor, l.present()*max(limitDecrease, factor))
}

func (l *Limit) sample(latency time.Duration) {
	if l.baseline == 0 {
		l.baseline = latency
		return
	}
	l.baseline = min(latency, time.Duration(float64(l.baseline)*baselineDrift))
}
