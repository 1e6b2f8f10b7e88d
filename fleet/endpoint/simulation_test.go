package endpoint

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Parameters of the simulated fleet: its engines have a fixed number of slots and a small prefix cache.
const (
	simRegions           = 3
	simRouters           = 6
	simTeams             = 10
	simPrefixCount       = 120
	simEngineSlots       = 16
	simEngineCapacity    = 32
	simCachedPrefixes    = 24
	simEngineQueueLength = 64
	simPrefillTime       = 250 * time.Millisecond
	simCachedPrefillTime = 30 * time.Millisecond
	simTokenTime         = 20 * time.Millisecond
	simMeanTokens        = 60
	simSameRegionDelay   = 200 * time.Microsecond
	simOtherRegionDelay  = 8 * time.Millisecond
	simReportInterval    = time.Second
	simFirstTokenTimeout = 3 * time.Second
	simProbeTimeout      = time.Second
	simMaxQueueWait      = 500 * time.Millisecond
	simDuration          = 20 * time.Second
	simFaultTime         = 5 * time.Second
	// A poison request crashes its engine after simPoisonDelay; the engine is back after simRestartTime, and the
	// caller sends the request again after simResendInterval.
	simPoisonInterval = 10 * time.Second
	simPoisonDelay    = 100 * time.Millisecond
	simRestartTime    = 3 * time.Second
	simResendInterval = time.Second
	simPoisonSeeds    = 5
	// simCrashNoticeDelay is the time until the other routers know of a crash.
	simCrashNoticeDelay = 200 * time.Millisecond
	// simGoodLatency is the maximum time to the first token of a good response.
	simGoodLatency = 2 * time.Second
)

// choiceKind is a method of choosing an endpoint.
type choiceKind uint8

const (
	byPolicy choiceKind = iota
	byRoundRobin
	byReportedLoad
	// byLowestScore takes the lowest score of all candidates instead of sampling two at random.
	byLowestScore
)

// crashSourceKind selects the crashes that a router's quarantine counts by the routers that saw them.
type crashSourceKind uint8

const (
	crashesOfAllRouters crashSourceKind = iota
	crashesOfOneRouter
	crashesOfNone
)

// variant is one row of the results table: a combination of policies to simulate.
type variant struct {
	name               string
	choice             choiceKind
	policy             Policy
	hasUnlimitedBudget bool
	hasNoAffinity      bool
	hasFixedLimit      bool
	// hasPoison adds requests that crash every engine that runs them and that are sent repeatedly; crashSources selects
	// the crashes that the routers count.
	hasPoison    bool
	crashSources crashSourceKind
}

// simulation runs one variant on a simulated clock.
type simulation struct {
	variant variant
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	engines []*simEngine
	routers []*simRouter
	results simResults
}

// simResults holds the measurements of one simulation run.
type simResults struct {
	requests, goodResponses, failed                   int
	attempts, retries                                 int
	cacheHits, starts, crossRegionAttempts, completed int
	// crashes counts the crashes caused by poison requests; refusedInnocent counts the harmless requests that the
	// quarantine refused.
	crashes, refusedInnocent int
	firstTokens              []time.Duration
}

type simEvent struct {
	at  time.Duration
	run func()
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

func (s *simulation) schedule(wait time.Duration, run func()) {
	s.events.seq++
	heap.Push(&s.events, simEvent{s.now + wait, run, s.events.seq})
}

func (s *simulation) currentTime() time.Time { return start().Add(s.now) }

// simEngine is a simulated endpoint.
type simEngine struct {
	sim                    *simulation
	region                 int
	isDead, isUnresponsive bool
	slowness               float64
	running                int
	waiting                []*simAttempt
	cachedPrefixes         []uint64
	served                 int
	// reportedLoad and reportedQueue are the values of the previous measurement, which routers see; measuredLoad and
	// measuredQueue are those of the newest measurement.
	reportedLoad, measuredLoad   int
	reportedQueue, measuredQueue int
}

// simAttempt is one attempt of a request at a simulated engine.
type simAttempt struct {
	request       *simRequest
	router        *simRouter
	peer          *simPeer
	startedAt     time.Duration
	isRunning     bool
	isDone        bool
	hasFirstToken bool
}

func (e *simEngine) receive(a *simAttempt) {
	switch {
	case e.isDead:
		a.router.handleFailure(a, verdict.NotRun, verdict.EndpointFailed, Unreachable)
	case e.isUnresponsive:
	case len(e.waiting) >= simEngineQueueLength:
		a.router.handleFailure(a, verdict.NotRun, verdict.EndpointRefused, "")
	default:
		e.waiting = append(e.waiting, a)
		e.startWaiting()
	}
}

func (e *simEngine) startWaiting() {
	for e.running < simEngineSlots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !a.isDone {
			e.start(a)
		}
	}
}

func (e *simEngine) start(a *simAttempt) {
	e.running++
	e.served++
	a.isRunning = true
	e.sim.results.starts++
	if a.request.isPoison {
		e.sim.schedule(simPoisonDelay, func() { e.sim.crashByPoison(e, a) })
		return
	}
	prefill := simPrefillTime
	if i := slices.Index(e.cachedPrefixes, a.request.prefix); i >= 0 {
		e.sim.results.cacheHits++
		prefill = simCachedPrefillTime
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, i, i+1)
	}
	e.cachedPrefixes = append(e.cachedPrefixes, a.request.prefix)
	if len(e.cachedPrefixes) > simCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	e.sim.schedule(time.Duration(float64(prefill)*e.slowness), func() {
		if a.isDone {
			return
		}
		a.router.handleFirstToken(a)
		e.sim.schedule(time.Duration(float64(a.request.tokens)*float64(simTokenTime)*e.slowness), func() {
			if !a.isDone {
				e.release(a)
				a.router.handleCompletion(a)
			}
		})
	})
}

// release ends an attempt and frees its slot at the engine.
func (e *simEngine) release(a *simAttempt) {
	a.isDone = true
	if a.isRunning {
		a.isRunning = false
		e.running--
		e.startWaiting()
	}
}

// crashEngine crashes an engine and fails all attempts in flight there.
func (s *simulation) crashEngine(e *simEngine) {
	e.isDead = true
	e.waiting = nil
	for _, r := range s.routers {
		for _, p := range r.peers {
			if p.engine == e {
				for _, a := range slices.Clone(p.attempts) {
					r.handleFailure(a, verdict.MayHaveRun, verdict.EndpointFailed, Interrupted)
				}
			}
		}
	}
}

// crashByPoison crashes an engine because of a poison request and restarts it after simRestartTime.
func (s *simulation) crashByPoison(e *simEngine, a *simAttempt) {
	if a.isDone {
		return
	}
	s.results.crashes++
	s.crashEngine(e)
	s.schedule(simRestartTime, func() { e.isDead, e.running, e.cachedPrefixes = false, 0, nil })
}

// countFailure counts a failed request, unless it is a poison request.
func (s *simulation) countFailure(q *simRequest) {
	if !q.isPoison {
		s.results.failed++
	}
}

// sendPoison sends a poison request through one router after the other, at most twice through each.
func (s *simulation) sendPoison(q simRequest, sends int) {
	if sends < 2*simRouters && s.now < simDuration {
		q.failure, q.triedPeers = Failure{Verdict: verdict.NotRun, Idempotent: true, MaxAttempts: 3}, nil
		s.routers[sends%simRouters].placeRequest(&q)
		s.schedule(simResendInterval, func() { s.sendPoison(q, sends+1) })
	}
}

// simRequest is a caller's request in the simulation.
type simRequest struct {
	fingerprint ledger.Fingerprint
	isPoison    bool
	team        string
	prefix      uint64
	tokens      int
	arrivedAt   time.Duration
	failure     Failure
	triedPeers  []*simPeer
}

func (s *simulation) scheduleArrivals(meanGap time.Duration) {
	if s.now >= simDuration {
		return
	}
	s.schedule(time.Duration(s.random.ExpFloat64()*float64(meanGap)), func() { s.scheduleArrivals(meanGap) })
	s.results.requests++
	skewed := func(n int) int { return int(float64(n) * s.random.Float64() * s.random.Float64()) }
	r := s.routers[s.random.IntN(len(s.routers))]
	r.budget.Deposit()
	r.placeRequest(&simRequest{
		fingerprint: ledger.Fingerprint(s.results.requests),
		team:        string(rune('a' + skewed(simTeams))), prefix: MixHash(uint64(skewed(simPrefixCount)) + 1),
		tokens: 1 + int(s.random.ExpFloat64()*simMeanTokens), arrivedAt: s.now,
		failure: Failure{Verdict: verdict.NotRun, Idempotent: true, MaxAttempts: 3},
	})
}

// run simulates a fleet of engineCount engines at a load given as a fraction of the fleet's capacity.
func (s *simulation) run(engineCount int, load float64, faults bool) simResults {
	for i := range engineCount {
		s.engines = append(s.engines, &simEngine{sim: s, region: i % simRegions, slowness: 1})
	}
	for i := range simRouters {
		s.routers = append(s.routers, newSimRouter(s, i%simRegions))
	}
	engineTime := float64(simPrefillTime+simMeanTokens*simTokenTime) / simEngineSlots / float64(engineCount)
	s.schedule(0, func() { s.scheduleArrivals(time.Duration(engineTime / load)) })
	s.schedule(simReportInterval, s.measure)
	for at := simPoisonInterval / 5; s.variant.hasPoison && at < simDuration; at += simPoisonInterval {
		s.schedule(at, func() { s.sendPoison(simRequest{isPoison: true, fingerprint: ^ledger.Fingerprint(at)}, 0) })
	}
	if faults {
		s.schedule(simFaultTime, func() {
			for _, e := range s.engines[:engineCount/3] {
				s.crashEngine(e)
			}
			s.engines[engineCount/3].isUnresponsive = true
			s.engines[engineCount/3+1].slowness = 5
		})
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s.results
}

// measure publishes the loads of the previous measurement and takes a new one.
func (s *simulation) measure() {
	for _, e := range s.engines {
		e.reportedLoad, e.measuredLoad = e.measuredLoad, e.running+len(e.waiting)
		e.reportedQueue, e.measuredQueue = e.measuredQueue, len(e.waiting)
	}
	for _, r := range s.routers {
		for _, p := range r.peers {
			p.reportedOwnLoad, p.measuredOwnLoad = p.measuredOwnLoad, p.inFlight()
			if p.engine.reportedQueue == 0 {
				p.limit.Raise(p.inFlight())
			}
		}
		r.dispatchWaiting()
	}
	if s.now < simDuration {
		s.schedule(simReportInterval, s.measure)
	}
}
