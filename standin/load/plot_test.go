package load

import (
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestPlot(t *testing.T) {
	measured := &Report{
		Seconds: 3, Latency: Percentiles{Count: 9, P50: 2, Max: 70}, Direct: &Report{Latency: Percentiles{Count: 9, P50: 1}},
		RefusalsOverTime: countRefusals([]Request{{Attempts: []Attempt{{Code: "late", Start: 900, Latency: 200}, {Code: "cut"}, {}}}}, 3),
	}
	for name, c := range map[string]struct {
		report *Report
		shown  []string
	}{
		"nothing measured": {&Report{}, []string{"Percentiles", "No attempt was refused"}},
		"one value":        {&Report{Latency: Percentiles{Count: 1, P50: 1, Max: 1}}, []string{">latency<"}},
		"measured":         {measured, []string{">latency, through routers<", ">latency, direct<", ">cut<", ">late<"}},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := plotSVG(t, c.report), plotSVG(t, c.report)
			assert.Equal(t, first, second)
			for _, text := range c.shown {
				assert.Equal(t, true, strings.Contains(first, text))
			}
		})
	}
}

func plotSVG(t *testing.T, r *Report) string {
	t.Helper()
	var svg strings.Builder
	assert.NoError(t, r.WritePlot(&svg))
	return svg.String()
}

func TestRefusalsOverTime(t *testing.T) {
	requests := []Request{{Attempts: []Attempt{{Code: "a", Start: 1500}, {Code: "a", Start: 1600, Latency: 500}, {Status: 200}}}, {
		Attempts: []Attempt{{Code: "b", Start: 99_000}},
	}}
	assert.Equal(t, []Interval{
		{0, map[string]int{}}, {1, map[string]int{"a": 1}}, {2, map[string]int{"a": 1, "b": 1}},
	}, countRefusals(requests, 3))
	assert.Equal(t, 1, len(countRefusals(nil, 0)))
	assert.Equal(t, maxIntervals, len(countRefusals(nil, 10*maxIntervals)))
}
