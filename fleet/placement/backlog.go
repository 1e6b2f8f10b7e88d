// Package placement chooses the engine for a prompt: where it begins soonest and where its beginning is cached. It
// answers the load of long prompts among short ones with tight objectives: an engine reads prompts one after the other,
// so that a short one sent behind a long one begins late.
package placement

import (
	"time"
)

const (
	// firstRate is the rate at which an engine reads prompts until one was observed, in tokens a millisecond.
	firstRate = 50.0
	// leastSample is the shortest prompt from which the rate is learned: short ones tell more of the engine's overhead.
	leastSample = 4000
	// rateUp and rateDown weigh a sample above and below the rate: what a prompt waited for lowers samples, nothing raises
	// them.
	rateUp   = 0.3
	rateDown = 0.03
)

// Rate is how fast the engines of a service read prompts, learned from the prompts that they answered. Its zero value
// knows none.
type Rate struct{ perMillisecond float64 }

// Work returns how long an engine reads a number of tokens.
func (r *Rate) Work(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / r.value() * float64(time.Millisecond))
}

func (r *Rate) value() float64 {
	if r.perMillisecond == 0 {
		return firstRate
	}
	return r.perMillisecond
}

// Observe learns from the time between a prompt's dispatch and its first event.
func (r *Rate) Observe(tokens int64, first time.Duration) {
	if tokens < leastSample || first <= 0 {
		return
	}
	sample := float64(tokens) / float64(first) * float64(time.Millisecond)
	weight := rateDown
	if sample > r.value() {
		weight = rateUp
	}
	r.perMillisecond = r.value() + weight*(sample-r.value())
}

// Backlog predicts how long an engine still reads prompts that were sent to it, by this router and, as far as it was told,
// by others. Its zero value is that of an idle engine.
type Backlog struct {
	until time.Time
	// own are the dispatches of this router whose first event has not come, in their order.
	own []*Dispatch
}

// Dispatch is a prompt on its way to its first event.
type Dispatch struct {
	sent time.Time
	work time.Duration
}

// Wait returns how long the engine is busy with what was sent before.
func (b *Backlog) Wait(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }

// Add notes work that another router sent.
func (b *Backlog) Add(now time.Time, work time.Duration) {
	if b.until.Before(now) {
		b.until = now
	}
	b.until = b.until.Add(work)
}

// Send notes a prompt of this router.
func (b *Backlog) Send(now time.Time, work time.Duration) *Dispatch {
	b.Add(now, work)
	d := &Dispatch{sent: now, work: work}
	b.own = append(b.own, d)
	return d
}

// Began corrects the prediction when a prompt's first event has come or its attempt has ended: what was sent before it has
// been read, so that no more than what was sent later can be left.
func (b *Backlog) Began(now time.Time, d *Dispatch, answered bool) {
	var later time.Duration
	for i, other := range b.own {
		if other != d {
			continue
		}
		b.own = append(b.own[:i], b.own[i+1:]...)
		for _, o := range b.own[i:] {
			later += o.work
		}
		if answered {
			b.limit(now, max(later, b.Wait(now)-d.work))
		}
		return
	}
}

// limit lowers the prediction to a bound.
func (b *Backlog) limit(now time.Time, left time.Duration) {
	if end := now.Add(left); end.Before(b.until) {
		b.until = end
	}
}

// Sent returns when the prompt was sent.
func (d *Dispatch) Sent() time.Time { return d.sent }
