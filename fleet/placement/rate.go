package placement

import (
	"math/bits"
	"time"
)

const (
	// initialRate is the assumed reading rate of an engine before the first sample, in tokens per millisecond.
	initialRate = 45.0
	// minSampleTokens is the length of the shortest prompt, in tokens, that yields a sample of the rate; the engine's
	// fixed overhead dominates the time of shorter prompts.
	minSampleTokens = 2000
	// rateWeightUp and rateWeightDown are the smoothing weights of samples above and below the current rate. Samples
	// above weigh more, because queueing can make a sample too low but nothing makes it too high.
	rateWeightUp   = 0.3
	rateWeightDown = 0.06
	// firstEventOverhead is the part of the time to the first event that is not spent on reading the prompt: one step
	// of the engine and the network delay.
	firstEventOverhead = 20 * time.Millisecond
	// maxIdleWait is the longest predicted wait at which the time to the first event still measures the speed of the
	// engine rather than its queue.
	maxIdleWait = 2 * time.Millisecond
	// slownessWeightUp and slownessWeightDown are the smoothing weights of samples above and below an engine's
	// slowness; minSlowness and maxSlowness bound the samples.
	slownessWeightUp   = 0.08
	slownessWeightDown = 0.2
	minSlowness        = 0.5
	maxSlowness        = 10.0
	// sizeClasses is the number of prompt size classes, one for each power of two in tokens. The rate depends on the
	// class, because reading time grows faster than linearly with the prompt length.
	sizeClasses = 32
)

// Rate is the speed at which the engines of a service read prompts, by prompt size class, learned from answered
// prompts. The zero value has no samples.
type Rate struct{ tokensPerMillisecond [sizeClasses]float64 }

// ReadingTime returns the predicted reading time of a prompt with the given number of tokens on an engine of typical
// speed.
func (r *Rate) ReadingTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / r.nearestRate(tokens) * float64(time.Millisecond))
}

func sizeClass(tokens int64) int { return bits.Len64(uint64(max(0, tokens))) % sizeClasses }

// nearestRate returns the reading rate for a prompt length in tokens per millisecond: that of its size class, else
// that of the nearest smaller class with samples, else that of the nearest larger one, else initialRate.
func (r *Rate) nearestRate(tokens int64) float64 {
	class := sizeClass(tokens)
	for i := class; i >= 0; i-- {
		if r.tokensPerMillisecond[i] > 0 {
			return r.tokensPerMillisecond[i]
		}
	}
	for _, rate := range r.tokensPerMillisecond[class:] {
		if rate > 0 {
			return rate
		}
	}
	return initialRate
}

// Slowness is the ratio of an engine's time for a prompt to the typical time at its service. The zero value stands
// for 1.
type Slowness struct{ factor float64 }

// Factor returns the slowness as a factor; above 1 the engine is slower than typical for its service.
func (s *Slowness) Factor() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// Scale returns how long the engine takes for work that an engine of typical speed completes in the given time.
func (s *Slowness) Scale(typical time.Duration) time.Duration {
	return time.Duration(s.Factor() * float64(typical))
}

// Observation describes the first event that an engine returned for a prompt.
type Observation struct {
	Tokens int64
	// FirstEventLatency is the time from the dispatch of the prompt to its first event; PredictedWait is the backlog
	// predicted at dispatch.
	FirstEventLatency, PredictedWait time.Duration
}

// Observe updates the reading rate of the service and the slowness of the engine. It ignores prompts with a predicted
// wait above maxIdleWait, whose time depends on the queue.
func (r *Rate) Observe(o Observation, s *Slowness) {
	if o.PredictedWait > maxIdleWait || o.FirstEventLatency <= 0 {
		return
	}
	slowness := float64(o.FirstEventLatency) / float64(r.ReadingTime(o.Tokens)+firstEventOverhead)
	s.factor = smooth(s.Factor(), min(max(slowness, minSlowness), maxSlowness), slownessWeightUp, slownessWeightDown)
	if o.Tokens < minSampleTokens || o.FirstEventLatency <= firstEventOverhead {
		return
	}
	sample := float64(o.Tokens) * s.Factor() / (float64(o.FirstEventLatency-firstEventOverhead) / float64(time.Millisecond))
	r.tokensPerMillisecond[sizeClass(o.Tokens)] = smooth(r.nearestRate(o.Tokens), sample, rateWeightUp, rateWeightDown)
}

// smooth moves a value towards a sample, with weight up if the sample is higher and weight down if it is lower.
func smooth(value, sample, up, down float64) float64 {
	if sample > value {
		return value + up*(sample-value)
	}
	return value + down*(sample-value)
}
