package ledgerstream

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// snapshotReadLimit is the number of chunks that one read asks for.
const snapshotReadLimit = 8

// loopSnapshot writes a snapshot now and then. Each router waits for a random time around the
// interval times the number of routers, so that the fleet writes about one an interval.
func (c *Client) loopSnapshot(ctx context.Context) {
	for ctx.Err() == nil {
		waitFor(ctx, nil, c.snapshotDelay())
		for _, payload := range c.encodeSnapshot() {
			if !c.appendChunk(ctx, payload) {
				break
			}
			// Records go first: chunks are spaced out.
			waitFor(ctx, nil, c.settings.PollInterval)
		}
	}
}

// snapshotDelay returns the time to this router's next snapshot.
func (c *Client) snapshotDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean := c.settings.SnapshotInterval * time.Duration(c.routers)
	return mean/2 + time.Duration(c.random.Int64N(int64(mean)))
}

// encodeSnapshot returns the chunks of a snapshot; none if this router can't tell the newest state.
func (c *Client) encodeSnapshot() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready() || !c.reachable || !c.current.lease.Valid(time.Now()) {
		return nil
	}
	payloads, err := c.state.EncodeSnapshot(c.current.incarnation, c.settings.SnapshotChunkBytes)
	if err != nil {
		c.logger().WithError(err).Error("can't encode a snapshot")
		c.count(snapshotFailed, 1)
		return nil
	}
	return payloads
}

// appendChunk appends a chunk and reports success. An incomplete snapshot is ignored by its readers.
func (c *Client) appendChunk(ctx context.Context, payload []byte) bool {
	call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	if _, err := c.log.Append(call, platform.LedgerSnapshotStream(c.settings.Partition), payload); err != nil {
		c.count(snapshotFailed, 1)
		return false
	}
	c.count(snapshotChunks, 1)
	c.count(snapshotBytes, int64(len(payload)))
	return true
}

// recover loads the newest complete snapshot if it covers more than what was read. An error means
// that the snapshot stream could not be read to its end.
func (c *Client) recover(ctx context.Context) error {
	newest := (*ledger.State)(nil)
	assembler := ledger.Assembler{}
	for from := platform.Offset(0); ; {
		entries, err := c.readChunks(ctx, from)
		truncated := &platform.TruncatedError{}
		if errors.As(err, &truncated) && truncated.First > from {
			from = truncated.First
			continue
		}
		if err != nil {
			return err
		}
		for _, entry := range entries {
			from = entry.Offset + 1
			state, err := assembler.Add(entry.Payload)
			if err != nil {
				c.count(snapshotMalformed, 1)
			}
			if state != nil {
				newest = state
			}
		}
		if len(entries) < snapshotReadLimit {
			break
		}
	}
	c.load(newest)
	return nil
}

func (c *Client) readChunks(ctx context.Context, from platform.Offset) ([]platform.Entry, error) {
	call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	return c.log.Read(call, platform.LedgerSnapshotStream(c.settings.Partition), from, snapshotReadLimit)
}

// load takes a snapshot's state in place of the state that was read, if it covers more.
func (c *Client) load(state *ledger.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == nil || state.Next() <= c.state.Next() {
		return
	}
	c.state = *state
	c.truncated = false
	c.caughtUp = false
	c.count(snapshotLoaded, 1)
	c.logger().WithField("Next", uint64(c.state.Next())).Info("loaded a snapshot")
	for _, view := range c.state.Budgets() {
		c.noteReserve(view)
	}
	clear(c.silences)
	c.resume()
}

// resume brings this process's incarnations in line with a state whose events were not seen.
func (c *Client) resume() {
	for _, b := range c.accounts {
		b.drawing = false
	}
	for _, o := range c.outboxes() {
		groups := c.dropApplied(o)
		c.resumeIncarnation(o)
		c.closeGroups(o, groups)
	}
	c.closeFormer()
}

// resumeIncarnation notes what became of an incarnation.
func (c *Client) resumeIncarnation(o *outbox) {
	switch {
	case c.state.IsLive(o.incarnation):
		o.joined = true
	case o.suspended && c.state.HasEnded(o.incarnation):
		o.ended = true
	case o.joined && c.state.HasEnded(o.incarnation):
		c.loseLease(o, ledger.Reserve)
	case o.joined:
		c.loseLease(o, ledger.Working)
	}
}
