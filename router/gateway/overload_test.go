package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// replayLag feeds samples with a timer lag for a duration and returns the last decision.
func replayLag(o *overloadDetector, now *time.Time, lag, duration time.Duration) bool {
	return replayLoad(o, now, loadSample{elapsed: loadCheckInterval + lag, lag: lag}, duration)
}

// replayLoad feeds the same sample for a duration and returns the last decision.
func replayLoad(o *overloadDetector, now *time.Time, sample loadSample, duration time.Duration) bool {
	shed := o.shedding
	for end := now.Add(duration); now.Before(end); {
		*now = now.Add(sample.elapsed)
		shed = o.update(*now, sample)
	}
	return shed
}

func TestOverload(t *testing.T) {
	const ms = time.Millisecond
	t.Run("a router with timer lag for a second sheds callers until its load is low", func(t *testing.T) {
		o, now := &overloadDetector{}, time.Unix(1_800_000_000, 0)
		assert.Equal(t, false, replayLag(o, &now, 2*ms, 5*time.Second))
		assert.Equal(t, true, replayLag(o, &now, 40*ms, 2*time.Second))
		assert.Equal(t, true, replayLag(o, &now, 8*ms, 5*time.Second))
		assert.Equal(t, false, replayLag(o, &now, 2*ms, 3*time.Second))
	})
	t.Run("a suspension is no overload", func(t *testing.T) {
		o, now := &overloadDetector{}, time.Unix(1_800_000_000, 0)
		assert.Equal(t, false, replayLag(o, &now, 2*ms, 5*time.Second))
		assert.Equal(t, false, o.update(now.Add(8*time.Second), loadSample{elapsed: 8 * time.Second, lag: 8 * time.Second}))
	})
	t.Run("a full link in one direction is an overload", func(t *testing.T) {
		receiving := loadSample{elapsed: loadCheckInterval, received: 40_000}
		sending := loadSample{elapsed: loadCheckInterval, sent: 40_000}
		for _, sample := range []loadSample{receiving, sending} {
			o, now := &overloadDetector{linkRate: 1_000_000}, time.Unix(1_800_000_000, 0)
			assert.Equal(t, true, replayLoad(o, &now, sample, 5*time.Second))
			assert.Equal(t, false, replayLoad(o, &now, loadSample{elapsed: loadCheckInterval, sent: 10_000}, 5*time.Second))
			unknownLink := &overloadDetector{}
			assert.Equal(t, false, replayLoad(unknownLink, &now, sample, 5*time.Second))
		}
	})
	t.Run("callers that come back are shed for longer", func(t *testing.T) {
		o, now := &overloadDetector{}, time.Unix(1_800_000_000, 0)
		var shedTimes []time.Duration
		for range 6 {
			for !replayLag(o, &now, 200*ms, loadCheckInterval) {
			}
			shedStart := now
			for replayLag(o, &now, 0, loadCheckInterval) {
			}
			shedTimes = append(shedTimes, now.Sub(shedStart).Truncate(time.Second))
		}
		assert.Equal(t, []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, maxShedTime, maxShedTime}, shedTimes)
		replayLag(o, &now, 0, 2*shedBackoffWindow)
		for !replayLag(o, &now, 200*ms, loadCheckInterval) {
		}
		assert.Equal(t, minShedTime, o.shedTime)
	})
}

func TestLoadWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lines := memory.New()
		w := &loadMonitor{
			state: &Board{}, logger: &log.Logger{Handler: lines, Level: log.InfoLevel}, routerCount: func() int { return minSheddingRouters },
		}
		w.state.Overloaded.Store(true)
		go func() { _ = w.run(ctx) }()
		time.Sleep(time.Second)
		assert.Equal(t, false, w.state.Overloaded.Load())
		assert.Equal(t, 1, len(lines.Entries))
		cancel()
		synctest.Wait()
	})
}
