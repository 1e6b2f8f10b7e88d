package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

const tablePadding = 2

// WriteTable writes a summary of the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	row := func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				_, _ = fmt.Fprint(table, "\t")
			}
			_, _ = fmt.Fprint(table, cell)
		}
		_, _ = fmt.Fprintln(table)
	}
	row("requests", len(r.Requests))
	row("seconds", fmt.Sprintf("%.1f", r.Seconds))
	counts(row, "outcome", r.Outcomes)
	counts(row, "refusal", r.Refusals)
	counts(row, "retry", r.Retries)
	row("milliseconds", "count", "mean", "p50", "p95", "p99", "max")
	percentiles(row, "latency", r.Latency)
	percentiles(row, "first token", r.FirstToken)
	percentiles(row, "token gap", r.TokenGap)
	r.directRows(row)
	r.findingRows(row)
	r.refusalRows(row)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// counts writes a row for each count, in the order of names.
func counts[K ~string](row func(...any), title string, counted map[K]int) {
	for _, name := range slices.Sorted(maps.Keys(counted)) {
		row(title, string(name), counted[name])
	}
}

func percentiles(row func(...any), title string, p Percentiles) {
	if p.Count == 0 {
		return
	}
	row(title, p.Count, number(p.Mean), number(p.P50), number(p.P95), number(p.P99), number(p.Max))
}

func number(m Milliseconds) string { return fmt.Sprintf("%.2f", float64(m)) }

// directRows writes what the endpoints themselves took, and what the routers added to it.
func (r *Report) directRows(row func(...any)) {
	if r.Direct == nil {
		return
	}
	percentiles(row, "direct latency", r.Direct.Latency)
	percentiles(row, "direct first token", r.Direct.FirstToken)
	percentiles(row, "direct token gap", r.Direct.TokenGap)
	percentiles(row, "added latency", r.Latency.minus(r.Direct.Latency))
	percentiles(row, "added first token", r.FirstToken.minus(r.Direct.FirstToken))
	percentiles(row, "added token gap", r.TokenGap.minus(r.Direct.TokenGap))
}

// refusalRows writes the intervals in which anything was refused, with a column for each code.
func (r *Report) refusalRows(row func(...any)) {
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

func (r *Report) findingRows(row func(...any)) {
	if r.Findings == nil {
		return
	}
	row("overspend, tokens", r.Findings.Overspend)
	counts(row, "false refusal", r.Findings.FalseRefusals)
	counts(row, "broken promise", r.Findings.BrokenPromises)
}
