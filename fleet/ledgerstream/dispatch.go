package ledgerstream

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// dispatch hands an event of the fold to what it concerns.
func (c *Client) dispatch(event ledger.Event) {
	switch e := event.(type) {
	case *ledger.Joined:
		c.onJoined(e)
	case *ledger.JoinRefused:
		c.onJoinRefused(e)
	case *ledger.Ended:
		c.onEnded(e)
	case *ledger.FenceRefused:
		c.onFenceRefused(e)
	case *ledger.PrepaidAccepted:
		c.onPrepaidAccepted(e)
	case *ledger.PrepaidRefused:
		c.onPrepaidRefused(e)
	case *ledger.Granted:
		c.onGranted(e)
	case *ledger.DrawRefused:
		c.onDrawRefused(e)
	case *ledger.Opened:
		c.onOpened(e)
	case *ledger.OpenRefused:
		c.onOpenRefused(e)
	case *ledger.Billed:
		c.onBilled(e)
	case *ledger.Released:
		c.onReleased(e)
	case *ledger.Crashed:
		c.onCrashed(e)
	}
}

// own returns the outbox of one of this process's incarnations, nil for those of others.
func (c *Client) own(incarnation ledger.Incarnation) *outbox {
	for _, o := range c.outboxes() {
		if o.incarnation == incarnation {
			return o
		}
	}
	return nil
}

// ownAttempt returns an open attempt of this process, nil for those of others.
func (c *Client) ownAttempt(identifier ledger.AttemptIdentifier) *attempt {
	o := c.own(identifier.Incarnation)
	if o == nil {
		return nil
	}
	return o.attempts[identifier.Number]
}

func (c *Client) onJoined(e *ledger.Joined) {
	o := c.own(e.Incarnation)
	if o == nil {
		return
	}
	if e.Nonce != o.nonce {
		// Another process of this instance took the same number: the incarnation is that process's.
		c.count(joinRefused, 1)
		c.retire(o)
		return
	}
	o.joined = true
	c.lookAtReserves()
	c.logger().Info("joined the ledger")
}

func (c *Client) onJoinRefused(e *ledger.JoinRefused) {
	if o := c.own(e.Incarnation); o != nil {
		c.count(joinRefused, 1)
		c.retire(o)
	}
}

func (c *Client) onEnded(e *ledger.Ended) {
	delete(c.silences, e.Incarnation)
	o := c.own(e.Incarnation)
	if o == nil || o.ended {
		return
	}
	if e.Left {
		o.ended = true
		c.closeGroups(o, o.drop(math.MaxUint64))
		return
	}
	c.loseLease(o, e.Kind)
}

// loseLease ends the use of an incarnation that another router has fenced.
func (c *Client) loseLease(o *outbox, kind ledger.ShareKind) {
	c.count(leaseFenced, 1)
	c.logger().Warn("the lease was ended by another router")
	c.retire(o)
	o.suspended = kind == ledger.Working && o.holdsReserve()
	o.ended = !o.suspended
	if o.ended {
		c.leaveFormer(o)
	}
}

// leaveFormer lets an incarnation without a lease leave: its reserve shares would otherwise stay out until
// their own term ends.
func (c *Client) leaveFormer(o *outbox) {
	if c.state.AppliedSequence(o.incarnation) > 0 {
		c.addTo(o, outboxEntry{record: &ledger.Leave{}})
	}
}

// retire ends the use of an incarnation: what it had not sent is withdrawn, its shares are lost, and
// the process joins as a new incarnation.
func (c *Client) retire(o *outbox) {
	o.ended = true
	o.joined = false
	for _, a := range o.withdrawStale() {
		c.count(openWithdrawn, 1)
		a.refuse(leaseLapsed())
	}
	if o != c.current {
		return
	}
	c.former = append(c.former, o)
	c.current = nil
	for _, b := range c.accounts {
		b.drawing = false
	}
	c.join()
}

// closeFormer ends the attempts of ended incarnations on which the ledger can't decide any more, and
// forgets the outboxes that have nothing left to append.
func (c *Client) closeFormer() {
	for _, o := range c.former {
		if o.suspended && !o.ended {
			c.closeSuspended(o)
			continue
		}
		for _, a := range o.attempts {
			a.refuse(leaseLapsed())
		}
		c.closeGroups(o, o.dropAcknowledged())
	}
	c.former = slices.DeleteFunc(c.former, (*outbox).finished)
}

// closeSuspended lets a suspended incarnation leave once its last reservation in a reserve share is closed.
func (c *Client) closeSuspended(o *outbox) {
	if !o.leaving && !o.holdsReserve() {
		c.leaveFormer(o)
	}
}

func (c *Client) onFenceRefused(e *ledger.FenceRefused) {
	if w := c.silences[e.Target]; w != nil && !w.fencedAt.IsZero() {
		c.count(fenceRefused, 1)
	}
}

func (c *Client) onOpened(e *ledger.Opened) {
	if a := c.ownAttempt(e.Attempt); a != nil {
		c.count(openAccepted, 1)
		a.accept()
	}
}

func (c *Client) onOpenRefused(e *ledger.OpenRefused) {
	if a := c.ownAttempt(e.Attempt); a != nil {
		c.count(openRefused, 1)
		a.refuse(refusalOf(e.Reason))
	}
}

func (c *Client) onBilled(e *ledger.Billed) {
	o := c.own(e.Attempt.Incarnation)
	if o == nil {
		return
	}
	if a := o.attempts[e.Attempt.Number]; a != nil && e.Settled {
		a.settled = true
	}
	c.afterFreed(e.Budget)
}

func (c *Client) onReleased(e *ledger.Released) {
	if a := c.ownAttempt(e.Attempt); a != nil {
		a.released = true
		c.afterFreed(a.demand.Budget)
	}
}

// afterFreed gives what became free in a share to waiting requests, or back if it is recalled.
func (c *Client) afterFreed(budget string) {
	c.lookAtReserve(budget)
	b := c.holding(budget)
	if b == nil {
		return
	}
	c.serve(b)
	if b.recalled(time.Now()) {
		c.sendHome(b, true)
	}
}
