package capacity

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"

	"github.com/google/go-cmp/cmp"
)

// sums returns the second table.
func (r *results) sums() string {
	rows := [][]string{{"Sum", "Unit", "Letter", "Today", "Limit", "Letter / limit", "Today / limit"}}
	for _, s := range (model{slope: r.slope}).sums() {
		at, now := s.Value(letter), s.Value(today)
		row := []string{s.What, s.Unit, number(at), number(now), s.Limit, "", ""}
		if s.Bound > 0 {
			row[5], row[6] = fmt.Sprintf("%s×", number(at/s.Bound)), fmt.Sprintf("%s×", number(now/s.Bound))
		}
		rows = append(rows, row)
	}
	return table(rows)
}

// roleTable returns what each role takes.
func (r *results) roleTable() string {
	rows := [][]string{{"Role", "Messages", "Letter", "Today", "% of a core, letter", "Today", "MB, letter", "Today"}}
	for _, o := range (model{slope: r.slope}).roles() {
		row := []string{o.Name, o.Message}
		for _, value := range []func(site) float64{o.Messages, o.Core, o.Heap} {
			row = append(row, number(value(letter)), number(value(today)))
		}
		rows = append(rows, row)
	}
	return table(rows)
}

// TestPageLists checks that the page's sums are those of the model, in its order.
func TestPageLists(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.Must(t, err)
	_, section, _ := strings.Cut(string(page), "<!-- sums:begin -->\n")
	section, _, _ = strings.Cut(section, "<!-- sums:end -->")
	var want, got []string
	for _, s := range (model{slope: func(string) float64 { return 1 }}).sums() {
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
