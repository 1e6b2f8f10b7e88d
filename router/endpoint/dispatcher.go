package endpoint

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// Dispatcher performs calls at the endpoints that the configuration declares.
type Dispatcher struct {
	board    *blackboard.Board
	settings Settings
	buffers  bufferPool

	mu sync.Mutex
	// configuration, listing and orders are the inputs from which peers and services were last built.
	configuration *operator.Configuration
	listing       *platform.Listing
	orders        *[]blackboard.OrderStatus
	membership    endpoint.Membership
	quarantine    endpoint.Quarantine
	// unreportedCrashes holds the requests in progress at crashes that have not been reported to the other routers.
	unreportedCrashes crashReports
	peers             map[peerKey]*peer
	services          map[string]*service
}

// peerKey identifies an endpoint by service and name, because one address may serve several services.
type peerKey struct{ service, name string }

// service is the state that the endpoints of one service share.
type service struct {
	// peers holds the endpoints that may get new requests; endpoints that are leaving are excluded.
	peers []*peer
	// peersByModel maps each model that at least one endpoint is known to serve to the endpoints that may serve it,
	// including those in peersWithUnknownModels. It is nil if no endpoint's models are known.
	peersByModel           map[string][]*peer
	peersWithUnknownModels []*peer
	retries                endpoint.RetryBudget
	// queues maps each model and list of allowed regions to the queue of their calls. While peersByModel is nil, calls of all models share
	// the queue under the empty name.
	queues      map[queueKey]*endpoint.Queue[*waiter]
	queueLength int
	// candidates and candidatePeers are buffers that each selection of an endpoint reuses.
	candidates     []endpoint.Candidate
	candidatePeers []*peer
}

// NewDispatcher returns a dispatcher that reads its endpoints from the board.
func NewDispatcher(board *blackboard.Board, settings Settings) *Dispatcher {
	d := &Dispatcher{
		board: board, settings: settings.withDefaults(),
		peers: make(map[peerKey]*peer), services: make(map[string]*service),
	}
	if settings.CrashLog != nil {
		settings.CrashLog.SetCrashHandler(d.recordPeerCrash)
	}
	return d
}

// Run applies new configurations and instance lists, probes ejected endpoints, reads load reports and reports crashes
// until the context ends. It then closes the idle connections.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.TickInterval)
	defer ticker.Stop()
	defer d.closeIdle()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.tick(time.Now())
			d.reportCrashes()
		}
	}
}

func (d *Dispatcher) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.peers {
		p.closeIdle()
	}
}

// Do performs a call; see CallSender.
func (d *Dispatcher) Do(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	limits := call.Route.Limits.WithDefaults()
	ctx, cancel := context.WithTimeoutCause(ctx, limits.RequestTimeout, errRequestTimeout)
	defer cancel()
	j := &job{dispatcher: d, call: call, limits: limits, w: w, route: call.Route, body: call.Body}
	return j.run(ctx)
}

// refreshLocked applies the configuration, the instance list and the endpoints' loaded models if any of them has
// changed on the board since the last call, and then assigns free slots to queued calls.
func (d *Dispatcher) refreshLocked() {
	configuration, listing, orders := d.board.Configuration.Load(), d.board.Listing.Load(), d.board.Orders.Load()
	isCurrent := configuration == d.configuration && listing == d.listing
	if isCurrent && orders == d.orders {
		return
	}
	if !isCurrent {
		d.rebuildPeersLocked(configuration, listing)
	}
	d.orders = orders
	d.indexByModelLocked()
	for _, s := range d.services {
		d.assignQueuedLocked(s)
	}
}

// rebuildPeersLocked rebuilds the list of endpoints of every service from the configuration and the instance list.
// Endpoints that are still declared with the same address keep their state.
func (d *Dispatcher) rebuildPeersLocked(configuration *operator.Configuration, listing *platform.Listing) {
	if listing != nil && listing != d.listing && !d.membership.Merge(*listing) {
		d.board.Count(listingIgnored)
	}
	d.configuration, d.listing = configuration, listing
	for _, s := range d.services {
		s.peers = s.peers[:0]
	}
	declared := make(map[peerKey]bool)
	if configuration != nil {
		// The sets are sorted by name so that all routers use the same declaration if several sets declare an
		// endpoint.
		for _, name := range slices.Sorted(maps.Keys(configuration.InstanceSets)) {
			set := configuration.InstanceSets[name]
			for _, e := range set.Endpoints {
				d.addEndpointLocked(set, e, declared)
			}
		}
	}
	d.removeUndeclaredLocked(declared)
}

// addEndpointLocked adds an endpoint to its service unless it is leaving or an earlier instance set has declared it.
func (d *Dispatcher) addEndpointLocked(set operator.InstanceSet, e operator.Endpoint, declared map[peerKey]bool) {
	key := peerKey{e.Service, e.Name}
	if declared[key] {
		return
	}
	declared[key] = true
	p, ok := d.peers[key]
	if !ok || p.address != e.Address {
		p = newPeer(e, d.settings)
		d.peers[key] = p
	}
	p.applyDeclaration(e)
	_, _, p.hasWantedModels = set.DesiredState(e)
	if d.membership.IsLeaving(e) {
		p.closeIdle()
		return
	}
	s := d.serviceLocked(e.Service)
	s.peers = append(s.peers, p)
}

// removeUndeclaredLocked removes the endpoints that are no longer declared. Attempts in progress at them continue.
func (d *Dispatcher) removeUndeclaredLocked(declared map[peerKey]bool) {
	for key, p := range d.peers {
		if !declared[key] {
			p.closeIdle()
			delete(d.peers, key)
		}
	}
}

func (d *Dispatcher) serviceLocked(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{queues: make(map[queueKey]*endpoint.Queue[*waiter]), queueLength: d.settings.QueueLength}
		d.services[name] = s
	}
	return s
}

// observe applies an observation of an endpoint's health and assigns free capacity to queued calls.
func (d *Dispatcher) observe(p *peer, observation endpoint.Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(p, observation)
	d.assignQueuedLocked(d.serviceLocked(p.service))
}

func (d *Dispatcher) observeLocked(p *peer, observation endpoint.Observation) {
	now := time.Now()
	switch action := p.health.Observe(now, observation).(type) {
	case *endpoint.Probe:
		d.startProbeLocked(p)
	case *endpoint.Eject:
		d.board.Count(ejectedPrefix + string(action.Kind))
		p.resetConnections()
		d.handleCrashLocked(now, p)
	case *endpoint.Admit:
		p.interrupted, p.countedInCrash = nil, nil
		if action.WasEjected {
			d.board.Count(endpointAdmitted)
		} else {
			d.board.Count(endpointCleared)
		}
	}
}
