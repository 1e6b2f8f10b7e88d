package ledgerstream

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

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

// drawDeadline returns how long requests wait for other holders' shares.
func (c *Client) drawDeadline() time.Duration {
	return decision.DrawDeadline(c.settings.DrawWait, c.roundTrip, c.settings.OpenWait)
}

// removeWaiting takes an attempt out of its account's queue. It reports false if it is not there any more.
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
			// Another router may have seen the identifier with other contents: the ledger would refuse this
			// open, and what it ran would not be billed.
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
			// The open may be in the log, but its fate won't be known soon.
			unreachable = nil
			timer.Reset(s.ReserveAfter)
		case <-timer.C:
			return a.abandon(ctx, unreachableRefusal())
		}
	}
}

// unreachableChannel returns a channel that is closed while the log counts as unreachable.
func (c *Client) unreachableChannel() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachableSignal
}

// logWait returns how long the log may take: what can be paid from a reserve share does not wait as long.
func (a *attempt) logWait() time.Duration {
	if a.canUseReserve() {
		return a.client.settings.ReserveAfter
	}
	return a.client.settings.OpenWait
}
