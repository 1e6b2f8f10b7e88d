package ledger

import (
	"testing"

	"pgregory.net/rapid"
)

func TestAttemptWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w attemptWindow
		used, highest := make(map[uint64]bool), uint64(0)
		for _, step := range rapid.SliceOfN(rapid.IntRange(-1100, 600), 0, 100).Draw(t, "steps") {
			n := uint64(max(0, int(highest)+step))
			expected := used[n] || n+attemptWindowSize <= highest
			if w.contains(n) != expected {
				t.Fatalf("attempt %d below %d counts as used: %t", n, highest, !expected)
			}
			if !expected {
				w.add(n)
				used[n] = true
				highest = max(highest, n)
			}
		}
	})
}
