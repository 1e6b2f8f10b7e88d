package endpoint

import (
	"cmp"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// peer is one endpoint as this router sees it.
type peer struct {
	// name, service and address never change: an endpoint with another address is another peer.
	name     string
	service  string
	address  string
	settings Settings
	nameHash uint64
	pool     atomic.Pointer[http.Transport]

	// The fields below are guarded by the dispatcher.
	kind operator.EndpointKind
	// ordered says that tickets want models of it.
	ordered  bool
	tier     endpoint.Tier
	inFlight int
	// suspects counts the requests in progress that were in progress at a crash.
	suspects int
	health   endpoint.Health
	limit    endpoint.Limit
	load     loadReport
	// broken holds the requests whose exchange broke since the last answered probe, crashed those that
	// were counted for the present ejection.
	broken  []ledger.Fingerprint
	crashed map[ledger.Fingerprint]bool
}

// loadReport is what an endpoint last reported, with the router's own part of it.
type loadReport struct {
	reported int
	own      int
	at       time.Time
	// ownBefore is the router's own load at the last time of asking: reports are about that old.
	ownBefore int
	askedAt   time.Time
	asking    bool
	// used says that the endpoint got work since it was last asked.
	used bool
}

func newPeer(e operator.Endpoint, s Settings) *peer {
	p := &peer{
		name:     e.Name,
		service:  e.Service,
		address:  e.Address,
		settings: s,
		nameHash: endpoint.HashName(e.Name),
	}
	p.declare(e)
	p.pool.Store(newTransport(s))
	return p
}

// declare takes a new declaration of the same endpoint in. Attempts in progress read the peer without the
// dispatcher's lock, so nothing that they read may be written here.
func (p *peer) declare(e operator.Endpoint) {
	p.kind = e.Kind
	p.tier = endpoint.TierOf(p.settings.Region, p.settings.AvailabilityZone, e.Region, e.AvailabilityZone)
	p.limit.Maximum = cmp.Or(e.Concurrency, operator.DefaultEndpointConcurrency)
}

func (p *peer) transport() *http.Transport { return p.pool.Load() }

// dropPool replaces the pool: the next attempt uses a new connection. Attempts in progress keep theirs.
func (p *peer) dropPool() {
	p.pool.Swap(newTransport(p.settings)).CloseIdleConnections()
}

// candidate returns what the choice knows of the endpoint.
func (p *peer) candidate(now time.Time) endpoint.Candidate {
	c := endpoint.Candidate{
		NameHash: p.nameHash, Tier: p.tier, InFlight: p.inFlight, Limit: p.limit.Value(), Capacity: p.limit.Maximum,
		SlowStartShare: p.health.SlowStartShare(now),
	}
	if now.Sub(p.load.at) < loadReportAge {
		c.ReportedLoad, c.ReportedOwnLoad = p.load.reported, p.load.own
	}
	return c
}

// crash returns the requests that were in progress when the endpoint crashed and not yet counted.
func (p *peer) crash() []ledger.Fingerprint {
	if p.crashed == nil {
		p.crashed = make(map[ledger.Fingerprint]bool)
	}
	var counted []ledger.Fingerprint
	for _, f := range p.broken {
		if !p.crashed[f] {
			p.crashed[f] = true
			counted = append(counted, f)
		}
	}
	p.broken = nil
	return counted
}
