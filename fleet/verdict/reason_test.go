package verdict

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestReasons(t *testing.T) {
	seen := make(map[Reason]bool)
	for _, d := range Reasons() {
		t.Run(string(d.Reason), func(t *testing.T) {
			if seen[d.Reason] {
				t.Fatalf("reason %s is listed twice", d.Reason)
			}
			seen[d.Reason] = true
			assertEqual(t, d, Describe(d.Reason))
		})
	}
	t.Run("unknown", func(t *testing.T) {
		assertEqual(t, Internal, Describe("no such reason").Reason)
	})
}

func TestOf(t *testing.T) {
	assertEqual(t, NotRun, Of(fmt.Errorf("reserving: %w", Refuse(BudgetExhausted, "no tokens left"))))
	assertEqual(t, MayHaveRun, Of(fmt.Errorf("connection reset")))
}

func assertEqual[T any](t *testing.T, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("unexpected value (-want +got):\n%s", diff)
	}
}
