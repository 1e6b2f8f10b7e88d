package ledger

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"

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

func TestOverspentSnapshotIsRefused(t *testing.T) {
	s := newPartition(1, 1)
	s.budgets.at(0).prepaid--
	s.budgets.at(0).shares[0].free[Working] = 1 << 40
	data, err := s.encode()
	assert.ErrorIs(t, err, nil)
	_, err = loadState(data)
	assert.ErrorIs(t, err, ErrInconsistent)
}
