package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/placement"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

const (
	// remoteLoadPenalty is the number of requests added to the load of an endpoint in another region when endpoints of a
	// plain service are compared: the network path there costs about half as much as the work of a request.
	remoteLoadPenalty = 2
	// initialBackoff is how long an endpoint gets no requests after a failure, maxBackoff the upper bound after several
	// consecutive ones: a crashed endpoint is back after some seconds.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// trialRetryDelay is the time after which a request may come again that found all endpoints busy after a pause.
	trialRetryDelay = 100 * time.Millisecond
)

// updateDirectoryLocked switches to a new directory and looks up the endpoints of the given services. Endpoints that
// are still listed keep their state.
func (t *targets) updateDirectoryLocked(directory *site.Directory, services []site.WeightedService) {
	if directory != t.directory {
		t.directory = directory
		t.services = make(map[string][]*target)
		t.removeUnlistedLocked()
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
	if ok && known.Address == e.Address && known.StartedAt == e.StartedAt {
		if known.Endpoint != e {
			known.Endpoint = e
		}
		return known
	}
	if ok {
		known.closeIdle()
		t.reportRestartLocked(known, time.UnixMilli(e.StartedAt))
		delete(t.limits, processOf(&known.Endpoint))
		l := t.limitLocked(processOf(&e))
		l.bound.StartAnew(time.Now(), e.Slots, t.fleetLocked(l), t.markLocked(e.Service))
	}
	created := &target{Endpoint: e, hash: xxhash.Sum64String(e.Name), limit: t.limitLocked(processOf(&e))}
	created.cache.Memory = &t.partMemory
	created.transport = newTransport(t.traffic, created.witness.Track((&endpointDialer{targets: t, service: e.Service, endpoint: e.Name}).dial))
	created.witness.IsWanted = t.endsWithConnectionLocked(e.Service)
	created.witness.Dial = func(ctx context.Context) (net.Conn, error) {
		return created.transport.DialContext(ctx, "tcp", e.Address)
	}
	created.witness.IsLeaving = func() bool { return !t.lists(e.Service, e.Name) }
	t.byName[e.Name] = created
	return created
}

// lists reports whether the directory lists an endpoint for new requests.
func (t *targets) lists(service, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.directory.Lists(service, name)
}

// endsWithConnectionLocked returns whether answers of a service end with their connection, as they come.
func (t *targets) endsWithConnectionLocked(service string) *atomic.Bool {
	if t.endsWithConnection == nil {
		t.endsWithConnection = make(map[string]*atomic.Bool)
	}
	if t.endsWithConnection[service] == nil {
		t.endsWithConnection[service] = &atomic.Bool{}
	}
	return t.endsWithConnection[service]
}

// closeIdle closes the connections on which no exchange is in progress.
func (e *target) closeIdle() {
	e.transport.CloseIdleConnections()
	e.witness.Close()
}

// removeUnlistedLocked removes the endpoints that no service lists any more. An endpoint with requests in progress is
// removed with a later directory.
func (t *targets) removeUnlistedLocked() {
	for name, known := range t.byName {
		if !t.directory.Lists(known.Service, name) && known.inFlight == 0 {
			known.closeIdle()
			t.reportCrashLocked(known)
			known.limit.reportedAt = time.Now()
			if known.limit.Rate() == 0 {
				delete(t.limits, processOf(&known.Endpoint))
			}
			delete(t.byName, name)
		}
	}
}

// acquire selects an endpoint that has not been tried for the request, and counts the request as in flight there. It
// refuses the request with verdict.NoEndpoint if no such endpoint is left.
func (t *targets) acquire(directory *site.Directory, j *job) (*target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateDirectoryLocked(directory, j.route.Services)
	now := time.Now()
	policy, err := t.gate.Policy(&j.place)
	if err != nil {
		return nil, err
	}
	blocked := t.cold.Blocked(now, j.service)
	eligible := t.eligibleLocked(now, j, &policy, blocked, false)
	if len(eligible) == 0 {
		eligible = t.eligibleLocked(now, j, &policy, blocked, true)
	}
	if len(eligible) == 0 {
		return nil, t.refuseLocked(now, j, &policy, blocked)
	}
	eligible = preferUnheard(now, eligible)
	chosen := t.leastLoaded(eligible, j.random)
	if j.engine != nil {
		chosen = t.chooseEngineLocked(now, eligible, j)
	}
	j.inFlightAtChoice = chosen.inFlight
	chosen.inFlight++
	chosen.limit.Take()
	// Blocked has left out the endpoints for which there is no pass.
	j.pass, _ = t.cold.Reserve(now, &chosen.Endpoint)
	return chosen, nil
}

// refuseLocked returns the refusal of a request for which no endpoint is left. If endpoints have asked for a pause or name a rate
// limit, the request may come again when the first of them accepts one, or soon after that. blocked are the cold endpoints that must get
// nothing now.
func (t *targets) refuseLocked(now time.Time, j *job, policy *locality.Policy, blocked map[string]time.Duration) error {
	if err := refusePlaces(policy, t.directory.Endpoints(j.service)); err != nil {
		return err
	}
	var retryAfter time.Duration
	hasVersion, reason := false, verdict.EndpointsCold
	for _, e := range t.services[j.service] {
		if !j.bound.allows(&e.Endpoint) || !policy.AllowsEndpoint(e.AvailabilityZone) {
			continue
		}
		hasVersion = true
		if coldLeft, isBlocked := blocked[e.Name]; isBlocked {
			if !slices.Contains(j.tried, e) {
				retryAfter = earlier(retryAfter, coldDelay(coldLeft, j.random))
			}
			continue
		}
		limitLeft := t.timeToAdmissionLocked(now, e, j.random)
		if !t.isWithinBoundLocked(now, e) {
			limitLeft = max(limitLeft, spreadDelay(j.random))
			t.reportBoundLocked(now, e, j, limitLeft)
		}
		if !e.notices.IsOnTrial() && limitLeft == 0 || e.notices.IsLeaving() || e.isReplaced {
			continue
		}
		reason = verdict.Overloaded
		retryAfter = earlier(retryAfter, max(trialRetryDelay, e.notices.PauseLeft(now), limitLeft))
	}
	switch {
	case j.bound.isBound && !hasVersion:
		return verdict.Refuse(verdict.StreamVersionGone, "")
	case retryAfter == 0:
		return verdict.Refuse(policy.Exhausted(), "")
	}
	return &verdict.Refusal{Verdict: verdict.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// earlier returns the shorter of two times, of which the first is zero if it isn't known yet.
func earlier(known, other time.Duration) time.Duration {
	if known == 0 {
		return other
	}
	return min(known, other)
}

// coldDelay returns when a request may come again that a cold endpoint must not get now. A negative time stands for an endpoint that other
// routers send to.
func coldDelay(left time.Duration, random uint64) time.Duration {
	if left < 0 {
		return spreadDelay(random)
	}
	return max(trialRetryDelay, left)
}

// eligibleLocked returns the endpoints to which the request may be sent. Endpoints in backoff are included with
// includeBlocked, as a last resort.
func (t *targets) eligibleLocked(now time.Time, j *job, policy *locality.Policy, blocked map[string]time.Duration, includeBlocked bool) []*target {
	var eligible []*target
	for _, e := range t.services[j.service] {
		if _, isBlocked := blocked[e.Name]; isBlocked {
			continue
		}
		if policy.AllowsEndpoint(e.AvailabilityZone) && j.isEligible(now, e, includeBlocked) && t.isWithinBoundLocked(now, e) && t.isWithinLimitLocked(now, e) {
			eligible = append(eligible, e)
		}
	}
	return eligible
}

// leastLoaded returns the endpoint with the fewest requests in flight, after adding remoteLoadPenalty to endpoints in
// other regions. Hashing with the request's random number breaks ties.
func (t *targets) leastLoaded(eligible []*target, random uint64) *target {
	var chosen *target
	var lowestLoad int
	var highestRank uint64
	for _, e := range eligible {
		load := e.inFlight + e.loadPenalty()
		if t.location.isRemote(e) {
			load += remoteLoadPenalty
		}
		rank := endpoint.MixHash(e.hash ^ random)
		if chosen == nil || load < lowestLoad || load == lowestLoad && rank > highestRank {
			chosen, lowestLoad, highestRank = e, load, rank
		}
	}
	return chosen
}

// chooseEngineLocked returns the engine with the lowest cost according to placement.Choose, which is the predicted time
// to the first event plus penalties, and adds the prompt to the engine's backlog and cache.
func (t *targets) chooseEngineLocked(now time.Time, eligible []*target, j *job) *target {
	affinityHash := j.random
	if j.demand.LastSharedPart() != "" {
		affinityHash = xxhash.Sum64String(j.demand.LastSharedPart())
	}
	candidates := make([]placement.Candidate, 0, len(eligible))
	for _, e := range eligible {
		candidates = append(candidates, placement.Candidate{
			Hash: endpoint.MixHash(e.hash ^ affinityHash), Wait: e.backlog.Wait(now), CachedTokens: e.cache.CachedTokens(now, j.demand.Parts), InFlight: e.inFlight + e.loadPenalty(),
			Slowness: e.slowness, IsRemote: t.location.isRemote(e),
		})
	}
	rate := t.readRateLocked(j.service)
	i, unreadTokens, _ := placement.Choose(candidates, placement.Prompt{
		Tokens: j.demand.PromptTokens, SharedTokens: j.demand.SharedTokens(), Objective: j.route.Target,
	}, rate)
	chosen := eligible[i]
	j.unreadTokens, j.engineWait = unreadTokens, candidates[i].Wait
	j.readTime = chosen.slowness.Scale(rate.ReadingTime(unreadTokens))
	j.dispatch = chosen.backlog.AddDispatch(now, j.readTime)
	j.server.announcePlacement(chosen, j)
	chosen.cache.AddParts(now, j.demand.Parts)
	return chosen
}

func (t *targets) readRateLocked(service string) *placement.Rate {
	if t.rates == nil {
		t.rates = make(map[string]*placement.Rate)
	}
	if t.rates[service] == nil {
		t.rates[service] = &placement.Rate{}
	}
	return t.rates[service]
}

// finishPrompt removes a prompt from the engine's predicted backlog after the first event of its answer, or after an
// attempt that ended without an event. The time to the first event updates the service's read rate and the engine's
// slowness.
func (t *targets) finishPrompt(e *target, j *job, answered bool) {
	if j.dispatch == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if answered {
		observation := placement.Observation{Tokens: j.unreadTokens, FirstEventLatency: now.Sub(j.dispatch.SentAt()), PredictedWait: j.engineWait}
		t.readRateLocked(j.service).Observe(observation, &e.slowness)
	}
	e.backlog.RemoveDispatch(now, j.dispatch, answered)
	j.dispatch = nil
}

// isEligible reports whether the request may be sent to an endpoint.
func (j *job) isEligible(now time.Time, e *target, includeBlocked bool) bool {
	if e.isReplaced || !j.bound.allows(&e.Endpoint) || !includeBlocked && now.Before(e.blockedUntil) {
		return false
	}
	switch e.notices.Admission(now, e.inFlight) {
	case endpoint.AdmissionClosed:
		return false
	case endpoint.AdmissionLastResort:
		if !includeBlocked {
			return false
		}
	}
	for _, tried := range j.tried {
		if tried == e {
			return false
		}
	}
	return true
}

// release removes a request from those in flight at an endpoint and updates the endpoint's state from the attempt's
// result.
func (t *targets) release(e *target, j *job, startedAt time.Time, result attemptResult) {
	j.pass.End()
	t.mu.Lock()
	defer t.mu.Unlock()
	e.inFlight--
	t.recordRoomLocked(startedAt, time.Now(), e, result)
	t.recordExposureLocked(e, j, startedAt, result)
	t.updateStateLocked(e, startedAt, result, j.through == "")
}

// updateStateLocked updates the endpoint's state from the result of an exchange. isDirect reports whether this router's own
// connections were used.
func (t *targets) updateStateLocked(e *target, startedAt time.Time, result attemptResult, isDirect bool) {
	if result.responded && result.verdict != verdict.NotRun {
		e.notices.RecordAccepted(startedAt)
	}
	switch {
	case result.misdirected:
		e.isReplaced = true
		e.transport.CloseIdleConnections()
	case isDirect && result.notSent && t.reachLocked(e.Service).IsCutOff():
		// The cut is this router's own.
	case result.endpointFailed:
		e.failures++
		backoff := initialBackoff << min(e.failures-1, 4)
		e.blockedUntil = time.Now().Add(min(backoff, maxBackoff))
		if isDirect && !errors.Is(result.cause, syscall.ECONNREFUSED) {
			// Connections that are open may live on while new ones are refused.
			e.transport.CloseIdleConnections()
		}
	case result.cause == nil:
		e.failures, e.blockedUntil = 0, time.Time{}
	}
}
