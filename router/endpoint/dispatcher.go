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
	// configuration, listing and orders are what the fields below were made from.
	configuration *operator.Configuration
	listing       *platform.Listing
	orders        *[]blackboard.Orders
	membership    endpoint.Membership
	quarantine    endpoint.Quarantine
	// unreportedCrashes are the requests in progress at crashes that the other routers are not told of yet.
	unreportedCrashes crashReports
	peers             map[peerKey]*peer
	services          map[string]*service
}

// peerKey tells endpoints apart: one address may serve several services.
type peerKey struct{ service, name string }

// service is what the endpoints of one service share.
type service struct {
	// peers may get new work; those that are leaving are not among them.
	peers []*peer
	// peersByModel holds, for each model that an endpoint is known to serve, these endpoints and the unknown ones; nil if all are
	// unknown.
	peersByModel           map[string][]*peer
	peersWithUnknownModels []*peer
	retries                endpoint.RetryBudget
	// queues are by model if fit is set; else all calls are in one.
	queues      map[string]*endpoint.Queue[*waiter]
	queueLength int
	// candidates and places are the space in which a choice is made.
	candidates     []endpoint.Candidate
	candidatePeers []*peer
}

// NewDispatcher returns a dispatcher that reads its endpoints from the board.
func NewDispatcher(board *blackboard.Board, settings Settings) *Dispatcher {
	d := &Dispatcher{
		board: board, settings: settings.withDefaults(),
		peers: make(map[peerKey]*peer), services: make(map[string]*service),
	}
	if settings.Crashes != nil {
		settings.Crashes.WatchCrashes(d.recordPeerCrash)
	}
	return d
}

// Run probes ejected endpoints, reads load reports, reports crashes and takes new configurations and lists in
// until the context ends. Then it closes idle connections.
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
		p.transport().CloseIdleConnections()
	}
}

// Do performs a call.
func (d *Dispatcher) Do(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	limits := call.Route.Limits.WithDefaults()
	ctx, cancel := context.WithTimeoutCause(ctx, limits.RequestTimeout, errRequestTimeout)
	defer cancel()
	j := &job{dispatcher: d, call: call, limits: limits, w: w, route: call.Route, body: call.Body}
	return j.do(ctx)
}

// refreshLocked takes a new configuration or instance list in, and what the endpoints have loaded.
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

// rebuildPeersLocked makes the candidates of every service anew.
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
		// In the order of names, so that all routers take the same one of two declarations.
		for _, name := range slices.Sorted(maps.Keys(configuration.InstanceSets)) {
			set := configuration.InstanceSets[name]
			for _, e := range set.Endpoints {
				d.addEndpointLocked(set, e, declared)
			}
		}
	}
	d.removeUndeclaredLocked(declared)
}

// addEndpointLocked makes an endpoint a candidate of its service unless it is leaving.
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
	_, _, p.hasWantedModels = set.WantedOf(e)
	if d.membership.IsLeaving(e) {
		p.transport().CloseIdleConnections()
		return
	}
	s := d.serviceLocked(e.Service)
	s.peers = append(s.peers, p)
}

// removeUndeclaredLocked drops the endpoints that are no longer declared. Attempts in progress go on.
func (d *Dispatcher) removeUndeclaredLocked(declared map[peerKey]bool) {
	for key, p := range d.peers {
		if !declared[key] {
			p.transport().CloseIdleConnections()
			delete(d.peers, key)
		}
	}
}

func (d *Dispatcher) serviceLocked(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{queues: make(map[string]*endpoint.Queue[*waiter]), queueLength: d.settings.QueueLength}
		d.services[name] = s
	}
	return s
}

// observe takes an observation of an endpoint in.
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
