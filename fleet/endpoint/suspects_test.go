package endpoint

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// exposure is that of one request, in seconds after the start.
func exposure(f ledger.Fingerprint, begun, broke float64) []Exposure {
	at := func(seconds float64) time.Time { return start().Add(time.Duration(seconds * float64(time.Second))) }
	return []Exposure{{Fingerprint: f, Begun: at(begun), Broke: at(broke)}}
}

func TestSuspects(t *testing.T) {
	now := start().Add(10 * time.Second)
	t.Run("a request that crashed two endpoints, one after the other, is held", func(t *testing.T) {
		s := &Suspects{}
		assert.Equal(t, 0, len(s.Crash(now, "a/1", exposure(7, 1, 2))))
		assert.Equal(t, time.Duration(0), s.Held(now, 7))
		assert.Equal(t, []ledger.Fingerprint{7}, s.Crash(now, "b/1", exposure(7, 3, 4)))
		assert.Equal(t, probationTime, s.Held(now, 7))
		assert.Equal(t, time.Duration(0), s.Held(now.Add(probationTime), 7))
	})
	t.Run("one that crashed a third is held longer", func(t *testing.T) {
		s := &Suspects{}
		s.Crash(now, "a/1", exposure(7, 1, 2))
		s.Crash(now, "b/1", exposure(7, 3, 4))
		assert.Equal(t, []ledger.Fingerprint{7}, s.Crash(now.Add(time.Minute), "c/1", exposure(7, 60, 61)))
		assert.Equal(t, quarantineTime, s.Held(now.Add(time.Minute), 7))
	})
	t.Run("one crash that two routers saw is one", func(t *testing.T) {
		s := &Suspects{}
		s.Crash(now, "a/1", exposure(7, 1, 2))
		assert.Equal(t, 0, len(s.Crash(now, "a/1", exposure(7, 3, 4))))
	})
	t.Run("the same endpoint started again and crashed again", func(t *testing.T) {
		s := &Suspects{}
		s.Crash(now, "a/1", exposure(7, 1, 2))
		assert.Equal(t, 1, len(s.Crash(now, "a/2", exposure(7, 5, 6))))
	})
	t.Run("equal requests at endpoints that crash together are not held", func(t *testing.T) {
		s := &Suspects{}
		s.Crash(now, "a/1", exposure(7, 1, 2))
		s.Crash(now, "b/1", exposure(7, 1.9, 2.1))
		assert.Equal(t, 0, len(s.Crash(now, "c/1", exposure(7, 1.5, 2.2))))
		assert.Equal(t, time.Duration(0), s.Held(now, 7))
	})
	t.Run("one that completed in between is not held", func(t *testing.T) {
		s := &Suspects{}
		s.Crash(now, "a/1", exposure(7, 1, 2))
		assert.Equal(t, true, s.Complete(7, now))
		assert.Equal(t, 0, len(s.Crash(now, "b/1", exposure(7, 11, 12))))
	})
	t.Run("an answer from before the crash clears nothing", func(t *testing.T) {
		s := &Suspects{}
		s.Crash(now, "a/1", exposure(7, 1, 2))
		assert.Equal(t, false, s.Complete(7, start().Add(time.Second)))
		assert.Equal(t, 1, len(s.Crash(now, "b/1", exposure(7, 3, 4))))
	})
	t.Run("suspicion ends", func(t *testing.T) {
		s := &Suspects{}
		s.Crash(now, "a/1", exposure(7, 1, 2))
		s.Crash(now.Add(suspicionTime), "b/1", exposure(8, 1, 2))
		assert.Equal(t, 1, s.Len())
	})
	t.Run("any order of crashes keeps their number bounded", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			s := &Suspects{}
			at := start()
			sent := make(map[ledger.Fingerprint]int)
			for i := range rapid.IntRange(1, 50).Draw(t, "steps") {
				at = at.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
				f := ledger.Fingerprint(rapid.IntRange(1, 4).Draw(t, "request"))
				if s.Held(at, f) > 0 {
					continue
				}
				sent[f]++
				s.Crash(at, fmt.Sprintf("crash-%d", i), []Exposure{{Fingerprint: f, Begun: at, Broke: at.Add(time.Millisecond)}})
			}
			for f, n := range sent {
				check(t, n <= 3, "request %d was sent to %d endpoints that it crashed", f, n)
			}
		})
	})
}
