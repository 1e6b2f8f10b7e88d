package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// limitStep is the step of the simulation, limitDay its length.
const (
	limitStep = 20 * time.Millisecond
	limitDay  = 90 * time.Second
)

// limitRecordSim is a record of the simulated platform. Its position in the log is its offset.
type limitRecordSim struct {
	router    string
	writtenAt time.Time
	rate      float64
	age       time.Duration
	isClaimed bool
}

// limitRouterSim is a router of the simulation, which holds records in the way of the gateway.
type limitRouterSim struct {
	name     string
	position int
	limit    SharedLimit
	isCut    bool
	// demand is the router's rate of requests for the endpoint, in requests a second.
	demand                           float64
	claimsReadAt, nextRead, nextTick time.Time
	offset                           int
	isWritten                        bool
	writtenAt                        time.Time
	// toldAt is when the router first passed on an answer that named the limit. A restart doesn't change it.
	toldAt time.Time
}

func (r *limitRouterSim) fleet(routers int) Fleet {
	return Fleet{Self: r.name, Routers: routers, Position: r.position, ClaimsReadAt: r.claimsReadAt}
}

// limitArrival is a request that reached the endpoint.
type limitArrival struct {
	at     time.Time
	router *limitRouterSim
}

// limitAnswer is an answer on its way to a router.
type limitAnswer struct {
	sentAt, arrivesAt time.Time
	rate              float64
	router            *limitRouterSim
}

// limitSim is an endpoint that names a limit, with the routers that send to it.
type limitSim struct {
	random   *rand.Rand
	start    time.Time
	now      time.Time
	routers  []*limitRouterSim
	log      []limitRecordSim
	answers  []limitAnswer
	arrivals []limitArrival
	// rateAt is the rate that the endpoint names at a time since the start.
	rateAt func(time.Duration) float64
}

func newLimitSim(routers int, seed uint64, rateAt func(time.Duration) float64) *limitSim {
	s := &limitSim{random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1, 0), now: time.Unix(1, 0), rateAt: rateAt}
	for i := range routers {
		s.routers = append(s.routers, &limitRouterSim{name: fmt.Sprintf("router-%d", i), demand: 4, limit: SharedLimit{Endpoint: "e"}})
	}
	slices.SortFunc(s.routers, func(a, b *limitRouterSim) int {
		if Rank("e", a.name) < Rank("e", b.name) {
			return -1
		}
		return 1
	})
	for i, r := range s.routers {
		r.position = i
	}
	return s
}

func (s *limitSim) elapsed() time.Duration { return s.now.Sub(s.start) }

// run plays the day. change is called at each step, and may cut off or restart routers.
func (s *limitSim) run(change func(*limitSim, time.Duration)) {
	for s.elapsed() < limitDay {
		change(s, s.elapsed())
		s.deliver()
		for _, r := range s.routers {
			s.step(r)
		}
		s.now = s.now.Add(limitStep)
	}
}

func (s *limitSim) deliver() {
	s.answers = slices.DeleteFunc(s.answers, func(a limitAnswer) bool {
		if a.arrivesAt.After(s.now) {
			return false
		}
		a.router.limit.RecordAnswer(a.sentAt, s.now, a.rate)
		if a.rate > 0 && a.router.toldAt.IsZero() {
			a.router.toldAt = s.now
		}
		return true
	})
}

func (s *limitSim) step(r *limitRouterSim) {
	if !s.now.Before(r.nextRead) {
		s.read(r)
	}
	if !s.now.Before(r.nextTick) {
		s.tick(r)
		r.nextTick = s.now.Add(500 * time.Millisecond)
	}
	if r.claimsReadAt.IsZero() {
		// A router that hasn't read the platform since its start is not ready.
		return
	}
	if s.random.Float64() >= r.demand*limitStep.Seconds() || !r.limit.Admits(s.now, r.fleet(len(s.routers))) {
		return
	}
	r.limit.Take()
	s.arrivals = append(s.arrivals, limitArrival{s.now, r})
	delay := 20*time.Millisecond + time.Duration(s.random.Int64N(int64(400*time.Millisecond)))
	s.answers = append(s.answers, limitAnswer{s.now, s.now.Add(delay), s.rateAt(s.elapsed()), r})
}

// read reads the records that the router has not read yet. A read of the platform takes up to one and a half seconds.
func (s *limitSim) read(r *limitRouterSim) {
	r.nextRead = s.now.Add(150 * time.Millisecond)
	if r.isCut {
		return
	}
	r.nextRead = s.now.Add(200*time.Millisecond + time.Duration(s.random.Int64N(int64(1500*time.Millisecond))))
	for _, record := range s.log[r.offset:] {
		r.limit.RecordReport(s.now, record.age, record.rate)
		if record.router != r.name {
			r.limit.RecordClaim(s.now, record.router, record.isClaimed)
		}
	}
	r.offset, r.claimsReadAt = len(s.log), s.now
}

// tick writes the router's claim if it is due.
func (s *limitSim) tick(r *limitRouterSim) {
	f := r.fleet(len(s.routers))
	r.limit.Refill(s.now, f)
	isClaimed := r.limit.WantsClaim(s.now, f)
	if !isClaimed {
		r.limit.DropOwnClaim()
	}
	isDue := isClaimed != r.isWritten || isClaimed && s.now.Sub(r.writtenAt) >= ClaimInterval
	if r.isCut || !isDue {
		return
	}
	s.log = append(s.log, limitRecordSim{r.name, s.now, r.limit.Rate(), r.limit.Age(s.now), isClaimed})
	r.isWritten, r.writtenAt = isClaimed, s.now
	if isClaimed {
		r.limit.RecordOwnClaim(s.now)
	}
}

// restart gives a router a new process.
func (s *limitSim) restart(r *limitRouterSim) {
	r.limit = SharedLimit{Endpoint: "e"}
	r.offset, r.isWritten, r.claimsReadAt = 0, false, time.Time{}
	s.answers = slices.DeleteFunc(s.answers, func(a limitAnswer) bool { return a.router == r })
	// A router that starts reads the records before it serves.
	s.read(r)
}

// Operators require that in any limitWindow, from limitGrace after the limit was first named, the endpoint gets at most
// limitExcess times what the limit allows and limitSlack requests, from routers that were told toldDelay before or earlier.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	toldDelay   = 500 * time.Millisecond
)

// worstWindow returns the most requests that arrived in a window, and how many of them are allowed there.
func (s *limitSim) worstWindow() (worst, allowed float64) {
	var counted []time.Time
	ratio := -1.0
	for _, a := range s.arrivals {
		if a.router.toldAt.IsZero() || a.at.Sub(a.router.toldAt) < toldDelay {
			continue
		}
		counted = append(counted, a.at)
		for a.at.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		since := a.at.Sub(s.start)
		rate := s.rateAt(since)
		if since < limitGrace || rate == 0 || s.rateAt(since-limitWindow-limitGrace) != rate {
			continue
		}
		if limit := limitExcess*limitWindow.Seconds()*rate + limitSlack; float64(len(counted))/limit > ratio {
			ratio, worst, allowed = float64(len(counted))/limit, float64(len(counted)), limit
		}
	}
	return worst, allowed
}

// use returns the share of the limit that was used from one time to another.
func (s *limitSim) use(from, to time.Duration) float64 {
	used, due := 0, 0.0
	for _, a := range s.arrivals {
		if at := a.at.Sub(s.start); at >= from && at < to {
			used++
		}
	}
	for at := from; at < to; at += limitStep {
		due += s.rateAt(at) * limitStep.Seconds()
	}
	return float64(used) / due
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestLimitIsKeptByTheFleet guards against a fleet whose routers together send an endpoint more than the limit that it names.
func TestLimitIsKeptByTheFleet(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*limitSim, time.Duration)
	}{
		{"calm", func(*limitSim, time.Duration) {}},
		{"half of the routers start anew", func(s *limitSim, at time.Duration) {
			if at == 30*time.Second {
				for i := 0; i < len(s.routers); i += 2 {
					s.restart(s.routers[i])
				}
			}
		}},
		{"each router starts anew, one after the other", func(s *limitSim, at time.Duration) {
			if at >= 20*time.Second && at%(200*time.Millisecond) == 0 {
				s.restart(s.routers[int(at/(200*time.Millisecond))%len(s.routers)])
			}
		}},
		{"half of the routers are cut off from the platform", func(s *limitSim, at time.Duration) {
			for i := 0; i < len(s.routers); i += 2 {
				s.routers[i].isCut = at >= 25*time.Second && at < 60*time.Second
			}
		}},
		{"all routers are cut off from the platform", func(s *limitSim, at time.Duration) {
			for _, r := range s.routers {
				r.isCut = at >= 25*time.Second && at < 60*time.Second
			}
		}},
		{"the platform is away soon after the start", func(s *limitSim, at time.Duration) {
			for _, r := range s.routers {
				r.isCut = at >= time.Second
			}
		}},
		{"half of the routers are told late", func(s *limitSim, at time.Duration) {
			for i := 0; i < len(s.routers); i += 2 {
				s.routers[i].demand = 0
				if at >= 40*time.Second {
					s.routers[i].demand = 8
				}
			}
		}},
		{"routers stop for good, the first ones first", func(s *limitSim, at time.Duration) {
			for i := range len(s.routers) / 2 {
				if at >= 30*time.Second {
					s.routers[i].demand, s.routers[i].isCut = 0, true
				}
			}
		}},
	} {
		for _, routers := range []int{6, 30, 295} {
			for _, rate := range []float64{0.3, 1.1, 20} {
				t.Run(fmt.Sprintf("%s, %d routers, %g/s", c.name, routers, rate), func(t *testing.T) {
					s := newLimitSim(routers, uint64(routers), constantRate(rate))
					s.run(c.change)
					worst, allowed := s.worstWindow()
					t.Logf("worst window: %.0f requests, %.1f allowed; use from 20 s on: %.2f", worst, allowed, s.use(20*time.Second, limitDay))
					if worst > allowed {
						t.Errorf("the endpoint got %.0f requests in %v, %.1f are allowed", worst, limitWindow, allowed)
					}
				})
			}
		}
	}
}

// TestLimitThatChanges guards against routers that go on with a limit which the endpoint has lowered, raised or ended.
func TestLimitThatChanges(t *testing.T) {
	for _, c := range []struct {
		name      string
		from, now float64
	}{{"falls", 20, 1.1}, {"rises", 1.1, 20}, {"ends", 1.1, 0}} {
		for _, routers := range []int{6, 30, 295} {
			t.Run(fmt.Sprintf("%s, %d routers", c.name, routers), func(t *testing.T) {
				s := newLimitSim(routers, 2, func(at time.Duration) float64 {
					if at < 40*time.Second {
						return c.from
					}
					return c.now
				})
				s.run(func(*limitSim, time.Duration) {})
				if worst, allowed := s.worstWindow(); worst > allowed {
					t.Errorf("the endpoint got %.0f requests in %v, %.1f are allowed", worst, limitWindow, allowed)
				}
				for _, r := range s.routers {
					assert.Equal(t, c.now, r.limit.Rate())
				}
			})
		}
	}
}

// TestLimitIsKeptWhateverFails guards against faults of several kinds that together let the fleet exceed a limit.
func TestLimitIsKeptWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 40).Draw(t, "routers")
		rate := rapid.Float64Range(0.1, 60).Draw(t, "rate")
		s := newLimitSim(routers, rapid.Uint64().Draw(t, "seed"), constantRate(rate))
		s.run(func(s *limitSim, at time.Duration) {
			if at%(3*time.Second) != 0 {
				return
			}
			for _, r := range s.routers {
				switch s.random.IntN(8) {
				case 0:
					s.restart(r)
				case 1, 2:
					r.isCut = !r.isCut
				case 3:
					r.demand = s.random.Float64() * 20
				}
			}
		})
		if worst, allowed := s.worstWindow(); worst > allowed {
			t.Errorf("the endpoint got %.0f requests in %v, %.1f are allowed", worst, limitWindow, allowed)
		}
	})
}

// TestAnswersThatOvertakeEachOther guards against a higher limit, or none, that an older answer names.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	var l SharedLimit
	assert.Equal(t, true, l.RecordAnswer(at(1), at(4), 5))
	assert.Equal(t, false, l.RecordAnswer(at(2), at(5), 0))
	assert.Equal(t, false, l.RecordAnswer(at(3), at(6), 9))
	assert.Equal(t, true, l.RecordAnswer(at(3), at(7), 2))
	assert.Equal(t, false, l.RecordReport(at(9), 3*time.Second, 8))
	assert.Equal(t, true, l.RecordReport(at(9), time.Second, 3))
	assert.Equal(t, true, l.RecordAnswer(at(9), at(10), 0))
	assert.Equal(t, 0.0, l.Rate())
}

// leastLimitUse is the share of a limit that operators want to see used while there is demand.
const leastLimitUse = 0.8

// TestLimitIsUsed guards against a fleet whose callers are refused although the endpoint's limit has room.
func TestLimitIsUsed(t *testing.T) {
	for _, routers := range []int{6, 30, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			s := newLimitSim(routers, 1, constantRate(1.1))
			s.run(func(*limitSim, time.Duration) {})
			assert.Equal(t, true, s.use(20*time.Second, limitDay) >= leastLimitUse)
		})
	}
}
