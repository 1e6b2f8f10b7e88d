package ledgerstream

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// wait waits for a share and then until the reservation is in the log.
func (a *attempt) wait(ctx context.Context) *verdict.Refusal {
	if refusal := a.waitForShare(ctx); refusal != nil {
		return refusal
	}
	return a.waitForLog(ctx)
}

// waitForShare waits until the open was queued. It gives other routers the time of a recall to return their shares.
// After that time, waitForShare continues while the budget could still pay for the request, up to OpenWait.
func (a *attempt) waitForShare(ctx context.Context) *verdict.Refusal {
	c := a.client
	c.mu.Lock()
	deadline := c.drawDeadline()
	c.mu.Unlock()
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	for {
		select {
		case <-a.queuedSignal:
			return nil
		case <-a.decidedSignal:
			return a.refusal
		case <-ctx.Done():
			if c.removeWaiting(a) {
				return contextRefusal(ctx)
			}
		case <-timer.C:
			remaining := c.settings.OpenWait - time.Since(a.startedAt)
			if remaining > 0 {
				a.expireAtNextRead()
				timer.Reset(min(remaining, c.settings.DrawInterval))
				continue
			}
			if c.removeWaiting(a) {
				return a.shareTimeoutRefusal()
			}
		}
	}
}

// drawDeadline returns the time for which requests wait for other routers to return their shares.
func (c *Client) drawDeadline() time.Duration {
	return decision.DrawDeadline(c.settings.DrawWait, c.roundTrip, c.settings.OpenWait)
}

// removeWaiting removes an attempt from the waiting requests of its account. It returns false if the attempt is not
// among them.
func (c *Client) removeWaiting(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.account(a.demand.Budget)
	index := slices.Index(b.waiting, a)
	if index < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, index, index+1)
	if len(b.waiting) == 0 {
		delete(c.accountsWithWaiting, b.budget)
	}
	return true
}

// waitForLog waits until the open was read back. For an idempotent request an acknowledged open is sufficient if it
// is not read back within ReadBackWait.
func (a *attempt) waitForLog(ctx context.Context) *verdict.Refusal {
	s := a.client.settings
	timer := time.NewTimer(a.logWait())
	defer timer.Stop()
	acknowledged := a.acknowledgedSignal
	if !a.demand.Idempotent {
		acknowledged = nil
	}
	unreachable := a.client.unreachableChannel()
	readBack := (<-chan time.Time)(nil)
	for {
		select {
		case <-a.decidedSignal:
			return a.refusal
		case <-acknowledged:
			if a.demand.Unique {
				return nil
			}
			// Another router may have received the same identifier with other contents. The ledger would then
			// refuse this open, and the run would not be billed.
			acknowledged, unreachable = nil, nil
			readBack = time.After(s.ReadBackWait)
		case <-readBack:
			return nil
		case <-ctx.Done():
			return a.abandon(ctx, contextRefusal(ctx))
		case <-unreachable:
			if a.canUseReserve() {
				return a.abandon(ctx, unreachableRefusal())
			}
			// The open may be in the log, but the outcome cannot be known while the log is unreachable.
			unreachable = nil
			timer.Reset(s.ReserveAfter)
		case <-timer.C:
			return a.abandon(ctx, unreachableRefusal())
		}
	}
}

// unreachableChannel returns a channel that is closed while the log is considered unreachable.
func (c *Client) unreachableChannel() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachableSignal
}

// logWait returns the maximum wait for the log. It is shorter if a reserve share can pay for the request.
func (a *attempt) logWait() time.Duration {
	if a.canUseReserve() {
		return a.client.settings.ReserveAfter
	}
	return a.client.settings.OpenWait
}
