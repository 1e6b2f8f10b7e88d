package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Comparison holds two reports to compare, such as one of a load on routers and one of the same load sent straight to their
// endpoints.
type Comparison struct {
	Base  *Report
	Other *Report
}

// WriteTable writes a text table of both reports and the differences of their counts and percentiles.
func (c Comparison) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintf(table, "\t%s\t%s\tdifference\n", c.Base.Name, c.Other.Name)
	_, _ = fmt.Fprintf(table, "requests\t%d\t%d\n", len(c.Base.Requests), len(c.Other.Requests))
	_, _ = fmt.Fprintf(table, "requests per second\t%.1f\t%.1f\n", c.Base.rate(), c.Other.rate())
	compareCounts(table, "outcome", c.Base.Outcomes, c.Other.Outcomes)
	compareCounts(table, "refusal", c.Base.Refusals, c.Other.Refusals)
	compareCounts(table, "retry", c.Base.Retries, c.Other.Retries)
	comparePercentiles(table, "latency", c.Base.Latency, c.Other.Latency)
	comparePercentiles(table, "first token", c.Base.FirstToken, c.Other.FirstToken)
	comparePercentiles(table, "token gap", c.Base.TokenGap, c.Other.TokenGap)
	compareFindings(table, c.Base.Findings, c.Other.Findings)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func (r *Report) rate() float64 {
	if r.Seconds <= 0 {
		return 0
	}
	return float64(len(r.Requests)) / r.Seconds
}

// compareCounts writes a row for each name that occurs in at least one of the two reports.
func compareCounts[K ~string](w io.Writer, title string, base, other map[K]int) {
	names := slices.Concat(slices.Collect(maps.Keys(base)), slices.Collect(maps.Keys(other)))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		_, _ = fmt.Fprintf(w, "%s %s\t%d\t%d\t%+d\n", title, name, base[name], other[name], other[name]-base[name])
	}
}

func comparePercentiles(w io.Writer, title string, base, other Percentiles) {
	if base.Count == 0 && other.Count == 0 {
		return
	}
	row := func(name string, from, to Milliseconds) {
		_, _ = fmt.Fprintf(w, "%s %s, ms\t%.2f\t%.2f\t%+.2f\n", title, name, from, to, to-from)
	}
	row("mean", base.Mean, other.Mean)
	row("p50", base.P50, other.P50)
	row("p95", base.P95, other.P95)
	row("p99", base.P99, other.P99)
	row("max", base.Max, other.Max)
}

// compareFindings writes the findings of the command check if both reports contain them.
func compareFindings(w io.Writer, base, other *Findings) {
	if base == nil || other == nil {
		return
	}
	_, _ = fmt.Fprintf(w, "overspend, tokens\t%d\t%d\t%+d\n", base.Overspend, other.Overspend, other.Overspend-base.Overspend)
	compareCounts(w, "false refusal", base.FalseRefusals, other.FalseRefusals)
	compareCounts(w, "broken promise", base.BrokenPromises, other.BrokenPromises)
}
