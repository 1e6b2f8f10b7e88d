package ledgerstream

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// appendBurst is the number of appends that an idle router may make at once.
const appendBurst = 1

// loopAppend appends one group at a time, while the next one gathers.
func (c *Client) loopAppend(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(c.settings.FleetAppendsPerSecond), appendBurst)
	for ctx.Err() == nil {
		if !c.hasUnsent() {
			waitFor(ctx, c.wakeAppender, c.settings.HeartbeatInterval)
			continue
		}
		limiter.SetLimit(rate.Limit(c.appendRate()))
		if limiter.Wait(ctx) != nil {
			return
		}
		o, g := c.nextGroup()
		if g == nil {
			continue
		}
		c.appendGroup(ctx, o, g)
	}
}

// appendRate returns this router's part of the fleet's appends a second.
func (c *Client) appendRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return decision.AppendRate(c.settings.FleetAppendsPerSecond, c.routers)
}

// hasUnsent says whether any record waits for its append.
func (c *Client) hasUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outboxes() {
		if o.unsent() != nil || len(o.queue) > 0 {
			return true
		}
	}
	return false
}

// nextGroup returns the group to append: the oldest that isn't known to be in the log, or a new one.
func (c *Client) nextGroup() (*outbox, *outboxGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, o := range c.outboxes() {
		g := o.unsent()
		if g == nil {
			g = c.cutGroup(now, o)
		}
		if g == nil {
			continue
		}
		if g.tries > 0 {
			c.count(appendRepeated, 1)
		}
		g.tries++
		if g.firstSentAt.IsZero() {
			g.firstSentAt = now
		}
		return o, g
	}
	return nil, nil
}

// cutGroup cuts the next group of an outbox.
func (c *Client) cutGroup(now time.Time, o *outbox) *outboxGroup {
	g, err := o.cut(now, c.settings.GroupBytes)
	if err != nil {
		c.logger().WithError(err).Error("can't encode a group of records")
	}
	return g
}

// appendGroup appends a group once. After a failure it waits, and then for the tail to be read, in
// which the group may be found.
func (c *Client) appendGroup(ctx context.Context, o *outbox, g *outboxGroup) {
	sentAt := time.Now()
	call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	offset, err := c.log.Append(call, c.stream, g.payload)
	cancel()
	if err == nil {
		c.acknowledge(o, g, sentAt, offset)
		wake(c.wakeReader)
		return
	}
	if ctx.Err() != nil {
		return
	}
	delay, begun := c.appendFailed()
	waitFor(ctx, nil, delay)
	c.waitForTail(ctx, begun)
}

// acknowledge notes that a group is in the log. Within the lease no fence can lie before it, so that
// it renews the lease and its opens will be accepted; after a lapse only reading it back shows that.
func (c *Client) acknowledge(o *outbox, g *outboxGroup, sentAt time.Time, offset platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(appendGroups, 1)
	c.count(appendRecords, int64(len(g.entries)))
	c.count(appendBytes, int64(len(g.payload)))
	c.appendFailures = 0
	c.updateReachable()
	g.acknowledged = true
	g.offset = offset
	if o.ended {
		c.closeFormer()
		return
	}
	if !o.lease.Valid(time.Now()) {
		return
	}
	o.lease.Renew(sentAt)
	for _, e := range g.entries {
		if e.attempt != nil {
			e.attempt.acknowledge()
		}
	}
}

// appendFailed notes a failed append. It returns the wait before the next one and the number of
// reads begun so far.
func (c *Client) appendFailed() (delay time.Duration, begun uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(appendFailed, 1)
	c.appendFailures++
	c.observation.Break()
	c.updateReachable()
	return c.settings.backoff().Delay(c.appendFailures, c.random), c.readsBegun
}

// waitForTail waits until a read that began after a failed append has reached the stream's end. It
// gives up after the call timeout: another copy of the group is harmless.
func (c *Client) waitForTail(ctx context.Context, begun uint64) {
	call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	for call.Err() == nil && !c.readSince(begun) {
		wake(c.wakeReader)
		waitFor(call, nil, c.settings.PollInterval)
	}
}

// readSince says whether a read reached the stream's end that began after the first begun reads.
func (c *Client) readSince(begun uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastComplete > begun
}

// waitFor waits for a signal, the end of a time or the end of ctx.
func waitFor(ctx context.Context, signal <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}
