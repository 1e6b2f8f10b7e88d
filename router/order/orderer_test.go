package order

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// assertLoaded compares what every engine has loaded.
func assertLoaded(t *testing.T, s *site, want ...order.Artifact) {
	t.Helper()
	for name := range s.engines {
		reading, _ := s.State(t.Context(), name)
		assert.Equal(t, want, reading.Loaded)
	}
}

// watch calls a function often for a time, or until it returns false.
func (s *site) watch(duration time.Duration, look func() bool) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		goesOn := look()
		s.mu.Unlock()
		if !goesOn {
			return
		}
	}
}

func TestOrderer(t *testing.T) {
	for name, lost := range map[string]float64{"two routers share the engines": 0, "lost answers of the log change nothing": 0.5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(6, false)
				s.stream.LoseAnswers(lost, 7)
				s.want(operator.InstanceSet{Role: "Decode"}, models("brush")...)
				s.start(t, "a")
				time.Sleep(3 * time.Minute)
				_, claims := s.fold(t)
				assert.Equal(t, map[string]int{"a": 6}, claims)
				b := s.start(t, "b")
				time.Sleep(3 * time.Minute)
				s.want(operator.InstanceSet{Role: "Decode"}, models("brush", "palette")...)
				time.Sleep(3 * time.Minute)
				assertLoaded(t, s, models("brush", "palette")...)
				// Every router shows all engines, whoever orders them.
				shown := *b.board.Orders.Load()
				assert.Equal(t, 6, len(shown))
				assert.Equal(t, []string{"brush", "palette"}, shown[5].Offers)
				for _, e := range s.engines {
					assert.Equal(t, 2, len(e.sentAt))
					assert.Equal(t, "Decode", e.newest.Role)
				}
				// A router that is no longer preferred gives its claims up, and the other one takes them to order.
				_, claims = s.fold(t)
				assert.Equal(t, true, claims["a"] == 6 && claims["b"] > 0 && claims["b"] < 6)
			})
		})
	}
	t.Run("nothing is ordered while the log can't be reached", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(1, true)
			s.want(operator.InstanceSet{}, models("brush")...)
			s.stream.SetOutage(true)
			s.start(t, "a")
			time.Sleep(time.Minute)
			assertLoaded(t, s, models()...)
			s.stream.SetOutage(false)
			time.Sleep(time.Minute)
			assertLoaded(t, s, models("brush")...)
		})
	})
	t.Run("without wanted models the stream is read rarely and nothing is written", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(1, true)
			s.want(operator.InstanceSet{})
			s.start(t, "a")
			time.Sleep(10*time.Minute - time.Second)
			assert.Equal(t, 60, s.stream.reads.Load())
			state, _ := s.fold(t)
			assert.Equal(t, 0, state.Next())
		})
	})
	t.Run("claims end when the tickets want nothing any more", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(2, false)
			s.want(operator.InstanceSet{}, models("brush")...)
			a := s.start(t, "a")
			time.Sleep(time.Minute)
			s.want(operator.InstanceSet{})
			time.Sleep(time.Minute)
			assert.Equal(t, nil, a.board.Orders.Load())
			state, _ := s.fold(t)
			assert.Equal(t, []order.OrdererView{}, state.Orderers())
			time.Sleep(time.Minute)
			later, _ := s.fold(t)
			assert.Equal(t, state.Next(), later.Next())
			assertLoaded(t, s, models("brush")...)
		})
	})
}

// TestTakeover lets the orderer die with its order on the way. The next one orders something else.
func TestTakeover(t *testing.T) {
	for checks, wait := range map[bool]time.Duration{true: 0, false: settings().lapse()} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(1, checks)
				s.want(operator.InstanceSet{}, models("brush")...)
				first := s.start(t, "a")
				e := s.engines["e1"]
				s.watch(time.Minute, func() bool { return len(e.sentAt) == 0 })
				first.stop()
				s.want(operator.InstanceSet{Retired: []string{"brush"}}, models("palette")...)
				second := s.start(t, "b")
				s.watch(time.Minute, func() bool { return counted(second, fenceWritten) == 0 })
				fencedAt := time.Now()
				time.Sleep(time.Minute)
				assertLoaded(t, s, models("palette")...)
				assert.Equal(t, 2, len(e.sentAt))
				waited := e.sentAt[len(e.sentAt)-1].Sub(fencedAt)
				assert.Equal(t, true, waited >= wait && waited < wait+5*time.Second)
			})
		})
	}
}

// TestLostAnswer loses an order before or after the engine took it.
func TestLostAnswer(t *testing.T) {
	for _, c := range []struct {
		name            string
		checks, arrives bool
		sends           int
		wait            time.Duration
	}{
		{"taken by a checking engine", true, true, 1, 0},
		{"taken by an engine that doesn't check", false, true, 1, 0},
		{"not taken by a checking engine", true, false, 2, 0},
		{"not taken by an engine that doesn't check", false, false, 2, settings().lapse()},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(1, c.checks)
				e := s.engines["e1"]
				if c.arrives {
					e.loseAnswers = 1
				} else {
					e.loseOrders = 1
				}
				s.want(operator.InstanceSet{}, models("brush")...)
				r := s.start(t, "a")
				time.Sleep(2 * time.Minute)
				assertLoaded(t, s, models("brush")...)
				assert.Equal(t, c.sends, len(e.sentAt))
				assert.Equal(t, 1, counted(r, orderLost))
				waited := e.sentAt[len(e.sentAt)-1].Sub(e.sentAt[0])
				assert.Equal(t, true, waited >= c.wait && waited < c.wait+5*time.Second)
			})
		})
	}
}

func TestServedWhileChanging(t *testing.T) {
	newer := order.Artifact{Model: "brush", Version: "2"}
	t.Run("a model stays loaded while its engines change one after the other", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(5, false, "brush")
			s.want(operator.InstanceSet{}, newer)
			s.start(t, "a")
			s.start(t, "b")
			busiest := 0
			s.watch(3*time.Minute, func() bool {
				serving, busy := 0, 0
				for _, e := range s.engines {
					e.settle()
					serving += len(e.loaded)
					if e.busy() {
						busy++
					}
				}
				assert.Equal(t, true, serving > 0)
				busiest = max(busiest, busy)
				return true
			})
			assertLoaded(t, s, newer)
			assert.Equal(t, operator.DefaultLoadLimit, busiest)
		})
	})
	t.Run("the last engine keeps its model until it is retired", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(1, true, "brush")
			s.want(operator.InstanceSet{}, models("palette")...)
			r := s.start(t, "a")
			time.Sleep(time.Minute)
			assertLoaded(t, s, models("brush")...)
			assert.Equal(t, order.LastEndpoint, (*r.board.Orders.Load())[0].Waits)
			s.want(operator.InstanceSet{Retired: []string{"brush"}}, models("palette")...)
			time.Sleep(time.Minute)
			assertLoaded(t, s, models("palette")...)
		})
	})
	t.Run("an engine that is down doesn't count", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(2, true, "brush")
			s.want(operator.InstanceSet{}, models("brush")...)
			s.start(t, "a")
			time.Sleep(time.Minute)
			s.watch(time.Second, func() bool {
				s.engines["e1"].down = true
				return false
			})
			time.Sleep(readingAge)
			s.want(operator.InstanceSet{}, newer)
			time.Sleep(time.Minute)
			assert.Equal(t, models("brush"), s.engines["e2"].loaded)
		})
	})
}

// TestLeaving lets a router leave while its engine loads.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, true)
		s.want(operator.InstanceSet{}, models("brush")...)
		first := s.start(t, "a")
		s.watch(time.Minute, func() bool { return len(s.engines["e1"].sentAt) == 0 })
		first.board.Leaving.Store(true)
		time.Sleep(loadTime + 3*time.Second)
		state, _ := s.fold(t)
		assert.Equal(t, false, state.Endpoint("e1").Held)
		assert.Equal(t, models("brush"), state.Endpoint("e1").Loaded)
	})
}

// TestSnapshots lets the log drop the beginning of the stream before a new router starts.
func TestSnapshots(t *testing.T) {
	for name, written := range map[string]bool{"with a snapshot": true, "without one": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(2, false)
				s.want(operator.InstanceSet{}, models("brush")...)
				first := s.start(t, "a")
				time.Sleep(5 * time.Minute)
				first.stop()
				s.stream.Retain(memory.Retention{Age: time.Minute})
				if !written {
					time.Sleep(2 * time.Minute)
				}
				s.want(operator.InstanceSet{}, models("brush", "palette")...)
				second := s.start(t, "b")
				time.Sleep(5 * time.Minute)
				assert.Equal(t, written, counted(second, snapshotMissing) == 0)
				assert.Equal(t, true, counted(second, streamTruncated) > 0)
				wanted := map[bool][]order.Artifact{true: models("brush", "palette"), false: models("brush")}
				assertLoaded(t, s, wanted[written]...)
			})
		})
	}
}

// TestFailedOrders has an engine that takes orders and never loads: each next one waits longer.
func TestFailedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, true)
		s.want(operator.InstanceSet{}, models("brush")...)
		e := s.engines["e1"]
		e.accepted = 1 << 40
		r := s.start(t, "a")
		time.Sleep(10 * time.Minute)
		refused := counted(r, orderRefused)
		assert.Equal(t, true, refused > 5 && refused < 20)
		assert.Equal(t, refused, counted(r, orderFailed))
	})
}

func counted(r *router, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.board.Metrics).Count()
}
