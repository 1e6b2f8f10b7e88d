package endpoint

import (
	"errors"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestParseRateLimit(t *testing.T) {
	for _, c := range []struct {
		value  string
		want   float64
		isGood bool
	}{
		{"1.1", 1.1, true},
		{" 20 ", 20, true},
		{"", 0, true},
		{"0", MinRateLimit, true},
		{"1e-300", MinRateLimit, true},
		{"1e9", 0, true},
		{"1e999", 0, true},
		{"Inf", 0, true},
		{"-1", 0, false},
		{"-1e999", 0, false},
		{"NaN", 0, false},
		{"1,5", 0, false},
		{"many", 0, false},
	} {
		t.Run(c.value, func(t *testing.T) {
			got, err := ParseRateLimit(c.value)
			assert.Equal(t, c.want, got)
			assert.Equal(t, c.isGood, !errors.Is(err, ErrRateLimit))
		})
	}
}
