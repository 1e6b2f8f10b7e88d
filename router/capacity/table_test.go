package capacity

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// point is a value measured at a size.
type point struct{ X, Y float64 }

// line is a linear fit by least squares.
type line struct{ Slope, AtZero, R2 float64 }

// fit returns the line of least squares; it needs points at two sizes or more.
func fit(points []point) line {
	n, x, y, xx, xy, yy := float64(len(points)), 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		x, y = x+p.X, y+p.Y
		xx, xy, yy = xx+p.X*p.X, xy+p.X*p.Y, yy+p.Y*p.Y
	}
	covariance, spread := n*xy-x*y, n*xx-x*x
	slope := covariance / spread
	r2 := 1.0
	if rest := n*yy - y*y; rest > 0 {
		r2 = covariance * covariance / (spread * rest)
	}
	return line{Slope: slope, AtZero: (y - slope*x) / n, R2: r2}
}

// number writes a value with three significant digits and no exponent.
func number(v float64) string {
	if v == 0 || math.Abs(v) >= 100 {
		return group(fmt.Sprintf("%.0f", v))
	}
	return strings.TrimSuffix(fmt.Sprintf("%.*f", max(0, 2-int(math.Floor(math.Log10(math.Abs(v))))), v), ".")
}

// group separates the thousands of a whole number.
func group(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

// table returns a Markdown table.
func table(rows [][]string) string {
	var text strings.Builder
	for i, row := range rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
		if i == 0 {
			text.WriteString("|" + strings.Repeat("---|", len(row)) + "\n")
		}
	}
	return text.String()
}

// errMarkers reports a page without the marks of a section.
var errMarkers = errors.New("the page lacks the marks of a section")

// replace puts a text between the marks of a section of the page.
func replace(page, section, text string) (string, error) {
	begin, end := "<!-- "+section+":begin -->\n", "<!-- "+section+":end -->"
	before, rest, found := strings.Cut(page, begin)
	_, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		return "", fmt.Errorf("%w: %s", errMarkers, section)
	}
	return before + begin + text + end + after, nil
}

func TestFit(t *testing.T) {
	approximately := cmpopts.EquateApprox(0, 1e-9)
	for name, row := range map[string]struct {
		Points []point
		Want   line
	}{
		"on a line":  {[]point{{1, 5}, {2, 7}, {4, 11}}, line{Slope: 2, AtZero: 3, R2: 1}},
		"constant":   {[]point{{1, 5}, {2, 5}, {3, 5}}, line{AtZero: 5, R2: 1}},
		"off a line": {[]point{{0, 0}, {1, 2}, {2, 1}}, line{Slope: 0.5, AtZero: 0.5, R2: 0.25}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(row.Want, fit(row.Points), approximately); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReplace(t *testing.T) {
	got, err := replace("a\n<!-- x:begin -->\nold\n<!-- x:end -->\nb\n", "x", "new\n")
	if diff := cmp.Diff("a\n<!-- x:begin -->\nnew\n<!-- x:end -->\nb\n", got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if _, err := replace("a\n", "x", "new\n"); !errors.Is(err, errMarkers) {
		t.Errorf("error %v", err)
	}
}

func TestNumber(t *testing.T) {
	got := []string{number(0), number(0.01234), number(1.5), number(37.84), number(1234567), number(-4321)}
	if diff := cmp.Diff([]string{"0", "0.0123", "1.50", "37.8", "1,234,567", "-4,321"}, got); diff != "" {
		t.Error(diff)
	}
}
