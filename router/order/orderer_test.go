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

// assertLoaded checks that every engine reports exactly the wanted artifacts as loaded.
func assertLoaded(t *testing.T, s *testFleet, want ...order.Artifact) {
	t.Helper()
	for name := range s.engines {
		reading, _ := s.State(t.Context(), name)
		assert.Equal(t, want, reading.Loaded)
	}
}

// poll calls check every 50 ms, with the fleet locked, until check returns false or duration has passed.
func (s *testFleet) poll(duration time.Duration, check func() bool) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		keepPolling := check()
		s.mu.Unlock()
		if !keepPolling {
			return
		}
	}
}

func TestOrderer(t *testing.T) {
	for name, lossProbability := range map[string]float64{"two routers share the engines": 0, "lost answers to appends have no effect": 0.5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestFleet(6, false)
				s.stream.LoseResponses(lossProbability, 7)
				s.declareWanted(operator.InstanceSet{Role: "Decode"}, modelArtifacts("brush")...)
				s.startRouter(t, "a")
				time.Sleep(3 * time.Minute)
				_, claims := s.foldStream(t)
				assert.Equal(t, map[string]int{"a": 6}, claims)
				b := s.startRouter(t, "b")
				time.Sleep(3 * time.Minute)
				s.declareWanted(operator.InstanceSet{Role: "Decode"}, modelArtifacts("brush", "palette")...)
				time.Sleep(3 * time.Minute)
				assertLoaded(t, s, modelArtifacts("brush", "palette")...)
				// Each router publishes the order status of all engines, including those that the other router has claimed.
				published := *b.board.Orders.Load()
				assert.Equal(t, 6, len(published))
				assert.Equal(t, []string{"brush", "palette"}, published[5].Offers)
				for _, e := range s.engines {
					assert.Equal(t, 2, len(e.sendTimes))
					assert.Equal(t, "Decode", e.newestOrder.Role)
				}
				// Router a yields its claims of the engines for which router b is preferred, and b claims them for its orders.
				_, claims = s.foldStream(t)
				assert.Equal(t, true, claims["a"] == 6 && claims["b"] > 0 && claims["b"] < 6)
			})
		})
	}
	t.Run("no order is sent while the log is unreachable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(1, true)
			s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush")...)
			s.stream.SetOutage(true)
			s.startRouter(t, "a")
			time.Sleep(time.Minute)
			assertLoaded(t, s, modelArtifacts()...)
			s.stream.SetOutage(false)
			time.Sleep(time.Minute)
			assertLoaded(t, s, modelArtifacts("brush")...)
		})
	})
	t.Run("without wanted models the stream is read every 10 s and nothing is appended", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(1, true)
			s.declareWanted(operator.InstanceSet{})
			s.startRouter(t, "a")
			time.Sleep(10*time.Minute - time.Second)
			assert.Equal(t, 60, s.stream.reads.Load())
			state, _ := s.foldStream(t)
			assert.Equal(t, 0, state.Next())
		})
	})
	t.Run("claims are yielded when no ticket declares wanted models any more", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(2, false)
			s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush")...)
			a := s.startRouter(t, "a")
			time.Sleep(time.Minute)
			s.declareWanted(operator.InstanceSet{})
			time.Sleep(time.Minute)
			assert.Equal(t, nil, a.board.Orders.Load())
			state, _ := s.foldStream(t)
			assert.Equal(t, []order.OrdererView{}, state.Orderers())
			time.Sleep(time.Minute)
			later, _ := s.foldStream(t)
			assert.Equal(t, state.Next(), later.Next())
			assertLoaded(t, s, modelArtifacts("brush")...)
		})
	})
}

// TestTakeover guards against a late order of a former orderer that undoes an order of its successor. A router stops right
// after it has sent an order, and the next orderer sends a different order. An engine that checks fencing numbers gets it
// as soon as the former orderer is fenced, an engine that does not only after the former lease and its margin.
func TestTakeover(t *testing.T) {
	for checksFencing, minimumWait := range map[bool]time.Duration{true: 0, false: settings().leaseWithMargin()} {
		t.Run(fmt.Sprintf("checks fencing %t", checksFencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestFleet(1, checksFencing)
				s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush")...)
				first := s.startRouter(t, "a")
				e := s.engines["e1"]
				s.poll(time.Minute, func() bool { return len(e.sendTimes) == 0 })
				first.stop()
				s.declareWanted(operator.InstanceSet{Retired: []string{"brush"}}, modelArtifacts("palette")...)
				second := s.startRouter(t, "b")
				s.poll(time.Minute, func() bool { return counterValue(second, fenceWritten) == 0 })
				fencedAt := time.Now()
				time.Sleep(time.Minute)
				assertLoaded(t, s, modelArtifacts("palette")...)
				assert.Equal(t, 2, len(e.sendTimes))
				waited := e.sendTimes[len(e.sendTimes)-1].Sub(fencedAt)
				assert.Equal(t, true, waited >= minimumWait && waited < minimumWait+5*time.Second)
			})
		})
	}
}

// TestLostAnswer guards against an order that is never sent again, or sent again while its first copy may still arrive.
// The send fails, either before or after the engine has accepted the order.
func TestLostAnswer(t *testing.T) {
	for _, c := range []struct {
		name                      string
		checksFencing, isAccepted bool
		wantSends                 int
		minimumWait               time.Duration
	}{
		{"accepted by an engine that checks fencing", true, true, 1, 0},
		{"accepted by an engine that doesn't check fencing", false, true, 1, 0},
		{"not accepted by an engine that checks fencing", true, false, 2, 0},
		{"not accepted by an engine that doesn't check fencing", false, false, 2, settings().leaseWithMargin()},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestFleet(1, c.checksFencing)
				e := s.engines["e1"]
				if c.isAccepted {
					e.answersToLose = 1
				} else {
					e.ordersToLose = 1
				}
				s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush")...)
				r := s.startRouter(t, "a")
				time.Sleep(2 * time.Minute)
				assertLoaded(t, s, modelArtifacts("brush")...)
				assert.Equal(t, c.wantSends, len(e.sendTimes))
				assert.Equal(t, 1, counterValue(r, orderLost))
				waited := e.sendTimes[len(e.sendTimes)-1].Sub(e.sendTimes[0])
				assert.Equal(t, true, waited >= c.minimumWait && waited < c.minimumWait+5*time.Second)
			})
		})
	}
}

// TestServedWhileChanging guards against a model that no engine serves any more because all engines that have it loaded
// change to other models at the same time.
func TestServedWhileChanging(t *testing.T) {
	newer := order.Artifact{Model: "brush", Version: "2"}
	t.Run("a model stays loaded while its engines change to a new version", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(5, false, "brush")
			s.declareWanted(operator.InstanceSet{}, newer)
			s.startRouter(t, "a")
			s.startRouter(t, "b")
			maximumBusy := 0
			s.poll(3*time.Minute, func() bool {
				serving, busy := 0, 0
				for _, e := range s.engines {
					e.finishLoading()
					serving += len(e.loaded)
					if e.isBusy() {
						busy++
					}
				}
				assert.Equal(t, true, serving > 0)
				maximumBusy = max(maximumBusy, busy)
				return true
			})
			assertLoaded(t, s, newer)
			assert.Equal(t, operator.DefaultLoadLimit, maximumBusy)
		})
	})
	t.Run("the last engine of a model keeps it until the model is retired", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(1, true, "brush")
			s.declareWanted(operator.InstanceSet{}, modelArtifacts("palette")...)
			r := s.startRouter(t, "a")
			time.Sleep(time.Minute)
			assertLoaded(t, s, modelArtifacts("brush")...)
			assert.Equal(t, order.LastEndpoint, (*r.board.Orders.Load())[0].Waits)
			s.declareWanted(operator.InstanceSet{Retired: []string{"brush"}}, modelArtifacts("palette")...)
			time.Sleep(time.Minute)
			assertLoaded(t, s, modelArtifacts("palette")...)
		})
	})
	t.Run("an engine that is down doesn't count as serving its model", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(2, true, "brush")
			s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush")...)
			s.startRouter(t, "a")
			time.Sleep(time.Minute)
			s.poll(time.Second, func() bool {
				s.engines["e1"].isDown = true
				return false
			})
			time.Sleep(maximumReadingAge)
			s.declareWanted(operator.InstanceSet{}, newer)
			time.Sleep(time.Minute)
			assert.Equal(t, modelArtifacts("brush"), s.engines["e2"].loaded)
		})
	})
}

// TestLeaving guards against a claim or an open order that a leaving router leaves behind. The router leaves while its
// engine loads.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(1, true)
		s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush")...)
		first := s.startRouter(t, "a")
		s.poll(time.Minute, func() bool { return len(s.engines["e1"].sendTimes) == 0 })
		first.board.Leaving.Store(true)
		time.Sleep(loadDuration + 3*time.Second)
		state, _ := s.foldStream(t)
		assert.Equal(t, false, state.Endpoint("e1").Held)
		assert.Equal(t, modelArtifacts("brush"), state.Endpoint("e1").Loaded)
	})
}

// TestSnapshots guards against a router that gives orders without knowing earlier claims and orders. The log drops the
// beginning of the stream before the router starts; only with a snapshot may the router give orders.
func TestSnapshots(t *testing.T) {
	for name, hasSnapshot := range map[string]bool{"with a snapshot": true, "without one": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestFleet(2, false)
				s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush")...)
				first := s.startRouter(t, "a")
				time.Sleep(5 * time.Minute)
				first.stop()
				s.stream.SetRetention(memory.Retention{Age: time.Minute})
				if !hasSnapshot {
					time.Sleep(2 * time.Minute)
				}
				s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush", "palette")...)
				second := s.startRouter(t, "b")
				time.Sleep(5 * time.Minute)
				assert.Equal(t, hasSnapshot, counterValue(second, snapshotMissing) == 0)
				assert.Equal(t, true, counterValue(second, streamTruncated) > 0)
				wanted := map[bool][]order.Artifact{true: modelArtifacts("brush", "palette"), false: modelArtifacts("brush")}
				assertLoaded(t, s, wanted[hasSnapshot]...)
			})
		})
	}
}

// TestFailedOrders guards against orders in quick succession to an engine that never reaches the wanted state. The engine
// rejects every order because it has accepted a higher fencing number; the delay grows from order to order.
func TestFailedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(1, true)
		s.declareWanted(operator.InstanceSet{}, modelArtifacts("brush")...)
		e := s.engines["e1"]
		e.accepted = 1 << 40
		r := s.startRouter(t, "a")
		time.Sleep(10 * time.Minute)
		refused := counterValue(r, orderRefused)
		assert.Equal(t, true, refused > 5 && refused < 20)
		assert.Equal(t, refused, counterValue(r, orderFailed))
	})
}

// counterValue returns the value of one of a router's counters.
func counterValue(r *testRouter, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.board.Metrics).Count()
}
