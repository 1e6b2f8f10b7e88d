package ledgerstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// ErrDrainIncomplete reports that a drain ended with reservations or records left.
var ErrDrainIncomplete = errors.New("drain incomplete")

// Drained says where the records of a drained incarnation are.
type Drained struct {
	// HandedOver is the number of records that are not in the log yet: routers in other availability zones hold copies
	// and append them once they reach the log. Zero means that everything is in the log.
	HandedOver int
}

// Drain ends the incarnation gracefully: it refuses new reservations, waits for the bills of the
// running ones and leaves the ledger, which returns all of its shares. While the log can't be reached, it
// suffices that other routers hold copies of all records. It needs Run's loops. If ctx
// ends first, the rest is left to the other routers' fence.
func (c *Client) Drain(ctx context.Context) (Drained, error) {
	c.startDrain()
	for {
		if result, ended := c.finishDrain(); ended {
			return result, nil
		}
		if ctx.Err() != nil {
			return Drained{}, c.incompleteError()
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

// finishDrain queues the last record once no reservation is open, and reports whether the incarnation may end.
func (c *Client) finishDrain() (Drained, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return Drained{}, len(c.former) == 0
	}
	if len(c.accountsWithWaiting) > 0 || c.countOpen() > 0 {
		return Drained{}, false
	}
	if !c.current.leaving {
		c.enqueue(&ledger.Leave{})
	}
	if c.current.ended && len(c.former) == 0 {
		return Drained{}, true
	}
	return c.finishByCopies()
}

// countOpen returns the number of reservations that are neither billed nor released.
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

// finishByCopies reports whether as many routers as can be had hold copies of all that the log lacks. A router that holds
// the records of one that has left stays, since nobody else may have them.
func (c *Client) finishByCopies() (Drained, bool) {
	now := time.Now()
	if c.settings.Relay == nil || c.reachable || c.copiesOfDeparted() > 0 {
		return Drained{}, false
	}
	holders := len(c.copyTargets(now))
	if holders == 0 {
		return Drained{}, false
	}
	for _, o := range c.outboxes() {
		if len(o.queue) > 0 || o.minimumCopies() < holders {
			return Drained{}, false
		}
	}
	result := Drained{HandedOver: c.outboxLength()}
	c.logger().WithField("Records", result.HandedOver).Info("drained without the log: other routers hold the last records")
	return result, true
}

// copiesOfDeparted returns the number of held groups with which their writers left.
func (c *Client) copiesOfDeparted() int {
	departed := 0
	for _, h := range c.heldCopies {
		if h.hasLeave {
			departed++
		}
	}
	return departed
}

// incompleteError returns the error that says what is left.
func (c *Client) incompleteError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Errorf("%w: %d open reservations, %d records not read back, %d copies of routers that left",
		ErrDrainIncomplete, c.countOpen(), c.outboxLength(), c.copiesOfDeparted())
}
