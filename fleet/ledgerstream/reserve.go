package ledgerstream

import (
	"context"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Reserve reserves a demand's amount in this router's share of the budget and returns once the reservation is in
// the log. It draws a share first if the current one is too small.
func (c *Client) Reserve(ctx context.Context, demand Demand) (Reservation, error) {
	a, refusal := c.admitOnceKnown(ctx, demand)
	if refusal == nil {
		refusal = a.wait(ctx)
	}
	if refusal != nil && refusal.Reason == verdict.LedgerUnreachable && demand.Idempotent && c.settings.Relay != nil {
		a, refusal = c.reserveWithoutLog(ctx, demand, refusal)
	}
	if refusal != nil {
		c.count(reserveRefusedFor+string(refusal.Reason), 1)
		return nil, c.withEarlierAttempts(demand, refusal)
	}
	return a, nil
}

// budgetPollInterval is the time between two looks for a budget that has not been read from the log yet.
const budgetPollInterval = 20 * time.Millisecond

// admitOnceKnown admits a demand. It waits up to DrawWait for a budget that is not in the ledger yet: its ticket may just have been
// accepted, and other routers read the log sooner.
func (c *Client) admitOnceKnown(ctx context.Context, demand Demand) (*attempt, *verdict.Refusal) {
	wait, cancel := context.WithTimeout(ctx, c.settings.DrawWait)
	defer cancel()
	for {
		a, refusal := c.admit(demand)
		if refusal == nil || refusal.Reason != verdict.BudgetNotYetInLedger || wait.Err() != nil {
			return a, refusal
		}
		clock.Sleep(wait, budgetPollInterval)
	}
}

// withEarlierAttempts corrects a refusal by the ledger's record of the request's earlier attempts on any router. The
// caller relies on the verdict "not run" for the request as a whole, not only for the refused attempt.
func (c *Client) withEarlierAttempts(demand Demand, refusal *verdict.Refusal) *verdict.Refusal {
	if refusal.Verdict != verdict.NotRun || refusal.Reason == verdict.IdempotencyKeyReused {
		return refusal
	}
	c.mu.Lock()
	earlier := c.state.Request(demand.Request)
	c.mu.Unlock()
	corrected := *refusal
	switch {
	case earlier.Billed:
		corrected.Verdict = verdict.Ran
	case earlier.Open:
		corrected.Verdict = verdict.MayHaveRun
	}
	return &corrected
}

// admit queues the open of a demand, or adds the demand to the requests that wait for a share.
func (c *Client) admit(demand Demand) (*attempt, *verdict.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if demand.Idempotent && c.state.Request(demand.Request).Billed {
		// A billed request is not charged again, so a retry needs no tokens and is possible in an exhausted budget.
		demand.Amount = 0
	}
	if refusal := c.admissionRefusal(now, demand); refusal != nil {
		return nil, refusal
	}
	a := c.newAttempt(demand)
	b := c.account(demand.Budget)
	b.demand.Add(now, demand.Amount)
	b.lastDemandAt = now
	b.waiting = append(b.waiting, a)
	c.accountsWithWaiting[b.budget] = b
	c.serve(b)
	return a, nil
}

// admissionRefusal returns a refusal if the demand cannot be paid for even if all other routers return their
// shares, or if the client cannot accept reservations at all. It returns nil otherwise.
func (c *Client) admissionRefusal(now time.Time, demand Demand) *verdict.Refusal {
	switch {
	case c.draining:
		return verdict.Refuse(verdict.ShuttingDown, "")
	case !c.isReady():
		return verdict.Refuse(verdict.NotReady, "")
	case !c.reachable || !c.current.lease.Valid(now):
		return unreachableRefusal()
	case c.outboxLength() >= c.settings.OutboxLimit:
		return verdict.Refuse(verdict.Overloaded, "too many records wait for the log")
	case demand.Amount < 0:
		return verdict.Refuse(verdict.Internal, "the amount is negative")
	}
	view, known := c.state.Budget(demand.Budget)
	switch {
	case !known:
		return verdict.Refuse(verdict.BudgetNotYetInLedger, "")
	case view.Frozen:
		return verdict.Refuse(verdict.BudgetFrozen, "")
	case demand.Amount > view.Prepaid-view.Spent:
		return verdict.Refuse(verdict.BudgetExhausted, "")
	}
	return nil
}

// canUseReserve reports whether a reserve share could pay for the request.
func (a *attempt) canUseReserve() bool {
	c := a.client
	return a.demand.Idempotent && c.settings.Relay != nil && c.reserveFree(a.demand.Budget) >= a.demand.Amount
}

// abandon ends an attempt whose context has ended or that has waited too long for the log. The refusal keeps the
// verdict "not run" only if the open never left the process or its release was read back in time.
func (a *attempt) abandon(ctx context.Context, refusal *verdict.Refusal) *verdict.Refusal {
	c := a.client
	if a.withdrawOrRelease() {
		return refusal
	}
	// A request that a reserve share can pay for does not wait for the release, because the open of its next attempt, in
	// the reserve share, decides the outcome.
	if (refusal.Reason != verdict.LedgerUnreachable || !a.canUseReserve()) && a.awaitRelease(ctx) {
		return refusal
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.refusal != nil {
		return a.refusal
	}
	unknown := *refusal
	unknown.Verdict = verdict.MayHaveRun
	return &unknown
}

// withdrawOrRelease removes the open from the queue and returns true. If the open may have left the process, it
// queues a release and returns false. If the attempt has already been refused, withdrawOrRelease returns false and
// does nothing else.
func (a *attempt) withdrawOrRelease() bool {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.refusal != nil {
		return false
	}
	if a.outbox.withdraw(a) {
		c.count(openWithdrawn, 1)
		return true
	}
	c.count(openAbandoned, 1)
	a.queueClose(&ledger.Release{Request: a.demand.Request, Attempt: a.number})
	return false
}

// awaitRelease waits for a queued release until DrawWait has passed or ctx ends, and reports whether the release
// was read back.
func (a *attempt) awaitRelease(ctx context.Context) bool {
	wait, cancel := context.WithTimeout(ctx, a.client.settings.DrawWait)
	defer cancel()
	select {
	case <-wait.Done():
	case <-a.releaseSignal:
	}
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	return a.released
}

// refuseUnsent refuses the requests that wait for a share or whose opens in working shares are queued, because the
// log is unreachable or the lease has lapsed. Queued opens in reserve shares remain, since a copy on another router
// is sufficient for them.
func (c *Client) refuseUnsent() {
	for _, b := range c.accountsWithWaiting {
		for _, a := range b.waiting {
			a.refuse(unreachableRefusal())
		}
		b.waiting = nil
	}
	clear(c.accountsWithWaiting)
	if c.current == nil {
		return
	}
	for _, a := range c.current.withdrawWorking() {
		c.count(openWithdrawn, 1)
		a.refuse(unreachableRefusal())
	}
}
