package ledgerstream

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// roundTripSmoothing is the weight of a new measurement in the usual round trip.
const roundTripSmoothing = 4

// loopRead reads the stream from the newest snapshot or its beginning and then follows its tail.
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

// recordReadFailure notes a failed read and returns the wait before the next one.
func (c *Client) recordReadFailure(err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(readFailed, 1)
	c.readFailures++
	c.lastFailureAt = time.Now()
	c.observation.Break()
	c.recordTruncation(err)
	c.updateReachability()
	return c.settings.backoff().Delay(c.readFailures, c.random)
}

// recordTruncation makes the client unready if the log no longer keeps the next offset: the balances
// can't be known any more, and the lease is left to lapse.
func (c *Client) recordTruncation(err error) {
	truncated := &platform.TruncatedError{}
	if !errors.As(err, &truncated) {
		return
	}
	c.count(readTruncated, 1)
	if !c.truncated {
		c.logger().WithError(err).Error("the log no longer keeps the next offset; refusing requests")
	}
	c.truncated = true
}

func (c *Client) isTruncated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.truncated
}

// apply folds what was read and reports whether the read reached the stream's end.
func (c *Client) apply(entries []platform.Entry, startedAt time.Time, number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFailures = 0
	c.updateReachability()
	c.count(readEntries, int64(len(entries)))
	for _, entry := range entries {
		c.applyEntry(entry)
	}
	complete := platform.AtEnd(entries, c.settings.ReadLimit)
	if complete {
		c.lastCompleteRead = number
		c.observation.Read(startedAt)
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

// applyEntry folds one entry and dispatches its events.
func (c *Client) applyEntry(entry platform.Entry) {
	events := c.state.Apply(entry)
	dropped := map[*outbox][]*outboxGroup{}
	for _, o := range c.outboxes() {
		dropped[o] = c.removeApplied(o)
	}
	for _, event := range events {
		c.dispatch(event)
	}
	for o, groups := range dropped {
		c.closeAttemptsOf(o, groups)
	}
	c.closeFormer()
	c.evictCopies()
}

// removeApplied removes the groups that the fold has applied and renews the lease from them.
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
		// A group that was held up by an outage says nothing about the usual round trip.
		if g.sealedAt.After(c.lastFailureAt) {
			c.updateRoundTrip(now.Sub(g.sealedAt))
		}
		// An append whose answer was lost has reached the log all the same.
		c.appendFailures = 0
	}
	c.updateReachability()
	return groups
}

// reappendMissing lets groups be appended again that are in the log but were not applied.
func (c *Client) reappendMissing() {
	for _, o := range c.outboxes() {
		if !o.ended {
			o.reappendMissing(c.state.Next())
		}
	}
}

// closeAttemptsOf ends the attempts of applied groups on which the fold reported nothing.
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

// updateRoundTrip averages the time from cutting a group to reading it back.
func (c *Client) updateRoundTrip(measured time.Duration) {
	if c.roundTrip == 0 {
		c.roundTrip = measured
		return
	}
	c.roundTrip += (measured - c.roundTrip) / roundTripSmoothing
}

// updateReachability tells from the failed calls whether the log answers, and logs each change.
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
		c.logger().Info("the log answers again")
		return
	}
	close(c.unreachableSignal)
	c.gauge(logReachable, 0)
	c.logger().Warn("the log can't be reached")
	c.refuseUnsent()
}
