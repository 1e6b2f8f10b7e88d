package endpoint

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// newExposures returns one exposure of a request; its times are in seconds after start.
func newExposures(f ledger.Fingerprint, sentAt, interruptedAt float64) []InterruptedExchange {
	at := func(seconds float64) time.Time { return start().Add(time.Duration(seconds * float64(time.Second))) }
	return []InterruptedExchange{{Fingerprint: f, SentAt: at(sentAt), InterruptedAt: at(interruptedAt)}}
}

func TestSuspects(t *testing.T) {
	now := start().Add(10 * time.Second)
	t.Run("a request that crashed two endpoints, one after the other, is blocked", func(t *testing.T) {
		s := &Suspects{}
		assert.Equal(t, 0, len(s.RecordCrash(now, "a/1", newExposures(7, 1, 2))))
		assert.Equal(t, time.Duration(0), s.BlockTimeLeft(now, 7))
		assert.Equal(t, []ledger.Fingerprint{7}, s.RecordCrash(now, "b/1", newExposures(7, 3, 4)))
		assert.Equal(t, probationDuration, s.BlockTimeLeft(now, 7))
		assert.Equal(t, time.Duration(0), s.BlockTimeLeft(now.Add(probationDuration), 7))
	})
	t.Run("a request that crashed a third endpoint is blocked longer", func(t *testing.T) {
		s := &Suspects{}
		s.RecordCrash(now, "a/1", newExposures(7, 1, 2))
		s.RecordCrash(now, "b/1", newExposures(7, 3, 4))
		assert.Equal(t, []ledger.Fingerprint{7}, s.RecordCrash(now.Add(time.Minute), "c/1", newExposures(7, 60, 61)))
		assert.Equal(t, quarantineDuration, s.BlockTimeLeft(now.Add(time.Minute), 7))
	})
	t.Run("one crash reported by two routers counts once", func(t *testing.T) {
		s := &Suspects{}
		s.RecordCrash(now, "a/1", newExposures(7, 1, 2))
		assert.Equal(t, 0, len(s.RecordCrash(now, "a/1", newExposures(7, 3, 4))))
	})
	t.Run("two crashes of the same endpoint count twice", func(t *testing.T) {
		s := &Suspects{}
		s.RecordCrash(now, "a/1", newExposures(7, 1, 2))
		assert.Equal(t, 1, len(s.RecordCrash(now, "a/2", newExposures(7, 5, 6))))
	})
	t.Run("requests with one fingerprint at endpoints that crash together are not blocked", func(t *testing.T) {
		s := &Suspects{}
		s.RecordCrash(now, "a/1", newExposures(7, 1, 2))
		s.RecordCrash(now, "b/1", newExposures(7, 1.9, 2.1))
		assert.Equal(t, 0, len(s.RecordCrash(now, "c/1", newExposures(7, 1.5, 2.2))))
		assert.Equal(t, time.Duration(0), s.BlockTimeLeft(now, 7))
	})
	t.Run("a request that completed in between is not blocked", func(t *testing.T) {
		s := &Suspects{}
		s.RecordCrash(now, "a/1", newExposures(7, 1, 2))
		assert.Equal(t, true, s.RecordCompletion(7, now))
		assert.Equal(t, 0, len(s.RecordCrash(now, "b/1", newExposures(7, 11, 12))))
	})
	t.Run("a response from before the crash clears no record", func(t *testing.T) {
		s := &Suspects{}
		s.RecordCrash(now, "a/1", newExposures(7, 1, 2))
		assert.Equal(t, false, s.RecordCompletion(7, start().Add(time.Second)))
		assert.Equal(t, 1, len(s.RecordCrash(now, "b/1", newExposures(7, 3, 4))))
	})
	t.Run("suspicion expires", func(t *testing.T) {
		s := &Suspects{}
		s.RecordCrash(now, "a/1", newExposures(7, 1, 2))
		s.RecordCrash(now.Add(suspicionDuration), "b/1", newExposures(8, 1, 2))
		assert.Equal(t, 1, s.Len())
	})
	t.Run("a request is sent to at most three endpoints that it crashes", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			s := &Suspects{}
			at := start()
			attempts := make(map[ledger.Fingerprint]int)
			for i := range rapid.IntRange(1, 50).Draw(t, "steps") {
				at = at.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
				f := ledger.Fingerprint(rapid.IntRange(1, 4).Draw(t, "request"))
				if s.BlockTimeLeft(at, f) > 0 {
					continue
				}
				attempts[f]++
				s.RecordCrash(at, fmt.Sprintf("crash-%d", i), []InterruptedExchange{{Fingerprint: f, SentAt: at, InterruptedAt: at.Add(time.Millisecond)}})
			}
			for f, n := range attempts {
				check(t, n <= 3, "request %d was sent to %d endpoints that it crashed", f, n)
			}
		})
	})
}
