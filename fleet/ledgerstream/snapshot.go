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

// loopSnapshot writes snapshots of the folded state at intervals, so that the log may drop old records. The
// routers' jittered intervals result in about one snapshot per SnapshotInterval for the whole fleet.
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

// writeSnapshot appends the chunks of a snapshot. If an append fails, the snapshot stays incomplete, and readers
// ignore it.
func (c *Client) writeSnapshot(ctx context.Context) {
	chunks, err := c.encodeSnapshot(ctx)
	if err != nil {
		c.count(snapshotFailed, 1)
		c.logger().WithError(err).Error("cannot create a snapshot of the ledger")
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

// encodeSnapshot returns the chunks of a snapshot; none if the client is not ready. Encoding the client's own state
// would block requests, so that a second state is folded from the log, as a new router does.
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
		// The log has neither a snapshot nor the beginning of the stream, so that this router's own state is the
		// only source.
		return c.encodeOwnState(writer)
	}
	if err != nil {
		return nil, err
	}
	return state.EncodeSnapshot(writer, ledger.DefaultChunkBytes)
}

// encodeOwnState encodes the client's own state. It holds the client's lock for the whole time, which blocks
// requests.
func (c *Client) encodeOwnState(writer ledger.Incarnation) ([][]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.EncodeSnapshot(writer, ledger.DefaultChunkBytes)
}

// foldFromLog folds the newest snapshot and the entries after it into a new state.
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
			return nil, fmt.Errorf("reading the entries after a snapshot: %w", err)
		}
		for _, entry := range entries {
			state.Apply(entry)
		}
		if platform.MayBeAtEnd(entries, c.settings.ReadLimit) {
			return state, nil
		}
	}
}

// loadSnapshot replaces the state by the newest complete snapshot if that covers more of the stream. It reports
// whether it did.
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
	// The entries after the snapshot have not been read yet.
	c.caughtUp = false
	c.readContinuity.Interrupt()
	clear(c.memberActivities)
	for _, view := range c.state.Budgets() {
		c.updateReservePolicy(view)
	}
	c.count(snapshotLoaded, 1)
	c.logger().WithField("Next", newest.Next()).Info("loaded the ledger state from a snapshot")
	c.resumeAfterSnapshot()
	return true
}

// newestSnapshot returns the newest complete snapshot in the readable part of the snapshot stream, or nil if there
// is none.
func (c *Client) newestSnapshot(ctx context.Context) *ledger.State {
	var newest *ledger.State
	assembler := &ledger.Assembler{}
	reader := platform.RetainedReader{
		Log:         c.log,
		Stream:      platform.LedgerSnapshotStream(c.settings.Partition),
		Limit:       c.settings.ReadLimit,
		CallTimeout: c.settings.CallTimeout,
	}
	// A failed read is ignored: a snapshot that was complete before it remains valid.
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

// resumeAfterSnapshot ends the attempts whose records were skipped by loading a snapshot. The outcomes of skipped
// records are unknown, so a skipped open may have been accepted. Skipped draws are made again.
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

// resumeIncarnation updates an incarnation that joined, left or was fenced in the skipped records.
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
