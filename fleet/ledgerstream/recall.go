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

// refuseExpired refuses the requests whose wait has timed out if, as of the newest read, the budget and the shares of
// responsive routers cannot pay for them and no fence will return enough tokens before OpenWait ends. The other
// requests continue to wait.
func (c *Client) refuseExpired() {
	var lastSeen map[ledger.Incarnation]platform.Offset
	for _, b := range c.accountsWithWaiting {
		c.refuseWaitingIf(b, func(a *attempt) *verdict.Refusal {
			if !a.expired {
				return nil
			}
			a.expired = false
			if lastSeen == nil {
				lastSeen = c.lastSeen()
			}
			forecast := c.forecastFunding(a, lastSeen)
			fencedInTime := time.Since(a.startedAt)+forecast.fenceDelay+fenceSettleTime <= c.settings.OpenWait
			if forecast.responsiveTokens >= a.demand.Amount || fencedInTime && forecast.dependsOnFence(a.demand.Amount) {
				return nil
			}
			return forecast.refusal(a.demand.Amount)
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

// forecastFunding returns the tokens that could still pay for an attempt. A live router answers a recall at once, so
// a router that has appended nothing within the draw deadline is disconnected or dead, and only a fence returns its
// share. Reserve shares of a suspended router, which has lost its lease, are not counted because they return only
// after the reserve term. The parameter lastSeen holds the offset of each incarnation's newest group in the current
// state.
func (c *Client) forecastFunding(a *attempt, lastSeen map[ledger.Incarnation]platform.Offset) fundingForecast {
	if a.refusedDraws == 0 {
		// No draw that includes the request has been refused, so nothing is known about the budget's other holders.
		return fundingForecast{responsiveTokens: a.demand.Amount}
	}
	view, _ := c.state.Budget(a.demand.Budget)
	forecast := fundingForecast{responsiveTokens: view.Available()}
	answerDue := time.Since(a.recalledAt) >= c.drawDeadline()
	for _, h := range view.Holders {
		switch {
		case !c.state.IsLive(h.Incarnation):
		case answerDue && c.ownOutbox(h.Incarnation) == nil && lastSeen[h.Incarnation] < a.recallEnd:
			forecast.unresponsiveTokens += h.WorkingFree
			forecast.fenceDelay = max(forecast.fenceDelay, c.fenceDelay(h.Incarnation))
		default:
			forecast.responsiveTokens += h.WorkingFree + h.ReserveFree
		}
	}
	return forecast
}

// lastSeen returns the offset of each incarnation's newest group.
func (c *Client) lastSeen() map[ledger.Incarnation]platform.Offset {
	offsets := map[ledger.Incarnation]platform.Offset{}
	for _, v := range c.state.Incarnations() {
		offsets[v.Incarnation] = v.LastSeen
	}
	return offsets
}

// fenceDelay returns the time until this router may fence an incarnation that remains unresponsive.
func (c *Client) fenceDelay(incarnation ledger.Incarnation) time.Duration {
	activity := c.memberActivities[incarnation]
	if activity == nil {
		activity = &memberActivity{}
	}
	return decision.FenceDelay(&c.readContinuity, &activity.inactivity, c.settings.fenceTerms(activity.jitter))
}

// refusal returns the refusal of a request whose wait for a share has timed out. If unresponsive routers hold the
// missing tokens, RetryAfter is the time until they are fenced.
func (f fundingForecast) refusal(amount ledger.Tokens) *verdict.Refusal {
	refusal := verdict.Refuse(verdict.BudgetExhausted, "")
	if f.dependsOnFence(amount) {
		refusal.Detail = "a router that holds a part of the budget is silent"
		refusal.RetryAfter = f.fenceDelay + fenceSettleTime
	}
	return refusal
}

// dependsOnFence reports whether the budget can pay the amount only after the unresponsive routers are fenced.
func (f fundingForecast) dependsOnFence(amount ledger.Tokens) bool {
	return f.responsiveTokens < amount && f.responsiveTokens+f.unresponsiveTokens >= amount
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
	remaining := b.waiting[:0]
	for _, a := range b.waiting {
		if r := refusal(a); r != nil {
			a.refuse(r)
			continue
		}
		remaining = append(remaining, a)
	}
	clear(b.waiting[len(remaining):])
	b.waiting = remaining
	if len(b.waiting) == 0 {
		delete(c.accountsWithWaiting, b.budget)
	}
}
