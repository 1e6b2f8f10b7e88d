package verdict

import (
	"fmt"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestReasons(t *testing.T) {
	seen := make(map[Reason]bool)
	for _, d := range Reasons() {
		t.Run(string(d.Reason), func(t *testing.T) {
			if seen[d.Reason] {
				t.Fatalf("Reasons lists %s twice", d.Reason)
			}
			seen[d.Reason] = true
			assert.Equal(t, d, Describe(d.Reason))
		})
	}
	t.Run("unknown", func(t *testing.T) {
		assert.Equal(t, Internal, Describe("no such reason").Reason)
	})
}

func TestFromError(t *testing.T) {
	assert.Equal(t, NotRun, FromError(fmt.Errorf("reserving: %w", Refuse(BudgetExhausted, "no tokens left"))))
	assert.Equal(t, MayHaveRun, FromError(fmt.Errorf("connection reset")))
}
