package order

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTakeoverNeverOverlaps lets an orderer die while its order is on the way to an engine that doesn't check.
func TestTakeoverNeverOverlaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, seen: map[string]int{}}
		s.start(true)
		s.healed = true
		for _, e := range s.engines {
			e.target.ChecksFencing = false
			for number := range s.targets {
				for i := range s.targets[number] {
					s.targets[number][i].ChecksFencing = false
				}
			}
		}
		pause := time.Duration(rapid.IntRange(8000, int(longestPause/time.Millisecond)).Draw(t, "pause")) * time.Millisecond
		died := false
		for range 400 {
			s.advance(250 * time.Millisecond)
			for _, f := range slices.Clone(s.orderers) {
				s.run(f)
				i := slices.IndexFunc(s.packets, func(p packet) bool { return p.send != nil && p.from == f })
				if i >= 0 && !died {
					died = true
					s.packets[i].arriveAt = s.now.Add(pause)
					s.orderers = slices.DeleteFunc(s.orderers, func(o *fakeOrderer) bool { return o == f })
				}
			}
		}
	})
}
