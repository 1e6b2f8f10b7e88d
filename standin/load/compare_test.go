package load

import (
	"slices"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestComparison(t *testing.T) {
	base := &Report{
		Name:     "endpoint",
		Seconds:  2,
		Requests: make([]Request, 4),
		Outcomes: map[Outcome]int{Completed: 4},
		Latency:  Percentiles{Count: 4, P50: 2},
		Findings: &Findings{},
	}
	other := &Report{
		Name:     "router",
		Seconds:  1,
		Requests: make([]Request, 4),
		Outcomes: map[Outcome]int{Completed: 3, Refused: 1},
		Latency:  Percentiles{Count: 3, P50: 3.5},
		Findings: &Findings{Overspend: 7, FalseRefusals: map[string]int{"late": 2}},
		Direct:   base,

		RefusalsOverTime: []Interval{{0, map[string]int{}}, {2, map[string]int{"late": 3}}},
	}
	var table strings.Builder
	assert.Must(t, (Comparison{Base: base, Other: other}).WriteTable(&table))
	rows := rowsOf(&table)
	assert.Equal(t, []string{
		"endpoint router difference",
		"requests 4 4",
		"requests per second 2.0 4.0",
		"outcome Completed 4 3 -1",
		"outcome Refused 0 1 +1",
		"latency mean, ms 0.00 0.00 +0.00",
		"latency p50, ms 2.00 3.50 +1.50",
	}, rows[:7])
	assert.Equal(t, []string{"overspend, tokens 0 7 +7", "false refusal late 0 2 +2"}, rows[len(rows)-2:])
	assert.NoError(t, other.WriteTable(&table))
	for _, row := range []string{
		"direct latency 4 0.00 2.00 0.00 0.00 0.00", "added latency 3 0.00 1.50 0.00 0.00 0.00", "overspend, tokens 7", "false refusal late 2",
		"refused from second late", "2 3",
	} {
		assert.Equal(t, true, slices.Contains(rowsOf(&table), row))
	}
}

// rowsOf returns the rows of a text table with a single space between cells.
func rowsOf(table *strings.Builder) []string {
	var rows []string
	for line := range strings.Lines(table.String()) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	return rows
}
