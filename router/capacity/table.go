package capacity

import (
	"errors"
	"fmt"
	"math"
	"strings"
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
