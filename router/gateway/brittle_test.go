package gateway

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// The day of a brittleSim: endpoints say that they are brittle from brittleFrom to brittleTo. From fewerWaitFrom on they let fewer wait and
// may fall over.
const (
	brittleStep   = 10 * time.Millisecond
	brittleDay    = 30 * time.Second
	brittleFrom   = 5 * time.Second
	fewerWaitFrom = brittleFrom + contactTime
	brittleTo     = 28 * time.Second
	// contactTime is how long a router that starts doesn't count as in touch.
	contactTime = 3 * time.Second
	// fallTime is how long an endpoint that has fallen over refuses connections, serviceTime the mean time of a request.
	fallTime    = 3 * time.Second
	serviceTime = 800 * time.Millisecond
	// brittleSlots are the slots of an endpoint, usualQueue and shortQueue the requests that may wait there, before and after fewerWaitFrom.
	brittleSlots = 8
	usualQueue   = 8
	shortQueue   = 1
	// maxAttempts and maxCalls bound the endpoints that a router tries for one request, and the requests of one caller.
	maxAttempts = 2
	maxCalls    = 4
)

// brittleRequest is an attempt in progress at an endpoint. endsAt is zero while it waits.
type brittleRequest struct {
	router *brittleRouter
	// process is the number of the router's process that sent it.
	process        int
	target         *target
	job            *job
	calls          int
	sentAt, endsAt time.Time
}

// brittleEndpoint is an endpoint that falls over if it has to refuse more than refusals requests in a second.
type brittleEndpoint struct {
	entry    site.Endpoint
	requests []*brittleRequest
	refused  []*brittleRefusal
	downTill time.Time
}

// brittleRefusal is a request that an endpoint refused; isInTouch says whether the router that sent it counts.
type brittleRefusal struct {
	at        time.Time
	isInTouch bool
}

type brittleRouter struct {
	server    *Server
	instance  string
	process   int
	startedAt time.Time
	directory *site.Directory
	isCut     bool
	// record is the router's record of limits, as of recordedAt.
	record     []byte
	recordedAt time.Time
}

// brittleSim is a fleet in front of endpoints with more load than they can serve. It plays in the time of a synctest bubble.
type brittleSim struct {
	random   *rand.Rand
	start    time.Time
	refusals int
	isMarked bool
	load     float64
	// room is the number of requests that an endpoint processes at a time, at most its slots, queue the number that wait from fewerWaitFrom on.
	room, queue int
	// busy is the number of routers that get two thirds of the callers; zero if all get the same.
	busy      int
	endpoints []*brittleEndpoint
	// ranked are the routers' instances by their ranks for the service.
	ranked  []string
	routers []*brittleRouter
	// calls are the callers' requests that are due at a time.
	calls map[time.Duration][]int

	falls, served, offered, refusedByRouters, refusedByEndpoints int
}

func newBrittleSim(routers, endpoints, refusals int) *brittleSim {
	s := &brittleSim{
		random: rand.New(rand.NewPCG(uint64(routers), uint64(refusals))), start: time.Now(), refusals: refusals, isMarked: true, load: 1.5, room: brittleSlots, queue: shortQueue,
		calls: make(map[time.Duration][]int),
	}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, &brittleEndpoint{entry: site.Endpoint{
			Name: "brittle-" + strconv.Itoa(i), Service: "plain", Address: "127.0.0.1:1", Slots: brittleSlots, StartedAt: 1,
		}})
	}
	for i := range routers {
		s.routers = append(s.routers, &brittleRouter{instance: "router-" + strconv.Itoa(i)})
	}
	for _, r := range s.routers {
		s.startRouter(r, s.instances())
		r.startedAt = s.start.Add(-time.Minute)
	}
	s.publishDirectory()
	return s
}

func (s *brittleSim) instances() []string {
	var all []string
	for _, r := range s.routers {
		all = append(all, r.instance)
	}
	return all
}

// startRouter gives a router a new process that knows the listed instances.
func (s *brittleSim) startRouter(r *brittleRouter, listed []string) {
	roster := &peer.Roster{}
	for _, instance := range listed {
		roster.Put(peer.Router{Instance: instance})
	}
	r.server = NewServer(&Board{Metrics: metrics.NewRegistry()}, testProtocol(), Location{}, nil, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	routers := &Routers{Self: peer.Router{Instance: r.instance}, Roster: roster}
	r.server.targets.routers = routers
	s.readRecords(r)
	routers.hasRoster.Store(true)
	r.startedAt = time.Now()
	r.process++
}

// publishers returns the routers that record brittle endpoints.
func (s *brittleSim) publishers() []string {
	if len(s.ranked) == 0 {
		s.ranked = s.instances()
		slices.SortFunc(s.ranked, func(a, b string) int { return cmp.Compare(endpoint.Rank("plain", a), endpoint.Rank("plain", b)) })
	}
	return s.ranked[:min(markPublishers, len(s.ranked))]
}

// readRecords lets a router read the other routers' records.
func (s *brittleSim) readRecords(r *brittleRouter) {
	for _, other := range s.routers {
		if other == r || other.isCut || other.server == nil || !slices.Contains(s.publishers(), other.instance) {
			continue
		}
		if now := time.Now(); now.Sub(other.recordedAt) >= limitCheckInterval {
			record, _ := (&limitClaimer{server: other.server}).update(now)
			other.record, _ = json.Marshal(record)
			other.recordedAt = now
		}
		r.server.mergeLimits(time.Now(), other.instance, other.record)
	}
}

func (s *brittleSim) publishDirectory() {
	var listed []site.Endpoint
	for _, e := range s.endpoints {
		if e.downTill.IsZero() {
			listed = append(listed, e.entry)
		}
	}
	for _, r := range s.routers {
		if !r.isCut {
			r.directory = site.NewDirectory(listed)
		}
	}
}

func (s *brittleSim) elapsed() time.Duration { return time.Since(s.start) }

func (s *brittleSim) isBrittle() bool {
	return s.isMarked && s.elapsed() >= brittleFrom && s.elapsed() < brittleTo
}

// run plays the day. change is called at each step.
func (s *brittleSim) run(change func(*brittleSim, time.Duration)) {
	for ; s.elapsed() < brittleDay; time.Sleep(brittleStep) {
		at := s.elapsed()
		change(s, at)
		for _, e := range s.endpoints {
			s.stepEndpoint(e)
		}
		for i, r := range s.routers {
			if !r.isCut && (at+time.Duration(i)*brittleStep)%rosterWait == 0 {
				s.readRecords(r)
			}
		}
		for range s.arrivals() {
			s.call(1)
		}
		for _, calls := range s.calls[at] {
			s.call(calls)
		}
		delete(s.calls, at)
	}
}

// arrivals draws the number of new requests of a step.
func (s *brittleSim) arrivals() int {
	mean := s.load * float64(len(s.endpoints)*brittleSlots) * brittleStep.Seconds() / serviceTime.Seconds()
	count := 0
	for left := s.random.ExpFloat64(); left < mean; left += s.random.ExpFloat64() {
		count++
	}
	return count
}

// isCounted reports whether the figures of the present moment are those of endpoints that let fewer wait.
func (s *brittleSim) isCounted() bool { return s.elapsed() >= fewerWaitFrom && s.elapsed() < brittleTo }

// call sends a request of a caller, its calls-th one, to a random router.
func (s *brittleSim) call(calls int) {
	among := len(s.routers)
	if s.busy > 0 && s.random.IntN(3) > 0 {
		among = s.busy
	}
	r := s.routers[s.random.IntN(among)]
	if calls == 1 && s.isCounted() {
		s.offered++
	}
	j := &job{
		server: r.server, service: "plain", random: s.random.Uint64(), fingerprint: 1,
		route: &site.Route{Services: []site.WeightedService{{Service: "plain", Weight: 1}}},
	}
	s.attempt(r, j, calls)
}

func (s *brittleSim) attempt(r *brittleRouter, j *job, calls int) {
	if len(j.tried) >= maxAttempts {
		s.refuseCaller(nil, calls)
		return
	}
	e, err := r.server.targets.acquire(r.directory, j)
	if err != nil {
		s.refuseCaller(err, calls)
		return
	}
	j.tried = append(j.tried, e)
	s.send(&brittleRequest{router: r, process: r.process, target: e, job: j, calls: calls, sentAt: time.Now()})
}

// refuseCaller lets the caller come again. Half of the callers heed Retry-After, the others come after a tenth of a second.
func (s *brittleSim) refuseCaller(err error, calls int) {
	if s.isCounted() {
		s.refusedByRouters++
	}
	if calls >= maxCalls {
		return
	}
	wait := 100 * time.Millisecond
	var refusal *verdict.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 && s.random.IntN(2) == 0 {
		wait = refusal.RetryAfter
	}
	due := (s.elapsed() + max(wait, brittleStep)).Round(brittleStep)
	s.calls[due] = append(s.calls[due], calls+1)
}

// send delivers a request to its endpoint, which may be down, be another process than the router expects, or have no room.
func (s *brittleSim) send(q *brittleRequest) {
	e := s.endpoints[slices.IndexFunc(s.endpoints, func(e *brittleEndpoint) bool { return e.entry.Name == q.target.Name })]
	switch {
	case !e.downTill.IsZero():
		s.finish(q, attemptResult{verdict: verdict.NotRun, notSent: true, endpointFailed: true, cause: syscall.ECONNREFUSED})
	case len(e.requests) >= s.room+s.queueNow():
		s.refuse(e, q)
	default:
		e.requests = append(e.requests, q)
		s.startWaiting(e)
	}
}

func (s *brittleSim) queueNow() int {
	if s.isBrittle() && s.elapsed() >= fewerWaitFrom {
		return s.queue
	}
	return usualQueue
}

func (s *brittleSim) startWaiting(e *brittleEndpoint) {
	for i, q := range e.requests {
		if i < s.room && q.endsAt.IsZero() {
			q.endsAt = time.Now().Add(time.Duration(s.random.ExpFloat64() * float64(serviceTime)))
		}
	}
}

func (s *brittleSim) refuse(e *brittleEndpoint, q *brittleRequest) {
	now := time.Now()
	if s.isCounted() {
		s.refusedByEndpoints++
	}
	e.refused = slices.DeleteFunc(e.refused, func(r *brittleRefusal) bool { return now.Sub(r.at) > time.Second })
	e.refused = append(e.refused, &brittleRefusal{now, now.Sub(q.router.startedAt) >= contactTime})
	fallsOver := s.isBrittle() && s.elapsed() >= fewerWaitFrom && len(e.refused) > s.refusals
	s.finish(q, attemptResult{verdict: verdict.NotRun, responded: true, isRefusal: true, writeCount: 1, cause: errors.New("refused")})
	if !fallsOver || !e.downTill.IsZero() {
		return
	}
	inTouch := 0
	for _, r := range e.refused {
		if r.isInTouch {
			inTouch++
		}
	}
	if 2*inTouch > len(e.refused) {
		s.falls++
	}
	s.crash(e)
}

// crash ends an endpoint's process. The next one starts after fallTime.
func (s *brittleSim) crash(e *brittleEndpoint) {
	broken := e.requests
	e.requests, e.refused, e.downTill = nil, nil, time.Now().Add(fallTime)
	e.entry.StartedAt++
	for _, q := range broken {
		s.finish(q, attemptResult{verdict: verdict.MayHaveRun, endpointFailed: true, writeCount: 1, cause: syscall.ECONNRESET})
	}
	s.publishDirectory()
}

func (s *brittleSim) stepEndpoint(e *brittleEndpoint) {
	now := time.Now()
	if !e.downTill.IsZero() && !now.Before(e.downTill) {
		e.downTill = time.Time{}
		s.publishDirectory()
	}
	var done []*brittleRequest
	e.requests = slices.DeleteFunc(e.requests, func(q *brittleRequest) bool {
		isDone := !q.endsAt.IsZero() && !now.Before(q.endsAt)
		if isDone {
			done = append(done, q)
		}
		return isDone
	})
	s.startWaiting(e)
	for _, q := range done {
		if s.isCounted() {
			s.served++
		}
		s.finish(q, attemptResult{responded: true})
	}
}

// finish tells the router how an attempt ended. A router that has started anew since then doesn't know the attempt.
func (s *brittleSim) finish(q *brittleRequest, result attemptResult) {
	if q.router.process != q.process {
		return
	}
	if result.responded {
		answer := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
		if s.isBrittle() {
			answer.Header.Set("Brittle", strconv.Itoa(s.refusals))
		}
		q.router.server.recordNotices(q.target, q.sentAt, answer)
	}
	q.router.server.targets.release(q.target, q.job, q.sentAt, result)
	switch {
	case result.cause == nil:
	case result.verdict == verdict.NotRun:
		s.attempt(q.router, q.job, q.calls)
	default:
		s.refuseCaller(nil, q.calls)
	}
}

// brittleCases are what happens in the days of TestBrittleEndpointsStandUp.
func brittleCases() map[string]func(*brittleSim, time.Duration) {
	return map[string]func(*brittleSim, time.Duration){
		"calm overload": func(*brittleSim, time.Duration) {},
		"callers send three times as much for 8 s": func(s *brittleSim, at time.Duration) {
			s.load = 1.5
			if at >= 12*time.Second && at < 20*time.Second {
				s.load = 4.5
			}
		},
		"endpoints let none wait":                             func(s *brittleSim, _ time.Duration) { s.queue = 0 },
		"endpoints have room for fewer than their slots":      func(s *brittleSim, _ time.Duration) { s.room = brittleSlots - 3 },
		"two thirds of the callers at a third of the routers": func(s *brittleSim, _ time.Duration) { s.busy = len(s.routers) / 3 },
		"half of the routers start anew": func(s *brittleSim, at time.Duration) {
			for i := 0; i < len(s.routers) && at == 15*time.Second; i += 2 {
				s.startRouter(s.routers[i], s.instances())
			}
		},
		"half of the routers read no directory from 12 s on": func(s *brittleSim, at time.Duration) {
			for i := 0; i < len(s.routers); i += 2 {
				s.routers[i].isCut = at >= 12*time.Second
			}
		},
		"a third of the endpoints crashes and comes back": func(s *brittleSim, at time.Duration) {
			for i := 0; i < len(s.endpoints) && at == 14*time.Second; i += 3 {
				s.crash(s.endpoints[i])
			}
		},
		"half of the routers don't list a sixth for 3 s": func(s *brittleSim, at time.Duration) {
			listed := s.instances()
			switch at {
			case 12 * time.Second:
				listed = listed[:len(listed)-len(listed)/6]
			case 15 * time.Second:
			default:
				return
			}
			for i := 0; i < len(s.routers); i += 2 {
				roster := &peer.Roster{}
				for _, instance := range listed {
					roster.Put(peer.Router{Instance: instance})
				}
				s.routers[i].server.targets.mu.Lock()
				s.routers[i].server.targets.routers.Roster = roster
				s.routers[i].server.targets.mu.Unlock()
			}
		},
	}
}

// TestBrittleEndpointsStandUp guards against a fleet whose routers together have an endpoint refuse more requests in a second than it says
// that it can, so that endpoints fall over more often than 2 + a tenth of their number.
func TestBrittleEndpointsStandUp(t *testing.T) {
	const endpoints = 12
	for _, routers := range []int{6, 30, 295} {
		for _, name := range slices.Sorted(maps.Keys(brittleCases())) {
			for _, refusals := range []int{1, 3} {
				t.Run(fmt.Sprintf("%d routers, %s, %d refusals", routers, name, refusals), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						s := newBrittleSim(routers, endpoints, refusals)
						s.run(brittleCases()[name])
						capacity := float64(endpoints*s.room) * (brittleTo - fewerWaitFrom).Seconds() / serviceTime.Seconds()
						t.Logf("falls %d, served %.2f of the capacity, refusals by endpoints %d, by routers %d",
							s.falls, float64(s.served)/capacity, s.refusedByEndpoints, s.refusedByRouters)
						if bound := 2 + math.Floor(float64(endpoints)/10); float64(s.falls) > bound {
							t.Errorf("endpoints fell over %d times, %v allowed", s.falls, bound)
						}
					})
				})
			}
		}
	}
}

// TestBrittleEndpointGetsNoMoreThanItsSlots guards against requests that a brittle endpoint has to refuse, and callers that are held or sent
// away without a time.
func TestBrittleEndpointGetsNoMoreThanItsSlots(t *testing.T) {
	g := newGatewayTest(t, withHeader("Brittle", "1", answerSealed("answer")))
	assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
	held := &job{server: g.server, service: "plain", route: &site.Route{Services: []site.WeightedService{{Service: "plain", Weight: 1}}}}
	_, err := g.server.targets.acquire(g.state.Directory.Load(), held)
	assert.Must(t, err)
	got := g.call(http.MethodPost, "/order/", "", nil)
	g.assertRequestCounts(1)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NoError(t, err)
	assert.Equal(t, true, seconds >= 0.5 && seconds < 1.5)
}

// TestBrittlenessIsReadFromAllAnswers guards against answers whose mark is overlooked, and a mark taken from another endpoint than the one asked.
func TestBrittlenessIsReadFromAllAnswers(t *testing.T) {
	misdirected := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for _, c := range []struct {
		name, method, path string
		answer             http.HandlerFunc
		isRead             bool
	}{
		{"complete answer", http.MethodPost, "/order/", answerSealed("answer"), true},
		{"stream", http.MethodPost, "/talk/", answerSealed("id: 1\n\n"), true},
		{"refusal", http.MethodPost, "/order/", answerNotRun, true},
		{"error that is not passed on", http.MethodGet, "/read/", answerError, true},
		{"another endpoint at the address", http.MethodPost, "/order/", misdirected, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, withHeader("Brittle", "2", c.answer))
			g.call(c.method, c.path, "", nil)
			assert.Equal(t, c.isRead, g.counterValue(endpointBrittle) == 1)
		})
	}
}

// TestMarkReachesOtherRouters guards against routers that learn of brittle endpoints only from their own requests, and a mark that lasts when the
// record's writer has stopped.
func TestMarkReachesOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &limitedFleet{directory: site.NewDirectory(nil)}
		for i := range 2 {
			f.routers = append(f.routers, f.startRouter(t, "router-"+strconv.Itoa(i)))
		}
		time.Sleep(3 * time.Second)
		told := &target{Endpoint: site.Endpoint{Name: "brittle", Service: "plain", Slots: 1}, limit: &processLimit{}}
		answer := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Brittle": {"2"}}}
		f.routers[0].server.recordNotices(told, time.Now(), answer)
		time.Sleep(3 * time.Second)
		assertKnown := func(want bool, servers ...*Server) {
			t.Helper()
			for _, s := range servers {
				s.targets.mu.Lock()
				assert.Equal(t, want, s.targets.markLocked("plain").IsInForce(time.Now()))
				s.targets.mu.Unlock()
			}
		}
		assertKnown(true, f.routers[0].server, f.routers[1].server)
		late := f.startRouter(t, "router-2")
		time.Sleep(3 * time.Second)
		assertKnown(true, late.server)
		time.Sleep(time.Minute)
		assertKnown(false, f.routers[0].server, f.routers[1].server, late.server)
		for _, r := range append(f.routers, late) {
			r.stop()
		}
		synctest.Wait()
	})
}
