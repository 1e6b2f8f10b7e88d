package billing

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestMain fixes the seed of the property test, so that runs are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestTokens(t *testing.T) {
	for _, c := range []struct {
		name string
		d    Delivery
		want int64
	}{
		{"no output", Delivery{PromptTokens: 100, MaxOutputTokens: 50, EventTokens: 5}, 100},
		{"events", Delivery{PromptTokens: 100, MaxOutputTokens: 50, EventTokens: 5, Events: 3}, 115},
		{"a last event with fewer tokens", Delivery{PromptTokens: 100, MaxOutputTokens: 13, EventTokens: 5, Events: 3}, 113},
		{"a text", Delivery{PromptTokens: 100, MaxOutputTokens: 50, EventTokens: 5, IsUncounted: true}, 150},
		{"events and a text", Delivery{PromptTokens: 100, MaxOutputTokens: 50, EventTokens: 5, Events: 3, IsUncounted: true}, 150},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, c.d.Tokens()) })
	}
}

// TestTokensAreWithinTheReservation guards against bills above what was reserved, and below what was delivered.
func TestTokensAreWithinTheReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Delivery{
			PromptTokens: rapid.Int64Range(0, 1e6).Draw(t, "prompt"), MaxOutputTokens: rapid.Int64Range(0, 1e6).Draw(t, "output"),
			EventTokens: rapid.Int64Range(1, 100).Draw(t, "event tokens"), IsUncounted: rapid.Bool().Draw(t, "uncounted"),
		}
		delivered := rapid.Int64Range(0, d.MaxOutputTokens).Draw(t, "delivered")
		if !d.IsUncounted {
			d.Events = (delivered + d.EventTokens - 1) / d.EventTokens
		}
		got := d.Tokens()
		if got < d.PromptTokens+delivered || got > d.PromptTokens+d.MaxOutputTokens {
			t.Fatalf("%d tokens billed, %d delivered of %+v", got, delivered, d)
		}
	})
}
