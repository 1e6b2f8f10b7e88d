package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/router/places"
)

// relaySimulation plays requests at routers of which some are cut off from all endpoints. The decisions are those of the routers; the
// network is simulated: a connection of a router that is cut off fails after dialTimeout, an exchange that is handed over takes no time
// to arrive.
type relaySimulation struct {
	random  *rand.Rand
	start   time.Time
	now     time.Time
	events  simulatedEvents
	routers []*simulatedRouter
	// carried is the largest number of exchanges that a router carried out at the same time.
	carried int
}

type simulatedRouter struct {
	server      *Server
	instance    string
	isCutOff    bool
	sent, taken int
}

// simulatedEvent is something that happens at a time.
type simulatedEvent struct {
	at  time.Time
	act func()
}

type simulatedEvents []simulatedEvent

func (e *simulatedEvents) Len() int           { return len(*e) }
func (e *simulatedEvents) Less(i, j int) bool { return (*e)[i].at.Before((*e)[j].at) }
func (e *simulatedEvents) Swap(i, j int)      { (*e)[i], (*e)[j] = (*e)[j], (*e)[i] }
func (e *simulatedEvents) Push(added any)     { *e = append(*e, added.(simulatedEvent)) } //nolint:forcetypeassert // only events
func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	simulatedZones     = 3
	simulatedRegions   = 2
	simulatedEndpoints = 8
	// simulatedRate is the number of requests a second at each router, simulatedCutTime the mean time that one takes.
	simulatedRate    = 38.0
	simulatedCutTime = 1500 * time.Millisecond
	// judgedFrom is the time after the begin of the cut from which requests count, simulatedEnd when the simulation ends.
	judgedFrom   = 3 * time.Second
	simulatedEnd = 10 * time.Second
)

func newRelaySimulation(seed uint64, routers int, isCutOff func(i, zone int) bool) *relaySimulation {
	s := &relaySimulation{random: rand.New(rand.NewPCG(seed, uint64(routers))), start: time.Now()}
	s.now = s.start
	logger, roster := &log.Logger{Handler: discard.New()}, &peer.Roster{}
	listed := make([]site.Endpoint, simulatedEndpoints)
	for i := range listed {
		listed[i] = site.Endpoint{Name: fmt.Sprint("endpoint-", i), Service: "plain"}
	}
	directory := site.NewDirectory(listed)
	zones := simulatedZones
	if routers > 100 {
		zones = 14
	}
	for i := range routers {
		zone := i % zones
		self := peer.Router{Instance: fmt.Sprint("router-", i), Region: fmt.Sprint("region-", zone%simulatedRegions)}
		roster.Put(self)
		r := &simulatedRouter{instance: self.Instance, isCutOff: isCutOff(i/zones, zone)}
		r.server = NewServer(&Board{Metrics: metrics.NewRegistry()}, testProtocol(), Location{}, nil, logger)
		r.server.state.Directory.Store(directory)
		r.server.relays = &relays{routers: &Routers{Self: self, Roster: roster}}
		r.server.exchanges = &exchangeServer{server: r.server, inProgress: make(map[string]int)}
		s.routers = append(s.routers, r)
		s.after(s.interval(), func() { s.arrive(r) })
	}
	return s
}

func (s *relaySimulation) interval() time.Duration {
	return time.Duration(s.random.ExpFloat64() / simulatedRate * float64(time.Second))
}

func (s *relaySimulation) after(delay time.Duration, act func()) {
	heap.Push(&s.events, simulatedEvent{at: s.now.Add(delay), act: act})
}

// arrive plays the arrival of a request at a router.
func (s *relaySimulation) arrive(r *simulatedRouter) {
	s.after(s.interval(), func() { s.arrive(r) })
	isJudged := s.now.Sub(s.start) >= judgedFrom
	if isJudged {
		r.sent++
	}
	s.attempt(r, 0, isJudged)
}

// attempt sends a request to an endpoint, directly or through another router.
func (s *relaySimulation) attempt(r *simulatedRouter, failedDials int, isJudged bool) {
	t := &r.server.targets
	share := t.reachLocked("plain").DirectShare(s.now)
	switch {
	case !r.isCutOff:
		s.serve(r, isJudged, func() {})
	case failedDials >= 1 || s.random.Float64() >= share:
		s.handOver(r, isJudged)
	default:
		name := fmt.Sprint("endpoint-", s.random.IntN(simulatedEndpoints))
		s.after(dialTimeout, func() {
			if t.reachLocked("plain").RecordFailure(s.now, name) {
				s.after(dialTimeout, func() { t.reachLocked("plain").RecordCheck(s.now, 3, false) })
			}
			s.attempt(r, failedDials+1, isJudged)
		})
	}
}

// serve counts a request as served and plays its end.
func (s *relaySimulation) serve(r *simulatedRouter, isJudged bool, onEnd func()) {
	if isJudged {
		r.taken++
	}
	s.after(time.Duration(s.random.ExpFloat64()*float64(simulatedCutTime)), onEnd)
}

// handOver plays an exchange through another router.
func (s *relaySimulation) handOver(r *simulatedRouter, isJudged bool) {
	tried := ""
	for range maxRelayTries {
		other, ok := r.server.relays.choose(s.now, tried, &locality.Policy{})
		if !ok {
			return
		}
		tried = other.Instance
		carrier := s.router(other.Instance)
		e, _, reason := carrier.server.exchanges.admit(r.instance, &peer.Exchange{Service: "plain", Endpoint: "endpoint-0"}, &places.Request{})
		if reason == "" && !carrier.isCutOff {
			r.server.relays.record(s.now, other.Instance, true)
			s.carried = max(s.carried, carrier.server.exchanges.count())
			s.serve(r, isJudged, func() {
				carrier.server.exchanges.release(r.instance)
				carrier.server.targets.releaseCarried(e, s.now, attemptResult{})
				r.server.relays.release(other.Instance)
			})
			return
		}
		if reason == "" {
			// The carrier doesn't know yet that it is cut off itself: its connection fails.
			carrier.server.exchanges.release(r.instance)
			carrier.server.targets.releaseCarried(e, s.now, attemptResult{})
		}
		r.server.relays.record(s.now, other.Instance, reason == "")
		r.server.relays.release(other.Instance)
	}
}

func (s *relaySimulation) router(instance string) *simulatedRouter {
	for _, r := range s.routers {
		if r.instance == instance {
			return r
		}
	}
	return nil
}

// run plays the events until simulatedEnd and returns the share of judged requests that the routers which are cut off served over that of
// the others, and the share of both.
func (s *relaySimulation) run() (cutOff, others float64) {
	for s.now.Sub(s.start) < simulatedEnd {
		next := heap.Pop(&s.events).(simulatedEvent) //nolint:forcetypeassert // only events
		s.now = next.at
		next.act()
	}
	var sent, taken [2]int
	for _, r := range s.routers {
		side := 0
		if r.isCutOff {
			side = 1
		}
		sent[side] += r.sent
		taken[side] += r.taken
	}
	return float64(taken[1]) / float64(sent[1]), float64(taken[0]) / float64(sent[0])
}

// TestCutOffRoutersServeAsOthersDo guards against callers of routers that are cut off who are served worse than others, however many
// routers there are and however many of a zone are cut off.
func TestCutOffRoutersServeAsOthersDo(t *testing.T) {
	const goal = 0.95
	for _, c := range []struct {
		name     string
		isCutOff func(i, zone int) bool
	}{
		{"one router", func(i, zone int) bool { return i == 0 && zone == 0 }},
		{"most of a zone", func(i, zone int) bool { return zone == 0 && i%4 != 3 }},
		{"all of a zone", func(_, zone int) bool { return zone == 0 }},
		{"half of all", func(i, _ int) bool { return i%2 == 0 }},
	} {
		for _, routers := range []int{6, 30, 295} {
			t.Run(fmt.Sprint(c.name, " of ", routers), func(t *testing.T) {
				s := newRelaySimulation(34, routers, c.isCutOff)
				cutOff, others := s.run()
				t.Logf("served %.3f at routers that are cut off, %.3f at others; at most %d exchanges carried by a router", cutOff, others, s.carried)
				assert.Equal(t, true, cutOff >= goal*others)
				assert.Equal(t, true, s.carried <= maxExchanges)
			})
		}
	}
}
