package ledgerstream

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
)

// prepaidCopy is the prepaid total of a budget that the configuration declares and the ledger does not contain yet.
type prepaidCopy struct {
	record ledger.Prepaid
	dueAt  time.Time
}

// DeclarePrepaid schedules the prepaid totals of the router's configuration that the ledger does not contain yet.
// Each one is appended after a jittered wait unless another router has appended it by then.
func (c *Client) DeclarePrepaid(list []ledger.Prepaid) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, p := range list {
		if c.isDecided(p) || c.prepaid[p.Budget].record.Ticket >= p.Ticket {
			continue
		}
		c.prepaid[p.Budget] = prepaidCopy{
			record: p,
			dueAt:  now.Add(decision.Jitter(c.settings.PrepaidJitter, c.random)),
		}
	}
}

// isDecided reports whether the ledger has accepted or refused this or a later ticket of the budget.
func (c *Client) isDecided(p ledger.Prepaid) bool {
	view, known := c.state.Budget(p.Budget)
	return known && view.Ticket >= p.Ticket || c.refusedTickets[p.Budget] >= p.Ticket
}

// tickPrepaid queues the prepaid totals that are due, up to DefaultPrepaidCopiesPerTick per call. A total that the
// ledger has not decided within OpenWait is queued again.
func (c *Client) tickPrepaid(now time.Time) {
	remaining := DefaultPrepaidCopiesPerTick
	for name, p := range c.prepaid {
		if c.isDecided(p.record) {
			delete(c.prepaid, name)
			continue
		}
		if remaining == 0 || now.Before(p.dueAt) {
			continue
		}
		remaining--
		p.dueAt = now.Add(c.settings.OpenWait)
		c.prepaid[name] = p
		c.count(prepaidSent, 1)
		record := p.record
		c.enqueue(&record)
	}
}

func (c *Client) onPrepaidAccepted(e *ledger.PrepaidAccepted) {
	if c.prepaid[e.Budget].record.Ticket <= e.Ticket {
		delete(c.prepaid, e.Budget)
	}
	view, _ := c.state.Budget(e.Budget)
	c.updateReservePolicy(view)
	if !view.Frozen {
		return
	}
	if b := c.heldAccount(e.Budget); b != nil {
		c.returnShares(b, true)
	}
}

func (c *Client) onPrepaidRefused(e *ledger.PrepaidRefused) {
	c.count(prepaidRefused, 1)
	c.refusedTickets[e.Budget] = max(c.refusedTickets[e.Budget], e.Ticket)
}
