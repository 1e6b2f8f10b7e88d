package endpoint

import (
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// simRouter is a simulated router that takes the decisions of this package as the dispatcher does.
type simRouter struct {
	sim        *simulation
	region     int
	peers      []*simPeer
	budget     RetryBudget
	quarantine Quarantine
	queue      Queue[*simRequest]
	lastIndex  int
}

// simPeer is a simulated engine as seen by one router.
type simPeer struct {
	engine                           *simEngine
	hash                             uint64
	health                           Health
	limit                            Limit
	attempts                         []*simAttempt
	interrupted                      []ledger.Fingerprint
	reportedOwnLoad, measuredOwnLoad int
}

func (p *simPeer) inFlight() int { return len(p.attempts) }

func newSimRouter(s *simulation, region int) *simRouter {
	r := &simRouter{sim: s, region: region}
	if s.variant.hasUnlimitedBudget {
		r.budget.Burst = 1e9
	}
	for i, e := range s.engines {
		r.peers = append(r.peers, &simPeer{engine: e, limit: Limit{Maximum: simEngineCapacity}, hash: HashName(string(rune('a' + i)))})
	}
	return r
}

func (r *simRouter) tier(p *simPeer) Tier {
	if p.engine.region == r.region {
		return SameZone
	}
	return OtherRegion
}

func (r *simRouter) networkDelay(p *simPeer) time.Duration {
	if r.tier(p) == SameZone {
		return simSameRegionDelay
	}
	return simOtherRegionDelay
}

// placeRequest starts an attempt of a request or queues the request until an engine has room.
func (r *simRouter) placeRequest(q *simRequest) {
	if r.quarantine.QuarantineTimeLeft(r.sim.currentTime(), q.fingerprint) > 0 {
		if !q.isPoison {
			r.sim.results.refusedInnocent++
		}
		r.sim.countFailure(q)
		return
	}
	hasAdmittedPeer := slices.ContainsFunc(r.peers, func(p *simPeer) bool { return !p.health.Ejected() })
	if !hasAdmittedPeer {
		r.sim.countFailure(q)
		return
	}
	if r.queue.Len() == 0 {
		if p := r.choosePeer(q); p != nil {
			r.startAttempt(q, p)
			return
		}
	}
	now := r.sim.currentTime()
	entry, dropped, reason := r.queue.Push(now, Waiter{Team: q.team, Deadline: now.Add(simMaxQueueWait)}, q)
	if dropped != nil {
		r.sim.countFailure(dropped.Value)
	}
	if reason != "" {
		r.sim.countFailure(q)
	}
	if entry != nil {
		r.sim.schedule(simMaxQueueWait, func() {
			if r.queue.Remove(entry) {
				r.sim.countFailure(q)
			}
		})
	}
}

func (r *simRouter) choosePeer(q *simRequest) *simPeer {
	var peers []*simPeer
	var candidates []Candidate
	for _, tried := range [][]*simPeer{q.triedPeers, nil} {
		peers, candidates = r.candidates(q, tried)
		if len(peers) > 0 {
			break
		}
	}
	i, ok := r.choose(q, candidates)
	if !ok {
		return nil
	}
	return peers[i]
}

func (r *simRouter) candidates(q *simRequest, excluded []*simPeer) (peers []*simPeer, candidates []Candidate) {
	suspect := r.quarantine.IsSuspect(r.sim.currentTime(), q.fingerprint)
	for _, p := range r.peers {
		if !p.health.Available() || slices.Contains(excluded, p) || suspect && r.hasSuspect(p) {
			continue
		}
		c := Candidate{
			NameHash: p.hash, Tier: r.tier(p), InFlight: p.inFlight(), ReportedLoad: p.engine.reportedLoad,
			ReportedOwnLoad: p.reportedOwnLoad, Limit: p.limit.Value(), Capacity: simEngineCapacity,
			SlowStartShare: p.health.SlowStartShare(r.sim.currentTime()),
		}
		if r.sim.variant.hasFixedLimit {
			c.Limit = simEngineCapacity
		}
		peers, candidates = append(peers, p), append(candidates, c)
	}
	return peers, candidates
}

func (r *simRouter) choose(q *simRequest, candidates []Candidate) (int, bool) {
	switch r.sim.variant.choice {
	case byRoundRobin:
		for range candidates {
			r.lastIndex++
			if i := r.lastIndex % len(candidates); candidates[i].HasRoom() {
				return i, true
			}
		}
		return 0, false
	case byReportedLoad:
		return lowestValue(candidates, func(c *Candidate) float64 { return float64(c.ReportedLoad) })
	case byLowestScore:
		return lowestValue(candidates, r.sim.variant.policy.score)
	default:
		prefix := q.prefix
		if r.sim.variant.hasNoAffinity {
			prefix = 0
		}
		return r.sim.variant.policy.Choose(candidates, prefix, r.sim.random)
	}
}

// lowestValue returns the index of the candidate with room that has the lowest value, or false if none has room.
func lowestValue(candidates []Candidate, value func(*Candidate) float64) (int, bool) {
	best := -1
	for i := range candidates {
		if c := &candidates[i]; c.HasRoom() && (best < 0 || value(c) < value(&candidates[best])) {
			best = i
		}
	}
	return best, best >= 0
}

func (r *simRouter) startAttempt(q *simRequest, p *simPeer) {
	s := r.sim
	a := &simAttempt{request: q, router: r, peer: p, startedAt: s.now}
	p.attempts = append(p.attempts, a)
	q.triedPeers = append(q.triedPeers, p)
	q.failure.Attempts++
	s.results.attempts++
	if r.tier(p) == OtherRegion {
		s.results.crossRegionAttempts++
	}
	s.schedule(r.networkDelay(p), func() {
		if !a.isDone {
			p.engine.receive(a)
		}
	})
	s.schedule(simFirstTokenTimeout, func() {
		if !a.isDone && !a.hasFirstToken {
			p.engine.release(a)
			r.handleFailure(a, verdict.MayHaveRun, verdict.EndpointUnresponsive, Unresponsive)
		}
	})
}

func (r *simRouter) handleFirstToken(a *simAttempt) {
	a.hasFirstToken = true
	a.request.failure.ResponseStarted = true
	s := r.sim
	if !s.variant.hasFixedLimit {
		a.peer.limit.Observe(s.currentTime(), s.now+r.networkDelay(a.peer)-a.startedAt, a.peer.inFlight())
	}
	firstTokenLatency := s.now + r.networkDelay(a.peer) - a.request.arrivedAt
	s.results.firstTokens = append(s.results.firstTokens, firstTokenLatency)
}

func (r *simRouter) handleCompletion(a *simAttempt) {
	r.endAttempt(a)
	a.peer.health.Observe(r.sim.currentTime(), &Answered{})
	r.quarantine.RecordCompletion(a.request.fingerprint)
	// A response is good if its first token arrived in time; incomplete responses never count.
	r.sim.results.completed++
	if a.request.firstTokenLatency(r, a) <= simGoodLatency {
		r.sim.results.goodResponses++
	}
	r.dispatchWaiting()
}

// firstTokenLatency returns the time from the arrival of the request to its first token.
func (q *simRequest) firstTokenLatency(r *simRouter, a *simAttempt) time.Duration {
	decodeTime := time.Duration(float64(q.tokens) * float64(simTokenTime) * a.peer.engine.slowness)
	return r.sim.now - decodeTime + r.networkDelay(a.peer) - q.arrivedAt
}

func (r *simRouter) endAttempt(a *simAttempt) {
	a.isDone = true
	if i := slices.Index(a.peer.attempts, a); i >= 0 {
		a.peer.attempts = slices.Delete(a.peer.attempts, i, i+1)
	}
}

func (r *simRouter) handleFailure(a *simAttempt, v verdict.Verdict, reason verdict.Reason, kind FailureKind) {
	s, q := r.sim, a.request
	r.endAttempt(a)
	switch {
	case kind != "":
		if kind == Interrupted {
			a.peer.interrupted = append(a.peer.interrupted, q.fingerprint)
		}
		r.observe(a.peer, &Failed{Kind: kind, StartedAt: start().Add(a.startedAt)})
	case !s.variant.hasFixedLimit:
		a.peer.limit.ObserveRefusal(s.currentTime(), s.now-a.startedAt)
	}
	if v == verdict.MayHaveRun {
		q.failure.Verdict = v
	}
	q.failure.Reason, q.failure.Remaining = reason, time.Minute
	switch d := Decide(q.failure, &r.budget, s.random.Float64()).(type) {
	case *Retry:
		s.results.retries++
		s.schedule(d.Backoff, func() { r.placeRequest(q) })
	default:
		s.countFailure(q)
	}
	r.dispatchWaiting()
}

// observe applies an observation to an engine's health and starts a probe if the resulting action asks for one.
func (r *simRouter) observe(p *simPeer, o Observation) {
	switch p.health.Observe(r.sim.currentTime(), o).(type) {
	case *Probe:
		r.probe(p)
	case *Eject:
		r.recordCrash(p)
	case *Admit:
		p.interrupted = nil
	}
	if p.health.Ejected() && r.sim.now < simDuration {
		r.sim.schedule(p.health.TimeToNextProbe(r.sim.currentTime()), func() {
			if p.health.StartDueProbe(r.sim.currentTime()) {
				r.probe(p)
			}
		})
	}
	r.dispatchWaiting()
}

// recordCrash applies the crash of an engine to this router's quarantine and, after simCrashNoticeDelay, to the other
// routers' quarantines.
func (r *simRouter) recordCrash(p *simPeer) {
	s, crash := r.sim, Crash{Endpoint: fmt.Sprint(p.hash), InProgress: p.interrupted}
	if s.variant.crashSources == crashesOfNone {
		return
	}
	r.quarantine.RecordCrash(s.currentTime(), crash)
	crash.Reporter.Instance = fmt.Sprint(slices.Index(s.routers, r))
	for _, otherRouter := range s.routers {
		if otherRouter != r && s.variant.crashSources == crashesOfAllRouters {
			s.schedule(simCrashNoticeDelay, func() { otherRouter.quarantine.RecordCrash(s.currentTime(), crash) })
		}
	}
}

// hasSuspect reports whether this router has a suspect request in flight at an engine.
func (r *simRouter) hasSuspect(p *simPeer) bool {
	return slices.ContainsFunc(p.attempts, func(a *simAttempt) bool {
		return r.quarantine.IsSuspect(r.sim.currentTime(), a.request.fingerprint)
	})
}

func (r *simRouter) probe(p *simPeer) {
	wait := 2 * r.networkDelay(p)
	if p.engine.isUnresponsive {
		wait = simProbeTimeout
	}
	r.sim.schedule(wait, func() { r.observe(p, &Probed{IsAlive: !p.engine.isDead && !p.engine.isUnresponsive}) })
}

// dispatchWaiting starts attempts of queued requests while an engine has room.
func (r *simRouter) dispatchWaiting() {
	for r.queue.Len() > 0 {
		_, candidates := r.candidates(&simRequest{}, nil)
		if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.HasRoom() }) {
			return
		}
		entry, ok := r.queue.Pop(r.sim.currentTime())
		if !ok {
			return
		}
		if p := r.choosePeer(entry.Value); p != nil {
			r.startAttempt(entry.Value, p)
			continue
		}
		r.queue.Requeue(entry)
		return
	}
}
