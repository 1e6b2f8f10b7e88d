package gateway

import (
	"errors"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/placement"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

const (
	// remoteLoad is how many requests more a near endpoint of a plain service may have than one in another region: the way
	// there costs about half of the work.
	remoteLoad = 2
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
		t.forgetLocked()
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
		t.crashLocked(known)
	}
	fresh := &target{Endpoint: e, transport: NewTransport(t.traffic), hash: xxhash.Sum64String(e.Name)}
	t.byName[e.Name] = fresh
	return fresh
}

// forgetLocked drops endpoints that no service lists any more; one with requests in progress goes with a later directory.
func (t *targets) forgetLocked() {
	for name, known := range t.byName {
		listed := false
		for _, e := range t.directory.Endpoints(known.Service) {
			listed = listed || e.Name == name
		}
		if !listed && known.inFlight == 0 {
			known.transport.CloseIdleConnections()
			t.crashLocked(known)
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
	usable := t.usableLocked(now, j, false)
	if len(usable) == 0 {
		usable = t.usableLocked(now, j, true)
	}
	if len(usable) == 0 {
		return nil, verdict.Refuse(verdict.NoEndpoint, "")
	}
	chosen := t.leastLoaded(usable, j.random)
	if j.engine != nil {
		chosen = t.chooseEngineLocked(now, usable, j)
	}
	j.beside = chosen.inFlight
	chosen.inFlight++
	return chosen, nil
}

// usableLocked lists the endpoints to which the request may be sent. Blocked ones are taken only if no other is left.
func (t *targets) usableLocked(now time.Time, j *job, blocked bool) []*target {
	var usable []*target
	for _, e := range t.services[j.service] {
		if j.mayUse(now, e, blocked) {
			usable = append(usable, e)
		}
	}
	return usable
}

// leastLoaded takes an endpoint with the fewest requests, a near one before one in another region that has few less.
func (t *targets) leastLoaded(usable []*target, random uint64) *target {
	var chosen *target
	var least int
	var highest uint64
	for _, e := range usable {
		load := e.inFlight
		if t.place.remote(e) {
			load += remoteLoad
		}
		rank := endpoint.Mix(e.hash ^ random)
		if chosen == nil || load < least || load == least && rank > highest {
			chosen, least, highest = e, load, rank
		}
	}
	return chosen
}

// chooseEngineLocked takes the engine at which the prompt begins soonest and is cached, and notes it there.
func (t *targets) chooseEngineLocked(now time.Time, usable []*target, j *job) *target {
	subject := j.random
	if j.demand.Subject() != "" {
		subject = xxhash.Sum64String(j.demand.Subject())
	}
	candidates := make([]placement.Candidate, 0, len(usable))
	for _, e := range usable {
		candidates = append(candidates, placement.Candidate{
			Hash: endpoint.Mix(e.hash ^ subject), Wait: e.backlog.Wait(now), Hit: e.cache.Hit(now, j.demand.Parts), Beside: e.inFlight,
			Slow: e.slow, Remote: t.place.remote(e),
		})
	}
	rate := t.rateLocked(j.service)
	i, miss, _ := placement.Choose(candidates, placement.Prompt{
		Tokens: j.demand.Prompt, Shared: j.demand.Shared(), Target: j.route.Target,
	}, rate)
	chosen := usable[i]
	j.miss, j.wait = miss, candidates[i].Wait
	j.work = chosen.slow.Work(rate.Work(miss))
	j.dispatch = chosen.backlog.Send(now, j.work)
	j.server.tell(chosen, j)
	chosen.cache.Use(now, j.demand.Parts)
	return chosen
}

func (t *targets) rateLocked(service string) *placement.Rate {
	if t.rates == nil {
		t.rates = make(map[string]*placement.Rate)
	}
	if t.rates[service] == nil {
		t.rates[service] = &placement.Rate{}
	}
	return t.rates[service]
}

// began takes the first event of a prompt in, or the end of its attempt.
func (t *targets) began(e *target, j *job, answered bool) {
	if j.dispatch == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if answered {
		observed := placement.Observation{Tokens: j.miss, First: now.Sub(j.dispatch.Sent()), Wait: j.wait}
		t.rateLocked(j.service).Observe(observed, &e.slow)
	}
	e.backlog.Began(now, j.dispatch, answered)
	j.dispatch = nil
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
func (t *targets) release(e *target, j *job, begun time.Time, out attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.inFlight--
	t.exposeLocked(e, j, begun, out)
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

// exposeLocked notes requests whose exchanges broke off. The endpoint has crashed if it then refuses connections, starts
// anew, is listed no longer or has left its address to another; an answer to a later request shows that it has not.
func (t *targets) exposeLocked(e *target, j *job, begun time.Time, out attempt) {
	if out.broken && out.writes > 0 {
		e.broke = time.Now()
		if len(e.exposed) < recordedRequests {
			e.exposed = append(e.exposed, endpoint.Exposure{Fingerprint: j.identity(), Begun: begun, Broke: e.broke})
		}
	}
	switch {
	case t.byName[e.Name] != e || out.misdirected || errors.Is(out.cause, syscall.ECONNREFUSED):
		t.crashLocked(e)
	case out.answered && !out.broken && begun.After(e.broke):
		e.exposed = nil
	}
}

// crashLocked tells of an endpoint's crash if requests were in progress there.
func (t *targets) crashLocked(e *target) {
	if len(e.exposed) == 0 || t.crashed == nil {
		return
	}
	t.crashed(time.Now(), e.Name+"/"+strconv.FormatInt(e.Born, 10), e.exposed)
	e.exposed = nil
}
