package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// silentLog is a log whose connection may go silent: calls then get no answer, also those in progress.
type silentLog struct {
	*keyed.KeyedLog

	isSilent *atomic.Bool
}

// answer waits for the end of the call's time if the connection is silent.
func (l silentLog) answer(ctx context.Context) error {
	if !l.isSilent.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (l silentLog) ReadKeyed(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.KeyedTail, error) {
	if err := l.answer(ctx); err != nil {
		return platform.KeyedTail{}, err
	}
	tail, err := l.KeyedLog.ReadKeyed(ctx, topic, partition, from, wait)
	if silence := l.answer(ctx); silence != nil {
		return platform.KeyedTail{}, silence
	}
	return tail, err
}

func (l silentLog) Newest(ctx context.Context, topic string, partition int) (platform.KeyedState, error) {
	if err := l.answer(ctx); err != nil {
		return platform.KeyedState{}, err
	}
	return l.KeyedLog.Newest(ctx, topic, partition)
}

const (
	// testHeartbeat is the interval at which the endpoints of runWithHeartbeats renew their entries.
	testHeartbeat = 1200 * time.Millisecond
	// testContactTime is the time after the end of a disturbance from which on routers must not send to endpoints that left testDrainTime
	// ago or longer.
	testContactTime = 3 * time.Second
	testDrainTime   = 2500 * time.Millisecond
)

// heartbeatsTest is a site whose endpoints renew their entries, and whose routers' connections may go silent.
type heartbeatsTest struct {
	*followerTest

	// isSilent silences the router's kept connections to the platform, isTurnedAway the new ones. While isAway is true, no endpoint reaches it.
	isSilent, isTurnedAway, isAway atomic.Bool
	// hasLeft is true once e-0 has left.
	hasLeft atomic.Bool
}

// endpointCount is the number of endpoints: e-0 leaves when the test says so, the others stay.
const endpointCount = 12

// loop renews the entry of an endpoint until the test ends.
func (h *heartbeatsTest) loop(ctx context.Context, number int) {
	time.Sleep(time.Duration(number) * testHeartbeat / endpointCount)
	for ctx.Err() == nil {
		isLeaver := number == 0 && h.hasLeft.Load()
		if !h.isAway.Load() && !isLeaver {
			h.put("servers", fmt.Sprintf("e-%d", number), "ready")
		}
		time.Sleep(testHeartbeat)
	}
}

// runWithHeartbeats runs body 10 s after the start of the endpoints and followers.
func runWithHeartbeats(t *testing.T, body func(h *heartbeatsTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &heartbeatsTest{followerTest: &followerTest{t: t, log: &keyed.KeyedLog{}, heartbeatInterval: testHeartbeat}}
		h.fresh = silentLog{h.log, &h.isTurnedAway}
		for i := range endpointCount {
			go h.loop(ctx, i)
		}
		stop := h.start(ctx, silentLog{h.log, &h.isSilent})
		// No endpoint renews its entry at the same moment as the test changes something.
		time.Sleep(10*time.Second + 5*time.Millisecond)
		body(h)
		stop()
		cancel()
		time.Sleep(2 * testHeartbeat)
		synctest.Wait()
	})
}

// setOutage begins or ends an outage of the platform for the router, and for the endpoints too if isForAll is true.
func (h *heartbeatsTest) setOutage(on, isForAll bool) {
	h.isSilent.Store(on)
	h.isTurnedAway.Store(on)
	h.isAway.Store(on && isForAll)
}

// leave removes the entry of e-0.
func (h *heartbeatsTest) leave() {
	h.hasLeft.Store(true)
	h.put("servers", "e-0", "")
}

// lists reports whether the directory lists the endpoint that leaves.
func (h *heartbeatsTest) lists() bool { return h.state.Directory.Load().Lists("engine", "e-0") }

// assertOthersListed checks that the endpoints that stay are listed at every moment of a time.
func (h *heartbeatsTest) assertOthersListed(during time.Duration) {
	h.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := 1; i < endpointCount; i++ {
			if !h.state.Directory.Load().Lists("engine", fmt.Sprintf("e-%d", i)) {
				h.t.Fatalf("e-%d is not listed %v before the end", i, time.Until(end))
			}
		}
	}
}

// TestLeavingWhileTheConnectionIsSilent guards against requests to an endpoint that has left, because the router takes the silence of its own
// connection to the platform for an outage of the platform, in which entries expire.
func TestLeavingWhileTheConnectionIsSilent(t *testing.T) {
	for _, lead := range []time.Duration{-2 * time.Second, -300 * time.Millisecond, 0, 300 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprintf("silent %v before", lead), func(t *testing.T) {
			runWithHeartbeats(t, func(h *heartbeatsTest) {
				lostAt := time.Now()
				if lead < 0 {
					h.leave()
					time.Sleep(-lead)
					lostAt = time.Now()
				}
				h.isSilent.Store(true)
				if lead >= 0 {
					time.Sleep(lead)
					h.leave()
				}
				leftAt := lostAt.Add(lead)
				h.assertOthersListed(time.Until(later(lostAt.Add(testContactTime), leftAt.Add(testDrainTime))))
				assert.Equal(t, false, h.lists())
			})
		})
	}
	t.Run("the silence is counted", func(t *testing.T) {
		runWithHeartbeats(t, func(h *heartbeatsTest) {
			counter := metrics.GetOrRegisterCounter(platformConnectionSilent, h.state.Metrics)
			assert.Equal(t, int64(0), counter.Count())
			h.isSilent.Store(true)
			time.Sleep(testContactTime)
			assert.Equal(t, true, counter.Count() > 0)
		})
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestLeavingAroundAnOutage guards against requests to an endpoint that left around an outage of the platform for longer than operators allow
// after its end, and against the loss of the endpoints whose entries expired in it.
func TestLeavingAroundAnOutage(t *testing.T) {
	for _, c := range []struct {
		// left is when the endpoint leaves, counted from the start of the outage of a duration.
		left, duration time.Duration
	}{
		{-100 * time.Millisecond, 3 * time.Second},
		{-100 * time.Millisecond, 4500 * time.Millisecond},
		{-100 * time.Millisecond, 9 * time.Second},
		{-1500 * time.Millisecond, 9 * time.Second},
		{3100 * time.Millisecond, 3 * time.Second},
		{9500 * time.Millisecond, 9 * time.Second},
	} {
		for _, offset := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v from the start of %v", c.left, c.duration+offset), func(t *testing.T) {
				runWithHeartbeats(t, func(h *heartbeatsTest) {
					start := time.Now().Add(max(0, -c.left))
					end := start.Add(c.duration + offset)
					leftAt := start.Add(c.left)
					if c.left < 0 {
						h.leave()
					}
					time.Sleep(time.Until(start))
					h.setOutage(true, true)
					time.Sleep(time.Until(end))
					// All entries expire while no endpoint can renew them.
					for i := range endpointCount {
						if c.duration >= 3*testHeartbeat && (i > 0 || c.left > 0) {
							h.put("servers", fmt.Sprintf("e-%d", i), "")
						}
					}
					h.setOutage(false, true)
					if c.left > 0 {
						h.assertOthersListed(time.Until(leftAt))
						h.leave()
					}
					h.assertOthersListed(time.Until(later(end.Add(testContactTime), leftAt.Add(testDrainTime))))
					assert.Equal(t, false, h.lists())
				})
			})
		}
	}
}

// TestLeavingBeforeTwoOutages guards against a grace period that starts anew when a router loses the platform for a moment after an outage.
func TestLeavingBeforeTwoOutages(t *testing.T) {
	runWithHeartbeats(t, func(h *heartbeatsTest) {
		h.leave()
		h.setOutage(true, true)
		time.Sleep(5 * time.Second)
		h.setOutage(false, true)
		end := time.Now()
		time.Sleep(600 * time.Millisecond)
		h.setOutage(true, false)
		time.Sleep(2100 * time.Millisecond)
		h.setOutage(false, false)
		time.Sleep(time.Until(end.Add(testContactTime)))
		assert.Equal(t, false, h.lists())
	})
}

// TestLeavingWhileTheRouterIsTurnedAway guards against the grace period for endpoints that have left while the platform turned away this
// router only.
func TestLeavingWhileTheRouterIsTurnedAway(t *testing.T) {
	runWithHeartbeats(t, func(h *heartbeatsTest) {
		h.setOutage(true, false)
		time.Sleep(time.Second)
		h.leave()
		time.Sleep(8 * time.Second)
		h.setOutage(false, false)
		h.assertOthersListed(directoryHedgeInterval + retryDelay)
		assert.Equal(t, false, h.lists())
	})
}
