package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// TestLimitedEndpointGetsNoMoreThanItNames guards against requests that reach an endpoint beyond the rate which it names in its answers.
func TestLimitedEndpointGetsNoMoreThanItNames(t *testing.T) {
	// rate is so low that no second request is due during the test.
	const rate = "0.02"
	for _, c := range []struct {
		name, method, path string
		limited            http.HandlerFunc
	}{
		{"complete answer", http.MethodPost, "/order/", answerSealed("answer")},
		{"stream", http.MethodPost, "/talk/", answerSealed("id: 1\n\n")},
		{"refusal", http.MethodPost, "/order/", answerNotRun},
		{"error that is not passed on", http.MethodGet, "/read/", answerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, withHeader("Limit", rate, c.limited), answerSealed("id: 1\n\n"))
			for range 24 {
				g.call(c.method, c.path, "", nil)
			}
			assert.Equal(t, true, g.endpoints[0].requestCount() <= 1)
		})
	}
	t.Run("the only endpoint", func(t *testing.T) {
		g := newGatewayTest(t, withHeader("Limit", rate, answerSealed("answer")))
		assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
		got := g.call(http.MethodPost, "/order/", "", nil)
		g.assertRequestCounts(1)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NoError(t, err)
		assert.Equal(t, true, seconds > 45 && seconds < 60)
	})
}

// limitedFleet is a fleet of routers in front of one endpoint that names a rate limit.
type limitedFleet struct {
	log       keyed.KeyedLog
	directory *site.Directory
	rate      float64
	routers   []*limitedRouter

	mu       sync.Mutex
	arrivals []time.Time
}

// limitedRouter is a router of a limitedFleet, with callers that send it four requests a second.
type limitedRouter struct {
	fleet      *limitedFleet
	server     *Server
	routers    *Routers
	connection *keyed.Connection
	random     *rand.Rand
	stop       context.CancelFunc
}

// startRouter starts the process of a router. The former one on the same instance must have been stopped.
func (f *limitedFleet) startRouter(t *testing.T, instance string) *limitedRouter {
	t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	r := &limitedRouter{fleet: f, connection: &keyed.Connection{KeyedLog: &f.log}, random: rand.New(rand.NewPCG(1, uint64(len(instance))))}
	var err error
	r.routers, err = NewRouters(peer.Router{Instance: instance, Address: "127.0.0.1:1"}, r.connection, logger, metrics.NewRegistry())
	assert.Must(t, err)
	r.server = NewServer(&Board{Metrics: metrics.NewRegistry()}, testProtocol(), Location{}, nil, logger)
	r.server.ConnectRouters(r.routers)
	ctx, stop := context.WithCancel(t.Context())
	r.stop = stop
	claimer := &limitClaimer{server: r.server, routers: r.routers}
	go func() { _ = r.routers.Run(ctx) }()
	go func() { _ = claimer.run(ctx) }()
	go r.loop(ctx)
	return r
}

// loop sends requests to the endpoint until the context ends. Each takes 100 ms.
func (r *limitedRouter) loop(ctx context.Context) {
	for clock.Sleep(ctx, time.Duration(r.random.ExpFloat64()*float64(250*time.Millisecond))) {
		if !r.server.targets.hasReadRecords() {
			continue
		}
		j := &job{server: r.server, service: "plain", route: &site.Route{Services: []site.WeightedService{{Service: "plain", Weight: 1}}}}
		sentAt := time.Now()
		e, err := r.server.targets.acquire(r.fleet.directory, j)
		if err != nil {
			continue
		}
		r.fleet.mu.Lock()
		r.fleet.arrivals = append(r.fleet.arrivals, sentAt)
		r.fleet.mu.Unlock()
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			return
		}
		answer := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Limit": {fmt.Sprint(r.fleet.rate)}}}
		r.server.recordNotices(e, sentAt, answer)
		r.server.targets.release(e, j, sentAt, attemptResult{responded: true})
	}
}

// countSince returns the number of requests that arrived since a time, and the most in 4 s of that time.
func (f *limitedFleet) countSince(from time.Time) (total, worst int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.arrivals {
		if at.Before(from) {
			continue
		}
		total++
		window := 0
		for _, other := range f.arrivals[:i+1] {
			if !other.Before(from) && at.Sub(other) < 4*time.Second {
				window++
			}
		}
		worst = max(worst, window)
	}
	return total, worst
}

// TestRoutersShareALimit guards against routers that each take the whole rate limit of an endpoint, or whose claims others don't read.
func TestRoutersShareALimit(t *testing.T) {
	const (
		rate = 1.1
		// maxWindow is one and a half times what the rate allows in 4 s, and 5 requests.
		maxWindow = 11
	)
	synctest.Test(t, func(t *testing.T) {
		f := &limitedFleet{rate: rate, directory: site.NewDirectory([]site.Endpoint{{Name: "limited", Service: "plain", Address: "127.0.0.1:1"}})}
		for i := range 6 {
			f.routers = append(f.routers, f.startRouter(t, "router-"+strconv.Itoa(i)))
		}
		time.Sleep(20 * time.Second)
		assertKept := func(period time.Duration, leastUse float64) {
			t.Helper()
			from := time.Now()
			time.Sleep(period)
			total, worst := f.countSince(from)
			t.Logf("%d requests in %v, at most %d in 4 s", total, period, worst)
			assert.Equal(t, true, worst <= maxWindow)
			assert.Equal(t, true, float64(total) >= leastUse*rate*period.Seconds())
		}
		assertKept(40*time.Second, 0.8)
		for _, r := range f.routers[:3] {
			r.connection.Cut.Store(true)
		}
		assertKept(40*time.Second, 0)
		for _, r := range f.routers[:3] {
			r.connection.Cut.Store(false)
		}
		for i, r := range f.routers[:3] {
			r.stop()
			f.routers[i] = f.startRouter(t, r.routers.Self.Instance)
		}
		assertKept(40*time.Second, 0)
		assertKept(40*time.Second, 0.8)
		for _, r := range f.routers {
			r.stop()
		}
		synctest.Wait()
	})
}

// TestFormerClaimsEnd guards against claims of a router's former process that block a rate limit for others.
func TestFormerClaimsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &limitedFleet{directory: site.NewDirectory(nil)}
		record := []byte(`{"Limits":[{"Endpoint":"limited","StartedAt":0,"Rate":1.1,"AgeMilliseconds":0}]}`)
		_, err := f.log.AppendAt(t.Context(), RouterTopic, 0, platform.AnyOffset, []platform.KeyedRecord{{Key: "router-0/limits", Value: record}})
		assert.Must(t, err)
		r := f.startRouter(t, "router-0")
		time.Sleep(3 * time.Second)
		state, err := f.log.Newest(t.Context(), RouterTopic, 0)
		assert.Must(t, err)
		for _, listed := range state.Records {
			if listed.Key == "router-0/limits" {
				assert.Equal(t, 0, len(listed.Value))
			}
		}
		r.stop()
		synctest.Wait()
	})
}

// TestLimitOutlastsTheDirectory guards against a limit that is forgotten when the endpoint's entry lapses for a while.
func TestLimitOutlastsTheDirectory(t *testing.T) {
	g := newGatewayTest(t, withHeader("Limit", "0.02", answerSealed("answer")))
	listed := g.state.Directory.Load()
	assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
	g.state.Directory.Store(site.NewDirectory(nil))
	assert.Equal(t, http.StatusServiceUnavailable, g.call(http.MethodPost, "/order/", "", nil).status)
	g.state.Directory.Store(listed)
	assert.Equal(t, http.StatusServiceUnavailable, g.call(http.MethodPost, "/order/", "", nil).status)
	g.assertRequestCounts(1)
}

// TestOldLimitIsTried guards against an endpoint that gets no requests any more because others look better, so that no router learns that its
// limit has ended.
func TestOldLimitIsTried(t *testing.T) {
	for _, c := range []struct{ path, endpoint string }{{"/order/", "plaina"}, {"/talk/", "enginea"}} {
		for range 8 {
			g := newGatewayTest(t, answerSealed("id: 1\n\n"), answerSealed("id: 1\n\n"))
			g.call(http.MethodPost, c.path, "", nil)
			before := g.endpoints[0].requestCount()
			g.server.targets.mu.Lock()
			limited := g.server.targets.byName[c.endpoint]
			limited.limit.RecordAnswer(time.Now().Add(-time.Minute), time.Now().Add(-time.Minute), 10)
			g.server.targets.mu.Unlock()
			g.call(http.MethodPost, c.path, "", nil)
			assert.Equal(t, before+1, g.endpoints[0].requestCount())
		}
	}
}
