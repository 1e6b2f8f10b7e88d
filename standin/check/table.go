package check

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

const (
	// tablePadding is the number of spaces between the columns of a table.
	tablePadding = 2
	// maxExamples is the maximum number of violations printed per promise.
	maxExamples = 10
)

// WriteTable writes text tables of the requests, the budgets and the promises.
func (e *Evidence) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	e.writeRequests(table)
	e.writeBudgets(table)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	writePromises(table, e.CheckPromises())
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func (e *Evidence) writeRequests(w io.Writer) {
	outcomes := make(map[load.Outcome]int)
	refusals := make(map[string]int)
	for _, r := range e.Requests {
		outcomes[r.Outcome]++
		if r.Outcome != load.Completed && r.Code != "" {
			refusals[r.Code]++
		}
	}
	_, _ = fmt.Fprintf(w, "requests\t%d\n", len(e.Requests))
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", outcome, outcomes[outcome])
	}
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		_, _ = fmt.Fprintf(w, "  %s\t%d\n", code, refusals[code])
	}
	settled := 0
	for _, partition := range e.Ledgers {
		settled += partition.settledBills
	}
	_, _ = fmt.Fprintf(w, "settled after a router failure\t%d\n", settled)
	falseRefusals := e.FalseRefusals()
	_, _ = fmt.Fprintf(w, "refused although the budget covered the cost\t%d\n", sum(falseRefusals))
	for _, code := range slices.Sorted(maps.Keys(falseRefusals)) {
		_, _ = fmt.Fprintf(w, "  %s\t%d\n", code, falseRefusals[code])
	}
	_, _ = fmt.Fprintln(w)
}

func (e *Evidence) writeBudgets(w io.Writer) {
	_, _ = fmt.Fprintln(w, "BUDGET\tPREPAID\tSPENT\tSHARED\tAVAILABLE\tOPEN")
	for _, b := range e.Ledgers.Budgets() {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", b.Budget, b.Prepaid, b.Spent, b.Shared, b.Available(), b.OpenRequests)
	}
	_, _ = fmt.Fprintln(w)
}

func writePromises(w io.Writer, promises []Promise) {
	_, _ = fmt.Fprintln(w, "BROKEN\tPROMISE")
	for _, p := range promises {
		_, _ = fmt.Fprintf(w, "%d\t%s\n", len(p.Broken), p.Name)
	}
	for _, p := range promises {
		for i, example := range p.Broken {
			if i == maxExamples {
				_, _ = fmt.Fprintf(w, "\t%s: and %d more\n", p.Name, len(p.Broken)-maxExamples)
				break
			}
			_, _ = fmt.Fprintf(w, "\t%s: %s\n", p.Name, example)
		}
	}
}
