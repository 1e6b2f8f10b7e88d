package capacity

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"

	"github.com/google/go-cmp/cmp"
)

// estimateTable returns the table of estimates in Markdown.
func (r *results) estimateTable() string {
	rows := [][]string{{"Sum", "Unit", "Letter", "Today", "Limit", "Letter / limit", "Today / limit"}}
	for _, s := range (model{slope: r.slope}).estimates() {
		required, current := s.Value(requiredSize), s.Value(currentSize)
		row := []string{s.What, s.Unit, formatNumber(required), formatNumber(current), s.Limit, "", ""}
		if s.Bound > 0 {
			row[5], row[6] = fmt.Sprintf("%s×", formatNumber(required/s.Bound)), fmt.Sprintf("%s×", formatNumber(current/s.Bound))
		}
		rows = append(rows, row)
	}
	return markdownTable(rows)
}

// roleTable returns the table of the resources of each role in Markdown.
func (r *results) roleTable() string {
	rows := [][]string{{"Role", "Messages", "Letter", "Today", "% of a core, letter", "Today", "MB, letter", "Today"}}
	for _, o := range (model{slope: r.slope}).roles() {
		row := []string{o.Name, o.Message}
		for _, value := range []func(fleet) float64{o.Messages, o.Core, o.Heap} {
			row = append(row, formatNumber(value(requiredSize)), formatNumber(value(currentSize)))
		}
		rows = append(rows, row)
	}
	return markdownTable(rows)
}

// TestPageLists guards against a page that lists other estimates than the model, or in another order: a change of the model
// without a run of make capacity.
func TestPageLists(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.Must(t, err)
	_, section, _ := strings.Cut(string(page), "<!-- sums:begin -->\n")
	section, _, _ = strings.Cut(section, "<!-- sums:end -->")
	var want, got []string
	for _, s := range (model{slope: func(string) float64 { return 1 }}).estimates() {
		want = append(want, s.What)
	}
	for i, row := range strings.Split(strings.TrimSpace(section), "\n") {
		if cells := strings.Split(row, " | "); i > 1 {
			got = append(got, strings.TrimPrefix(cells[0], "| "))
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("run make capacity:\n%s", diff)
	}
}
