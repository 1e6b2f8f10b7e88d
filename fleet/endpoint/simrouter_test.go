package endpoint

import (
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// simRouter makes the decisions of this package as the dispatcher does.
type simRouter struct {
	sim        *simulation
	region     int
	peers      []*simPeer
	budget     RetryBudget
	quarantine Quarantine
	queue      Queue[*simRequest]
	turn       int
}

// simPeer is an engine as a router sees it.
type simPeer struct {
	engine                   *simEngine
	hash                     uint64
	health                   Health
	limit                    Limit
	attempts                 []*simAttempt
	broken                   []ledger.Fingerprint
	ownReported, ownMeasured int
}

func (p *simPeer) inFlight() int { return len(p.attempts) }

func newSimRouter(s *simulation, region int) *simRouter {
	r := &simRouter{sim: s, region: region}
	if s.variant.noBudget {
		r.budget.Burst = 1e9
	}
	for i, e := range s.engines {
		r.peers = append(r.peers, &simPeer{engine: e, limit: Limit{Most: simCapacity}, hash: HashName(string(rune('a' + i)))})
	}
	return r
}

func (r *simRouter) tier(p *simPeer) Tier {
	if p.engine.region == r.region {
		return SameZone
	}
	return OtherRegion
}

func (r *simRouter) way(p *simPeer) time.Duration {
	if r.tier(p) == SameZone {
		return simNear
	}
	return simFar
}

// place sends a request or lets it wait.
func (r *simRouter) place(q *simRequest) {
	if r.quarantine.Held(r.sim.time(), q.fingerprint) > 0 {
		if !q.poison {
			r.sim.report.held++
		}
		r.sim.lose(q)
		return
	}
	hopeful := slices.ContainsFunc(r.peers, func(p *simPeer) bool { return !p.health.Ejected() })
	if !hopeful {
		r.sim.lose(q)
		return
	}
	if r.queue.Len() == 0 {
		if p := r.pick(q); p != nil {
			r.send(q, p)
			return
		}
	}
	now := r.sim.time()
	entry, dropped, reason := r.queue.Push(now, Waiter{Team: q.team, Deadline: now.Add(simQueueWait)}, q)
	if dropped != nil {
		r.sim.lose(dropped.Value)
	}
	if reason != "" {
		r.sim.lose(q)
	}
	if entry != nil {
		r.sim.after(simQueueWait, func() {
			if r.queue.Remove(entry) {
				r.sim.lose(q)
			}
		})
	}
}

func (r *simRouter) pick(q *simRequest) *simPeer {
	var peers []*simPeer
	var candidates []Candidate
	for _, tried := range [][]*simPeer{q.tried, nil} {
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

func (r *simRouter) candidates(q *simRequest, without []*simPeer) (peers []*simPeer, candidates []Candidate) {
	suspect := r.quarantine.Suspect(r.sim.time(), q.fingerprint)
	for _, p := range r.peers {
		if !p.health.Available() || slices.Contains(without, p) || suspect && r.hasSuspect(p) {
			continue
		}
		c := Candidate{
			NameHash: p.hash, Tier: r.tier(p), InFlight: p.inFlight(), Reported: p.engine.reported,
			ReportedOwn: p.ownReported, Limit: p.limit.Value(), Capacity: simCapacity,
			Warmth: p.health.Warmth(r.sim.time()),
		}
		if r.sim.variant.fixedLimit {
			c.Limit = simCapacity
		}
		peers, candidates = append(peers, p), append(candidates, c)
	}
	return peers, candidates
}

func (r *simRouter) choose(q *simRequest, candidates []Candidate) (int, bool) {
	switch r.sim.variant.choice {
	case byRoundRobin:
		for range candidates {
			r.turn++
			if i := r.turn % len(candidates); candidates[i].HasRoom() {
				return i, true
			}
		}
		return 0, false
	case byReportedLoad:
		return least(candidates, func(c *Candidate) float64 { return float64(c.Reported) })
	case byOwnLoad:
		return least(candidates, r.sim.variant.policy.score)
	default:
		prefix := q.prefix
		if r.sim.variant.noAffinity {
			prefix = 0
		}
		return r.sim.variant.policy.Choose(candidates, prefix, r.sim.random)
	}
}

// least returns the candidate with room and the least value.
func least(candidates []Candidate, value func(*Candidate) float64) (int, bool) {
	best := -1
	for i := range candidates {
		if c := &candidates[i]; c.HasRoom() && (best < 0 || value(c) < value(&candidates[best])) {
			best = i
		}
	}
	return best, best >= 0
}

func (r *simRouter) send(q *simRequest, p *simPeer) {
	s := r.sim
	a := &simAttempt{request: q, router: r, peer: p, begun: s.now}
	p.attempts = append(p.attempts, a)
	q.tried = append(q.tried, p)
	q.failure.Attempts++
	s.report.attempts++
	if r.tier(p) == OtherRegion {
		s.report.far++
	}
	s.after(r.way(p), func() {
		if !a.done {
			p.engine.receive(a)
		}
	})
	s.after(simSilence, func() {
		if !a.done && !a.first {
			p.engine.release(a)
			r.fail(a, verdict.MayHaveRun, verdict.EndpointSilent, Silent)
		}
	})
}

func (r *simRouter) firstToken(a *simAttempt) {
	a.first = true
	a.request.failure.Started = true
	s := r.sim
	if !s.variant.fixedLimit {
		a.peer.limit.Observe(s.time(), s.now+r.way(a.peer)-a.begun, a.peer.inFlight())
	}
	waited := s.now + r.way(a.peer) - a.request.arrived
	s.report.firstTokens = append(s.report.firstTokens, waited)
}

func (r *simRouter) complete(a *simAttempt) {
	r.leave(a)
	a.peer.health.Observe(r.sim.time(), &Answered{})
	r.quarantine.Complete(a.request.fingerprint)
	// The first token's time decides; a broken answer is none.
	r.sim.report.calls++
	if a.request.firstWait(r, a) <= simGood {
		r.sim.report.good++
	}
	r.wake()
}

// firstWait is the time from the arrival of the request to the first token.
func (q *simRequest) firstWait(r *simRouter, a *simAttempt) time.Duration {
	decode := time.Duration(float64(q.tokens) * float64(simToken) * a.peer.engine.slow)
	return r.sim.now - decode + r.way(a.peer) - q.arrived
}

func (r *simRouter) leave(a *simAttempt) {
	a.done = true
	if i := slices.Index(a.peer.attempts, a); i >= 0 {
		a.peer.attempts = slices.Delete(a.peer.attempts, i, i+1)
	}
}

func (r *simRouter) fail(a *simAttempt, v verdict.Verdict, reason verdict.Reason, kind FailureKind) {
	s, q := r.sim, a.request
	r.leave(a)
	switch {
	case kind != "":
		if kind == Broken {
			a.peer.broken = append(a.peer.broken, q.fingerprint)
		}
		r.observe(a.peer, &Failed{Kind: kind, Begun: start().Add(a.begun)})
	case !s.variant.fixedLimit:
		a.peer.limit.Refused(s.time(), s.now-a.begun)
	}
	if v == verdict.MayHaveRun {
		q.failure.Verdict = v
	}
	q.failure.Reason, q.failure.Remaining = reason, time.Minute
	switch d := Decide(q.failure, &r.budget, s.random.Float64()).(type) {
	case *Retry:
		s.report.retries++
		s.after(d.After, func() { r.place(q) })
	default:
		s.lose(q)
	}
	r.wake()
}

// observe takes an observation in and probes the engine if that is what follows.
func (r *simRouter) observe(p *simPeer, o Observation) {
	switch p.health.Observe(r.sim.time(), o).(type) {
	case *Probe:
		r.probe(p)
	case *Eject:
		r.countCrash(p)
	case *Admit:
		p.broken = nil
	}
	if p.health.Ejected() && r.sim.now < simDuration {
		r.sim.after(p.health.NextProbe(r.sim.time()), func() {
			if p.health.ProbeDue(r.sim.time()) {
				r.probe(p)
			}
		})
	}
	r.wake()
}

// countCrash counts the crash of an engine here and, a little later, at the other routers.
func (r *simRouter) countCrash(p *simPeer) {
	s, crash := r.sim, Crash{Endpoint: fmt.Sprint(p.hash), InProgress: p.broken}
	if s.variant.quarantine == ofNone {
		return
	}
	r.quarantine.Crash(s.time(), crash)
	crash.Router.Instance = fmt.Sprint(slices.Index(s.routers, r))
	for _, other := range s.routers {
		if other != r && s.variant.quarantine == ofAllRouters {
			s.after(simShare, func() { other.quarantine.Crash(s.time(), crash) })
		}
	}
}

// hasSuspect reports whether a request that was in progress at a crash is in progress at an engine.
func (r *simRouter) hasSuspect(p *simPeer) bool {
	return slices.ContainsFunc(p.attempts, func(a *simAttempt) bool {
		return r.quarantine.Suspect(r.sim.time(), a.request.fingerprint)
	})
}

func (r *simRouter) probe(p *simPeer) {
	wait := 2 * r.way(p)
	if p.engine.silent {
		wait = simProbe
	}
	r.sim.after(wait, func() { r.observe(p, &Probed{Alive: !p.engine.dead && !p.engine.silent}) })
}

// wake sends waiting requests while there is room.
func (r *simRouter) wake() {
	for r.queue.Len() > 0 {
		_, candidates := r.candidates(&simRequest{}, nil)
		if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.HasRoom() }) {
			return
		}
		entry, ok := r.queue.Pop(r.sim.time())
		if !ok {
			return
		}
		if p := r.pick(entry.Value); p != nil {
			r.send(entry.Value, p)
			continue
		}
		r.queue.Return(entry)
		return
	}
}
