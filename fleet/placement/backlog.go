// Package placement chooses the engine that serves a prompt. It minimises the predicted time to the first event and
// prefers engines that hold the prompt's prefix in their cache. Engines read prompts one after the other, so a short
// prompt with a tight latency objective would be late behind a long one; the choice therefore predicts the backlog of
// each engine.
package placement

import "time"

// Backlog predicts how long an engine needs to read the prompts that were dispatched to it, by this router and by
// other routers as far as their placement notices have arrived. The zero value describes an idle engine.
type Backlog struct {
	busyUntil time.Time
	// pending holds this router's dispatches without a first event, oldest first; pendingWork is the sum of their
	// predicted reading times.
	pending     []*Dispatch
	pendingWork time.Duration
}

// Dispatch is a prompt that was sent to an engine and waits for its first event.
type Dispatch struct {
	sentAt time.Time
	work   time.Duration
}

// minPendingFraction is the fraction of pendingWork, the reading time of this router's prompts without a first event,
// that is certainly left. It is below 1 because the engine may have read all but the last chunk of one of these
// prompts.
const minPendingFraction = 0.6

// Wait returns the predicted time until the engine has read all prompts dispatched to it. A prompt of this router that
// is pending for longer than predicted shows that the engine lags behind, so Wait stays above zero while any is
// pending.
func (b *Backlog) Wait(now time.Time) time.Duration {
	return max(0, b.busyUntil.Sub(now), time.Duration(minPendingFraction*float64(b.pendingWork)))
}

// AddWork records a prompt that another router dispatched to the engine; work is its predicted reading time.
func (b *Backlog) AddWork(now time.Time, work time.Duration) {
	if b.busyUntil.Before(now) {
		b.busyUntil = now
	}
	b.busyUntil = b.busyUntil.Add(work)
}

// AddDispatch records a prompt that this router dispatches to the engine; work is its predicted reading time.
func (b *Backlog) AddDispatch(now time.Time, work time.Duration) *Dispatch {
	b.AddWork(now, work)
	d := &Dispatch{sentAt: now, work: work}
	b.pending = append(b.pending, d)
	b.pendingWork += work
	return d
}

// RemoveDispatch removes a dispatch whose first event has arrived or whose attempt has ended without one. A first event
// shows that the engine has read this prompt and all earlier ones, so the predicted backlog shrinks by the prompt's
// work, but not below the work that this router dispatched later. Without a first event the predicted backlog stays.
func (b *Backlog) RemoveDispatch(now time.Time, d *Dispatch, hasFirstEvent bool) {
	var laterWork time.Duration
	for i, dispatch := range b.pending {
		if dispatch != d {
			continue
		}
		b.pending = append(b.pending[:i], b.pending[i+1:]...)
		b.pendingWork -= d.work
		for _, later := range b.pending[i:] {
			laterWork += later.work
		}
		if hasFirstEvent {
			b.lowerTo(now, max(laterWork, b.busyUntil.Sub(now)-d.work))
		}
		return
	}
}

// lowerTo shortens the predicted backlog to the remaining time if the prediction is longer.
func (b *Backlog) lowerTo(now time.Time, remaining time.Duration) {
	if end := now.Add(remaining); end.Before(b.busyUntil) {
		b.busyUntil = end
	}
}

// SentAt returns the time at which the prompt was dispatched.
func (d *Dispatch) SentAt() time.Time { return d.sentAt }
