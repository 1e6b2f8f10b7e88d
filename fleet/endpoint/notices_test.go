package endpoint

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestNotices(t *testing.T) {
	now := start()
	t.Run("nothing asked", func(t *testing.T) {
		assert.Equal(t, AdmissionOpen, (&Notices{}).Admission(now, 1000))
	})
	t.Run("leaving", func(t *testing.T) {
		n := &Notices{}
		assert.Equal(t, true, n.RecordLeaving(now))
		assert.Equal(t, false, n.RecordLeaving(now.Add(time.Hour)))
		assert.Equal(t, AdmissionLastResort, n.Admission(now.Add(leavingGrace-1), 0))
		assert.Equal(t, AdmissionClosed, n.Admission(now.Add(leavingGrace), 0))
		assert.Equal(t, true, n.IsLeaving())
	})
	t.Run("pause", func(t *testing.T) {
		n := &Notices{}
		assert.Equal(t, true, n.RecordPause(now, 2*time.Second, 0))
		assert.Equal(t, false, n.RecordPause(now, time.Second, 0))
		assert.Equal(t, AdmissionClosed, n.Admission(now.Add(2*time.Second-1), 0))
		assert.Equal(t, time.Second, n.PauseLeft(now.Add(time.Second)))
		after := now.Add(2 * time.Second)
		assert.Equal(t, AdmissionOpen, n.Admission(after, 0))
		assert.Equal(t, AdmissionClosed, n.Admission(after, 1))
		n.RecordAccepted(now)
		assert.Equal(t, AdmissionClosed, n.Admission(after, 1))
		n.RecordAccepted(after)
		assert.Equal(t, AdmissionOpen, n.Admission(after, 1))
		for range maxTrialRequests {
			n.RecordAccepted(after)
		}
		assert.Equal(t, AdmissionOpen, n.Admission(after, 1000))
	})
	t.Run("pause of a leaving endpoint", func(t *testing.T) {
		n := &Notices{}
		n.RecordLeaving(now)
		n.RecordPause(now, time.Second, 0)
		assert.Equal(t, AdmissionClosed, n.Admission(now, 0))
	})
	t.Run("a longer pause than the bound", func(t *testing.T) {
		n := &Notices{}
		n.RecordPause(now, 100*time.Hour, 1)
		assert.Equal(t, MaxPause+maxPauseSpread, n.PauseLeft(now))
	})
}

func TestParsePause(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "0": 0, "-1": 0, "soon": 0, "NaN": 0, "-Inf": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
		"1": time.Second, "0.25": 250 * time.Millisecond, "600": MaxPause, "601": MaxPause, "1e300": MaxPause, "1e999": MaxPause, "Inf": MaxPause,
	} {
		t.Run(value, func(t *testing.T) { assert.Equal(t, want, ParsePause(value)) })
	}
}

// TestPauseEndBringsNoHerd plays routers that all have requests waiting for the end of an endpoint's pause, and counts those that
// reach it in the first 200 ms. Its answers take 50 ms.
func TestPauseEndBringsNoHerd(t *testing.T) {
	const answerTime, window, step = 50 * time.Millisecond, 200 * time.Millisecond, time.Millisecond
	for _, routers := range []int{6, 30} {
		arrived, atOnce := 0, 0
		for i := range routers {
			n := &Notices{}
			n.RecordPause(start(), time.Second, float64(i)/float64(routers))
			var inProgress []time.Time
			end := start().Add(time.Second)
			for now := end; now.Before(end.Add(window)); now = now.Add(step) {
				for len(inProgress) > 0 && !now.Before(inProgress[0].Add(answerTime)) {
					n.RecordAccepted(inProgress[0])
					inProgress = inProgress[1:]
				}
				for n.Admission(now, len(inProgress)) == AdmissionOpen {
					inProgress = append(inProgress, now)
					arrived++
					if now.Equal(end) {
						atOnce++
					}
				}
			}
		}
		t.Logf("%d routers: %d requests at the end of the pause, %d in the first %v", routers, atOnce, arrived, window)
		assert.Equal(t, true, atOnce <= 1)
		assert.Equal(t, true, arrived <= routers*15)
	}
}

// TestNoRequestInAPause guards against requests that reach an endpoint in a pause that it asked for, whatever came before.
func TestNoRequestInAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &Notices{}
		now, asked, left := start(), time.Time{}, false
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				pause := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond
				n.RecordPause(now, pause, rapid.Float64Range(0, 1).Draw(t, "spread"))
				asked = later(asked, now.Add(pause))
			case 1:
				n.RecordAccepted(now)
			case 2:
				left = left || rapid.IntRange(0, 9).Draw(t, "leaves") == 0
				if left {
					n.RecordLeaving(now)
				}
			}
			if now.Before(asked) && n.Admission(now, 0) != AdmissionClosed {
				t.Fatalf("admitted %v before the end of a pause", asked.Sub(now))
			}
			if left && n.Admission(now, 0) == AdmissionOpen {
				t.Fatal("a leaving endpoint is open")
			}
		}
	})
}
