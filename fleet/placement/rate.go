package placement

import (
	"math/bits"
	"time"
)

const (
	// firstRate is the rate at which an engine reads prompts until one was observed, in tokens a millisecond.
	firstRate = 45.0
	// leastSample is the shortest prompt from which the rate is learned: short ones tell more of the engine's overhead.
	leastSample = 2000
	// rateUp and rateDown weigh a sample above and below the rate: what a prompt waited for lowers samples, nothing raises
	// them.
	rateUp   = 0.3
	rateDown = 0.06
	// overhead is what a first event takes beside the reading: a step of the engine and the way.
	overhead = 20 * time.Millisecond
	// quietWait is the predicted wait up to which a first event tells of the engine's speed.
	quietWait = 2 * time.Millisecond
	// slowUp and slowDown weigh samples above and below an engine's slowness, leastSlow and mostSlow bound it.
	slowUp    = 0.08
	slowDown  = 0.2
	leastSlow = 0.5
	mostSlow  = 10.0
	// sizes is the number of classes of prompts by the power of two of their tokens: the work of reading grows faster than
	// a prompt's length.
	sizes = 32
)

// Rate is how fast the engines of a service read prompts, by the prompts' size, learned from those that they answered. Its
// zero value knows none.
type Rate struct{ perMillisecond [sizes]float64 }

// Work returns how long an engine of usual speed reads a number of tokens.
func (r *Rate) Work(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / r.of(tokens) * float64(time.Millisecond))
}

func size(tokens int64) int { return bits.Len64(uint64(max(0, tokens))) % sizes }

// of returns the rate of a size, or of the nearest one that is known, smaller ones first.
func (r *Rate) of(tokens int64) float64 {
	own := size(tokens)
	for i := own; i >= 0; i-- {
		if r.perMillisecond[i] > 0 {
			return r.perMillisecond[i]
		}
	}
	for _, rate := range r.perMillisecond[own:] {
		if rate > 0 {
			return rate
		}
	}
	return firstRate
}

// Slowness is how much longer an engine takes than those of its service do usually. Its zero value stands for 1.
type Slowness struct{ factor float64 }

// Factor returns the slowness.
func (s *Slowness) Factor() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// Work returns how long the engine takes for what one of usual speed does in a time.
func (s *Slowness) Work(usual time.Duration) time.Duration {
	return time.Duration(s.Factor() * float64(usual))
}

// Observation is a prompt's first event.
type Observation struct {
	Tokens int64
	// First is the time from the dispatch to the first event, Wait what the engine was predicted to be busy with before.
	First, Wait time.Duration
}

// Observe learns from a first event.
func (r *Rate) Observe(o Observation, s *Slowness) {
	if o.Wait > quietWait || o.First <= 0 {
		return
	}
	slowness := float64(o.First) / float64(r.Work(o.Tokens)+overhead)
	s.factor = weigh(s.Factor(), min(max(slowness, leastSlow), mostSlow), slowUp, slowDown)
	if o.Tokens < leastSample || o.First <= overhead {
		return
	}
	sample := float64(o.Tokens) * s.Factor() / (float64(o.First-overhead) / float64(time.Millisecond))
	r.perMillisecond[size(o.Tokens)] = weigh(r.of(o.Tokens), sample, rateUp, rateDown)
}

// weigh moves a value towards a sample, by one weight upwards and another downwards.
func weigh(value, sample, up, down float64) float64 {
	if sample > value {
		return value + up*(sample-value)
	}
	return value + down*(sample-value)
}
