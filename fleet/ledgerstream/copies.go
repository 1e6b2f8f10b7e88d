package ledgerstream

import (
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// heldCopy is a copy of another router's group that this router appends if the writer does not.
type heldCopy struct {
	writer  ledger.Incarnation
	first   uint64
	last    uint64
	payload []byte
	// hasLeave reports whether the group contains its writer's Leave record.
	hasLeave bool
	heldAt   time.Time
	// jitter delays the append by a random time, so that routers with copies of the same group append at different
	// times.
	jitter time.Duration
}

// AcceptCopy keeps a copy of another router's group, within CopyBytes, until the group is in the log. Senders may
// only hand over their own groups. The contents are not checked here: the fold decides which records take effect.
func (c *Client) AcceptCopy(from string, p peer.Copy) error {
	if p.Partition != c.settings.Partition {
		return fmt.Errorf("%w: partition %d", peer.ErrMalformed, p.Partition)
	}
	g, err := ledger.Decode(p.Payload)
	if err != nil || len(g.Records) == 0 {
		return peer.ErrMalformed
	}
	if g.Writer.Instance != from {
		return peer.ErrForeignWriter
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdCopy(&heldCopy{
		writer:   g.Writer,
		first:    g.First,
		last:     g.First + uint64(len(g.Records)) - 1,
		payload:  p.Payload,
		hasLeave: slices.ContainsFunc(g.Records, isLeave),
		heldAt:   time.Now(),
		jitter:   decision.Jitter(c.settings.CopyDelay, c.random),
	})
}

func isLeave(record ledger.Record) bool {
	_, leaves := record.(*ledger.Leave)
	return leaves
}

func (c *Client) holdCopy(h *heldCopy) error {
	for _, known := range c.heldCopies {
		if known.writer == h.writer && known.first == h.first {
			return nil
		}
	}
	if c.heldCopyBytes+len(h.payload) > c.settings.CopyBytes {
		c.count(copyRefused, 1)
		return peer.ErrQueueFull
	}
	c.heldCopies = append(c.heldCopies, h)
	c.heldCopyBytes += len(h.payload)
	c.count(copyHeld, 1)
	return nil
}

// evictCopies drops the copies that the ledger has applied and those of incarnations that have ended.
func (c *Client) evictCopies() {
	remaining := c.heldCopies[:0]
	c.heldCopyBytes = 0
	for _, h := range c.heldCopies {
		if c.state.AppliedSequence(h.writer) >= h.last || c.state.HasEnded(h.writer) {
			continue
		}
		remaining = append(remaining, h)
		c.heldCopyBytes += len(h.payload)
	}
	clear(c.heldCopies[len(remaining):])
	c.heldCopies = remaining
}

// dueCopies returns the copies to append: those whose writer has had CopyDelay and the jitter, since the copy
// arrived or the log became reachable again, to append the group itself.
func (c *Client) dueCopies(now time.Time) []*heldCopy {
	due := []*heldCopy{}
	for _, h := range c.heldCopies {
		since := h.heldAt
		if c.reachableSince.After(since) {
			since = c.reachableSince
		}
		if now.Sub(since) >= c.settings.CopyDelay+h.jitter {
			due = append(due, h)
		}
	}
	return due
}

// removeCopies drops the copies that the log has acknowledged.
func (c *Client) removeCopies(appended []*heldCopy) {
	for _, h := range appended {
		for i, known := range c.heldCopies {
			if known == h {
				c.heldCopies = append(c.heldCopies[:i], c.heldCopies[i+1:]...)
				c.heldCopyBytes -= len(h.payload)
				break
			}
		}
	}
}
