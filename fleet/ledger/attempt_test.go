package ledger

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAttemptWindow compares the window with a set of all used numbers, for numbers that move up and down by more
// than the window's size. A stale bit would refuse an unused number or accept a used one.
func TestAttemptWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w attemptWindow
		used, highest := make(map[uint64]bool), uint64(0)
		for _, step := range rapid.SliceOfN(rapid.IntRange(-1100, 600), 0, 100).Draw(t, "steps") {
			n := uint64(max(0, int(highest)+step))
			expected := used[n] || n+attemptWindowSize <= highest
			if w.contains(n) != expected {
				t.Fatalf("attempt number %d with highest number %d: contains returned %t", n, highest, !expected)
			}
			if !expected {
				w.add(n)
				used[n] = true
				highest = max(highest, n)
			}
		}
	})
}
