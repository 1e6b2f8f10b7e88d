package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// coldSimulation plays the requests that a fleet sends to one cold endpoint. The shares are those of routers; a request takes up to
// maxTransit to arrive.
type coldSimulation struct {
	random   *rand.Rand
	start    time.Time
	endpoint string
	rate     float64
	bounds   ColdBounds
	routers  []*coldRouter
	// ranks are the ranks of all routers at the endpoint, in the order in which they joined.
	ranks []uint64
	// demand reports whether a router has a request for the endpoint in a step that begins at a time.
	demand   func(s *coldSimulation, now time.Duration) bool
	arrivals []time.Duration
}

type coldRouter struct {
	rank      uint64
	joinedAt  time.Duration
	startedAt time.Duration
	// known is the number of routers in this one's roster, those which joined first. isStale reports whether that stays as it is.
	known, position int
	isStale         bool
	share           ColdShare
}

const (
	coldStep    = 10 * time.Millisecond
	maxTransit  = 150 * time.Millisecond
	maxReadTime = 1700 * time.Millisecond
	// coldRequests is the rate of requests at one router of a busy site, in requests a second.
	coldRequests = 7.5
	// coldEndpoints is the number of endpoints at which the rate of the site is played.
	coldEndpoints = 90
)

// steadily is the demand of a router that gets coldRequests, saturated that of one with more than it can send, atOnce that of routers which all
// get many requests now and then.
func steadily(s *coldSimulation, _ time.Duration) bool {
	return s.random.Float64() < coldRequests*coldStep.Seconds()
}

func saturated(*coldSimulation, time.Duration) bool { return true }

func atOnce(_ *coldSimulation, now time.Duration) bool {
	return now%(1060*time.Millisecond) < 40*time.Millisecond
}

func newColdSimulation(seed uint64, routers int, rate float64) *coldSimulation {
	s := &coldSimulation{
		random: rand.New(rand.NewPCG(seed, uint64(routers))), start: time.Now(), endpoint: fmt.Sprint("engine-", seed), rate: rate,
		bounds: DefaultColdBounds(), demand: steadily,
	}
	for range routers {
		s.join(-time.Hour)
	}
	return s
}

// join adds a router that starts at a time.
func (s *coldSimulation) join(at time.Duration) {
	r := &coldRouter{rank: Rank(s.endpoint, fmt.Sprint("router-", len(s.routers))), joinedAt: at, startedAt: at}
	s.routers, s.ranks = append(s.routers, r), append(s.ranks, r.rank)
}

// grow adds a number of routers, at random times in a second from a time on. Some of the present ones keep their roster.
func (s *coldSimulation) grow(at time.Duration, added int, staleShare float64) {
	for _, r := range s.routers {
		r.isStale = s.random.Float64() < staleShare
		r.known = len(s.routers)
	}
	times := make([]time.Duration, added)
	for i := range times {
		times[i] = at + time.Duration(s.random.Int64N(int64(time.Second)))
	}
	slices.Sort(times)
	for _, t := range times {
		s.join(t)
	}
}

// restartAll restarts all routers at a time, at which they lose what they know.
func (s *coldSimulation) restartAll(at time.Duration) {
	for _, r := range s.routers {
		if r.joinedAt < at {
			r.startedAt, r.share = at, ColdShare{}
		}
	}
}

// readRoster lets a router read the roster of the present, or of up to maxReadTime before.
func (s *coldSimulation) readRoster(r *coldRouter, now time.Duration) {
	if r.isStale && r.known > 0 {
		if r.position < 0 {
			s.rank(r)
		}
		return
	}
	asOf := max(r.startedAt, now-time.Duration(s.random.Int64N(int64(maxReadTime))))
	known := max(r.known, 1)
	for known < len(s.routers) && s.routers[known].joinedAt <= asOf {
		known++
	}
	if known != r.known || r.position < 0 {
		r.known = known
		s.rank(r)
	}
}

func (s *coldSimulation) rank(r *coldRouter) {
	r.position = 0
	for _, other := range s.ranks[:r.known] {
		if other < r.rank {
			r.position++
		}
	}
}

// sharers returns the routers that count themselves among the sharers with any roster that they may have. Rosters only grow, so that a router
// which others keep out of the share when it joins never gets one.
func (s *coldSimulation) sharers() []*coldRouter {
	var sharers []*coldRouter
	present := 0
	for present < len(s.routers) && s.routers[present].joinedAt < 0 {
		present++
	}
	most := PlanCold(s.rate, s.bounds, len(s.routers)).Sharers
	for i, r := range s.routers {
		before := 0
		for _, other := range s.ranks[:max(present, i+1)] {
			if other < r.rank {
				before++
			}
		}
		if before < most {
			sharers = append(sharers, r)
		}
	}
	return sharers
}

// run plays the requests from the begin of a cold time to its end.
func (s *coldSimulation) run(from, to time.Duration, events ...func(now time.Duration)) {
	for _, r := range s.routers {
		r.position = -1
	}
	sharers := s.sharers()
	for now := from; now < to; now += coldStep {
		for _, event := range events {
			event(now)
		}
		for _, r := range sharers {
			if r.startedAt > now || !s.demand(s, now) {
				continue
			}
			s.readRoster(r, now)
			use := ColdUse{Plan: PlanCold(s.rate, s.bounds, r.known), Position: r.position, StartedAt: s.start.Add(r.startedAt)}
			if r.share.Take(s.start.Add(now), use, false) {
				s.arrivals = append(s.arrivals, now+time.Duration(s.random.Int64N(int64(maxTransit))))
			}
		}
	}
}

// most returns the largest number of arrivals in any one second.
func (s *coldSimulation) most() int {
	slices.Sort(s.arrivals)
	most, first := 0, 0
	for i, at := range s.arrivals {
		for at-s.arrivals[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdSumOfAllRouters guards against a cold endpoint that gets more requests than the operators' bound in any one second, from all routers
// together: in calm, with rosters that differ because part of the fleet can't read the newest one while three quarters more routers join,
// and when all routers restart.
func TestColdSumOfAllRouters(t *testing.T) {
	for _, c := range []struct {
		name       string
		added      float64
		staleShare float64
		restart    bool
	}{
		{"calm", 0, 0, false},
		{"all routers restart", 0, 0, true},
		{"joining", 0.75, 0, false},
		{"joining, half cut off from the platform", 0.75, 0.5, false},
		{"joining, all present ones cut off", 0.75, 1, false},
		{"joining, half cut off, then all restart", 0.75, 0.5, true},
	} {
		for _, routers := range []int{6, 30, 68, 295} {
			for name, demand := range map[string]func(*coldSimulation, time.Duration) bool{"steady": steadily, "saturated": saturated, "at once": atOnce} {
				t.Run(fmt.Sprintf("%s/%d routers/%s", c.name, routers, name), func(t *testing.T) {
					t.Parallel()
					most, sum := 0, 0
					for rate, endpoints := range map[float64]uint64{9.6: coldEndpoints, 1: 10, 40: 10} {
						mostOfRate := 0
						for seed := range endpoints {
							s := newColdSimulation(seed, routers, rate)
							s.demand = demand
							if c.added > 0 {
								s.grow(time.Second, int(c.added*float64(routers)), c.staleShare)
							}
							s.run(0, 6*time.Second, func(now time.Duration) {
								if c.restart && now == 2500*time.Millisecond {
									s.restartAll(now)
								}
							})
							mostOfRate = max(mostOfRate, s.most())
							if rate == 9.6 {
								sum += len(s.arrivals)
							}
						}
						if float64(mostOfRate) > DefaultColdBounds().perSecond(rate) {
							t.Errorf("%d requests in a second at a rate of %v, bound %v", mostOfRate, rate, DefaultColdBounds().perSecond(rate))
						}
						if rate == 9.6 {
							most = mostOfRate
						}
					}
					t.Logf("at 9.6 a second: at most %d requests in a second, %.1f on average", most, float64(sum)/coldEndpoints/6)
				})
			}
		}
	}
}

// TestColdRateIsUsed guards against shares so small or so late that a cold endpoint is hardly used.
func TestColdRateIsUsed(t *testing.T) {
	const coldTime = 3 * time.Second
	for _, routers := range []int{6, 68, 295} {
		sum := 0
		for seed := range uint64(coldEndpoints) {
			s := newColdSimulation(seed, routers, 9.6)
			s.run(0, coldTime)
			sum += len(s.arrivals)
		}
		used := float64(sum) / coldEndpoints / coldTime.Seconds() / 9.6
		t.Logf("%d routers: %.2f of the rate", routers, used)
		assert.Equal(t, true, used > 0.75)
	}
}
