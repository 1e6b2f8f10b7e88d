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
	// hasWantedModels says that tickets want models of it.
	hasWantedModels bool
	tier            endpoint.Tier
	inFlight        int
	// suspectsInFlight counts the requests in progress that were in progress at a crash.
	suspectsInFlight int
	health           endpoint.Health
	limit            endpoint.Limit
	load             loadReport
	// interrupted holds the requests whose exchange broke since the last answered probe, crashed those that
	// were counted for the present ejection.
	interrupted    []ledger.Fingerprint
	countedInCrash map[ledger.Fingerprint]bool
}

// loadReport is what an endpoint last reported, with the router's own part of it.
type loadReport struct {
	totalLoad  int
	ownLoad    int
	receivedAt time.Time
	// inFlightAtLastPoll is the router's own load at the last time of asking: reports are about that old.
	inFlightAtLastPoll int
	requestedAt        time.Time
	isRequesting       bool
	// hadRequests says that the endpoint got work since it was last asked.
	hadRequests bool
}

func newPeer(e operator.Endpoint, s Settings) *peer {
	p := &peer{
		name:     e.Name,
		service:  e.Service,
		address:  e.Address,
		settings: s,
		nameHash: endpoint.HashName(e.Name),
	}
	p.applyDeclaration(e)
	p.pool.Store(newTransport(s))
	return p
}

// applyDeclaration takes a new declaration of the same endpoint in. Attempts in progress read the peer without the
// dispatcher's lock, so nothing that they read may be written here.
func (p *peer) applyDeclaration(e operator.Endpoint) {
	p.kind = e.Kind
	p.tier = endpoint.TierOf(p.settings.Region, p.settings.AvailabilityZone, e.Region, e.AvailabilityZone)
	p.limit.Maximum = cmp.Or(e.Concurrency, operator.DefaultEndpointConcurrency)
}

func (p *peer) transport() *http.Transport { return p.pool.Load() }

// resetConnections replaces the pool: the next attempt uses a new connection. Attempts in progress keep theirs.
func (p *peer) resetConnections() {
	p.pool.Swap(newTransport(p.settings)).CloseIdleConnections()
}

// candidate returns what the choice knows of the endpoint.
func (p *peer) candidate(now time.Time) endpoint.Candidate {
	c := endpoint.Candidate{
		NameHash: p.nameHash, Tier: p.tier, InFlight: p.inFlight, Limit: p.limit.Value(), Capacity: p.limit.Maximum,
		SlowStartShare: p.health.SlowStartShare(now),
	}
	if now.Sub(p.load.receivedAt) < maxLoadReportAge {
		c.ReportedLoad, c.ReportedOwnLoad = p.load.totalLoad, p.load.ownLoad
	}
	return c
}

// takeInterrupted returns the requests that were in progress when the endpoint crashed and not yet counted.
func (p *peer) takeInterrupted() []ledger.Fingerprint {
	if p.countedInCrash == nil {
		p.countedInCrash = make(map[ledger.Fingerprint]bool)
	}
	var uncounted []ledger.Fingerprint
	for _, f := range p.interrupted {
		if !p.countedInCrash[f] {
			p.countedInCrash[f] = true
			uncounted = append(uncounted, f)
		}
	}
	p.interrupted = nil
	return uncounted
}
