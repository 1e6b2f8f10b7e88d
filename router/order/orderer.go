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
	silences map[ledger.Incarnation]*decision.Silence

	// configuration is what targets and declares were made from.
	configuration *operator.Configuration
	targets       map[string]target
	declares      bool
	// routers is what preferred was made from.
	routers   []order.Router
	preferred map[string]string

	endpoints map[string]*endpoint
	healthy   []string
	// turn rotates the endpoint that is looked at first, as one record is on its way at a time.
	turn   int
	readAt time.Time
	// snapshotAt is when the next snapshot is due; zero before the first read.
	snapshotAt time.Time
	// recoveredAt is when snapshots were last looked for.
	recoveredAt time.Time
	ended       chan *call
	running     sync.WaitGroup
}

// NewOrderer returns an orderer that has read nothing.
func NewOrderer(board *blackboard.Board, stream platform.Log, members Members, health Health, engines Engines, logger log.Interface, s Settings) *Orderer {
	o := &Orderer{
		board: board, members: members, health: health, engines: engines, logger: logger, settings: s,
		jitter:    rand.N(s.Lease/4 + 1), //nolint:gosec // jitter needs no secrecy
		silences:  make(map[ledger.Incarnation]*decision.Silence),
		endpoints: make(map[string]*endpoint),
		ended:     make(chan *call),
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
	defer o.running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		if !o.wait(ctx, o.step(ctx)) {
			return nil
		}
	}
}

// wait takes the ends of calls in until the next step; it reports whether there is one.
func (o *Orderer) wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case c := <-o.ended:
			o.takeBack(c)
		case <-timer.C:
			return true
		}
	}
}

// step reads the stream and acts on it. It returns the time until the next step.
func (o *Orderer) step(ctx context.Context) time.Duration {
	o.refresh()
	self, joined := o.members.Self()
	if joined {
		o.journal.become(self)
	}
	active := joined && o.active()
	if joined && !active {
		o.board.Orders.Store(nil)
	}
	if !active && time.Since(o.readAt) < idleInterval {
		return pollInterval
	}
	o.readAt = time.Now()
	if !o.read(ctx) {
		return pollInterval
	}
	o.snapshot(ctx)
	if !active {
		return pollInterval
	}
	o.prefer()
	o.healthy = o.health.Healthy()
	o.journal.resend(ctx)
	o.renew(ctx)
	o.fence(ctx)
	o.actAll(ctx)
	o.publish()
	if o.journal.pending != nil {
		return o.appendInterval()
	}
	return pollInterval
}

// active reports whether a ticket wants something of an endpoint, or this router holds a claim from before.
func (o *Orderer) active() bool {
	return o.configuration != nil && (o.declares || o.journal.state.Holds(o.journal.self))
}

// appendInterval spreads the appends of the routers.
func (o *Orderer) appendInterval() time.Duration {
	return min(fleetAppendInterval*time.Duration(max(len(o.routers), 1)), longestAppendInterval)
}

// refresh takes a new configuration in.
func (o *Orderer) refresh() {
	c := o.board.Configuration.Load()
	if c == o.configuration {
		return
	}
	former := o.targets
	o.configuration, o.targets, o.preferred = c, targets(c), nil
	o.declares = false
	for name, t := range o.targets {
		o.declares = o.declares || t.Declared
		if t.address != former[name].address {
			// Another address is another machine: what was read says nothing of it.
			delete(o.endpoints, name)
		}
	}
}

// read follows the stream to its end and reports whether that succeeded.
func (o *Orderer) read(ctx context.Context) bool {
	err := o.journal.read(ctx)
	var truncated *platform.TruncatedError
	switch {
	case errors.As(err, &truncated):
		o.recover(ctx)
		return false
	case err != nil:
		o.board.Count(readFailed)
		return false
	}
	now := time.Now()
	for _, name := range o.names() {
		o.endpoint(name).ends.Read(now, o.journal.state.Endpoint(name).FormerEnd)
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

func (o *Orderer) endpoint(name string) *endpoint {
	p, ok := o.endpoints[name]
	if !ok {
		p = &endpoint{ends: order.EndWatch{GapLimit: o.settings.gapLimit()}}
		o.endpoints[name] = p
	}
	return p
}

// prefer chooses the router that is to claim each endpoint anew if the routers or the tickets changed.
func (o *Orderer) prefer() {
	routers := o.members.Routers()
	if o.preferred == nil || !slices.Equal(routers, o.routers) {
		o.routers, o.preferred = routers, make(map[string]string)
	}
}

func (o *Orderer) isPreferred(name string) bool {
	chosen, ok := o.preferred[name]
	if !ok {
		chosen = order.Preferred(name, o.targets[name].region, o.routers)
		o.preferred[name] = chosen
	}
	return chosen == o.journal.self.Instance
}

// renew renews the lease while claims are held.
func (o *Orderer) renew(ctx context.Context) {
	if o.journal.state.Holds(o.journal.self) && time.Since(o.journal.writtenAt) > o.settings.Lease/3 {
		o.journal.append(ctx, &order.Renew{})
	}
}

// fence ends the claims of the orderers that were silent.
func (o *Orderer) fence(ctx context.Context) {
	orderers := o.journal.state.Orderers()
	for i := range o.silences {
		if !o.journal.state.Holds(i) {
			delete(o.silences, i)
		}
	}
	terms := decision.FenceTerms{Working: o.settings.lapse(), Reserve: o.settings.lapse(), Jitter: o.jitter}
	for _, v := range orderers {
		if v.Incarnation == o.journal.self {
			continue
		}
		silence := o.silences[v.Incarnation]
		if silence == nil {
			silence = &decision.Silence{}
			o.silences[v.Incarnation] = silence
		}
		silence.Update(&o.journal.observation, v.LastSeen)
		_, due := decision.FenceDue(&o.journal.observation, silence, false, terms)
		if due && o.journal.append(ctx, &order.Fence{Target: v.Incarnation, LastSeen: v.LastSeen}) {
			o.board.Count(fenceWritten)
			o.logger.WithField("Orderer", v.Incarnation).Warn("silent orderer fenced")
		}
	}
}
