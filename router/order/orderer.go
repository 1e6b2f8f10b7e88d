// Package order runs a router's control loop over the inference engines. The loop reads the orders stream of the
// platform's log, asks package fleet/order for the next action on each endpoint and performs it: it appends a record,
// sends the engine an order for the models to load, or queries the engine's state.
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

// Membership gives access to the fleet membership that the ledger records.
type Membership interface {
	// Self returns this router's incarnation. The second result is false until the incarnation has joined the ledger.
	Self() (ledger.Incarnation, bool)
	// Routers returns the routers that the ledger shows as live.
	Routers() []order.Router
}

// EndpointHealth reports which endpoints can serve requests.
type EndpointHealth interface {
	// Healthy returns the names of the endpoints that are declared and not ejected for failures.
	Healthy() []string
}

// Orderer claims endpoints on the orders stream and sends orders to their engines. Only the goroutine of Run changes
// its state. Calls to engines run in goroutines of their own and deliver their results to Run over a channel.
type Orderer struct {
	board    *blackboard.Board
	members  Membership
	health   EndpointHealth
	engines  EngineClient
	logger   log.Interface
	settings Settings
	// jitter is this router's extra delay before it fences another orderer, so that the routers do not all append a fence
	// at the same time.
	jitter time.Duration

	journal journal
	// unresponsive tracks for how long each other orderer with claims has appended nothing to the orders stream.
	unresponsive map[ledger.Incarnation]*decision.Inactivity

	// configuration is the configuration from which targets and hasDeclaredTarget were computed.
	configuration *operator.Configuration
	// targets holds the wanted state of each engine endpoint, by endpoint name.
	targets map[string]target
	// hasDeclaredTarget reports whether a change ticket declares a wanted state for at least one endpoint.
	hasDeclaredTarget bool
	// routers is the list of live routers from which preferredRouters was computed.
	routers []order.Router
	// preferredRouters caches the instance that should claim each endpoint, by endpoint name.
	preferredRouters map[string]string

	endpoints map[string]*endpointState
	healthy   []string
	// rotation shifts the endpoint that each step handles first. Only one record of the router can be unconfirmed at a
	// time, so a fixed order would let the first endpoints delay the records of all others.
	rotation     int
	streamReadAt time.Time
	// snapshotAt is when the next snapshot of the stream is due; zero until the stream has been read to its end once.
	snapshotAt time.Time
	// recoveryTriedAt is when the router last searched the snapshot stream for a usable snapshot.
	recoveryTriedAt time.Time
	completedCalls  chan *call
	runningCalls    sync.WaitGroup
}

// NewOrderer returns an orderer that starts at the beginning of the orders stream.
func NewOrderer(board *blackboard.Board, stream platform.Log, members Membership, health EndpointHealth, engines EngineClient, logger log.Interface, s Settings) *Orderer {
	o := &Orderer{
		board: board, members: members, health: health, engines: engines, logger: logger, settings: s,
		jitter:         rand.N(s.Lease/4 + 1), //nolint:gosec // jitter needs no secrecy
		unresponsive:   make(map[ledger.Incarnation]*decision.Inactivity),
		endpoints:      make(map[string]*endpointState),
		completedCalls: make(chan *call),
	}
	o.journal = journal{
		stream: stream, count: board.Count,
		readContinuity: decision.ReadContinuity{GapLimit: s.gapLimit()},
		lease:          decision.Lease{Term: s.Lease, Margin: s.LeaseMargin},
	}
	return o
}

// Run claims endpoints and sends orders until ctx ends, then waits for the calls in flight. Its error is always nil.
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

// waitForNextStep processes the results of calls to engines until duration has passed. It returns false if ctx ends.
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

// step reads the orders stream to its end and performs the actions that are due. It returns the delay until the next step.
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

// isActive reports whether the router has to give orders: a change ticket declares a wanted state for an endpoint, or
// the router still holds a claim.
func (o *Orderer) isActive() bool {
	return o.configuration != nil && (o.hasDeclaredTarget || o.journal.state.Holds(o.journal.self))
}

// appendInterval returns the delay until the next step while a record is unconfirmed. The delay grows with the number of
// routers up to maximumAppendInterval, to limit the append rate of the whole fleet.
func (o *Orderer) appendInterval() time.Duration {
	return min(fleetAppendInterval*time.Duration(max(len(o.routers), 1)), maximumAppendInterval)
}

// refreshConfiguration recomputes the targets if the configuration on the blackboard has changed.
func (o *Orderer) refreshConfiguration() {
	c := o.board.Configuration.Load()
	if c == o.configuration {
		return
	}
	previous := o.targets
	o.configuration, o.targets, o.preferredRouters = c, targetsByName(c), nil
	o.hasDeclaredTarget = false
	for name, t := range o.targets {
		o.hasDeclaredTarget = o.hasDeclaredTarget || t.Declared
		if t.address != previous[name].address {
			// A new address means another machine, to which the state read from the former address does not apply.
			delete(o.endpoints, name)
		}
	}
}

// readStream reads the orders stream to its end and updates the claim end timer of each endpoint. It reports whether the
// read succeeded. If the log has dropped entries, it starts a recovery from a snapshot and returns false.
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
		o.endpoint(name).claimEndTimer.Read(now, o.journal.state.Endpoint(name).FormerEnd)
	}
	return true
}

// names returns the sorted names of the endpoints that a change ticket declares or that a router has ever claimed.
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

// endpoint returns the local state of an endpoint and creates it on first use.
func (o *Orderer) endpoint(name string) *endpointState {
	p, ok := o.endpoints[name]
	if !ok {
		p = &endpointState{claimEndTimer: order.ClaimEndTimer{GapLimit: o.settings.gapLimit()}}
		o.endpoints[name] = p
	}
	return p
}

// refreshPreferredRouters clears the cache of preferred routers if the live routers or the configuration changed.
func (o *Orderer) refreshPreferredRouters() {
	routers := o.members.Routers()
	if o.preferredRouters == nil || !slices.Equal(routers, o.routers) {
		o.routers, o.preferredRouters = routers, make(map[string]string)
	}
}

// isPreferred reports whether this router is the one that should claim the endpoint, given the live routers and the
// endpoint's region.
func (o *Orderer) isPreferred(name string) bool {
	chosen, ok := o.preferredRouters[name]
	if !ok {
		chosen = order.PreferredInstance(name, o.targets[name].region, o.routers)
		o.preferredRouters[name] = chosen
	}
	return chosen == o.journal.self.Instance
}

// renewLease appends a lease renewal if this router holds claims and has appended no new record for a third of the lease.
func (o *Orderer) renewLease(ctx context.Context) {
	if o.journal.state.Holds(o.journal.self) && time.Since(o.journal.lastWrittenAt) > o.settings.Lease/3 {
		o.journal.append(ctx, &order.Renew{})
	}
}

// fenceUnresponsive fences the other orderers that have appended nothing for a lease, its margin and the jitter. Only time
// in which this router has read the orders stream without a gap counts.
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
			tracker = &decision.Inactivity{}
			o.unresponsive[v.Incarnation] = tracker
		}
		tracker.Update(&o.journal.readContinuity, v.LastSeen)
		_, due := decision.FenceDue(&o.journal.readContinuity, tracker, false, terms)
		if due && o.journal.append(ctx, &order.Fence{Target: v.Incarnation, LastSeen: v.LastSeen}) {
			o.board.Count(fenceWritten)
			o.logger.WithField("Orderer", v.Incarnation).Warn("unresponsive orderer fenced")
		}
	}
}
