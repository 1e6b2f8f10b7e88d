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
	w := c.reserves[budget]
	if w == nil || w.queued {
		return
	}
	w.queued = true
	c.reserveQueue = append(c.reserveQueue, w)
}

// queueAllReserveChecks queues all budgets whose policy sets a reserve share. A new incarnation holds none of these
// shares.
func (c *Client) queueAllReserveChecks() {
	for budget := range c.reserves {
		c.queueReserveCheck(budget)
	}
}

// tickReserves draws missing reserve shares. It checks only queued budgets; a budget leaves the queue once its
// reserve share is complete.
func (c *Client) tickReserves(now time.Time) {
	if c.draining {
		return
	}
	draws := DefaultReserveDrawsPerTick
	for range min(len(c.reserveQueue), DefaultReserveChecksPerTick) {
		if draws == 0 {
			return
		}
		w := c.reserveQueue[0]
		c.reserveQueue[0] = nil
		c.reserveQueue = c.reserveQueue[1:]
		w.queued = false
		drawn, missing := c.drawReserve(now, w)
		if drawn {
			draws--
		}
		if missing {
			c.queueReserveCheck(w.budget)
		}
	}
}

// drawReserve draws the missing part of a budget's reserve share if the budget can spare it. missing is true if the
// budget must be checked again.
func (c *Client) drawReserve(now time.Time, w *reserveCheck) (drawn, missing bool) {
	view, known := c.state.Budget(w.budget)
	if !known || view.Frozen || c.reserves[w.budget] != w {
		return false, false
	}
	holder := c.state.Holder(w.budget, c.current.incarnation)
	held := holder.ReserveFree + holder.ReserveReserved
	if held >= view.Reserve.Share {
		return false, false
	}
	if now.Before(w.drawnAt.Add(reserveDrawInterval)) {
		return false, true
	}
	b := c.accounts[w.budget]
	amount := decision.SizeReserve(decision.ReserveInput{
		Policy:    view.Reserve.Share,
		Held:      held,
		Available: view.Available(),
		Routers:   c.routers,
		Contended: b != nil && (b.isRecalled(now) || now.Before(b.refusedAt.Add(reserveDrawInterval))),
	})
	if amount == 0 {
		return false, true
	}
	w.drawnAt = now
	c.enqueue(&ledger.Draw{Budget: w.budget, Kind: ledger.Reserve, Wanted: amount, Minimum: amount})
	return true, true
}
