package capacity

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// point is a measurement: the value Y at the size X.
type point struct{ X, Y float64 }

// line is a fitted line with its slope, its value at zero and the coefficient of determination.
type line struct{ Slope, AtZero, R2 float64 }

// fit returns the least-squares line through points of at least two different sizes.
func fit(points []point) line {
	n, x, y, xx, xy, yy := float64(len(points)), 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		x, y = x+p.X, y+p.Y
		xx, xy, yy = xx+p.X*p.X, xy+p.X*p.Y, yy+p.Y*p.Y
	}
	covariance, spread := n*xy-x*y, n*xx-x*x
	slope := covariance / spread
	r2 := 1.0
	if variance := n*yy - y*y; variance > 0 {
		r2 = covariance * covariance / (spread * variance)
	}
	return line{Slope: slope, AtZero: (y - slope*x) / n, R2: r2}
}

// formatNumber formats a value with three significant digits and without an exponent. It formats zero and values from 100 on
// as whole numbers.
func formatNumber(v float64) string {
	if v == 0 || math.Abs(v) >= 100 {
		return groupThousands(fmt.Sprintf("%.0f", v))
	}
	return strings.TrimSuffix(fmt.Sprintf("%.*f", max(0, 2-int(math.Floor(math.Log10(math.Abs(v))))), v), ".")
}

// groupThousands inserts a comma between each group of three digits of a whole number.
func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

// markdownTable returns a Markdown table whose first row is the header.
func markdownTable(rows [][]string) string {
	var text strings.Builder
	for i, row := range rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
		if i == 0 {
			text.WriteString("|" + strings.Repeat("---|", len(row)) + "\n")
		}
	}
	return text.String()
}

// errMarkers reports a page that lacks the begin or the end marker of a section.
var errMarkers = errors.New("the page lacks the begin or end marker of a section")

// replaceSection replaces the text between the begin and the end marker of a section of the page.
func replaceSection(page, section, text string) (string, error) {
	begin, end := "<!-- "+section+":begin -->\n", "<!-- "+section+":end -->"
	before, rest, found := strings.Cut(page, begin)
	_, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		return "", fmt.Errorf("%w: %s", errMarkers, section)
	}
	return before + begin + text + end + after, nil
}
