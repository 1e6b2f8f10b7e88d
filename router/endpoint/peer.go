package endpoint

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// peer is this router's state of one endpoint.
type peer struct {
	// name, service and address are immutable: an endpoint whose address changes gets a new peer.
	name     string
	service  string
	address  string
	settings Settings
	nameHash uint64
	pool     atomic.Pointer[http.Transport]
	// witness shows whether the endpoint's process outlasts responses that end with their connection.
	witness http1.Witness
	// place is where the endpoint runs, by its newest declaration.
	place atomic.Pointer[locality.Place]

	// The fields below are guarded by the dispatcher's mutex.
	kind operator.EndpointKind
	// hasWantedModels reports whether a change ticket wants models loaded at the endpoint.
	hasWantedModels bool
	tier            endpoint.Tier
	inFlight        int
	// suspectsInFlight is the number of requests in flight here that were also in progress at a recent crash.
	suspectsInFlight int
	health           endpoint.Health
	limit            endpoint.Limit
	load             loadReport
	// interrupted holds the requests whose connections broke since the last answered probe and that no crash has
	// counted. countedInCrash holds those that were counted for the current ejection.
	interrupted    []ledger.Fingerprint
	countedInCrash map[ledger.Fingerprint]bool
}

// loadReport is the load that an endpoint last reported, in requests, and this router's estimated part of it.
type loadReport struct {
	totalLoad  int
	ownLoad    int
	receivedAt time.Time
	// inFlightAtLastPoll is the number of this router's requests in flight when the previous poll ended. The engine's
	// next report is about as old as that poll, so the router takes this number for its own part of the reported load.
	inFlightAtLastPoll int
	requestedAt        time.Time
	isRequesting       bool
	// hadRequests reports whether the endpoint got requests from this router since the last poll, or had some in flight
	// when that poll started.
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
	p.pool.Store(newTransport(s, &p.witness))
	p.witness.IsWanted = &atomic.Bool{}
	p.witness.Dial = func(ctx context.Context) (net.Conn, error) { return p.transport().DialContext(ctx, "tcp", p.address) }
	return p
}

// applyDeclaration applies a new declaration of the same endpoint. Attempts in progress read the peer without the
// dispatcher's mutex, so applyDeclaration must not write any field that attempts read, but atomic ones.
func (p *peer) applyDeclaration(e operator.Endpoint) {
	p.kind = e.Kind
	p.place.Store(&locality.Place{AvailabilityZone: e.AvailabilityZone, Region: e.Region})
	p.tier = endpoint.TierOf(p.settings.Region, p.settings.AvailabilityZone, e.Region, e.AvailabilityZone)
	p.limit.Maximum = cmp.Or(e.Concurrency, operator.DefaultEndpointConcurrency)
}

func (p *peer) transport() *http.Transport { return p.pool.Load() }

// closeIdle closes the connections on which no attempt is in progress.
func (p *peer) closeIdle() {
	p.transport().CloseIdleConnections()
	p.witness.Close()
}

// resetConnections replaces the connection pool, so that the next attempt opens a new connection. Attempts in
// progress keep their connections.
func (p *peer) resetConnections() {
	p.pool.Swap(newTransport(p.settings, &p.witness)).CloseIdleConnections()
}

// candidate returns the properties of the endpoint on which its selection depends.
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

// takeInterrupted removes the interrupted requests and returns those that the current crash has not counted yet.
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
