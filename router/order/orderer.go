// Package order gives orders to the engines: it follows the orders stream, asks fleet/order what to do next for
// each endpoint, and does it.
package order

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// Members are the routers that the ledger shows.
type Members interface {
	// Self returns this router's incarnation; false while it has not joined.
	Self() (ledger.Incarnation, bool)
	// Routers returns the live routers.
	Routers() []order.Router
}

// Health tells which endpoints are declared and not ejected, by name.
type Health interface {
	Healthy() []string
}

// Orderer gives orders to the engines. All its state belongs to its loop; calls to engines come back over a channel.
type Orderer struct {
	board    *blackboard.Board
	members  Members
	health   Health
	engines  Engines
	logger   log.Interface
	settings Settings
	// jitter delays fences, so that not all routers fence at once.
	jitter time.Duration

	journal  journal
	unresponsive map[ledger.Incarnation]*decision.Silence

	// configuration is what targets and declares were made from.
	configuration *operator.Configuration
	targets       map[string]target
	hasDeclared      bool
	// routers is what preferred was made from.
	routers   []order.Router
	preferredRouters map[string]string

	endpoints map[string]*endpointState
	healthy   []string
	// rotation rotates the endpoint that is looked at first, as one record is on its way at a time.
	rotation   int
	streamReadAt time.Time
	// snapshotAt is when the next snapshot is due; zero before the first read.
	snapshotAt time.Time
	// recoveryTriedAt is when snapshots were last looked for.
	recoveryTriedAt time.Time
	completedCalls       chan *call
	runningCalls     sync.WaitGroup
}

// NewOrderer returns an orderer that has read nothing.
func NewOrderer(board *blackboard.Board, stream platform.Log, members Members, health Health, engines Engines, logger log.Interface, s Settings) *Orderer {
	o := &Orderer{
		board: board, members: members, health: health, engines: engines, logger: logger, settings: s,
		jitter:    rand.N(s.Lease/4 + 1), //nolint:gosec // jitter needs no secrecy
		unresponsive:  make(map[ledger.Incarnation]*decision.Silence),
		endpoints: make(map[string]*endpointState),
		completedCalls:     make(chan *call),
	}
	o.journal = journal{
		stream: stream, count: board.Count,
		observation: decision.Observation{GapLimit: s.gapLimit()},
		lease:       decision.Lease{Term: s.Lease, Margin: s.LeaseMargin},
	}
	return o
}

// Run gives orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	defer o.runningCalls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		if !o.waitForNextStep(ctx, o.step(ctx)) {
			return nil
		}
	}
}

// waitForNextStep takes the ends of calls in until the next step; it reports whether there is one.
func (o *Orderer) waitForNextStep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case c := <-o.completedCalls:
			o.completeCall(c)
		case <-timer.C:
			return true
		}
	}
}

// step reads the stream and acts on it. It returns the time until the next step.
func (o *Orderer) step(ctx context.Context) time.Duration {
	o.refreshConfiguration()
	self, joined := o.members.Self()
	if joined {
		o.journal.setWriter(self)
	}
	active := joined && o.isActive()
	if joined && !active {
		o.board.Orders.Store(nil)
	}
	if !active && time.Since(o.streamReadAt) < idleReadInterval {
		return pollInterval
	}
	o.streamReadAt = time.Now()
	if !o.readStream(ctx) {
		return pollInterval
	}
	o.writeDueSnapshot(ctx)
	if !active {
		return pollInterval
	}
	o.refreshPreferredRouters()
	o.healthy = o.health.Healthy()
	o.journal.resend(ctx)
	o.renewLease(ctx)
	o.fenceUnresponsive(ctx)
	o.performAllActions(ctx)
	o.publish()
	if o.journal.pending != nil {
		return o.appendInterval()
	}
	return pollInterval
}

// isActive reports whether a ticket wants something of an endpoint, or this router holds a claim from before.
func (o *Orderer) isActive() bool {
	return o.configuration != nil && (o.hasDeclared || o.journal.state.Holds(o.journal.self))
}

// appendInterval spreads the appends of the routers.
func (o *Orderer) appendInterval() time.Duration {
	return min(fleetAppendInterval*time.Duration(max(len(o.routers), 1)), maximumAppendInterval)
}

// refreshConfiguration takes a new configuration in.
func (o *Orderer) refreshConfiguration() {
	c := o.board.Configuration.Load()
	if c == o.configuration {
		return
	}
	previous := o.targets
	o.configuration, o.targets, o.preferredRouters = c, targetsByName(c), nil
	o.hasDeclared = false
	for name, t := range o.targets {
		o.hasDeclared = o.hasDeclared || t.Declared
		if t.address != previous[name].address {
			// Another address is another machine: what was read says nothing of it.
			delete(o.endpoints, name)
		}
	}
}

// readStream follows the stream to its end and reports whether that succeeded.
func (o *Orderer) readStream(ctx context.Context) bool {
	err := o.journal.read(ctx)
	var truncated *platform.TruncatedError
	switch {
	case errors.As(err, &truncated):
		o.recoverFromSnapshot(ctx)
		return false
	case err != nil:
		o.board.Count(readFailed)
		return false
	}
	now := time.Now()
	for _, name := range o.names() {
		o.endpoint(name).endWatch.Read(now, o.journal.state.Endpoint(name).FormerEnd)
	}
	return true
}

// names returns the sorted names of the endpoints of the tickets and of the stream.
func (o *Orderer) names() []string {
	names := o.journal.state.Names()
	for name, t := range o.targets {
		if t.Declared {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (o *Orderer) endpoint(name string) *endpointState {
	p, ok := o.endpoints[name]
	if !ok {
		p = &endpointState{endWatch: order.EndWatch{GapLimit: o.settings.gapLimit()}}
		o.endpoints[name] = p
	}
	return p
}

// refreshPreferredRouters chooses the router that is to claim each endpoint anew if the routers or the tickets changed.
func (o *Orderer) refreshPreferredRouters() {
	routers := o.members.Routers()
	if o.preferredRouters == nil || !slices.Equal(routers, o.routers) {
		o.routers, o.preferredRouters = routers, make(map[string]string)
	}
}

func (o *Orderer) isPreferred(name string) bool {
	chosen, ok := o.preferredRouters[name]
	if !ok {
		chosen = order.Preferred(name, o.targets[name].region, o.routers)
		o.preferredRouters[name] = chosen
	}
	return chosen == o.journal.self.Instance
}

// renewLease renews the lease while claims are held.
func (o *Orderer) renewLease(ctx context.Context) {
	if o.journal.state.Holds(o.journal.self) && time.Since(o.journal.lastWrittenAt) > o.settings.Lease/3 {
		o.journal.append(ctx, &order.Renew{})
	}
}

// fenceUnresponsive ends the claims of the orderers that were silent.
func (o *Orderer) fenceUnresponsive(ctx context.Context) {
	orderers := o.journal.state.Orderers()
	for i := range o.unresponsive {
		if !o.journal.state.Holds(i) {
			delete(o.unresponsive, i)
		}
	}
	terms := decision.FenceTerms{Working: o.settings.leaseWithMargin(), Reserve: o.settings.leaseWithMargin(), Jitter: o.jitter}
	for _, v := range orderers {
		if v.Incarnation == o.journal.self {
			continue
		}
		tracker := o.unresponsive[v.Incarnation]
		if tracker == nil {
			tracker = &decision.Silence{}
			o.unresponsive[v.Incarnation] = tracker
		}
		tracker.Update(&o.journal.observation, v.LastSeen)
		_, due := decision.FenceDue(&o.journal.observation, tracker, false, terms)
		if due && o.journal.append(ctx, &order.Fence{Target: v.Incarnation, LastSeen: v.LastSeen}) {
			o.board.Count(fenceWritten)
			o.logger.WithField("Orderer", v.Incarnation).Warn("silent orderer fenced")
		}
	}
}
