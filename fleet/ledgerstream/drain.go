package ledgerstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// ErrDrainIncomplete is returned when a drain ends while reservations are open or records are not in the log.
var ErrDrainIncomplete = errors.New("drain incomplete")

// DrainResult is the result of a completed drain.
type DrainResult struct {
	// HandedOver is the number of records that are not in the log yet. Routers in other availability zones hold
	// copies and append them once they reach the log. Zero means that all records are in the log.
	HandedOver int
}

// Drain ends the incarnation: it refuses new reservations, waits for the bills of the open ones and appends Leave,
// which returns all shares. While the log is unreachable, copies of all records on other routers are sufficient.
// Run must be running. If ctx ends first, Drain returns ErrDrainIncomplete, and the other routers fence the
// incarnation.
func (c *Client) Drain(ctx context.Context) (DrainResult, error) {
	c.startDrain()
	for {
		if result, ended := c.finishDrain(); ended {
			return result, nil
		}
		if ctx.Err() != nil {
			return DrainResult{}, c.incompleteError()
		}
		waitForSignal(ctx, nil, c.settings.PollInterval)
	}
}

func (c *Client) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.logger().Info("draining")
	}
	c.draining = true
}

// finishDrain queues Leave once no reservation is open, and reports whether the drain is complete.
func (c *Client) finishDrain() (DrainResult, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return DrainResult{}, len(c.former) == 0
	}
	if len(c.accountsWithWaiting) > 0 || c.countOpen() > 0 {
		return DrainResult{}, false
	}
	if !c.current.leaving {
		c.enqueue(&ledger.Leave{})
	}
	if c.current.ended && len(c.former) == 0 {
		return DrainResult{}, true
	}
	return c.finishByCopies()
}

// countOpen returns the number of reservations for which no bill or release was queued.
func (c *Client) countOpen() int {
	open := 0
	for _, o := range c.outboxes() {
		for _, a := range o.attempts {
			if !a.closeQueued {
				open++
			}
		}
	}
	return open
}

// finishByCopies reports whether every available copy holder, up to copiesPerGroup, has all records that are not in
// the log. A router that holds a copy of a group with another router's Leave record must not finish this way: the
// writer has stopped, so this router may have the only copy.
func (c *Client) finishByCopies() (DrainResult, bool) {
	now := time.Now()
	if c.settings.Relay == nil || c.reachable || c.copiesOfDeparted() > 0 {
		return DrainResult{}, false
	}
	holders := len(c.copyTargets(now))
	if holders == 0 {
		return DrainResult{}, false
	}
	for _, o := range c.outboxes() {
		if len(o.queue) > 0 || o.minimumCopies() < holders {
			return DrainResult{}, false
		}
	}
	result := DrainResult{HandedOver: c.outboxLength()}
	c.logger().WithField("Records", result.HandedOver).Info("drained without the log: other routers hold copies of the last records")
	return result, true
}

// copiesOfDeparted returns the number of held groups that contain their writer's Leave.
func (c *Client) copiesOfDeparted() int {
	departed := 0
	for _, h := range c.heldCopies {
		if h.hasLeave {
			departed++
		}
	}
	return departed
}

// incompleteError returns ErrDrainIncomplete with the numbers of open reservations, records and copies that are
// left.
func (c *Client) incompleteError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Errorf("%w: %d open reservations, %d records not read back, %d copies of routers that left",
		ErrDrainIncomplete, c.countOpen(), c.outboxLength(), c.copiesOfDeparted())
}
