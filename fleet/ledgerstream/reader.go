package ledgerstream

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// roundTripSmoothing is the divisor of the moving average of the round trip: a new sample has a weight of 1/4.
const roundTripSmoothing = 4

// loopRead reads the stream from the newest snapshot, or from its beginning without one, and then polls for new
// entries.
func (c *Client) loopRead(ctx context.Context) {
	c.loadSnapshot(ctx)
	for ctx.Err() == nil {
		startedAt := time.Now()
		from, number := c.beginRead()
		call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
		entries, err := c.log.Read(call, c.stream, from, c.settings.ReadLimit)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			delay := c.recordReadFailure(err)
			if !c.isTruncated() || !c.loadSnapshot(ctx) {
				waitForSignal(ctx, nil, delay)
			}
			continue
		}
		if complete := c.apply(entries, startedAt, number); complete {
			waitForSignal(ctx, c.readSignal, c.settings.PollInterval)
		}
	}
}

// beginRead returns the offset to read from and the number of the read.
func (c *Client) beginRead() (from platform.Offset, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsStarted++
	return c.state.Next(), c.readsStarted
}

// recordReadFailure records a failed read and returns the delay before the next one.
func (c *Client) recordReadFailure(err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(readFailed, 1)
	c.readFailures++
	c.lastFailureAt = time.Now()
	c.readContinuity.Interrupt()
	c.recordTruncation(err)
	c.updateReachability()
	return c.settings.backoff().Delay(c.readFailures, c.random)
}

// recordTruncation makes the client unready if err says that the log no longer has the next offset. The balances
// can no longer be computed, and the lease lapses because it is not renewed.
func (c *Client) recordTruncation(err error) {
	truncated := &platform.TruncatedError{}
	if !errors.As(err, &truncated) {
		return
	}
	c.count(readTruncated, 1)
	if !c.truncated {
		c.logger().WithError(err).Error("the log no longer has the next offset; refusing requests")
	}
	c.truncated = true
}

func (c *Client) isTruncated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.truncated
}

// apply folds the entries of a read and reports whether the read reached the stream's end.
func (c *Client) apply(entries []platform.Entry, startedAt time.Time, number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFailures = 0
	c.updateReachability()
	c.count(readEntries, int64(len(entries)))
	for _, entry := range entries {
		c.applyEntry(entry)
	}
	complete := platform.MayBeAtEnd(entries, c.settings.ReadLimit)
	if complete {
		c.lastCompleteRead = number
		c.readContinuity.RecordRead(startedAt)
		c.caughtUp = true
		c.join()
		c.reappendMissing()
	}
	c.serveWaiting()
	if complete {
		c.refuseExpired()
	}
	c.gauge(outboxLength, int64(c.outboxLength()))
	return complete
}

// applyEntry folds one entry and handles its events.
func (c *Client) applyEntry(entry platform.Entry) {
	events := c.state.Apply(entry)
	applied := map[*outbox][]*outboxGroup{}
	for _, o := range c.outboxes() {
		applied[o] = c.removeApplied(o)
	}
	for _, event := range events {
		c.dispatch(event)
	}
	for o, groups := range applied {
		c.closeAttemptsOf(o, groups)
	}
	c.closeFormer()
	c.evictCopies()
}

// removeApplied removes the groups that the fold has applied from an outbox and renews the leases from them.
func (c *Client) removeApplied(o *outbox) []*outboxGroup {
	if len(o.groups) == 0 || o.ended {
		return nil
	}
	groups := o.removeApplied(c.state.AppliedSequence(o.incarnation))
	now := time.Now()
	live := c.state.IsLive(o.incarnation)
	for _, g := range groups {
		if live {
			o.renewLeases(g.firstSentAt)
		}
		// Groups sealed before the newest failed call were delayed by the outage and would distort the average
		// round trip.
		if g.sealedAt.After(c.lastFailureAt) {
			c.updateRoundTrip(now.Sub(g.sealedAt))
		}
		// The group is in the log even if the answer to its append was lost, so the append did not fail.
		c.appendFailures = 0
	}
	c.updateReachability()
	return groups
}

// reappendMissing marks the groups that are in the log but that the fold has not applied for another append.
func (c *Client) reappendMissing() {
	for _, o := range c.outboxes() {
		if !o.ended {
			o.reappendMissing(c.state.Next())
		}
	}
}

// closeAttemptsOf completes the attempts whose records are in applied groups. It refuses opens for which the fold
// produced no event, and ends attempts whose bill or release was applied.
func (c *Client) closeAttemptsOf(o *outbox, groups []*outboxGroup) {
	for _, g := range groups {
		for _, e := range g.entries {
			c.closeEntry(o, e)
		}
	}
}

func (c *Client) closeEntry(o *outbox, e outboxEntry) {
	switch e.record.(type) {
	case *ledger.Open:
		e.attempt.refuseUndecided()
	case *ledger.Bill:
		delete(o.attempts, e.attempt.number)
	case *ledger.Release:
		delete(o.attempts, e.attempt.number)
		e.attempt.completeRelease()
	}
}

// updateRoundTrip adds a sample, the time from sealing a group to reading it back, to the moving average.
func (c *Client) updateRoundTrip(sample time.Duration) {
	if c.roundTrip == 0 {
		c.roundTrip = sample
		return
	}
	c.roundTrip += (sample - c.roundTrip) / roundTripSmoothing
}

// updateReachability computes from the consecutive failed calls whether the log is reachable, and handles each
// change.
func (c *Client) updateReachability() {
	limit := c.settings.UnreachableFailures
	reachable := c.readFailures < limit && c.appendFailures < limit
	if reachable == c.reachable {
		return
	}
	c.reachable = reachable
	if reachable {
		c.unreachableSignal = make(chan struct{})
		c.reachableSince = time.Now()
		c.gauge(logReachable, 1)
		c.logger().Info("the log is reachable again")
		return
	}
	close(c.unreachableSignal)
	c.gauge(logReachable, 0)
	c.logger().Warn("the log is unreachable; refusing requests whose reservations were not sent")
	c.refuseUnsent()
}
