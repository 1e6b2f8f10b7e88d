package ledgerstream

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// expireAtNextRead marks the attempt's wait as timed out. The next complete read decides whether it is refused,
// since a bill that this router has not read yet may have freed enough tokens.
func (a *attempt) expireAtNextRead() {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	a.expired = true
}

// refuseExpired refuses the requests whose wait has timed out and that the budget cannot pay for as of the newest
// read. The others continue to wait.
func (c *Client) refuseExpired() {
	var seen map[ledger.Incarnation]platform.Offset
	for _, b := range c.accountsWithWaiting {
		c.refuseWaitingIf(b, func(a *attempt) *verdict.Refusal {
			if !a.expired {
				return nil
			}
			a.expired = false
			if seen == nil {
				seen = c.lastSeen()
			}
			o := c.forecastFunding(a, seen)
			fencedInTime := time.Since(a.startedAt)+o.fenceDelay+fenceSettleTime <= c.settings.OpenWait
			if o.responsiveTokens >= a.demand.Amount || fencedInTime && o.dependsOnFence(a.demand.Amount) {
				return nil
			}
			return o.refusal(a.demand.Amount)
		})
	}
}

// fenceSettleTime is the time from the moment at which a fence is due until other routers have drawn the returned
// tokens.
const fenceSettleTime = 1 * time.Second

// fundingForecast is the estimate of the tokens that could still pay for a request that waits for a share.
type fundingForecast struct {
	// responsiveTokens is the amount available in the budget plus the free shares of responsive routers, in tokens.
	responsiveTokens ledger.Tokens
	// unresponsiveTokens is the amount in free working shares of routers that did not answer the recall, in tokens.
	// Fences return all of it within fenceDelay.
	unresponsiveTokens ledger.Tokens
	fenceDelay         time.Duration
}

// forecastFunding returns the tokens that could still pay for an attempt. A live router answers a recall at once,
// so a router that has appended nothing within the draw deadline is disconnected or dead, and only a fence returns
// its share. Reserve shares of a router without a lease return too late to count. seen is the result of lastSeen
// for the current state.
func (c *Client) forecastFunding(a *attempt, seen map[ledger.Incarnation]platform.Offset) fundingForecast {
	if a.refusedDraws == 0 {
		// No draw that includes the request has been refused, so nothing is known about the budget's other holders.
		return fundingForecast{responsiveTokens: a.demand.Amount}
	}
	view, _ := c.state.Budget(a.demand.Budget)
	o := fundingForecast{responsiveTokens: view.Available()}
	answerDue := time.Since(a.recalledAt) >= c.drawDeadline()
	for _, h := range view.Holders {
		switch {
		case !c.state.IsLive(h.Incarnation):
		case answerDue && c.ownOutbox(h.Incarnation) == nil && seen[h.Incarnation] < a.recallEnd:
			o.unresponsiveTokens += h.WorkingFree
			o.fenceDelay = max(o.fenceDelay, c.fenceDelay(h.Incarnation))
		default:
			o.responsiveTokens += h.WorkingFree + h.ReserveFree
		}
	}
	return o
}

// lastSeen returns the offset of each incarnation's newest group.
func (c *Client) lastSeen() map[ledger.Incarnation]platform.Offset {
	seen := map[ledger.Incarnation]platform.Offset{}
	for _, v := range c.state.Incarnations() {
		seen[v.Incarnation] = v.LastSeen
	}
	return seen
}

// fenceDelay returns the time until this router may fence an incarnation that remains unresponsive.
func (c *Client) fenceDelay(incarnation ledger.Incarnation) time.Duration {
	w := c.memberActivities[incarnation]
	if w == nil {
		w = &memberActivity{}
	}
	return decision.FenceDelay(&c.readContinuity, &w.inactivity, c.settings.fenceTerms(w.jitter))
}

// refusal returns the refusal of a request whose wait for a share has timed out. If unresponsive routers hold the
// missing tokens, RetryAfter is the time until they are fenced.
func (o fundingForecast) refusal(amount ledger.Tokens) *verdict.Refusal {
	refusal := verdict.Refuse(verdict.BudgetExhausted, "")
	if o.dependsOnFence(amount) {
		refusal.Detail = "a router that holds a part of the budget is silent"
		refusal.RetryAfter = o.fenceDelay + fenceSettleTime
	}
	return refusal
}

// dependsOnFence reports whether the budget can pay the amount only after the unresponsive routers are fenced.
func (o fundingForecast) dependsOnFence(amount ledger.Tokens) bool {
	return o.responsiveTokens < amount && o.responsiveTokens+o.unresponsiveTokens >= amount
}

// shareTimeoutRefusal returns the refusal of a request that has waited for a share for OpenWait.
func (a *attempt) shareTimeoutRefusal() *verdict.Refusal {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.refusedDraws == 0 {
		return unreachableRefusal()
	}
	return c.forecastFunding(a, c.lastSeen()).refusal(a.demand.Amount)
}

// refuseWaitingIf refuses the waiting requests of an account for which the function refusal returns a non-nil
// refusal.
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
		delete(c.accountsWithWaiting, b.budget)
	}
}
