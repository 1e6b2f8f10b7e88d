package ledgerstream

import (
	"context"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// reserveWithoutLog pays for an idempotent request from a reserve share while the log does not answer. It returns
// once a router in another availability zone holds a copy of the reservation, so that the bill survives the death
// of this router. If that fails before the open may have left the process, it returns firstRefusal.
func (c *Client) reserveWithoutLog(ctx context.Context, demand Demand, firstRefusal *verdict.Refusal) (*attempt, *verdict.Refusal) {
	a := c.admitReserve(demand)
	if a == nil {
		return nil, firstRefusal
	}
	timer := time.NewTimer(c.settings.CopyWait)
	defer timer.Stop()
	select {
	case <-a.copiedSignal:
	case <-a.decidedSignal:
	case <-ctx.Done():
	case <-timer.C:
	}
	if refusal := a.decideWithoutLog(firstRefusal); refusal != nil {
		return nil, refusal
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(reservePaid, 1)
	return a, nil
}

// admitReserve queues the open of a demand in the reserve share. It returns nil if the share cannot pay for it.
func (c *Client) admitReserve(demand Demand) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isReady() || c.draining || !c.current.maySpend(time.Now(), ledger.Reserve) {
		return nil
	}
	view, known := c.state.Budget(demand.Budget)
	_, reserve := c.freeTokens(demand.Budget)
	if !known || view.Frozen || reserve < demand.Amount || c.outboxLength() >= c.settings.OutboxLimit {
		return nil
	}
	a := c.newAttempt(demand)
	a.kind = ledger.Reserve
	a.queue()
	return a
}

// reserveFree returns the free part of a budget's reserve share in tokens.
func (c *Client) reserveFree(budget string) ledger.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, reserve := c.freeTokens(budget)
	return reserve
}

// decideWithoutLog returns nil if the reservation may be used. Otherwise it withdraws the reservation. If the open
// may have left the process, it queues a release and returns the verdict MayHaveRun.
func (a *attempt) decideWithoutLog(firstRefusal *verdict.Refusal) *verdict.Refusal {
	a.client.mu.Lock()
	copied := a.refusal == nil && (isClosed(a.copiedSignal) || a.accepted)
	refused := a.refusal
	a.client.mu.Unlock()
	switch {
	case copied:
		return nil
	case refused != nil:
		return refused
	case a.withdrawOrRelease():
		return firstRefusal
	default:
		unknown := *firstRefusal
		unknown.Verdict = verdict.MayHaveRun
		return &unknown
	}
}
