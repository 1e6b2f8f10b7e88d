package endpoint

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// The simulated fleet: engines with a fixed number of slots and a small prefix cache.
const (
	simRegions     = 3
	simRouters     = 6
	simTeams       = 10
	simPrefixes    = 120
	simSlots       = 16
	simCapacity    = 32
	simCache       = 24
	simEngineQueue = 64
	simPrefill     = 250 * time.Millisecond
	simCached      = 30 * time.Millisecond
	simToken       = 20 * time.Millisecond
	simTokens      = 60
	simNear        = 200 * time.Microsecond
	simFar         = 8 * time.Millisecond
	simReport      = time.Second
	simSilence     = 3 * time.Second
	simProbe       = time.Second
	simQueueWait   = 500 * time.Millisecond
	simDuration    = 20 * time.Second
	simFaultsAt    = 5 * time.Second
	// Poison crashes an engine after simPoison, which then restarts; its caller sends it again after simResend.
	simPoisonEvery = 10 * time.Second
	simPoison      = 100 * time.Millisecond
	simRestart     = 3 * time.Second
	simResend      = time.Second
	simPoisonSeeds = 5
	// simShare is the time until the other routers have read of a crash.
	simShare = 200 * time.Millisecond
	// simGood is the time to the first token within which an answer counts as good.
	simGood = 2 * time.Second
)

// choiceKind is a way to choose an endpoint.
type choiceKind uint8

const (
	byPolicy choiceKind = iota
	byRoundRobin
	byReportedLoad
	// byOwnLoad takes the least of all scores instead of two random ones.
	byOwnLoad
)

// quarantineKind says of which crashes a router knows.
type quarantineKind uint8

const (
	ofAllRouters quarantineKind = iota
	ofOneRouter
	ofNone
)

// variant is a row of the table.
type variant struct {
	name       string
	choice     choiceKind
	policy     Policy
	noBudget   bool
	noAffinity bool
	fixedLimit bool
	// poison sends a request that crashes engines, again and again; quarantine says which crashes routers count.
	poison     bool
	quarantine quarantineKind
}

// simulation runs one variant on a clock of its own.
type simulation struct {
	variant variant
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	engines []*simEngine
	routers []*simRouter
	report  simReportCard
}

// simReportCard is what one run measured.
type simReportCard struct {
	requests, good, failed   int
	attempts, retries        int
	hits, starts, far, calls int
	// crashes are those by poison, held the innocent requests that were refused for them.
	crashes, held int
	firstTokens   []time.Duration
}

type simEvent struct {
	at  time.Duration
	do  func()
	seq int
}

type eventHeap struct {
	list []simEvent
	seq  int
}

func (h *eventHeap) Len() int { return len(h.list) }
func (h *eventHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (h *eventHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventHeap) Push(x any)    { h.list = append(h.list, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

func (s *simulation) after(wait time.Duration, do func()) {
	s.events.seq++
	heap.Push(&s.events, simEvent{s.now + wait, do, s.events.seq})
}

func (s *simulation) time() time.Time { return start().Add(s.now) }

// simEngine is an endpoint.
type simEngine struct {
	sim          *simulation
	region       int
	dead, silent bool
	slow         float64
	running      int
	waiting      []*simAttempt
	cache        []uint64
	served       int
	// reported and queued are of one report ago, measured and waited of the newest measurement.
	reported, measured int
	queued, waited     int
}

// simAttempt is one attempt of a request at an engine.
type simAttempt struct {
	request *simRequest
	router  *simRouter
	peer    *simPeer
	begun   time.Duration
	running bool
	done    bool
	first   bool
}

func (e *simEngine) receive(a *simAttempt) {
	switch {
	case e.dead:
		a.router.fail(a, verdict.NotRun, verdict.EndpointFailed, Unreachable)
	case e.silent:
	case len(e.waiting) >= simEngineQueue:
		a.router.fail(a, verdict.NotRun, verdict.EndpointRefused, "")
	default:
		e.waiting = append(e.waiting, a)
		e.next()
	}
}

func (e *simEngine) next() {
	for e.running < simSlots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !a.done {
			e.start(a)
		}
	}
}

func (e *simEngine) start(a *simAttempt) {
	e.running++
	e.served++
	a.running = true
	e.sim.report.starts++
	if a.request.poison {
		e.sim.after(simPoison, func() { e.sim.crash(e, a) })
		return
	}
	prefill := simPrefill
	if i := slices.Index(e.cache, a.request.prefix); i >= 0 {
		e.sim.report.hits++
		prefill = simCached
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, a.request.prefix)
	if len(e.cache) > simCache {
		e.cache = e.cache[1:]
	}
	e.sim.after(time.Duration(float64(prefill)*e.slow), func() {
		if a.done {
			return
		}
		a.router.firstToken(a)
		e.sim.after(time.Duration(float64(a.request.tokens)*float64(simToken)*e.slow), func() {
			if !a.done {
				e.release(a)
				a.router.complete(a)
			}
		})
	})
}

// release frees what an attempt holds.
func (e *simEngine) release(a *simAttempt) {
	a.done = true
	if a.running {
		a.running = false
		e.running--
		e.next()
	}
}

// die breaks everything that is in progress.
func (s *simulation) die(e *simEngine) {
	e.dead = true
	e.waiting = nil
	for _, r := range s.routers {
		for _, p := range r.peers {
			if p.engine == e {
				for _, a := range slices.Clone(p.attempts) {
					r.fail(a, verdict.MayHaveRun, verdict.EndpointFailed, Broken)
				}
			}
		}
	}
}

// crash ends an engine by a poison request and starts it again.
func (s *simulation) crash(e *simEngine, a *simAttempt) {
	if a.done {
		return
	}
	s.report.crashes++
	s.die(e)
	s.after(simRestart, func() { e.dead, e.running, e.cache = false, 0, nil })
}

// lose counts a request that failed.
func (s *simulation) lose(q *simRequest) {
	if !q.poison {
		s.report.failed++
	}
}

// poison sends a request that crashes engines through one router after the other until none takes it.
func (s *simulation) poison(q simRequest, sends int) {
	if sends < 2*simRouters && s.now < simDuration {
		q.failure, q.tried = Failure{Verdict: verdict.NotRun, Idempotent: true, Limit: 3}, nil
		s.routers[sends%simRouters].place(&q)
		s.after(simResend, func() { s.poison(q, sends+1) })
	}
}

// simRequest is a caller's request.
type simRequest struct {
	fingerprint ledger.Fingerprint
	poison      bool
	team        string
	prefix      uint64
	tokens      int
	arrived     time.Duration
	failure     Failure
	tried       []*simPeer
}

func (s *simulation) arrive(gap time.Duration) {
	if s.now >= simDuration {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()*float64(gap)), func() { s.arrive(gap) })
	s.report.requests++
	skewed := func(n int) int { return int(float64(n) * s.random.Float64() * s.random.Float64()) }
	r := s.routers[s.random.IntN(len(s.routers))]
	r.budget.Deposit()
	r.place(&simRequest{
		fingerprint: ledger.Fingerprint(s.report.requests),
		team:        string(rune('a' + skewed(simTeams))), prefix: Mix(uint64(skewed(simPrefixes)) + 1),
		tokens: 1 + int(s.random.ExpFloat64()*simTokens), arrived: s.now,
		failure: Failure{Verdict: verdict.NotRun, Idempotent: true, Limit: 3},
	})
}

// run simulates so many runners at a load given in parts of their capacity.
func (s *simulation) run(runners int, load float64, faults bool) simReportCard {
	for i := range runners {
		s.engines = append(s.engines, &simEngine{sim: s, region: i % simRegions, slow: 1})
	}
	for i := range simRouters {
		s.routers = append(s.routers, newSimRouter(s, i%simRegions))
	}
	perRequest := float64(simPrefill+simTokens*simToken) / simSlots / float64(runners)
	s.after(0, func() { s.arrive(time.Duration(perRequest / load)) })
	s.after(simReport, s.measure)
	for at := simPoisonEvery / 5; s.variant.poison && at < simDuration; at += simPoisonEvery {
		s.after(at, func() { s.poison(simRequest{poison: true, fingerprint: ^ledger.Fingerprint(at)}, 0) })
	}
	if faults {
		s.after(simFaultsAt, func() {
			for _, e := range s.engines[:runners/3] {
				s.die(e)
			}
			s.engines[runners/3].silent = true
			s.engines[runners/3+1].slow = 5
		})
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s.report
}

// measure publishes the loads of one period ago.
func (s *simulation) measure() {
	for _, e := range s.engines {
		e.reported, e.measured = e.measured, e.running+len(e.waiting)
		e.queued, e.waited = e.waited, len(e.waiting)
	}
	for _, r := range s.routers {
		for _, p := range r.peers {
			p.ownReported, p.ownMeasured = p.ownMeasured, p.inFlight()
			if p.engine.queued == 0 {
				p.limit.Grow(p.inFlight())
			}
		}
		r.wake()
	}
	if s.now < simDuration {
		s.after(simReport, s.measure)
	}
}
