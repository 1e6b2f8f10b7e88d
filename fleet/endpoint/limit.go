package endpoint

import (
	"cmp"
	"time"
)

// Parameters of the adaptive concurrency limit.
const (
	// initialLimitFraction is the limit before the first response, as a fraction of the declared limit. minLimit is
	// the lower bound of the limit; it is above zero so that the endpoint's latency is still measured.
	initialLimitFraction = 0.125
	minLimit             = 1.0
	// increasePerRound is the increase of the limit, in requests, per round. A round has as many responses as the limit
	// allows requests in flight.
	increasePerRound = 2.0
	// A latency above latencyFactor times the lowest latency plus latencySlack indicates a queue at the endpoint. The
	// slack covers variation that occurs without a queue, such as prompts that are not cached.
	latencyFactor = 3.0
	latencySlack  = 400 * time.Millisecond
	// A decrease multiplies the limit by a factor of at least minDecreaseFactor. refusalFactor is this factor after a
	// refusal.
	minDecreaseFactor = 0.5
	refusalFactor     = 0.8
	// baselineDriftFactor raises the baseline with each sample, so that it follows an endpoint that has become slower
	// permanently.
	baselineDriftFactor = 1.002
)

// Limit adapts the maximum number of requests in flight at an endpoint to the time to its first byte. The limit grows
// while it is fully used and shrinks in proportion to the latency when the latency indicates a queue.
type Limit struct {
	// Maximum is the declared maximum number of requests in flight; zero means DefaultEndpointConcurrency.
	Maximum int
	// value is the current limit in requests; zero before the endpoint's first response.
	value    float64
	baseline time.Duration
	// lastDecrease is the time at which the concurrency limit was last lowered.
	lastDecrease time.Time
}

// Value returns the current limit in whole requests.
func (l *Limit) Value() int { return int(l.current()) }

func (l *Limit) current() float64 {
	maximum := float64(cmp.Or(l.Maximum, DefaultEndpointConcurrency))
	return min(maximum, max(minLimit, cmp.Or(l.value, initialLimitFraction*maximum)))
}

// Observe adapts the limit to a response with the given time to the first byte; inFlight is the number of requests in
// flight. A latency of zero means that the time says nothing about a queue.
func (l *Limit) Observe(now time.Time, latency time.Duration, inFlight int) {
	threshold := l.queueThreshold(latency)
	switch {
	case latency > threshold:
		l.decrease(now, latency, float64(threshold)/float64(latency))
	case inFlight >= l.Value():
		l.value = l.current() + increasePerRound/l.current()
	}
}

// queueThreshold adds a latency sample to the baseline and returns the latency above which a response indicates a
// queue.
func (l *Limit) queueThreshold(latency time.Duration) time.Duration {
	if latency > 0 {
		l.updateBaseline(latency)
	}
	return time.Duration(latencyFactor*float64(l.baseline)) + latencySlack
}

// Raise increases a fully used limit by one after the endpoint reported an empty queue. Long requests yield too few
// responses for Observe to raise the limit.
func (l *Limit) Raise(inFlight int) {
	if inFlight >= l.Value() {
		l.value = l.current() + 1
	}
}

// ObserveRefusal lowers the limit after an endpoint refused a request; latency is the time since the request was sent.
func (l *Limit) ObserveRefusal(now time.Time, latency time.Duration) {
	l.decrease(now, latency, refusalFactor)
}

// decrease multiplies the limit by the factor. It ignores requests sent before the last decrease, because their latency
// does not reflect the lower limit yet.
func (l *Limit) decrease(now time.Time, latency time.Duration, factor float64) {
	if now.Add(-latency).Before(l.lastDecrease) {
		return
	}
	l.lastDecrease = now
	l.value = max(minLimit, l.current()*max(minDecreaseFactor, factor))
}

func (l *Limit) updateBaseline(latency time.Duration) {
	if l.baseline == 0 {
		l.baseline = latency
		return
	}
	l.baseline = min(latency, time.Duration(float64(l.baseline)*baselineDriftFactor))
}
