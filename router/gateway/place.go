package gateway

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

const (
	// affinityMargin is how many more requests than the least loaded endpoint one may have and still be chosen for what
	// it has cached.
	affinityMargin = 3
	// firstBlock is how long an endpoint that failed gets no requests, longestBlock the most after several failures: a
	// crashed endpoint is back after some seconds.
	firstBlock   = 300 * time.Millisecond
	longestBlock = 2 * time.Second
)

// refreshLocked takes a new directory in. Endpoints that are still listed keep what is known of them.
func (t *targets) refreshLocked(directory *site.Directory, services []site.Share) {
	if directory != t.directory {
		t.directory = directory
		t.services = make(map[string][]*target)
	}
	for _, share := range services {
		if _, ok := t.services[share.Service]; ok {
			continue
		}
		var listed []*target
		for _, e := range directory.Endpoints(share.Service) {
			listed = append(listed, t.targetLocked(e))
		}
		t.services[share.Service] = listed
	}
	t.forgetLocked()
}

func (t *targets) targetLocked(e site.Endpoint) *target {
	if t.byName == nil {
		t.byName = make(map[string]*target)
	}
	known, ok := t.byName[e.Name]
	if ok && known.Address == e.Address && known.Born == e.Born {
		known.Endpoint = e
		return known
	}
	if ok {
		known.transport.CloseIdleConnections()
	}
	fresh := &target{Endpoint: e, transport: NewTransport(), hash: xxhash.Sum64String(e.Name)}
	t.byName[e.Name] = fresh
	return fresh
}

// forgetLocked drops endpoints that no service lists any more.
func (t *targets) forgetLocked() {
	for name, known := range t.byName {
		listed := false
		for _, e := range t.directory.Endpoints(known.Service) {
			listed = listed || e.Name == name
		}
		if !listed && known.inFlight == 0 {
			known.transport.CloseIdleConnections()
			delete(t.byName, name)
		}
	}
}

// acquire reserves a place at an endpoint that this request has not tried.
func (t *targets) acquire(directory *site.Directory, j *job) (*target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(directory, j.route.Services)
	now := time.Now()
	chosen := t.chooseLocked(now, j, false)
	if chosen == nil {
		chosen = t.chooseLocked(now, j, true)
	}
	if chosen == nil {
		return nil, verdict.Refuse(verdict.NoEndpoint, "")
	}
	chosen.inFlight++
	return chosen, nil
}

// chooseLocked takes the endpoint that has most likely cached the prompt's beginning unless it is too loaded, and else
// the least loaded. Blocked endpoints are taken only if no other is left.
func (t *targets) chooseLocked(now time.Time, j *job, blocked bool) *target {
	low := math.MaxInt
	for _, e := range t.services[j.service] {
		if j.mayUse(now, e, blocked) {
			low = min(low, e.inFlight)
		}
	}
	subject := xxhash.Sum64String(j.demand.Subject())
	if j.demand.Subject() == "" {
		subject = j.random
	}
	margin := 0
	if j.demand.Subject() != "" {
		margin = affinityMargin
	}
	var chosen *target
	var highest uint64
	for _, e := range t.services[j.service] {
		if !j.mayUse(now, e, blocked) || e.inFlight > low+margin {
			continue
		}
		if rank := mix(e.hash ^ subject); chosen == nil || rank > highest {
			chosen, highest = e, rank
		}
	}
	return chosen
}

// mayUse reports whether the request may be sent to an endpoint.
func (j *job) mayUse(now time.Time, e *target, blocked bool) bool {
	if e.gone || !blocked && now.Before(e.blocked) {
		return false
	}
	for _, tried := range j.tried {
		if tried == e {
			return false
		}
	}
	return true
}

// release gives a place back and learns from how the attempt ended.
func (t *targets) release(e *target, out attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.inFlight--
	switch {
	case out.misdirected:
		e.gone = true
		e.transport.CloseIdleConnections()
	case out.broken:
		e.failures++
		block := firstBlock << min(e.failures-1, 4)
		e.blocked = time.Now().Add(min(block, longestBlock))
		e.transport.CloseIdleConnections()
	case out.cause == nil:
		e.failures, e.blocked = 0, time.Time{}
	}
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
