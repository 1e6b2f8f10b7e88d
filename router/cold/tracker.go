// Package cold keeps what a router knows about cold endpoints, and its shares of their rates. It carries out the decisions of fleet/endpoint:
// the gateway asks it which endpoints must get nothing now, and whether a request may be sent when its first byte is due.
package cold

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// Roster lists the routers that share the rates of cold endpoints.
type Roster interface {
	ChangeCount() int64
	Routers() []peer.Router
}

// Tracker knows which endpoints are cold. Endpoints of services without a cold rate never are. It is safe for concurrent use.
type Tracker struct {
	logger log.Interface
	// count increments a counter.
	count func(name string)
	// startedAt is when this router started: what it sent before is unknown.
	startedAt time.Time
	// isUsed reports whether any service has a cold rate, lost is the number of endpoints that were lost and not reached since.
	isUsed atomic.Bool
	lost   atomic.Int64

	mu     sync.Mutex
	bounds endpoint.ColdBounds
	// self is this router's instance, roster lists all routers; nil if there are no others. hasRoster reports whether it has been read.
	self      string
	roster    Roster
	hasRoster func() bool
	services  map[string]site.Service
	// processes are, by endpoint, the starts of the processes whose entries were read last. hasEntries reports whether any were read.
	processes  map[string]int64
	hasEntries bool
	endpoints  map[string]*state
}

// state is what is known about an endpoint that is cold, or may be.
type state struct {
	service string
	cold    endpoint.Cold
	share   endpoint.ColdShare
	// reason is the last one that was logged.
	reason endpoint.ColdReason
	// position is the number of routers that rank before this one, routers the number of all, as of the roster's change count.
	position, routers int
	rosterChanges     int64
	isRanked          bool
}

// NewTracker returns a tracker of a router that starts now.
func NewTracker(logger log.Interface, count func(name string)) *Tracker {
	return &Tracker{
		logger: logger, count: count, startedAt: time.Now(), bounds: endpoint.DefaultColdBounds(),
		processes: make(map[string]int64), endpoints: make(map[string]*state),
	}
}

// SetBounds sets the operators' bounds. It may be called while requests are served.
func (t *Tracker) SetBounds(b endpoint.ColdBounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bounds = b
}

// Connect makes the tracker share the rates with other routers. self is this router's instance, hasRoster reports whether the roster has been
// read: until then the router has no share.
func (t *Tracker) Connect(self string, roster Roster, hasRoster func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self, t.roster, t.hasRoster = self, roster, hasRoster
}

// Configure applies the services of a new configuration.
func (t *Tracker) Configure(services []site.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = make(map[string]site.Service)
	for _, s := range services {
		if s.ColdRate > 0 {
			t.services[s.Name] = s
		}
	}
	t.isUsed.Store(len(t.services) > 0)
}

// stateLocked returns the state of an endpoint, which is created if there is none.
func (t *Tracker) stateLocked(name, service string) *state {
	s := t.endpoints[name]
	if s == nil {
		s = &state{}
		t.endpoints[name] = s
	}
	s.service = service
	return s
}

// updateLocked logs the begin of a cold time, and drops the state of an endpoint that is neither cold nor lost and whose share is unused.
func (t *Tracker) updateLocked(now time.Time, name string, s *state) {
	service, isRated := t.services[s.service]
	reason := s.cold.Reason(now)
	if reason != s.reason && reason != endpoint.NotCold && isRated {
		t.count(coldPrefix + string(reason))
		t.logger.WithFields(log.Fields{
			"Endpoint": name, "Service": s.service, "Reason": string(reason), "Milliseconds": s.cold.TimeLeft(now).Milliseconds(), "Rate": service.ColdRate,
		}).Info("endpoint is cold")
	}
	s.reason = reason
	if reason == endpoint.NotCold && !s.cold.IsLost() && (!isRated || s.share.IsFull(now, t.useLocked(name, s, &service))) {
		delete(t.endpoints, name)
	}
}

// useLocked returns what the router's share at an endpoint is evaluated with.
func (t *Tracker) useLocked(name string, s *state, service *site.Service) endpoint.ColdUse {
	use := endpoint.ColdUse{StartedAt: t.startedAt}
	routers := 1
	if t.roster != nil {
		t.rankLocked(name, s)
		routers, use.Position = s.routers, s.position
		if !t.hasRoster() {
			use.Position = math.MaxInt
		}
	}
	use.Plan = endpoint.PlanCold(service.ColdRate, t.bounds, routers)
	return use
}

// rankLocked ranks this router among all at an endpoint, after each change of the roster.
func (t *Tracker) rankLocked(name string, s *state) {
	changes := t.roster.ChangeCount()
	if s.isRanked && s.rosterChanges == changes {
		return
	}
	listed, rank := t.roster.Routers(), endpoint.Rank(name, t.self)
	s.isRanked, s.rosterChanges, s.position, s.routers = true, changes, 0, len(listed)
	for _, other := range listed {
		if other.Instance != t.self && endpoint.Rank(name, other.Instance) <= rank {
			s.position++
		}
	}
}

// Blocked returns the endpoints of a service that must get nothing from this router now, with the times until they may; a negative time
// stands for endpoints at which the router has no share, for as long as they are cold. It is nil in general.
func (t *Tracker) Blocked(now time.Time, service string) map[string]time.Duration {
	if !t.isUsed.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rated, ok := t.services[service]
	if !ok {
		return nil
	}
	var blocked map[string]time.Duration
	for name, s := range t.endpoints {
		if s.service != service || s.cold.Reason(now) == endpoint.NotCold {
			continue
		}
		use := t.useLocked(name, s, &rated)
		if s.share.Admits(now, use) {
			continue
		}
		if blocked == nil {
			blocked = make(map[string]time.Duration)
		}
		blocked[name] = -1
		if wait, hasShare := s.share.TimeToAdmission(now, use); hasShare {
			blocked[name] = min(wait, s.cold.TimeLeft(now))
		}
	}
	return blocked
}

// Pass is the permission of a request to be sent to an endpoint. Nil permits it.
type Pass struct {
	tracker *Tracker
	name    string
	service string
	// isReserved reports whether the request holds a reservation in the endpoint's share.
	isReserved bool
}

// Reserve returns the pass of a request that has been assigned to an endpoint. It returns false if the endpoint is cold and this router's
// share doesn't allow a request now.
func (t *Tracker) Reserve(now time.Time, e *site.Endpoint) (*Pass, bool) {
	if !t.isUsed.Load() {
		return nil, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	service, ok := t.services[e.Service]
	if !ok {
		return nil, true
	}
	p := &Pass{tracker: t, name: e.Name, service: e.Service}
	s := t.endpoints[e.Name]
	if s == nil || s.cold.Reason(now) == endpoint.NotCold {
		return p, true
	}
	if !s.share.Admits(now, t.useLocked(e.Name, s, &service)) {
		return nil, false
	}
	s.share.Reserve(now)
	p.isReserved = true
	return p, true
}

// Send reports whether the request may be sent now, on a connection that was opened at a time.
func (p *Pass) Send(now, openedAt time.Time) bool {
	if p == nil {
		return true
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[p.name]
	isReserved := p.isReserved
	p.isReserved = false
	if s == nil {
		return true
	}
	service, isRated := t.services[p.service]
	if !isRated {
		return true
	}
	t.recordConnectionLocked(now, openedAt, p.name, s)
	if s.cold.Reason(now) == endpoint.NotCold {
		if isReserved {
			s.share.Cancel()
		}
		return true
	}
	if !s.share.Take(now, t.useLocked(p.name, s, &service), isReserved) {
		t.count(coldWithheld)
		return false
	}
	t.count(coldSentPrefix + p.service)
	return true
}

// End gives the reservation of a request back that was not sent.
func (p *Pass) End() {
	if p == nil {
		return
	}
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	if s := p.tracker.endpoints[p.name]; s != nil && p.isReserved {
		s.share.Cancel()
	}
	p.isReserved = false
}
