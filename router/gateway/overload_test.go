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

// lagPlay plays looks with a lag for some time and returns what the last one said.
func lagPlay(o *overload, now *time.Time, lag, lasts time.Duration) bool {
	return loadPlay(o, now, look{lasted: loadInterval + lag, lag: lag}, lasts)
}

// loadPlay plays the same look for some time and returns what the last one said.
func loadPlay(o *overload, now *time.Time, seen look, lasts time.Duration) bool {
	shed := o.shed
	for end := now.Add(lasts); now.Before(end); {
		*now = now.Add(seen.lasted)
		shed = o.note(*now, seen)
	}
	return shed
}

func TestOverload(t *testing.T) {
	const ms = time.Millisecond
	t.Run("a router that is late for a second sends callers elsewhere until it is calm", func(t *testing.T) {
		o, now := &overload{}, time.Unix(1_800_000_000, 0)
		assert.Equal(t, false, lagPlay(o, &now, 2*ms, 5*time.Second))
		assert.Equal(t, true, lagPlay(o, &now, 40*ms, 2*time.Second))
		assert.Equal(t, true, lagPlay(o, &now, 8*ms, 5*time.Second))
		assert.Equal(t, false, lagPlay(o, &now, 2*ms, 3*time.Second))
	})
	t.Run("a suspension is no overload", func(t *testing.T) {
		o, now := &overload{}, time.Unix(1_800_000_000, 0)
		assert.Equal(t, false, lagPlay(o, &now, 2*ms, 5*time.Second))
		assert.Equal(t, false, o.note(now.Add(8*time.Second), look{lasted: 8 * time.Second, lag: 8 * time.Second}))
	})
	t.Run("a full link in one direction is an overload", func(t *testing.T) {
		full := look{lasted: loadInterval, received: 40_000}
		other := look{lasted: loadInterval, sent: 40_000}
		for _, seen := range []look{full, other} {
			o, now := &overload{link: 1_000_000}, time.Unix(1_800_000_000, 0)
			assert.Equal(t, true, loadPlay(o, &now, seen, 5*time.Second))
			assert.Equal(t, false, loadPlay(o, &now, look{lasted: loadInterval, sent: 10_000}, 5*time.Second))
			unknown := &overload{}
			assert.Equal(t, false, loadPlay(unknown, &now, seen, 5*time.Second))
		}
	})
	t.Run("the same callers that come back are sent elsewhere for longer", func(t *testing.T) {
		o, now := &overload{}, time.Unix(1_800_000_000, 0)
		var away []time.Duration
		for range 6 {
			for !lagPlay(o, &now, 200*ms, loadInterval) {
			}
			begin := now
			for lagPlay(o, &now, 0, loadInterval) {
			}
			away = append(away, now.Sub(begin).Truncate(time.Second))
		}
		assert.Equal(t, []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, longestShed, longestShed}, away)
		lagPlay(o, &now, 0, 2*againTime)
		for !lagPlay(o, &now, 200*ms, loadInterval) {
		}
		assert.Equal(t, leastShed, o.shedFor)
	})
}

func TestLoadWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lines := memory.New()
		w := &loadWatch{
			board: &Board{}, logger: &log.Logger{Handler: lines, Level: log.InfoLevel}, routers: func() int { return sheddingRouters },
		}
		w.board.Overloaded.Store(true)
		go func() { _ = w.run(ctx) }()
		time.Sleep(time.Second)
		assert.Equal(t, false, w.board.Overloaded.Load())
		assert.Equal(t, 1, len(lines.Entries))
		cancel()
		synctest.Wait()
	})
}
