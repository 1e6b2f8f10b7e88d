package ledgerstream

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// appendBurst is the maximum number of appends that an idle router may make at once.
const appendBurst = 1

// bundle is the content of one append: own groups that are not known to be in the log, and copies of other routers'
// groups.
type bundle struct {
	parts   []bundlePart
	copies  []*heldCopy
	payload []byte
}

// bundlePart is one of this process's own groups in a bundle.
type bundlePart struct {
	outbox *outbox
	group  *outboxGroup
}

// fits reports whether a payload of size bytes can be added within limit bytes. The first payload always fits.
func (b *bundle) fits(size, limit int) bool {
	return len(b.payload) == 0 || len(b.payload)+size <= limit
}

// loopAppend appends one bundle at a time until ctx ends. Records that arrive during an append go into the next
// group.
func (c *Client) loopAppend(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(c.settings.FleetAppendsPerSecond), appendBurst)
	for ctx.Err() == nil {
		if wait := c.nextAppendDelay(time.Now()); wait > 0 {
			waitForSignal(ctx, c.appendSignal, wait)
			continue
		}
		limiter.SetLimit(rate.Limit(c.appendRate()))
		if limiter.Wait(ctx) != nil {
			return
		}
		b := c.nextBundle(time.Now())
		if len(b.payload) == 0 {
			continue
		}
		c.appendBundle(ctx, b)
	}
}

// appendRate returns this router's part of the fleet's limit, in appends per second.
func (c *Client) appendRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return decision.AppendRate(c.settings.FleetAppendsPerSecond, c.routers)
}

// nextAppendDelay returns the time until the next append is due.
func (c *Client) nextAppendDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := c.settings.HeartbeatInterval
	for _, o := range c.outboxes() {
		if o.oldestUnacknowledged() != nil {
			return 0
		}
		if wait, queued := o.sealDelay(now, c.settings.BillDelay); queued {
			delay = min(delay, wait)
		}
	}
	if len(c.dueCopies(now)) > 0 {
		return 0
	}
	return delay
}

// nextBundle returns the content of the next append: the oldest groups that are not known to be in the log, a new
// group of queued records, and the copies that are due, up to GroupBytes. After an outage many small groups thus
// need few appends.
func (c *Client) nextBundle(now time.Time) *bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := &bundle{}
	limit := c.settings.GroupBytes
	for _, o := range c.outboxes() {
		if !c.addUnacknowledged(b, o, now) {
			return b
		}
		if g := c.sealGroup(now, o); g != nil && !c.addGroup(b, o, g, now) {
			return b
		}
	}
	for _, h := range c.dueCopies(now) {
		if !b.fits(len(h.payload), limit) {
			return b
		}
		b.copies = append(b.copies, h)
		b.payload = append(b.payload, h.payload...)
	}
	return b
}

// addUnacknowledged adds an outbox's sealed groups that the log has not acknowledged, in order, and reports whether
// all of them fit.
func (c *Client) addUnacknowledged(b *bundle, o *outbox, now time.Time) bool {
	for _, g := range o.groups {
		if !g.acknowledged && !c.addGroup(b, o, g, now) {
			return false
		}
	}
	return true
}

func (c *Client) addGroup(b *bundle, o *outbox, g *outboxGroup, now time.Time) bool {
	if !b.fits(len(g.payload), c.settings.GroupBytes) {
		return false
	}
	if g.appendCount > 0 {
		c.count(appendRepeated, 1)
	}
	g.appendCount++
	if g.firstSentAt.IsZero() {
		g.firstSentAt = now
	}
	b.parts = append(b.parts, bundlePart{outbox: o, group: g})
	b.payload = append(b.payload, g.payload...)
	return true
}

// sealGroup seals the next group of an outbox; nil if nothing is queued.
func (c *Client) sealGroup(now time.Time, o *outbox) *outboxGroup {
	g, err := o.seal(now, c.settings.GroupBytes)
	if err != nil {
		c.logger().WithError(err).Error("cannot encode a group of records")
	}
	return g
}

// appendBundle appends a bundle once. After a failure it waits for the backoff and then for a read of the tail,
// which may contain the groups.
func (c *Client) appendBundle(ctx context.Context, b *bundle) {
	sentAt := time.Now()
	call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	offset, err := c.log.Append(call, c.stream, b.payload)
	cancel()
	if err == nil {
		c.acknowledge(b, sentAt, offset)
		notify(c.readSignal)
		return
	}
	if ctx.Err() != nil {
		return
	}
	delay, readsBefore := c.recordAppendFailure()
	waitForSignal(ctx, nil, delay)
	c.waitForTail(ctx, readsBefore)
}

// acknowledge records that the log has acknowledged a bundle.
func (c *Client) acknowledge(b *bundle, sentAt time.Time, offset platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(appendEntries, 1)
	c.count(appendBytes, int64(len(b.payload)))
	c.appendFailures = 0
	c.updateReachability()
	for _, p := range b.parts {
		c.acknowledgeGroup(p.outbox, p.group, sentAt, offset)
	}
	c.count(copyAppended, int64(len(b.copies)))
	c.removeCopies(b.copies)
	c.closeFormer()
}

// acknowledgeGroup records that the log has acknowledged a group. While the lease is valid, no fence can precede the
// group in the log, so the group renews the lease, and no fence invalidates its opens. After the lease has lapsed,
// the outcome is known only when the group is read back.
func (c *Client) acknowledgeGroup(o *outbox, g *outboxGroup, sentAt time.Time, offset platform.Offset) {
	c.count(appendGroups, 1)
	c.count(appendRecords, int64(len(g.entries)))
	g.acknowledged = true
	g.offset = offset
	if o.ended || o.suspended || !o.lease.Valid(time.Now()) {
		return
	}
	o.renewLeases(sentAt)
	for _, e := range g.entries {
		if e.attempt != nil {
			e.attempt.acknowledge()
		}
	}
}

// recordAppendFailure records a failed append. It returns the delay before the next one and the number of reads
// started so far.
func (c *Client) recordAppendFailure() (delay time.Duration, readsBefore uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(appendFailed, 1)
	c.appendFailures++
	c.lastFailureAt = time.Now()
	c.readContinuity.Interrupt()
	c.updateReachability()
	return c.settings.backoff().Delay(c.appendFailures, c.random), c.readsStarted
}

// waitForTail waits until a read that began after a failed append has reached the stream's end. It returns after
// the call timeout at the latest: appending a group twice is harmless.
func (c *Client) waitForTail(ctx context.Context, readsBefore uint64) {
	call, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	for call.Err() == nil && !c.hasReadSince(readsBefore) {
		notify(c.readSignal)
		waitForSignal(call, nil, c.settings.PollInterval)
	}
}

// hasReadSince reports whether a read that began after the first readsBefore reads has reached the stream's end.
func (c *Client) hasReadSince(readsBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastCompleteRead > readsBefore
}

// waitForSignal returns after a signal, after limit or when ctx ends, whichever is first.
func waitForSignal(ctx context.Context, signal <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}
