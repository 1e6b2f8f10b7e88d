package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// tablePadding is the number of spaces between the columns of a table.
const tablePadding = 2

// WriteTable writes a summary of the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	writeRow := func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				_, _ = fmt.Fprint(table, "\t")
			}
			_, _ = fmt.Fprint(table, cell)
		}
		_, _ = fmt.Fprintln(table)
	}
	writeRow("requests", len(r.Requests))
	writeRow("seconds", fmt.Sprintf("%.1f", r.Seconds))
	writeCounts(writeRow, "outcome", r.Outcomes)
	writeCounts(writeRow, "refusal", r.Refusals)
	writeCounts(writeRow, "retry", r.Retries)
	writeRow("milliseconds", "count", "mean", "p50", "p95", "p99", "max")
	writePercentiles(writeRow, "latency", r.Latency)
	writePercentiles(writeRow, "first token", r.FirstToken)
	writePercentiles(writeRow, "token gap", r.TokenGap)
	r.writeDirect(writeRow)
	r.writeFindings(writeRow)
	r.writeRefusals(writeRow)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// writeCounts writes a row for each count, sorted by name.
func writeCounts[K ~string](row func(...any), title string, counts map[K]int) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		row(title, string(name), counts[name])
	}
}

func writePercentiles(row func(...any), title string, p Percentiles) {
	if p.Count == 0 {
		return
	}
	row(title, p.Count, formatMilliseconds(p.Mean), formatMilliseconds(p.P50), formatMilliseconds(p.P95), formatMilliseconds(p.P99), formatMilliseconds(p.Max))
}

func formatMilliseconds(m Milliseconds) string { return fmt.Sprintf("%.2f", float64(m)) }

// writeDirect writes the percentiles of the direct load and the latency that the routers add to them.
func (r *Report) writeDirect(row func(...any)) {
	if r.Direct == nil {
		return
	}
	writePercentiles(row, "direct latency", r.Direct.Latency)
	writePercentiles(row, "direct first token", r.Direct.FirstToken)
	writePercentiles(row, "direct token gap", r.Direct.TokenGap)
	writePercentiles(row, "added latency", r.Latency.subtract(r.Direct.Latency))
	writePercentiles(row, "added first token", r.FirstToken.subtract(r.Direct.FirstToken))
	writePercentiles(row, "added token gap", r.TokenGap.subtract(r.Direct.TokenGap))
}

// writeRefusals writes a row for each interval with at least one refusal and a column for each error code.
func (r *Report) writeRefusals(row func(...any)) {
	codes := refusalCodes(r.RefusalsOverTime)
	if len(codes) == 0 {
		return
	}
	header := []any{"refused from second"}
	for _, code := range codes {
		header = append(header, code)
	}
	row()
	row(header...)
	for _, interval := range r.RefusalsOverTime {
		if len(interval.Refusals) == 0 {
			continue
		}
		cells := []any{interval.Start}
		for _, code := range codes {
			cells = append(cells, interval.Refusals[code])
		}
		row(cells...)
	}
}

func (r *Report) writeFindings(row func(...any)) {
	if r.Findings == nil {
		return
	}
	row("overspend, tokens", r.Findings.Overspend)
	writeCounts(row, "false refusal", r.Findings.FalseRefusals)
	writeCounts(row, "broken promise", r.Findings.BrokenPromises)
}
