package cold

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// trackerTest is a tracker that has run for a minute, on a fake clock, with a service "cold" whose endpoints can take one request a second.
type trackerTest struct {
	*Tracker

	t      *testing.T
	lines  *memory.Handler
	counts map[string]int
	roster *peer.Roster
}

func runTracker(t *testing.T, routers int, body func(c *trackerTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &trackerTest{t: t, lines: memory.New(), counts: make(map[string]int), roster: &peer.Roster{}}
		c.Tracker = NewTracker(&log.Logger{Handler: c.lines, Level: log.InfoLevel}, func(name string) { c.counts[name]++ })
		for i := range routers {
			c.roster.Put(peer.Router{Instance: fmt.Sprint("router-", i)})
		}
		if routers > 1 {
			c.Connect("router-0", c.roster, func() bool { return true })
		}
		c.Configure([]site.Service{{Name: "cold", ColdTime: 3 * time.Second, ColdRate: 1 / 0.9}, {Name: "warm", ColdTime: 3 * time.Second}})
		time.Sleep(time.Minute)
		body(c)
	})
}

func engine(name string, coldFor time.Duration) site.Endpoint {
	return site.Endpoint{Name: name, Service: "cold", AvailabilityZone: "z", StartedAt: 1, ColdFor: coldFor, NamesCold: true}
}

// read lets the tracker read entries that were written in the last half second.
func (c *trackerTest) read(entries ...site.Endpoint) {
	now := time.Now()
	c.RecordEntries(endpoint.EntryArrival{ReadAt: now, WrittenAfter: now.Add(-500 * time.Millisecond)}, entries, false)
}

// send reports whether a request may be sent to an endpoint, on a connection that is new.
func (c *trackerTest) send(e site.Endpoint) bool {
	pass, ok := c.Reserve(time.Now(), &e)
	defer pass.End()
	return ok && pass.Send(time.Now(), time.Now())
}

// TestColdEndpointGetsItsRate guards against a cold endpoint that gets more than the router's share, or stays limited when it is warm.
func TestColdEndpointGetsItsRate(t *testing.T) {
	runTracker(t, 1, func(c *trackerTest) {
		e := engine("e", 3*time.Second)
		c.read(e)
		sent := 0
		for range 29 {
			if c.send(e) {
				sent++
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, 3, sent)
		time.Sleep(100 * time.Millisecond)
		for range 10 {
			assert.Equal(t, true, c.send(e))
		}
		assert.Equal(t, 3, c.counts["cold.sent.cold"])
		assert.Equal(t, 1, c.counts["cold.begun.entry"])
		assert.Equal(t, 1, len(c.lines.Entries))
	})
}

// TestColdServicesWithoutRate guards against endpoints of services without a cold rate that are treated as cold.
func TestColdServicesWithoutRate(t *testing.T) {
	runTracker(t, 1, func(c *trackerTest) {
		e := engine("e", 3*time.Second)
		e.Service = "warm"
		c.read(e)
		c.RecordLoss(time.Now(), "warm", "e")
		c.RecordEvacuationEnd(time.Now(), []site.Endpoint{e})
		for range 10 {
			assert.Equal(t, true, c.send(e))
		}
		assert.Equal(t, 0, len(c.Blocked(time.Now(), "warm")))
		assert.Equal(t, 0, len(c.lines.Entries))
	})
}

// TestColdSharesByRank guards against requests from routers without a share, and against shares before the roster has been read.
func TestColdSharesByRank(t *testing.T) {
	runTracker(t, 295, func(c *trackerTest) {
		sharing := 0
		plan := endpoint.PlanCold(1/0.9, endpoint.DefaultColdBounds(), 295)
		const endpoints = 400
		for i := range endpoints {
			e := engine(fmt.Sprint("e-", i), 3*time.Second)
			c.read(e)
			blocked, isBlocked := c.Blocked(time.Now(), "cold")[e.Name]
			assert.Equal(t, isBlocked, blocked < 0)
			if c.send(e) {
				sharing++
				assert.Equal(t, false, isBlocked)
			}
		}
		expected := float64(endpoints*plan.Sharers) / 295
		assert.Equal(t, true, float64(sharing) > expected/4 && float64(sharing) < expected*4)
		c.Connect("router-0", c.roster, func() bool { return false })
		assert.Equal(t, endpoints, len(c.Blocked(time.Now(), "cold")))
	})
}

// TestColdAfterLoss guards against an endpoint that restarts unnoticed, and against endpoints taken for cold that the router lost by its own fault.
func TestColdAfterLoss(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(c *trackerTest, e site.Endpoint)
		cold bool
	}{
		{"reached again", func(*trackerTest, site.Endpoint) {}, true},
		{"the router was cut off", func(c *trackerTest, _ site.Endpoint) { c.ForgetLosses("cold") }, false},
		{"data on an older connection", func(c *trackerTest, e site.Endpoint) {
			c.RecordData(time.Now(), time.Now().Add(-time.Minute), e.Name)
		}, false},
		{"a later entry by the same process", func(c *trackerTest, e site.Endpoint) {
			time.Sleep(2 * time.Second)
			c.read(e)
		}, false},
		{"removed", func(c *trackerTest, e site.Endpoint) {
			c.RecordRemoval(e.Name)
			c.read(e)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTracker(t, 1, func(tracker *trackerTest) {
				e := engine("e", 0)
				tracker.read(e)
				tracker.RecordLoss(time.Now(), e.Service, e.Name)
				time.Sleep(time.Second)
				c.play(tracker, e)
				assert.Equal(t, true, tracker.send(e))
				assert.Equal(t, !c.cold, tracker.send(e))
				assert.Equal(t, !c.cold, tracker.counts["cold.begun.loss"] == 0)
				assert.Equal(t, int64(0), tracker.lost.Load())
				time.Sleep(3 * time.Second)
				assert.Equal(t, []bool{true, true}, []bool{tracker.send(e), tracker.send(e)})
			})
		})
	}
}

// TestColdAfterReturn guards against endpoints that come back unnoticed because their entries don't say whether they are cold.
func TestColdAfterReturn(t *testing.T) {
	silent := engine("e", 0)
	silent.NamesCold = false
	restarted := silent
	restarted.StartedAt = 2
	for _, c := range []struct {
		name string
		play func(c *trackerTest)
		cold bool
	}{
		{"the first read", func(c *trackerTest) {
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, []site.Endpoint{silent}, true)
		}, false},
		{"again", func(c *trackerTest) {
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, []site.Endpoint{silent}, true)
			c.read(silent)
		}, false},
		{"a new one", func(c *trackerTest) {
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, nil, true)
			c.read(silent)
		}, true},
		{"another process", func(c *trackerTest) {
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, []site.Endpoint{silent}, true)
			c.read(restarted)
		}, true},
		{"after a removal", func(c *trackerTest) {
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, []site.Endpoint{silent}, true)
			c.RecordRemoval("e")
			c.read(silent)
		}, true},
		{"missing in a snapshot", func(c *trackerTest) {
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, []site.Endpoint{silent}, true)
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, nil, true)
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, []site.Endpoint{silent}, true)
		}, true},
		{"it says that it is warm", func(c *trackerTest) {
			c.RecordEntries(endpoint.EntryArrival{ReadAt: time.Now()}, nil, true)
			c.read(engine("e", 0))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTracker(t, 1, func(tracker *trackerTest) {
				c.play(tracker)
				tracker.send(silent)
				assert.Equal(t, !c.cold, tracker.send(silent))
			})
		})
	}
}

// TestColdAfterEvacuation guards against a rush to endpoints whose zone has been evacuated until now.
func TestColdAfterEvacuation(t *testing.T) {
	runTracker(t, 1, func(c *trackerTest) {
		e := engine("e", 0)
		c.read(e)
		c.RecordEvacuationEnd(time.Now(), []site.Endpoint{e})
		assert.Equal(t, []bool{true, false}, []bool{c.send(e), c.send(e)})
		time.Sleep(1600 * time.Millisecond)
		c.read(e)
		assert.Equal(t, []bool{true, true}, []bool{c.send(e), c.send(e)})
	})
}

// TestColdReservations guards against several requests that are assigned to an endpoint with room for one, and against reservations that
// aren't given back.
func TestColdReservations(t *testing.T) {
	runTracker(t, 1, func(c *trackerTest) {
		e := engine("e", 3*time.Second)
		c.read(e)
		first, ok := c.Reserve(time.Now(), &e)
		assert.Equal(t, true, ok)
		_, ok = c.Reserve(time.Now(), &e)
		assert.Equal(t, false, ok)
		first.End()
		first.End()
		second, ok := c.Reserve(time.Now(), &e)
		assert.Equal(t, true, ok)
		assert.Equal(t, true, second.Send(time.Now(), time.Now()))
		second.End()
		assert.Equal(t, false, c.send(e))
	})
	t.Run("a request that was assigned while the endpoint was warm", func(t *testing.T) {
		runTracker(t, 1, func(c *trackerTest) {
			e := engine("e", 0)
			var passes []*Pass
			for range 3 {
				pass, ok := c.Reserve(time.Now(), &e)
				assert.Equal(t, true, ok)
				passes = append(passes, pass)
			}
			c.read(engine("e", 3*time.Second))
			var sent []bool
			for _, pass := range passes {
				sent = append(sent, pass.Send(time.Now(), time.Now()))
			}
			assert.Equal(t, []bool{true, false, false}, sent)
			assert.Equal(t, 2, c.counts["cold.withheld"])
		})
	})
}

// TestColdStateIsDropped guards against memory that grows with each endpoint that has ever been cold.
func TestColdStateIsDropped(t *testing.T) {
	runTracker(t, 1, func(c *trackerTest) {
		for i := range 500 {
			e := engine(fmt.Sprint("e-", i), 3*time.Second)
			c.read(e)
			c.send(e)
			c.RecordRemoval(e.Name)
		}
		time.Sleep(10 * time.Second)
		c.read()
		assert.Equal(t, 0, len(c.endpoints))
		assert.Equal(t, 0, len(c.processes))
	})
}

// BenchmarkBlockedWithoutColdEndpoints measures what each request of a service with a cold rate costs while no endpoint is cold.
func BenchmarkBlockedWithoutColdEndpoints(b *testing.B) {
	c := NewTracker(&log.Logger{Handler: memory.New()}, func(string) {})
	c.Configure([]site.Service{{Name: "cold", ColdTime: time.Second, ColdRate: 1}})
	now := time.Now()
	for b.Loop() {
		c.Blocked(now, "cold")
	}
}

// BenchmarkBlockedWithColdEndpoints measures what each request costs in the seconds after all 90 endpoints of a service have started, at a site of
// 295 routers.
func BenchmarkBlockedWithColdEndpoints(b *testing.B) {
	c, roster := NewTracker(&log.Logger{Handler: memory.New()}, func(string) {}), &peer.Roster{}
	for i := range 295 {
		roster.Put(peer.Router{Instance: fmt.Sprint("router-", i)})
	}
	c.Connect("router-0", roster, func() bool { return true })
	c.Configure([]site.Service{{Name: "cold", ColdTime: time.Hour, ColdRate: 9.6}})
	now := time.Now()
	for i := range 90 {
		c.RecordEntries(endpoint.EntryArrival{ReadAt: now}, []site.Endpoint{engine(fmt.Sprint("e-", i), time.Hour)}, false)
	}
	for b.Loop() {
		c.Blocked(now, "cold")
	}
}
