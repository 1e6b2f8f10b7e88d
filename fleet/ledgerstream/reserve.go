package ledgerstream

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Reserve reserves a demand's amount in this router's share of the budget, drawing a share first if
// need be, and returns once the reservation is in the log.
func (c *Client) Reserve(ctx context.Context, demand Demand) (Reservation, error) {
	a, refusal := c.admit(demand)
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

// withEarlierAttempts corrects a refusal for what the ledger shows of the request's earlier attempts, on any
// router: a caller who is told "not run" may rely on it for the request and not just for this attempt.
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

// admit queues the open of a demand or lets it wait for a share.
func (c *Client) admit(demand Demand) (*attempt, *verdict.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if demand.Idempotent && c.state.Request(demand.Request).Billed {
		// A request that was billed is not billed again, so that an exhausted budget can serve its retry.
		demand.Amount = 0
	}
	if refusal := c.refuseNow(now, demand); refusal != nil {
		return nil, refusal
	}
	a := c.newAttempt(demand)
	b := c.account(demand.Budget)
	b.demand.Add(now, demand.Amount)
	b.demandedAt = now
	b.waiting = append(b.waiting, a)
	c.hungry[b.budget] = b
	c.serve(b)
	return a, nil
}

// refuseNow returns the refusal of a demand that can't be paid for, whatever the other routers return.
func (c *Client) refuseNow(now time.Time, demand Demand) *verdict.Refusal {
	switch {
	case c.draining:
		return verdict.Refuse(verdict.ShuttingDown, "")
	case !c.ready():
		return verdict.Refuse(verdict.NotReady, "")
	case !c.reachable || !c.current.lease.Valid(now):
		return unreachable()
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

// wait waits for a share and then for the log.
func (a *attempt) wait(ctx context.Context) *verdict.Refusal {
	if refusal := a.waitForShare(ctx); refusal != nil {
		return refusal
	}
	return a.waitForLog(ctx)
}

// waitForShare waits until the open was queued. Holders get the time of a recall to return what they
// can spare, and more of it while the budget could still pay, but never longer than for the log.
func (a *attempt) waitForShare(ctx context.Context) *verdict.Refusal {
	c := a.client
	begun := time.Now()
	timer := time.NewTimer(c.drawDeadline())
	defer timer.Stop()
	for {
		select {
		case <-a.queuedSignal:
			return nil
		case <-a.decidedSignal:
			return a.refusal
		case <-ctx.Done():
			if c.leave(a) {
				return interrupted(ctx)
			}
		case <-timer.C:
			left := c.settings.OpenWait - time.Since(begun)
			if left > 0 {
				a.decideAtNextRead()
				timer.Reset(min(left, c.settings.DrawInterval))
				continue
			}
			if c.leave(a) {
				return a.exhausted()
			}
		}
	}
}

// decideAtNextRead lets the next read of the stream's end decide whether the attempt waits on. Between two reads a
// bill may have freed what this router does not see yet.
func (a *attempt) decideAtNextRead() {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	a.expired = true
}

// refuseExpired refuses the requests that have waited long enough and that the budget, as of the newest read, can't
// pay for. The others wait on.
func (c *Client) refuseExpired() {
	for _, b := range c.hungry {
		c.refuseWaitingIf(b, func(a *attempt) *verdict.Refusal {
			if !a.expired {
				return nil
			}
			a.expired = false
			if c.mayStillBePaid(a) {
				return nil
			}
			return a.exhausted()
		})
	}
}

// refuseWaitingIf refuses the waiting requests of an account for which refusal returns one.
func (c *Client) refuseWaitingIf(b *account, refusal func(*attempt) *verdict.Refusal) {
	kept := b.waiting[:0]
	for _, a := range b.waiting {
		if r := refusal(a); r != nil {
			a.refuse(r)
			continue
		}
		kept = append(kept, a)
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
	if len(b.waiting) == 0 {
		delete(c.hungry, b.budget)
	}
}

// drawDeadline returns how long requests wait for other holders' shares.
func (c *Client) drawDeadline() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return decision.DrawDeadline(c.settings.DrawWait, c.roundTrip, c.settings.OpenWait)
}

// mayStillBePaid says whether a request waits on for a share: no draw that was refused has spoken for
// it yet, or the budget and the free shares of the live routers together could pay. What a router that
// lost its lease holds in reserve comes back too late.
func (c *Client) mayStillBePaid(a *attempt) bool {
	if a.drawsRefused == 0 {
		return true
	}
	view, _ := c.state.Budget(a.demand.Budget)
	reachable := view.Available()
	for _, h := range view.Holders {
		if c.state.IsLive(h.Incarnation) {
			reachable += h.WorkingFree + h.ReserveFree
		}
	}
	return reachable >= a.demand.Amount
}

// exhausted returns the refusal of a request that waited for a share in vain.
func (a *attempt) exhausted() *verdict.Refusal {
	if a.drawsRefused == 0 {
		return unreachable()
	}
	return verdict.Refuse(verdict.BudgetExhausted, "")
}

// leave takes an attempt out of its account's queue. It reports false if it is not there any more.
func (c *Client) leave(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.account(a.demand.Budget)
	at := slices.Index(b.waiting, a)
	if at < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	if len(b.waiting) == 0 {
		delete(c.hungry, b.budget)
	}
	return true
}

// waitForLog waits until the open was read back. For an idempotent request its acknowledgement
// suffices if it isn't read back soon after.
func (a *attempt) waitForLog(ctx context.Context) *verdict.Refusal {
	s := a.client.settings
	timer := time.NewTimer(a.logWait())
	defer timer.Stop()
	acknowledged := a.acknowledgedSignal
	if !a.demand.Idempotent {
		acknowledged = nil
	}
	readBack := (<-chan time.Time)(nil)
	for {
		select {
		case <-a.decidedSignal:
			return a.refusal
		case <-acknowledged:
			if a.demand.Unique {
				return nil
			}
			// Another router may have seen the identifier with other contents: the ledger would refuse this
			// open, and what it ran would not be billed.
			acknowledged = nil
			readBack = time.After(s.ReadBackWait)
		case <-readBack:
			return nil
		case <-ctx.Done():
			return a.abandon(ctx, interrupted(ctx))
		case <-timer.C:
			return a.abandon(ctx, unreachable())
		}
	}
}

// logWait returns how long the log may take: what can be paid from a reserve share does not wait as long.
func (a *attempt) logWait() time.Duration {
	if a.hasReserve() {
		return a.client.settings.ReserveAfter
	}
	return a.client.settings.OpenWait
}

// hasReserve says whether a reserve share could pay for the request.
func (a *attempt) hasReserve() bool {
	c := a.client
	return a.demand.Idempotent && c.settings.Relay != nil && c.reserveFree(a.demand.Budget) >= a.demand.Amount
}

// abandon gives an attempt up. Its refusal says that the request was not run only if the open never
// left the process or its release was read back in time.
func (a *attempt) abandon(ctx context.Context, refusal *verdict.Refusal) *verdict.Refusal {
	c := a.client
	if a.withdrawn() {
		return refusal
	}
	// A request that a reserve share can pay for doesn't wait for the release: its second open decides.
	if (refusal.Reason != verdict.LedgerUnreachable || !a.hasReserve()) && a.awaitRelease(ctx) {
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

// withdrawn takes the open out of the outbox; if it may have left, a release is queued instead.
func (a *attempt) withdrawn() bool {
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
	a.finish(&ledger.Release{Request: a.demand.Request, Attempt: a.number})
	return false
}

// awaitRelease waits for a queued release for as long as the caller does, and reports whether it was
// read back.
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

// refuseUnsent ends every request whose open has not left the process, because the log can't be reached.
func (c *Client) refuseUnsent() {
	for _, b := range c.hungry {
		for _, a := range b.waiting {
			a.refuse(unreachable())
		}
		b.waiting = nil
	}
	clear(c.hungry)
	if c.current == nil {
		return
	}
	for _, a := range c.current.withdrawWorking() {
		c.count(openWithdrawn, 1)
		a.refuse(unreachable())
	}
}
