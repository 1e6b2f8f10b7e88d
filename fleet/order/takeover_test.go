package order

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTakeoverNeverOverlaps guards against a new claim holder that sends an order too early: the former holder crashes
// while its order is in transit to an engine that doesn't check fencing numbers, and that order arrives up to
// maxSendDelay later.
func TestTakeoverNeverOverlaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, counts: map[string]int{}}
		s.drawSetup(true)
		s.faultFree = true
		for _, e := range s.engines {
			e.target.ChecksFencing = false
			for number := range s.targets {
				for i := range s.targets[number] {
					s.targets[number][i].ChecksFencing = false
				}
			}
		}
		pause := time.Duration(rapid.IntRange(8000, int(maxSendDelay/time.Millisecond)).Draw(t, "pause")) * time.Millisecond
		crashed := false
		for range 400 {
			s.advance(250 * time.Millisecond)
			for _, f := range slices.Clone(s.orderers) {
				s.runOrderer(f)
				i := slices.IndexFunc(s.packets, func(p packet) bool { return p.send != nil && p.sender == f })
				if i >= 0 && !crashed {
					crashed = true
					s.packets[i].arriveAt = s.now.Add(pause)
					s.orderers = slices.DeleteFunc(s.orderers, func(o *fakeOrderer) bool { return o == f })
				}
			}
		}
	})
}
