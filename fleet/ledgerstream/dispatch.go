package ledgerstream

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// dispatch calls the handler of an event of the fold.
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

// ownOutbox returns the outbox of an incarnation of this process, or nil for other incarnations.
func (c *Client) ownOutbox(incarnation ledger.Incarnation) *outbox {
	for _, o := range c.outboxes() {
		if o.incarnation == incarnation {
			return o
		}
	}
	return nil
}

// ownAttempt returns an attempt of this process that is not closed yet, or nil for all other attempts.
func (c *Client) ownAttempt(identifier ledger.AttemptIdentifier) *attempt {
	o := c.ownOutbox(identifier.Incarnation)
	if o == nil {
		return nil
	}
	return o.attempts[identifier.Number]
}

func (c *Client) onJoined(e *ledger.Joined) {
	o := c.ownOutbox(e.Incarnation)
	if o == nil {
		return
	}
	if e.Nonce != o.nonce {
		// Another process of this instance joined with the same number, so the incarnation belongs to that process.
		c.count(joinRefused, 1)
		c.retire(o)
		return
	}
	o.joined = true
	c.queueAllReserveChecks()
	c.logger().Info("joined the ledger")
}

func (c *Client) onJoinRefused(e *ledger.JoinRefused) {
	if o := c.ownOutbox(e.Incarnation); o != nil {
		c.count(joinRefused, 1)
		c.retire(o)
	}
}

func (c *Client) onEnded(e *ledger.Ended) {
	delete(c.memberActivities, e.Incarnation)
	o := c.ownOutbox(e.Incarnation)
	if o == nil || o.ended {
		return
	}
	if e.Left {
		o.ended = true
		c.closeAttemptsOf(o, o.removeApplied(math.MaxUint64))
		return
	}
	c.loseLease(o, e.Kind)
}

// loseLease stops the use of an incarnation that another router has fenced. After a fence of kind Working the
// incarnation stays suspended while a reservation in a reserve share is open; in all other cases it ends.
func (c *Client) loseLease(o *outbox, kind ledger.ShareKind) {
	c.count(leaseFenced, 1)
	c.logger().Warn("another router fenced this incarnation")
	c.retire(o)
	o.suspended = kind == ledger.Working && o.hasOpenReserve()
	o.ended = !o.suspended
	if o.ended {
		c.queueLeave(o)
	}
}

// queueLeave queues the Leave record of an incarnation without a lease. Without this record the reserve shares would
// stay unavailable to the budgets until the reserve term ends.
func (c *Client) queueLeave(o *outbox) {
	if c.state.AppliedSequence(o.incarnation) > 0 {
		c.enqueueIn(o, outboxEntry{record: &ledger.Leave{}})
	}
}

// retire stops the use of an incarnation: its queued records except bills and releases are withdrawn, its shares
// are lost, and the process joins as a new incarnation.
func (c *Client) retire(o *outbox) {
	o.ended = true
	o.joined = false
	for _, a := range o.withdrawStale() {
		c.count(openWithdrawn, 1)
		a.refuse(leaseExpiredRefusal())
	}
	if o != c.current {
		return
	}
	c.former = append(c.former, o)
	c.current = nil
	for _, b := range c.accounts {
		b.drawPending = false
	}
	c.join()
}

// closeFormer refuses the undecided attempts of ended incarnations, because the ledger will no longer accept their
// opens, and deletes the outboxes that have nothing left to append.
func (c *Client) closeFormer() {
	for _, o := range c.former {
		if o.suspended && !o.ended {
			c.closeSuspended(o)
			continue
		}
		for _, a := range o.attempts {
			a.refuse(leaseExpiredRefusal())
		}
		c.closeAttemptsOf(o, o.removeAcknowledged())
	}
	c.former = slices.DeleteFunc(c.former, (*outbox).isFinished)
}

// closeSuspended queues the Leave record of a suspended incarnation once no reservation in a reserve share is open.
func (c *Client) closeSuspended(o *outbox) {
	if !o.leaving && !o.hasOpenReserve() {
		c.queueLeave(o)
	}
}

func (c *Client) onFenceRefused(e *ledger.FenceRefused) {
	if activity := c.memberActivities[e.Target]; activity != nil && !activity.fencedAt.IsZero() {
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
	o := c.ownOutbox(e.Attempt.Incarnation)
	if o == nil {
		return
	}
	if a := o.attempts[e.Attempt.Number]; a != nil && e.Settled {
		a.settled = true
	}
	c.onTokensFreed(e.Budget)
}

func (c *Client) onReleased(e *ledger.Released) {
	if a := c.ownAttempt(e.Attempt); a != nil {
		a.released = true
		c.onTokensFreed(a.demand.Budget)
	}
}

// onTokensFreed serves the waiting requests of a budget with freed tokens and returns the rest if the shares are
// recalled.
func (c *Client) onTokensFreed(budget string) {
	c.queueReserveCheck(budget)
	b := c.heldAccount(budget)
	if b == nil {
		return
	}
	c.serve(b)
	if b.isRecalled(time.Now()) {
		c.returnShares(b, true)
	}
}
