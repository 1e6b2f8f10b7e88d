package endpoint

import "time"

// Parameters of the adaptive limit.
const (
	// limitFloor is the lowest limit, so that an endpoint is still measured.
	limitFloor = 2.0
	// latencyTolerance is the latency, as a multiple of the baseline, from which on the limit shrinks.
	// latencySlack is added to it, so that the noise of very short latencies counts for nothing.
	latencyTolerance = 3.0
	latencySlack     = 20 * time.Millisecond
	// limitDecrease is the factor by which it shrinks, at most once a decreaseInterval.
	limitDecrease    = 0.9
	decreaseInterval = 100 * time.Millisecond
	// baselineDrift lets the baseline follow an endpoint that has become slower for good.
	baselineDrift = 1.002
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
)

// Limit adapts the number of requests in progress at an endpoint to the time until its first byte: it
// grows by one for each round of full use and shrinks when the latency is well above the lowest seen.
type Limit struct {
	// Most is the declared limit; zero counts as DefaultEndpointConcurrency.
	Most int
	// reduction is what the limit is below Most.
	reduction float64
	baseline  time.Duration
	average   time.Duration
	decreased time.Time
}

// Value returns the present limit.
func (l *Limit) Value() int { return int(l.value()) }

func (l *Limit) value() float64 { return max(l.floor(), l.most()-l.reduction) }

func (l *Limit) most() float64 { return float64(orDefault(l.Most, DefaultEndpointConcurrency)) }

func (l *Limit) floor() float64 { return min(limitFloor, l.most()) }

// Latency returns the moving average of the time to the first byte; zero before the first sample.
func (l *Limit) Latency() time.Duration { return l.average }

// Observe takes in the time to the first byte of an answer, and how many requests were in progress.
func (l *Limit) Observe(now time.Time, latency time.Duration, inFlight int) {
	if latency <= 0 {
		return
	}
	l.sample(latency)
	value := l.value()
	switch {
	case float64(latency-latencySlack) > latencyTolerance*float64(l.baseline):
		if now.Sub(l.decreased) < decreaseInterval {
			return
		}
		l.decreased = now
		value *= limitDecrease
	case float64(inFlight) >= value-1:
		value += 1 / value
	}
	l.set(value)
}

// Fail shrinks the limit after an endpoint refused a request for want of room.
func (l *Limit) Fail(now time.Time) {
	if now.Sub(l.decreased) >= decreaseInterval {
		l.decreased = now
		l.set(l.value() * limitDecrease)
	}
}

func (l *Limit) set(value float64) {
	l.reduction = l.most() - min(l.most(), max(l.floor(), value))
}

func (l *Limit) sample(latency time.Duration) {
	if l.baseline == 0 {
		l.baseline, l.average = latency, latency
		return
	}
	l.baseline = min(latency, time.Duration(float64(l.baseline)*baselineDrift))
	l.average += time.Duration(latencyWeight * float64(latency-l.average))
}
