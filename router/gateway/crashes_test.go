package gateway

import (
	"context"
	"errors"
	"net"
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
	"github.com/dragonflyworks/dragonflyworks/router/bodies"
)

// crashFleet is a fleet of routers that share their crash records through a log in memory.
type crashFleet struct {
	t   *testing.T
	log *keyed.KeyedLog
}

// runCrashFleet runs a subtest with a fleet in simulated time.
func runCrashFleet(t *testing.T, name string, body func(f *crashFleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			body(&crashFleet{t: t, log: &keyed.KeyedLog{}})
			synctest.Wait()
		})
	})
}

// start starts or restarts a router. It returns the router's crash tracker and a function that stops the router.
func (f *crashFleet) start(name string) (*crashTracker, context.CancelFunc) {
	f.t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	c := newCrashTracker(&Board{Metrics: metrics.NewRegistry()}, logger)
	c.learningUntil = time.Time{}
	r := &Routers{
		Self: peer.Router{Instance: name}, Roster: &peer.Roster{}, Node: &peer.Node{}, Log: f.log, Logger: logger, lastUnresponsive: make(map[string]time.Time),
		MergeCrashes: func(router string, value []byte) { c.mergeRecord(time.Now(), router, router == name, value) },
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	f.t.Cleanup(cancel)
	go func() { _ = r.Run(ctx) }()
	go func() { _ = c.run(ctx, r) }()
	f.waitForRecords()
	return c, cancel
}

// waitForRecords waits until every router has read the other routers' crash records.
func (f *crashFleet) waitForRecords() { time.Sleep(2 * time.Second) }

// reportCrash reports the crash of an endpoint with one request in progress that was sent a second before.
func (f *crashFleet) reportCrash(c *crashTracker, name string) {
	now := time.Now()
	c.recordCrash(now, name, []endpoint.InterruptedExchange{{Fingerprint: 7, SentAt: now.Add(-time.Second), InterruptedAt: now}})
	f.waitForRecords()
}

func (f *crashFleet) assertQuarantined(want bool, routers ...*crashTracker) {
	f.t.Helper()
	for _, c := range routers {
		assert.Equal(f.t, want, c.quarantineRemaining(time.Now(), 7) > 0)
	}
}

// TestCrashingRequestIsHeldByAllRouters guards against a request that crashes endpoints behind one router after the
// other, because routers don't learn of each other's crashes or forget them in a restart.
func TestCrashingRequestIsHeldByAllRouters(t *testing.T) {
	runCrashFleet(t, "crashes behind two routers", func(f *crashFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		c, _ := f.start("c")
		f.reportCrash(a, "one/1")
		f.assertQuarantined(false, a, b, c)
		f.reportCrash(b, "two/1")
		f.assertQuarantined(true, a, b, c)
		assert.Equal(t, 1, len(a.ownRecord.Crashes))
	})
	runCrashFleet(t, "routers that restart", func(f *crashFleet) {
		a, stop := f.start("a")
		f.reportCrash(a, "one/1")
		stop()
		a, stop = f.start("a")
		f.reportCrash(a, "two/1")
		f.assertQuarantined(true, a)
		stop()
		a, _ = f.start("a")
		f.assertQuarantined(true, a)
		b, _ := f.start("b")
		f.assertQuarantined(true, b)
	})
	runCrashFleet(t, "writes of the record are not answered", func(f *crashFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		f.log.SetAppendsDelayed(true)
		f.reportCrash(a, "one/1")
		f.reportCrash(a, "two/1")
		f.assertQuarantined(true, a)
		f.assertQuarantined(false, b)
		f.log.SetAppendsDelayed(false)
		f.waitForRecords()
		f.assertQuarantined(true, b)
	})
	runCrashFleet(t, "an answer through another router clears the suspicion", func(f *crashFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		f.reportCrash(a, "one/1")
		b.recordAnswer(time.Now(), 7)
		f.waitForRecords()
		f.reportCrash(a, "two/1")
		f.assertQuarantined(false, a, b)
	})
	runCrashFleet(t, "a record that can't be decoded", func(f *crashFleet) {
		a, _ := f.start("a")
		a.mergeRecord(time.Now(), "b", false, []byte("{"))
		f.reportCrash(a, "one/1")
		f.assertQuarantined(false, a)
	})
}

// TestCrashEvidence checks which sequences of failed attempts and directory changes count as an endpoint's crash.
func TestCrashEvidence(t *testing.T) {
	reset := attemptResult{endpointFailed: true, writeCount: 1, cause: errors.New("reset")}
	refused := attemptResult{endpointFailed: true, notSent: true, cause: syscall.ECONNREFUSED}
	unresponsive := attemptResult{endpointFailed: true, notSent: true, cause: context.DeadlineExceeded}
	answered := attemptResult{responded: true, writeCount: 1}
	entry := site.Endpoint{Name: "e", Service: "plain", Address: "127.0.0.1:1", StartedAt: 1}
	restarted := entry
	restarted.StartedAt = 2
	for _, c := range []struct {
		name     string
		attempts []attemptResult
		listed   []site.Endpoint
		want     int
	}{
		{"connections are refused after a reset", []attemptResult{reset, refused}, nil, 1},
		{"connections are only refused", []attemptResult{refused}, nil, 0},
		{"connections are only reset", []attemptResult{reset, reset}, nil, 0},
		{"an answer in between", []attemptResult{reset, answered, refused}, nil, 0},
		{"no answer after a reset", []attemptResult{reset, unresponsive}, nil, 0},
		{"another endpoint at the address", []attemptResult{reset, {misdirected: true, writeCount: 1, cause: errors.New("421")}}, nil, 1},
		{"restarted after a reset", []attemptResult{reset}, []site.Endpoint{restarted}, 1},
		{"still listed unchanged", []attemptResult{reset}, []site.Endpoint{entry}, 0},
		{"no longer listed", []attemptResult{reset}, []site.Endpoint{}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			crashed := 0
			ts := &targets{traffic: &Traffic{}, onCrash: func(_ time.Time, _ string, exposures []endpoint.InterruptedExchange) { crashed += len(exposures) }}
			j := &job{r: &http.Request{Method: http.MethodGet}, server: &Server{}, route: &site.Route{}, service: "plain"}
			services := []site.WeightedService{{Service: "plain"}}
			ts.updateDirectoryLocked(site.NewDirectory([]site.Endpoint{entry}), services)
			e := ts.byName["e"]
			for _, result := range c.attempts {
				e.inFlight++
				ts.release(e, j, time.Now(), result)
			}
			if c.listed != nil {
				ts.updateDirectoryLocked(site.NewDirectory(c.listed), services)
			}
			assert.Equal(t, c.want, crashed)
		})
	}
}

// TestRestartBeforeListing guards against an endpoint's crash that goes unnoticed because its next process answers before the
// directory lists that.
func TestRestartBeforeListing(t *testing.T) {
	for _, c := range []struct {
		name string
		// sentAfter is the time from the restart to the request that is answered.
		sentAfter time.Duration
		want      int
	}{{"answered by the next process", time.Second, 1}, {"answered by the former process", -time.Second, 0}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crashed := 0
				ts := &targets{traffic: &Traffic{}, onCrash: func(_ time.Time, _ string, exposures []endpoint.InterruptedExchange) { crashed += len(exposures) }}
				j := &job{r: &http.Request{Method: http.MethodGet}, server: &Server{}, route: &site.Route{}, service: "plain"}
				services := []site.WeightedService{{Service: "plain"}}
				entry := site.Endpoint{Name: "e", Service: "plain", Address: "127.0.0.1:1", StartedAt: 1}
				ts.updateDirectoryLocked(site.NewDirectory([]site.Endpoint{entry}), services)
				e := ts.byName["e"]
				e.inFlight = 2
				ts.release(e, j, time.Now(), attemptResult{endpointFailed: true, writeCount: 1, cause: errors.New("reset")})
				restartedAt := time.Now().Add(2 * time.Second)
				entry.StartedAt = restartedAt.UnixMilli()
				time.Sleep(4 * time.Second)
				ts.release(e, j, restartedAt.Add(c.sentAfter), attemptResult{responded: true, writeCount: 1})
				ts.updateDirectoryLocked(site.NewDirectory([]site.Endpoint{entry}), services)
				assert.Equal(t, c.want, crashed)
			})
		})
	}
}

// TestCrashIsReportedWithoutRequests guards against a crash that a router reports only with the next request to the endpoint's service (review/14).
func TestCrashIsReportedWithoutRequests(t *testing.T) {
	listed := func(startedAt int64) *site.Directory {
		return site.NewDirectory([]site.Endpoint{{Name: "e", Service: "plain", Address: "127.0.0.1:1", StartedAt: startedAt}})
	}
	for _, c := range []struct {
		name      string
		directory *site.Directory
		want      int
	}{
		{"another process of the endpoint", listed(2), 1},
		{"endpoint no longer listed", site.NewDirectory(nil), 1},
		{"the same process", listed(1), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			crashed := 0
			ts := &targets{traffic: &Traffic{}, onCrash: func(_ time.Time, _ string, exposures []endpoint.InterruptedExchange) { crashed += len(exposures) }}
			j := &job{r: &http.Request{Method: http.MethodGet}, server: &Server{}, route: &site.Route{}, service: "plain"}
			ts.updateDirectoryLocked(listed(1), []site.WeightedService{{Service: "plain"}})
			e := ts.byName["e"]
			e.inFlight = 1
			ts.release(e, j, time.Now(), attemptResult{endpointFailed: true, writeCount: 1, cause: errors.New("reset")})
			for range 2 {
				ts.reviewEndpoints(c.directory)
				assert.Equal(t, c.want, crashed)
			}
		})
	}
}

// TestSuspectedRequestIsRefused checks the answer and the log messages for a quarantined request.
func TestSuspectedRequestIsRefused(t *testing.T) {
	g := newGatewayTest(t, answerSealed("never"))
	quarantined := &job{r: &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/order/"}, team: &site.Team{Name: "studio"}, body: bodies.NewBody([]byte("bad"))}
	now := time.Now()
	for i, crash := range []string{"one/1", "two/1"} {
		at := now.Add(time.Duration(i) * time.Millisecond)
		g.server.crashes.recordCrash(at, crash, []endpoint.InterruptedExchange{{Fingerprint: quarantined.requestFingerprint(), SentAt: at, InterruptedAt: at}})
	}
	got := g.call(http.MethodPost, "/order/", "bad", nil)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, true, strings.Contains(got.body, "request_suspected"))
	assert.Equal(t, true, got.header.Get("Retry-After") > "1")
	g.assertRequestCounts(0)
	assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "good", nil).status)
	assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/x", "bad", nil).status)
	assert.Equal(t, int64(1), g.counterValue(requestQuarantined))
	g.listener.Close()
	fingerprints := make(map[string]any)
	for _, line := range g.lines.Entries {
		if line.Fields.Get("Outcome") == string(verdict.Suspected) || line.Message == "request is held" {
			fingerprints[line.Message] = line.Fields.Get(fieldFingerprint)
		}
	}
	want := formatFingerprint(quarantined.requestFingerprint())
	assert.Equal(t, map[string]any{"request ended": want, "request is held": want}, fingerprints)
}

// reportPartCrash reports the crash of an endpoint with a prompt of the parts in progress, to which an answer had just begun.
func (f *crashFleet) reportPartCrash(c *crashTracker, name string, parts ...string) {
	now := time.Now()
	c.recordCrash(now, name, []endpoint.InterruptedExchange{{Parts: parts, SentAt: now.Add(-time.Second), InterruptedAt: now}})
	f.waitForRecords()
}

func (f *crashFleet) assertPartBlocked(want bool, part string, routers ...*crashTracker) {
	f.t.Helper()
	for _, c := range routers {
		wait, _ := c.partsBlockTimeLeft(time.Now(), []string{"other", part})
		assert.Equal(f.t, want, wait > 0)
		assert.Equal(f.t, want, c.hasBlockedParts.Load())
	}
}

// TestCrashingPartIsHeldByAllRouters guards against a part of prompts that crashes endpoints behind one router after the other,
// because routers don't learn of each other's crashes or forget them in a restart.
func TestCrashingPartIsHeldByAllRouters(t *testing.T) {
	runCrashFleet(t, "crashes behind three routers", func(f *crashFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		c, _ := f.start("c")
		f.reportPartCrash(a, "one/1", "bad", "x")
		f.reportPartCrash(b, "two/1", "bad", "y")
		f.assertPartBlocked(false, "bad", a, b, c)
		f.reportPartCrash(c, "three/1", "bad", "z")
		f.assertPartBlocked(true, "bad", a, b, c)
		assert.Equal(t, 0, len(a.ownRecord.Blocked)+len(b.ownRecord.Blocked))
		assert.Equal(t, 1, len(c.ownRecord.Blocked))
	})
	runCrashFleet(t, "routers that restart", func(f *crashFleet) {
		a, stop := f.start("a")
		for _, name := range []string{"one/1", "two/1", "three/1"} {
			f.reportPartCrash(a, name, "bad", name)
			stop()
			a, stop = f.start("a")
		}
		f.assertPartBlocked(true, "bad", a)
		b, _ := f.start("b")
		f.assertPartBlocked(true, "bad", b)
	})
	runCrashFleet(t, "a part that is sound at another router is not held there", func(f *crashFleet) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		b.recordSound(time.Now(), []string{"common"})
		for _, name := range []string{"one/1", "two/1", "three/1"} {
			f.reportPartCrash(a, name, "common")
		}
		f.assertPartBlocked(true, "common", a)
		f.assertPartBlocked(false, "common", b)
	})
	runCrashFleet(t, "parts known to be sound are not reported beside others", func(f *crashFleet) {
		a, _ := f.start("a")
		a.recordSound(time.Now(), []string{"common"})
		f.reportPartCrash(a, "one/1", "common", "bad")
		f.reportPartCrash(a, "two/1", "common")
		assert.Equal(t, []string{"bad"}, a.ownRecord.Crashes[0].Requests[0].Parts)
		assert.Equal(t, 0, len(a.ownRecord.Crashes[1].Requests[0].Parts))
	})
	runCrashFleet(t, "a router that starts holds none of the parts that were sound elsewhere", func(f *crashFleet) {
		a, _ := f.start("a")
		a.recordSound(time.Now(), []string{"common"})
		for _, name := range []string{"one/1", "two/1", "three/1"} {
			f.reportPartCrash(a, name, "common")
		}
		b, _ := f.start("b")
		f.assertPartBlocked(false, "common", a, b)
	})
	runCrashFleet(t, "a router that restarts remembers which parts are sound", func(f *crashFleet) {
		a, stop := f.start("a")
		a.recordSound(time.Now(), []string{"common"})
		f.reportPartCrash(a, "one/1", "bad")
		stop()
		a, _ = f.start("a")
		b, _ := f.start("b")
		for _, name := range []string{"two/1", "three/1", "four/1"} {
			f.reportPartCrash(a, name, "common")
		}
		f.assertPartBlocked(false, "common", a, b)
	})
	runCrashFleet(t, "a router that has just started counts nothing against parts", func(f *crashFleet) {
		a, _ := f.start("a")
		a.learningUntil = time.Now().Add(learningTime)
		f.reportPartCrash(a, "one/1", "common")
		assert.Equal(t, 0, len(a.ownRecord.Crashes[0].Requests[0].Parts))
	})
}

// TestPartEvidence checks which parts of prompts an endpoint's crash counts against.
func TestPartEvidence(t *testing.T) {
	type attempt struct {
		part string
		// answered is how long the answer had been under way when the attempt ended; negative if it had not begun.
		answered time.Duration
		broken   bool
		// after is the time until the next attempt ends.
		after time.Duration
	}
	long, short := endpoint.SoundAnswerTime, endpoint.SoundAnswerTime/10
	for _, c := range []struct {
		name            string
		attempts        []attempt
		suspects, sound []string
	}{
		{"broken off before the answer", []attempt{{"a", -1, true, 0}}, []string{"a"}, nil},
		{"broken off at the beginning of the answer", []attempt{{"a", short, true, 0}}, []string{"a"}, nil},
		{"broken off later", []attempt{{"a", long, true, 0}}, nil, []string{"a"}},
		{"complete, and another broken off soon", []attempt{{"a", short, false, short}, {"b", -1, true, 0}}, []string{"b", "a"}, nil},
		{"complete, and another broken off later", []attempt{{"a", short, false, long}, {"b", -1, true, 0}}, []string{"b"}, []string{"a"}},
		{"complete after a long answer", []attempt{{"a", long, false, 0}, {"b", -1, true, 0}}, []string{"b"}, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var suspects, sound []string
				ts := &targets{
					traffic: &Traffic{},
					onCrash: func(_ time.Time, _ string, exposures []endpoint.InterruptedExchange) {
						for _, e := range exposures {
							suspects = append(suspects, e.Parts...)
						}
					},
					onSound: func(_ time.Time, parts []string) { sound = append(sound, parts...) },
				}
				entry := site.Endpoint{Name: "e", Service: "engine", Address: "127.0.0.1:1", StartedAt: 1}
				services := []site.WeightedService{{Service: "engine"}}
				ts.updateDirectoryLocked(site.NewDirectory([]site.Endpoint{entry}), services)
				e := ts.byName["e"]
				e.isBeingChecked = true
				for _, a := range c.attempts {
					j := &job{
						r: &http.Request{Method: http.MethodGet}, server: &Server{}, route: &site.Route{}, service: "engine",
						demand: site.Demand{Parts: []site.Part{{Identifier: a.part}, {Identifier: "own"}}},
					}
					if a.answered >= 0 {
						j.attemptFirstByte = time.Now().Add(-a.answered)
					}
					result := attemptResult{writeCount: 1, responded: a.answered >= 0}
					if a.broken {
						result.endpointFailed, result.cause = true, errors.New("reset")
					}
					e.inFlight++
					ts.release(e, j, time.Now().Add(-time.Hour), result)
					time.Sleep(a.after)
				}
				ts.updateDirectoryLocked(site.NewDirectory(nil), services)
				assert.Equal(t, c.suspects, suspects)
				assert.Equal(t, c.sound, sound)
			})
		})
	}
}

// TestCrashIsNoticedAtOnce guards against an endpoint's crash that a router notices only when it sends the next request there.
func TestCrashIsNoticedAtOnce(t *testing.T) {
	g := newGatewayTest(t)
	e := newRawEndpoint(t, func(connection net.Conn, _ string) { _ = connection.Close() })
	crashes := make(chan []endpoint.InterruptedExchange, 1)
	g.server.targets.onCrash = func(_ time.Time, _ string, exposures []endpoint.InterruptedExchange) { crashes <- exposures }
	g.setEndpoints(e)
	e.answer = func(connection net.Conn, _ string) {
		_ = e.listener.Close()
		_ = connection.Close()
	}
	got := g.call(http.MethodPost, "/chat/", "", func(r *http.Request) { r.Header.Set("Demand", "crashing") })
	assert.Equal(t, http.StatusBadGateway, got.status)
	assert.Equal(t, []string{"crashing"}, (<-crashes)[0].Parts)
}

// TestBlockedPartIsRefused checks the answer to prompts with a blocked part, also if the part is blocked between two attempts.
func TestBlockedPartIsRefused(t *testing.T) {
	withPart := func(part string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("Demand", part) }
	}
	block := func(g *gatewayTest, ago time.Duration) {
		now := time.Now().Add(-ago)
		g.server.crashes.learningUntil = time.Time{}
		for i, crash := range []string{"one/1", "two/1", "three/1"} {
			at := now.Add(time.Duration(i) * time.Millisecond)
			g.server.crashes.recordCrash(at, crash, []endpoint.InterruptedExchange{{Parts: []string{"crashing"}, SentAt: at, InterruptedAt: at}})
		}
	}
	t.Run("before the first attempt", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("id: 1\n\n"))
		block(g, 0)
		got := g.call(http.MethodPost, "/talk/", "", withPart("crashing"))
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Equal(t, true, strings.Contains(got.body, "request_suspected"))
		g.assertRequestCounts(0)
		assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/talk/", "", withPart("good")).status)
		assert.Equal(t, int64(1), g.counterValue(partsBlocked))
	})
	t.Run("between two attempts", func(t *testing.T) {
		var g *gatewayTest
		abort := func(w http.ResponseWriter, r *http.Request) {
			block(g, 0)
			abortConnection(w, r)
		}
		g = newGatewayTest(t, abort, abort)
		got := g.call(http.MethodPost, "/talk/", "", withPart("crashing"))
		assert.Equal(t, http.StatusBadGateway, got.status)
		assert.Equal(t, 1, g.endpoints[0].requestCount()+g.endpoints[1].requestCount())
	})
	t.Run("on trial", func(t *testing.T) {
		g := newGatewayTest(t, abortConnection, abortConnection)
		block(g, time.Hour)
		assert.Equal(t, http.StatusBadGateway, g.call(http.MethodPost, "/talk/", "", withPart("crashing")).status)
		assert.Equal(t, http.StatusServiceUnavailable, g.call(http.MethodPost, "/talk/", "", withPart("crashing")).status)
		assert.Equal(t, 1, g.endpoints[0].requestCount()+g.endpoints[1].requestCount())
	})
}
