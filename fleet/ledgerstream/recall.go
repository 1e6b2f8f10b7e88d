package ledgerstream

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// expireAtNextRead lets the next read of the stream's end decide whether the attempt waits on. Between two reads a
// bill may have freed what this router does not see yet.
func (a *attempt) expireAtNextRead() {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	a.expired = true
}

// refuseExpired refuses the requests that have waited long enough and that the budget, as of the newest read, can't
// pay for. The others wait on.
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
			if o.responsive >= a.demand.Amount || fencedInTime && o.dependsOnFence(a.demand.Amount) {
				return nil
			}
			return o.refusal(a.demand.Amount)
		})
	}
}

// fenceSettleTime is the time from the moment at which a fence is due until others have drawn what it returned.
const fenceSettleTime = 1 * time.Second

// fundingForecast is what could still pay for a request that waits for a share.
type fundingForecast struct {
	// responsive is what the budget has available and what routers that answer hold free.
	responsive ledger.Tokens
	// unresponsive is what routers hold free that did not answer the recall. Fences return it within fenceIn.
	unresponsive  ledger.Tokens
	fenceDelay time.Duration
}

// forecastFunding returns what could still pay for an attempt. A live router answers a recall at once: one that shows nothing
// after it in the time of a recall is cut off or dead, and its share comes back with its fence only. What a router that
// lost its lease holds in reserve comes back too late. The last-seen offsets are those of the state.
func (c *Client) forecastFunding(a *attempt, seen map[ledger.Incarnation]platform.Offset) fundingForecast {
	if a.refusedDraws == 0 {
		// No draw has spoken for the request yet.
		return fundingForecast{responsive: a.demand.Amount}
	}
	view, _ := c.state.Budget(a.demand.Budget)
	o := fundingForecast{responsive: view.Available()}
	answerDue := time.Since(a.recalledAt) >= c.drawDeadline()
	for _, h := range view.Holders {
		switch {
		case !c.state.IsLive(h.Incarnation):
		case answerDue && c.ownOutbox(h.Incarnation) == nil && seen[h.Incarnation] < a.recallEnd:
			o.unresponsive += h.WorkingFree
			o.fenceDelay = max(o.fenceDelay, c.fenceDelay(h.Incarnation))
		default:
			o.responsive += h.WorkingFree + h.ReserveFree
		}
	}
	return o
}

// lastSeen returns the offsets of all incarnations' newest groups.
func (c *Client) lastSeen() map[ledger.Incarnation]platform.Offset {
	seen := map[ledger.Incarnation]platform.Offset{}
	for _, v := range c.state.Incarnations() {
		seen[v.Incarnation] = v.LastSeen
	}
	return seen
}

// fenceDelay returns the time until this router may fence an incarnation, if that stays silent.
func (c *Client) fenceDelay(incarnation ledger.Incarnation) time.Duration {
	w := c.activities[incarnation]
	if w == nil {
		w = &memberActivity{}
	}
	return decision.FenceDelay(&c.observation, &w.inactivity, c.settings.fenceTerms(w.jitter))
}

// refusal returns the refusal of a request that waited for a share in vain. If silent routers hold what it lacks, a
// retry is worthwhile once they are fenced.
func (o fundingForecast) refusal(amount ledger.Tokens) *verdict.Refusal {
	refusal := verdict.Refuse(verdict.BudgetExhausted, "")
	if o.dependsOnFence(amount) {
		refusal.Detail = "a router that holds a part of the budget is silent"
		refusal.RetryAfter = o.fenceDelay + fenceSettleTime
	}
	return refusal
}

// dependsOnFence says whether the budget can pay once the silent routers are fenced, and not before.
func (o fundingForecast) dependsOnFence(amount ledger.Tokens) bool {
	return o.responsive < amount && o.responsive+o.unresponsive >= amount
}

// shareTimeoutRefusal returns the refusal of a request that has waited for a share as long as it may.
func (a *attempt) shareTimeoutRefusal() *verdict.Refusal {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.refusedDraws == 0 {
		return unreachableRefusal()
	}
	return c.forecastFunding(a, c.lastSeen()).refusal(a.demand.Amount)
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
		delete(c.accountsWithWaiting, b.budget)
	}
}
