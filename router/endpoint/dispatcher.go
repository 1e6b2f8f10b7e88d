package endpoint

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// Dispatcher performs calls at the endpoints that the configuration declares.
type Dispatcher struct {
	board    *blackboard.Board
	settings Settings
	buffers  bufferPool

	mu sync.Mutex
	// configuration and listing are what the fields below were made from.
	configuration *operator.Configuration
	listing       *platform.Listing
	membership    endpoint.Membership
	peers         map[string]*peer
	services      map[string]*service
}

// service is what the endpoints of one service share.
type service struct {
	peers   []*peer
	retries endpoint.RetryBudget
}

// NewDispatcher returns a dispatcher that reads its endpoints from the board.
func NewDispatcher(board *blackboard.Board, settings Settings) *Dispatcher {
	return &Dispatcher{
		board: board, settings: settings.withDefaults(),
		peers: make(map[string]*peer), services: make(map[string]*service),
	}
}

// Run probes endpoints and ends waits until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.refresh()
		}
	}
}

// refresh takes a new configuration or instance list in.
func (d *Dispatcher) refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
}

func (d *Dispatcher) refreshLocked() {
	configuration, listing := d.board.Configuration.Load(), d.board.Listing.Load()
	if configuration == d.configuration && listing == d.listing {
		return
	}
	if listing != nil && listing != d.listing {
		d.membership.Merge(*listing)
	}
	d.configuration, d.listing = configuration, listing
	for _, s := range d.services {
		s.peers = s.peers[:0]
	}
	if configuration == nil {
		return
	}
	declared := make(map[string]bool)
	for _, set := range configuration.InstanceSets {
		for _, e := range d.membership.Members(set.Endpoints) {
			d.addLocked(e)
		}
		for _, e := range set.Endpoints {
			declared[e.Name] = true
		}
	}
	d.forgetLocked(declared)
}

// addLocked makes an endpoint a candidate of its service.
func (d *Dispatcher) addLocked(e operator.Endpoint) {
	p, ok := d.peers[e.Name]
	if !ok || p.endpoint.Address != e.Address {
		p = newPeer(e, d.settings)
		d.peers[e.Name] = p
	}
	p.endpoint = e
	s := d.serviceLocked(e.Service)
	s.peers = append(s.peers, p)
}

// forgetLocked drops the endpoints that are no longer declared. Attempts in progress go on.
func (d *Dispatcher) forgetLocked(declared map[string]bool) {
	for name, p := range d.peers {
		if !declared[name] {
			p.transport().CloseIdleConnections()
			delete(d.peers, name)
		}
	}
}

func (d *Dispatcher) serviceLocked(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{}
		d.services[name] = s
	}
	return s
}

// acquire reserves a place at an endpoint of the service.
func (d *Dispatcher) acquire(_ context.Context, name string, tried []*peer) (*peer, *verdict.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	candidates := d.serviceLocked(name).peers
	if len(candidates) == 0 {
		return nil, verdict.Refuse(verdict.NoEndpoint, "")
	}
	fresh := slices.DeleteFunc(slices.Clone(candidates), func(p *peer) bool { return slices.Contains(tried, p) })
	if len(fresh) > 0 {
		candidates = fresh
	}
	p := candidates[rand.IntN(len(candidates))] //nolint:gosec // spreads load, no secret
	p.inFlight++
	return p, nil
}

// release gives the place back.
func (d *Dispatcher) release(p *peer, out outcome) {
	if out.reason == verdict.EndpointSilent {
		p.dropPool()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p.inFlight--
}

// Do performs a call.
func (d *Dispatcher) Do(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	limits := call.Route.Limits.WithDefaults()
	ctx, cancel := context.WithTimeoutCause(ctx, limits.RequestTimeout, errRequestTimeout)
	defer cancel()
	j := &job{dispatcher: d, call: call, limits: limits, w: w, service: call.Route.Service}
	return j.do(ctx)
}
