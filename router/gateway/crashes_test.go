package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
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
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// crashFleet is routers that tell each other of crashes by a log.
type crashFleet struct {
	t   *testing.T
	log *keyed.KeyedLog
}

// start starts a router, or starts it again, and returns what it knows of crashes and what ends it.
func (f *crashFleet) start(name string) (*crashes, context.CancelFunc) {
	f.t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	c := newCrashes(&Board{Metrics: metrics.NewRegistry()}, logger)
	r := &Routers{
		Self: peer.Router{Instance: name}, Roster: &peer.Roster{}, Node: &peer.Node{}, Log: f.log, Logger: logger, unanswered: make(map[string]time.Time),
		Crashed: func(router string, value []byte) { c.take(time.Now(), router, router == name, value) },
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	f.t.Cleanup(cancel)
	go func() { _ = r.Run(ctx) }()
	go func() { _ = c.run(ctx, r) }()
	f.settle()
	return c, cancel
}

// settle waits until every router has read what others wrote.
func (f *crashFleet) settle() { time.Sleep(2 * time.Second) }

// crash lets an endpoint crash that has a request since a second.
func (f *crashFleet) crash(c *crashes, name string) {
	now := time.Now()
	c.crash(now, name, []endpoint.Exposure{{Fingerprint: 7, Begun: now.Add(-time.Second), Broke: now}})
	f.settle()
}

func (f *crashFleet) assertHeld(want bool, routers ...*crashes) {
	f.t.Helper()
	for _, c := range routers {
		assert.Equal(f.t, want, c.held(time.Now(), 7) > 0)
	}
}

// TestCrashingRequestIsHeldByAllRouters guards against a request that crashes endpoints behind one router after the other.
func TestCrashingRequestIsHeldByAllRouters(t *testing.T) {
	play := func(name string, body func(f *crashFleet)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body(&crashFleet{t: t, log: &keyed.KeyedLog{}})
				synctest.Wait()
			})
		})
	}
	play("crashes behind two routers", func(f *crashFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		c, _ := f.start("c")
		f.crash(a, "one/1")
		f.assertHeld(false, a, b, c)
		f.crash(b, "two/1")
		f.assertHeld(true, a, b, c)
		assert.Equal(t, 1, len(a.own.Crashes))
	})
	play("routers that start again", func(f *crashFleet) {
		a, end := f.start("a")
		f.crash(a, "one/1")
		end()
		a, end = f.start("a")
		f.crash(a, "two/1")
		f.assertHeld(true, a)
		end()
		a, _ = f.start("a")
		f.assertHeld(true, a)
		b, _ := f.start("b")
		f.assertHeld(true, b)
	})
	play("writes got no answer", func(f *crashFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		f.log.HoldBack(true)
		f.crash(a, "one/1")
		f.crash(a, "two/1")
		f.assertHeld(true, a)
		f.assertHeld(false, b)
		f.log.HoldBack(false)
		f.settle()
		f.assertHeld(true, b)
	})
	play("an answer behind another router clears it", func(f *crashFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		f.crash(a, "one/1")
		b.answered(time.Now(), 7)
		f.settle()
		f.crash(a, "two/1")
		f.assertHeld(false, a, b)
	})
	play("a record that can't be read", func(f *crashFleet) {
		a, _ := f.start("a")
		a.take(time.Now(), "b", false, []byte("{"))
		f.crash(a, "one/1")
		f.assertHeld(false, a)
	})
}

// TestCrashEvidence checks what of an endpoint's failures counts as its crash.
func TestCrashEvidence(t *testing.T) {
	reset := attempt{broken: true, writes: 1, cause: errors.New("reset")}
	refused := attempt{broken: true, unsent: true, cause: syscall.ECONNREFUSED}
	silent := attempt{broken: true, unsent: true, cause: context.DeadlineExceeded}
	answered := attempt{answered: true, writes: 1}
	entry := site.Endpoint{Name: "e", Service: "plain", Address: "127.0.0.1:1", Born: 1}
	again := entry
	again.Born = 2
	for _, c := range []struct {
		name     string
		attempts []attempt
		listed   []site.Endpoint
		want     int
	}{
		{"connections are refused after a reset", []attempt{reset, refused}, nil, 1},
		{"only refused", []attempt{refused}, nil, 0},
		{"only reset", []attempt{reset, reset}, nil, 0},
		{"an answer in between", []attempt{reset, answered, refused}, nil, 0},
		{"silence after a reset", []attempt{reset, silent}, nil, 0},
		{"another endpoint at the address", []attempt{reset, {misdirected: true, writes: 1, cause: errors.New("421")}}, nil, 1},
		{"started anew", []attempt{reset}, []site.Endpoint{again}, 1},
		{"still there", []attempt{reset}, []site.Endpoint{entry}, 0},
		{"listed no longer", []attempt{reset}, []site.Endpoint{}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			crashed := 0
			ts := &targets{traffic: &Traffic{}, crashed: func(_ time.Time, _ string, exposures []endpoint.Exposure) { crashed += len(exposures) }}
			j := &job{r: &http.Request{Method: http.MethodGet}, server: &Server{}, route: &site.Route{}, service: "plain"}
			services := []site.Share{{Service: "plain"}}
			ts.refreshLocked(site.NewDirectory([]site.Endpoint{entry}), services)
			e := ts.byName["e"]
			for _, out := range c.attempts {
				e.inFlight++
				ts.release(e, j, time.Now(), out)
			}
			if c.listed != nil {
				ts.refreshLocked(site.NewDirectory(c.listed), services)
			}
			assert.Equal(t, c.want, crashed)
		})
	}
}

// TestSuspectedRequestIsRefused checks what callers of a held request get.
func TestSuspectedRequestIsRefused(t *testing.T) {
	g := newGatewayTest(t, sealed("never"))
	held := &job{r: &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/order/"}, team: &site.Team{Name: "studio"}, body: []byte("bad")}
	now := time.Now()
	for i, crash := range []string{"one/1", "two/1"} {
		at := now.Add(time.Duration(i) * time.Millisecond)
		g.server.crashes.crash(at, crash, []endpoint.Exposure{{Fingerprint: held.identity(), Begun: at, Broke: at}})
	}
	got := g.call(http.MethodPost, "/order/", "bad", nil)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, true, strings.Contains(got.body, "request_suspected"))
	assert.Equal(t, true, got.header.Get("Retry-After") > "1")
	g.assertRuns(0)
	assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "good", nil).status)
	assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/x", "bad", nil).status)
	assert.Equal(t, int64(1), g.counted(requestHeld))
	g.listener.Close()
	named := make(map[string]any)
	for _, line := range g.lines.Entries {
		if line.Fields.Get("Outcome") == string(verdict.Suspected) || line.Message == "request is held" {
			named[line.Message] = line.Fields.Get(fieldFingerprint)
		}
	}
	want := formatFingerprint(held.identity())
	assert.Equal(t, map[string]any{"request ended": want, "request is held": want}, named)
}
