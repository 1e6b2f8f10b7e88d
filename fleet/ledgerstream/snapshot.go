package ledgerstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// loopSnapshot writes snapshots of the folded state, so that the log may drop old records. The routers'
// jittered intervals add up to one snapshot an interval for the whole fleet.
func (c *Client) loopSnapshot(ctx context.Context) {
	for ctx.Err() == nil {
		waitForSignal(ctx, nil, c.snapshotWait())
		if ctx.Err() == nil {
			c.writeSnapshot(ctx)
		}
	}
}

// snapshotWait returns the time until this router's next snapshot.
func (c *Client) snapshotWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return decision.SnapshotWait(c.settings.SnapshotInterval, c.routers, c.random.Float64())
}

// writeSnapshot appends the chunks of a snapshot. A snapshot that stays incomplete does no harm: readers ignore it.
func (c *Client) writeSnapshot(ctx context.Context) {
	chunks, err := c.encodeSnapshot(ctx)
	if err != nil {
		c.count(snapshotFailed, 1)
		c.logger().WithError(err).Error("can't make a snapshot")
		return
	}
	for _, chunk := range chunks {
		call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
		_, err := c.log.Append(call, platform.LedgerSnapshotStream(c.settings.Partition), chunk)
		cancel()
		if err != nil {
			c.count(snapshotFailed, 1)
			return
		}
		waitForSignal(ctx, nil, time.Duration(float64(time.Second)/c.appendRate()))
	}
	if len(chunks) > 0 {
		c.count(snapshotWritten, 1)
	}
}

// encodeSnapshot returns the chunks of a snapshot; none while the state is not up to date. Requests would have to wait
// for the encoding of the client's own state, so that a second one is folded for it, as a new router does.
func (c *Client) encodeSnapshot(ctx context.Context) ([][]byte, error) {
	c.mu.Lock()
	ready := c.isReady()
	writer := ledger.Incarnation{}
	if ready {
		writer = c.current.incarnation
	}
	c.mu.Unlock()
	if !ready {
		return nil, nil
	}
	state, err := c.foldFromLog(ctx)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		// The log keeps no snapshot and no longer the beginning: only this router's state is left.
		return c.encodeOwnState(writer)
	}
	if err != nil {
		return nil, err
	}
	return state.EncodeSnapshot(writer, ledger.DefaultChunkBytes)
}

// encodeOwnState encodes the client's state while requests wait.
func (c *Client) encodeOwnState(writer ledger.Incarnation) ([][]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.EncodeSnapshot(writer, ledger.DefaultChunkBytes)
}

// foldFromLog folds the newest snapshot of the log and the tail behind it into a state of its own.
func (c *Client) foldFromLog(ctx context.Context) (*ledger.State, error) {
	state := c.newestSnapshot(ctx)
	if state == nil {
		state = &ledger.State{}
	}
	for {
		call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
		entries, err := c.log.Read(call, c.stream, state.Next(), c.settings.ReadLimit)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("folding the tail behind a snapshot: %w", err)
		}
		for _, entry := range entries {
			state.Apply(entry)
		}
		if platform.AtEnd(entries, c.settings.ReadLimit) {
			return state, nil
		}
	}
}

// loadSnapshot continues from the newest complete snapshot that covers more than the state. It reports
// whether there was one.
func (c *Client) loadSnapshot(ctx context.Context) bool {
	newest := c.newestSnapshot(ctx)
	if newest == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest.Next() <= c.state.Next() {
		return false
	}
	c.state = *newest
	c.truncated = false
	// The tail behind the snapshot is still unread.
	c.caughtUp = false
	c.observation.Break()
	clear(c.activities)
	for _, view := range c.state.Budgets() {
		c.updateReservePolicy(view)
	}
	c.count(snapshotLoaded, 1)
	c.logger().WithField("Next", newest.Next()).Info("continued from a snapshot")
	c.resumeAfterSnapshot()
	return true
}

// newestSnapshot reads the snapshot stream as far as it can be read; nil if that holds no complete snapshot.
func (c *Client) newestSnapshot(ctx context.Context) *ledger.State {
	var newest *ledger.State
	assembler := &ledger.Assembler{}
	reader := platform.KeptReader{
		Log:         c.log,
		Stream:      platform.LedgerSnapshotStream(c.settings.Partition),
		Limit:       c.settings.ReadLimit,
		CallTimeout: c.settings.CallTimeout,
	}
	// What was complete before a failed read is as good as without it.
	_ = reader.Read(ctx, func(e platform.Entry) {
		state, err := assembler.Add(e.Payload)
		if err != nil {
			c.count(snapshotMalformed, 1)
		}
		if state != nil {
			newest = state
		}
	})
	return newest
}

// resumeAfterSnapshot closes what the skipped records decided: their events were never seen, so that an open
// among them may have been accepted. A draw among them is simply made again.
func (c *Client) resumeAfterSnapshot() {
	for _, b := range c.accounts {
		b.drawPending = false
	}
	for _, o := range c.outboxes() {
		c.closeAttemptsOf(o, c.removeApplied(o))
		if c.state.AppliedSequence(o.incarnation) == 0 {
			o.refuseSealed()
		}
		c.resumeIncarnation(o)
	}
	c.closeFormer()
}

// resumeIncarnation notes what became of an incarnation in skipped records.
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
