package ledgerstream

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// Relay sends copies of groups to other routers, which append them if the writer does not.
type Relay interface {
	// SendCopy returns nil once the other router holds the copy.
	SendCopy(ctx context.Context, to peer.Address, c peer.Copy) error
}

// copiesPerGroup is the maximum number of routers that hold a copy of each group.
const copiesPerGroup = 2

// copySender sends this router's groups to one other router at a time while the log is unreachable or slow.
type copySender struct {
	client *Client
	// rank is the index of the sender among the client's copy senders and of its target in the list of copy
	// targets.
	rank   int
	target peer.Address
}

// loop sends copies until ctx ends.
func (s *copySender) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if s.sendNext(ctx) {
			continue
		}
		waitForSignal(ctx, nil, s.client.settings.PollInterval)
	}
}

// sendNext sends one group to the target and reports whether it succeeded.
func (s *copySender) sendNext(ctx context.Context) bool {
	g, payload, found := s.nextGroup()
	if !found {
		return false
	}
	call, cancel := context.WithTimeout(ctx, s.client.settings.CopyWait)
	err := s.client.settings.Relay.SendCopy(call, s.target, peer.Copy{Partition: s.client.settings.Partition, Payload: payload})
	cancel()
	if err != nil {
		s.avoidTarget(time.Now())
		return false
	}
	s.client.recordCopy(g, s.target.Instance)
	return true
}

// nextGroup returns the oldest group of which the target has no copy, and its encoded payload.
func (s *copySender) nextGroup() (*outboxGroup, []byte, bool) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.needsCopies(now) || !s.chooseTarget(now) {
		return nil, nil, false
	}
	for _, o := range c.outboxes() {
		g := o.uncopied(s.target.Instance)
		if g == nil {
			g = c.sealGroup(now, o)
		}
		if g != nil {
			return g, g.payload, true
		}
	}
	return nil, nil, false
}

// chooseTarget sets the target from the current list of copy targets. It returns false if there is none for this
// sender.
func (s *copySender) chooseTarget(now time.Time) bool {
	targets := s.client.copyTargets(now)
	if s.rank >= len(targets) {
		return false
	}
	s.target = targets[s.rank]
	return true
}

// copyTargets returns the routers to which copies of this router's groups are sent.
func (c *Client) copyTargets(now time.Time) []peer.Address {
	return decision.ChooseCopyTargets(decision.CopyTargetInput{
		Instance:         c.settings.Instance,
		AvailabilityZone: c.settings.AvailabilityZone,
		Region:           c.settings.Region,
		Incarnations:     c.state.Incarnations(),
		IsAvoided:        func(instance string) bool { return now.Before(c.avoidedUntil[instance]) },
		Count:            copiesPerGroup,
	})
}

// avoidTarget excludes the target for the duration of a lease. The exclusion applies to all senders, so that they
// compute the same list of targets.
func (s *copySender) avoidTarget(now time.Time) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.avoidedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	c.avoidedUntil[s.target.Instance] = now.Add(c.settings.Lease)
}

// needsCopies reports whether records are delayed by the log, so that copies must be sent to other routers.
func (c *Client) needsCopies(now time.Time) bool {
	if !c.caughtUp || c.current == nil {
		return false
	}
	if !c.reachable || !c.current.lease.Valid(now) {
		return true
	}
	for _, o := range c.outboxes() {
		if g := o.oldestUnacknowledged(); g != nil && now.Sub(g.sealedAt) > c.settings.ReserveAfter || o.needsCopy() {
			return true
		}
	}
	return false
}

// recordCopy records that an instance holds a copy of a group. Reservations in reserve shares may proceed from then
// on.
func (c *Client) recordCopy(g *outboxGroup, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(copyHandedOver, 1)
	g.copies = append(g.copies, instance)
	for _, e := range g.entries {
		if _, isOpen := e.record.(*ledger.Open); isOpen {
			e.attempt.recordCopied()
		}
	}
}

// recordCopied records that a router in another availability zone holds a copy of the open.
func (a *attempt) recordCopied() {
	if !isClosed(a.copiedSignal) {
		close(a.copiedSignal)
	}
}

// uncopied returns the oldest group that is not known to be in the log and of which the instance has no copy.
func (o *outbox) uncopied(instance string) *outboxGroup {
	for _, g := range o.groups {
		if !g.acknowledged && !g.isHeldBy(instance) {
			return g
		}
	}
	return nil
}

// minimumCopies returns the lowest number of copies of any group that is not known to be in the log, or
// copiesPerGroup if all groups are.
func (o *outbox) minimumCopies() int {
	minimum := copiesPerGroup
	for _, g := range o.groups {
		if !g.acknowledged {
			minimum = min(minimum, len(g.copies))
		}
	}
	return minimum
}

func (g *outboxGroup) isHeldBy(instance string) bool { return slices.Contains(g.copies, instance) }

// needsCopy reports whether a reservation in a reserve share waits for another router to hold a copy of its open.
func (o *outbox) needsCopy() bool {
	for _, a := range o.attempts {
		if a.kind == ledger.Reserve && !a.isDecided() && !isClosed(a.copiedSignal) {
			return true
		}
	}
	return false
}
