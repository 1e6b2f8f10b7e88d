package ledgerstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// ErrDrainIncomplete reports that a drain ended with reservations or records left.
var ErrDrainIncomplete = errors.New("drain incomplete")

// Drain ends the incarnation gracefully: it refuses new reservations, waits for the bills of the
// running ones and leaves the ledger, which returns all of its shares. It needs Run's loops. If ctx
// ends first, the rest is left to the other routers' fence.
func (c *Client) Drain(ctx context.Context) error {
	c.beginDrain()
	for {
		if c.drained() {
			return nil
		}
		if ctx.Err() != nil {
			return c.incomplete()
		}
		waitFor(ctx, nil, c.settings.PollInterval)
	}
}

func (c *Client) beginDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.logger().Info("draining")
	}
	c.draining = true
}

// drained queues the last record once no reservation is open, and reports whether it was read back.
func (c *Client) drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return len(c.former) == 0
	}
	if len(c.hungry) > 0 || len(c.current.attempts) > 0 {
		return false
	}
	if !c.current.leaving {
		c.add(&ledger.Leave{})
	}
	return c.current.ended && len(c.former) == 0
}

// incomplete returns the error that says what is left.
func (c *Client) incomplete() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempts := 0
	for _, o := range c.outboxes() {
		attempts += len(o.attempts)
	}
	return fmt.Errorf("%w: %d open reservations, %d records not read back", ErrDrainIncomplete, attempts, c.outboxLength())
}
