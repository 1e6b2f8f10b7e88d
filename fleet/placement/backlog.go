// Package placement chooses the engine for a prompt: where it begins soonest and where its beginning is cached. It
// answers the load of long prompts among short ones with tight objectives: an engine reads prompts one after the other,
// so that a short one sent behind a long one begins late.
package placement

import "time"

// Backlog predicts how long an engine still reads prompts that were sent to it, by this router and, as far as it was told,
// by others. Its zero value is that of an idle engine.
type Backlog struct {
	until time.Time
	// own are the dispatches of this router whose first event has not come, in their order; unread is their work.
	own    []*Dispatch
	unread time.Duration
}

// Dispatch is a prompt on its way to its first event.
type Dispatch struct {
	sent time.Time
	work time.Duration
}

// unreadPart is the part of the work of this router's own prompts without a first event that is surely left: one of them
// may be read by now but for its last piece.
const unreadPart = 0.6

// Wait returns how long the engine is busy with what was sent before. Own prompts that should have begun by now show that
// it is behind the prediction.
func (b *Backlog) Wait(now time.Time) time.Duration {
	return max(0, b.until.Sub(now), time.Duration(unreadPart*float64(b.unread)))
}

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
	b.unread += work
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
		b.unread -= d.work
		for _, o := range b.own[i:] {
			later += o.work
		}
		if answered {
			b.limit(now, max(later, b.until.Sub(now)-d.work))
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
