package ledgerstream

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

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
	var seen map[ledger.Incarnation]platform.Offset
	for _, b := range c.hungry {
		c.refuseWaitingIf(b, func(a *attempt) *verdict.Refusal {
			if !a.expired {
				return nil
			}
			a.expired = false
			if seen == nil {
				seen = c.lastSeen()
			}
			o := c.outlook(a, seen)
			fencedInTime := time.Since(a.begunAt)+o.fenceIn+fenceTime <= c.settings.OpenWait
			if o.reachable >= a.demand.Amount || fencedInTime && o.awaitsFence(a.demand.Amount) {
				return nil
			}
			return o.refusal(a.demand.Amount)
		})
	}
}

// fenceTime is the time from the moment at which a fence is due until others have drawn what it returned.
const fenceTime = 1 * time.Second

// outlook is what could still pay for a request that waits for a share.
type outlook struct {
	// reachable is what the budget has available and what routers that answer hold free.
	reachable ledger.Tokens
	// silent is what routers hold free that did not answer the recall. Fences return it within fenceIn.
	silent  ledger.Tokens
	fenceIn time.Duration
}

// outlook returns what could still pay for an attempt. A live router answers a recall at once: one that shows nothing
// after it in the time of a recall is cut off or dead, and its share comes back with its fence only. What a router that
// lost its lease holds in reserve comes back too late. The last-seen offsets are those of the state.
func (c *Client) outlook(a *attempt, seen map[ledger.Incarnation]platform.Offset) outlook {
	if a.drawsRefused == 0 {
		// No draw has spoken for the request yet.
		return outlook{reachable: a.demand.Amount}
	}
	view, _ := c.state.Budget(a.demand.Budget)
	o := outlook{reachable: view.Available()}
	answerDue := time.Since(a.recalledAt) >= c.drawDeadline()
	for _, h := range view.Holders {
		switch {
		case !c.state.IsLive(h.Incarnation):
		case answerDue && c.own(h.Incarnation) == nil && seen[h.Incarnation] < a.recalledNext:
			o.silent += h.WorkingFree
			o.fenceIn = max(o.fenceIn, c.fenceIn(h.Incarnation))
		default:
			o.reachable += h.WorkingFree + h.ReserveFree
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

// fenceIn returns the time until this router may fence an incarnation, if that stays silent.
func (c *Client) fenceIn(incarnation ledger.Incarnation) time.Duration {
	w := c.silences[incarnation]
	if w == nil {
		w = &watch{}
	}
	return decision.FenceIn(&c.observation, &w.silence, c.settings.fenceTerms(w.jitter))
}

// refusal returns the refusal of a request that waited for a share in vain. If silent routers hold what it lacks, a
// retry is worthwhile once they are fenced.
func (o outlook) refusal(amount ledger.Tokens) *verdict.Refusal {
	refusal := verdict.Refuse(verdict.BudgetExhausted, "")
	if o.awaitsFence(amount) {
		refusal.Detail = "a router that holds a part of the budget is silent"
		refusal.RetryAfter = o.fenceIn + fenceTime
	}
	return refusal
}

// awaitsFence says whether the budget can pay once the silent routers are fenced, and not before.
func (o outlook) awaitsFence(amount ledger.Tokens) bool {
	return o.reachable < amount && o.reachable+o.silent >= amount
}

// exhausted returns the refusal of a request that has waited for a share as long as it may.
func (a *attempt) exhausted() *verdict.Refusal {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.drawsRefused == 0 {
		return unreachable()
	}
	return c.outlook(a, c.lastSeen()).refusal(a.demand.Amount)
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
