package ledgerstream

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
)

// reserveDrawInterval is the minimum time between two draws of the same reserve share.
const reserveDrawInterval = 5 * time.Second

// reserveCheck is the state of the periodic check of a budget whose policy sets a reserve share.
type reserveCheck struct {
	budget string
	// queued is true while the budget is in the client's reserveQueue.
	queued bool
	// drawnAt is the time of the newest draw of the budget's reserve share.
	drawnAt time.Time
}

// updateReservePolicy starts or ends the reserve checks of a budget according to its policy.
func (c *Client) updateReservePolicy(view ledger.BudgetView) {
	if view.Reserve.Share <= 0 {
		delete(c.reserves, view.Budget)
		return
	}
	if c.reserves[view.Budget] == nil {
		c.reserves[view.Budget] = &reserveCheck{budget: view.Budget}
	}
	c.queueReserveCheck(view.Budget)
}

// queueReserveCheck queues a budget whose reserve share may have to be drawn.
func (c *Client) queueReserveCheck(budget string) {
	check := c.reserves[budget]
	if check == nil || check.queued {
		return
	}
	check.queued = true
	c.reserveQueue = append(c.reserveQueue, check)
}

// queueAllReserveChecks queues all budgets whose policy sets a reserve share. This is needed for a new incarnation,
// which holds no reserve shares.
func (c *Client) queueAllReserveChecks() {
	for budget := range c.reserves {
		c.queueReserveCheck(budget)
	}
}

// drawMissingReserves draws missing reserve shares. It checks only queued budgets; a budget leaves the queue once its
// reserve share is complete.
func (c *Client) drawMissingReserves(now time.Time) {
	if c.draining {
		return
	}
	draws := DefaultReserveDrawsPerTick
	for range min(len(c.reserveQueue), DefaultReserveChecksPerTick) {
		if draws == 0 {
			return
		}
		check := c.reserveQueue[0]
		c.reserveQueue[0] = nil
		c.reserveQueue = c.reserveQueue[1:]
		check.queued = false
		drawn, missing := c.drawReserve(now, check)
		if drawn {
			draws--
		}
		if missing {
			c.queueReserveCheck(check.budget)
		}
	}
}

// drawReserve draws the missing part of a budget's reserve share if decision.SizeReserve allows it. The result drawn
// is true if a draw was queued, and missing is true if the budget must be checked again.
func (c *Client) drawReserve(now time.Time, check *reserveCheck) (drawn, missing bool) {
	view, known := c.state.Budget(check.budget)
	if !known || view.Frozen || c.reserves[check.budget] != check {
		return false, false
	}
	holder := c.state.Holder(check.budget, c.current.incarnation)
	heldTokens := holder.ReserveFree + holder.ReserveReserved
	if heldTokens >= view.Reserve.Share {
		return false, false
	}
	if now.Before(check.drawnAt.Add(reserveDrawInterval)) {
		return false, true
	}
	b := c.accounts[check.budget]
	amount := decision.SizeReserve(decision.ReserveInput{
		Policy:    view.Reserve.Share,
		Held:      heldTokens,
		Available: view.Available(),
		Routers:   c.routers,
		Contended: b != nil && (b.isRecalled(now) || now.Before(b.refusedAt.Add(reserveDrawInterval))),
	})
	if amount == 0 {
		return false, true
	}
	check.drawnAt = now
	c.enqueue(&ledger.Draw{Budget: check.budget, Kind: ledger.Reserve, Wanted: amount, Minimum: amount})
	return true, true
}
