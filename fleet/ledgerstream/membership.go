package ledgerstream

import (
	"context"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
)

// memberActivity is the record of another incarnation's inactivity and of this router's fences against it.
type memberActivity struct {
	inactivity decision.Inactivity
	jitter     time.Duration
	// fencedAt is the time of this router's last fence of the incarnation; zero if there was none.
	fencedAt time.Time
}

// loopTick runs the periodic work at every TickInterval: heartbeats, fences, idle shares, reserve draws, prepaid
// totals.
func (c *Client) loopTick(ctx context.Context) {
	ticker := time.NewTicker(c.settings.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

// tick runs the periodic work that is due at now.
func (c *Client) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.caughtUp || c.truncated || c.current == nil {
		return
	}
	incarnations := c.state.Incarnations()
	c.countRouters(incarnations)
	c.heartbeat(now)
	if !c.current.joined {
		return
	}
	if !c.current.lease.Valid(now) {
		c.refuseUnsent()
		return
	}
	c.fenceUnresponsive(now, incarnations)
	c.tickAccounts(now)
	c.drawMissingReserves(now)
	c.tickPrepaid(now)
}

// countRouters sets the number of live incarnations, among which the fleet's limits are divided.
func (c *Client) countRouters(incarnations []ledger.IncarnationView) {
	live := 0
	for _, v := range incarnations {
		if !v.Suspended {
			live++
		}
	}
	c.routers = max(live, 1)
}

// join starts a new incarnation. The incarnation's number is higher than that of every earlier incarnation of this
// instance that is known, even if the clock went back.
func (c *Client) join() {
	if c.current != nil || !c.caughtUp || c.truncated || c.draining {
		return
	}
	number := max(uint64(time.Now().UnixNano()), c.state.HighestIncarnation(c.settings.Instance)+1)
	for _, o := range c.former {
		number = max(number, o.incarnation.Number+1)
	}
	incarnation := ledger.Incarnation{Instance: c.settings.Instance, Number: number}
	c.current = newOutbox(incarnation, c.settings)
	c.current.nonce = c.random.Uint64()
	c.count(joinSent, 1)
	c.enqueue(&ledger.Join{
		AvailabilityZone: c.settings.AvailabilityZone,
		Region:           c.settings.Region,
		Version:          c.settings.Version,
		PeerAddress:      c.settings.PeerAddress,
		Nonce:            c.current.nonce,
	})
}

// heartbeat queues a heartbeat to renew the lease of an idle incarnation. Every other record renews the lease too. A
// busy incarnation sends a heartbeat only to report a new position in the configuration.
func (c *Client) heartbeat(now time.Time) {
	o := c.current
	idle := o.length() == 0 && !now.Before(o.newestQueuedAt.Add(c.settings.HeartbeatInterval))
	if !idle && (!o.joined || o.reportedPosition == c.configurationNext) {
		return
	}
	o.reportedPosition = c.configurationNext
	c.enqueue(&ledger.Heartbeat{
		ConfigurationOffset: c.configurationNext,
		ConfigurationNumber: c.configurationNumber,
	})
}

// fenceUnresponsive queues fences of incarnations that have appended nothing for the lease and its margin, and of
// suspended incarnations that have appended nothing for the reserve term. The second kind of fence ends the reserve
// shares. A fence is repeated after the duration of a lease at the earliest.
func (c *Client) fenceUnresponsive(now time.Time, incarnations []ledger.IncarnationView) {
	for _, v := range incarnations {
		if c.ownOutbox(v.Incarnation) != nil {
			continue
		}
		activity := c.memberActivities[v.Incarnation]
		if activity == nil {
			activity = &memberActivity{jitter: decision.Jitter(c.settings.HeartbeatInterval, c.random)}
			c.memberActivities[v.Incarnation] = activity
		}
		activity.inactivity.Update(&c.readContinuity, v.LastSeen)
		kind, due := decision.FenceDue(&c.readContinuity, &activity.inactivity, v.Suspended, c.settings.fenceTerms(activity.jitter))
		if !due || now.Before(activity.fencedAt.Add(c.settings.Lease)) {
			continue
		}
		activity.fencedAt = now
		c.count(fenceSent, 1)
		c.enqueue(&ledger.Fence{Target: v.Incarnation, LastSeen: v.LastSeen, Kind: kind})
	}
}
