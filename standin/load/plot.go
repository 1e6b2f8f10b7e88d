package load

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Width and height of the SVG image, and the gap between its two plots.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 22 * vg.Centimeter
	plotGap    = 8 * vg.Millimeter
)

// WritePlot draws the report as SVG, with the percentiles at the top and the refusals over time below them. The output is
// deterministic: equal reports give equal bytes.
func (r *Report) WritePlot(w io.Writer) error {
	latency, err := r.plotPercentiles()
	if err != nil {
		return fmt.Errorf("plot percentiles: %w", err)
	}
	refusals, err := r.plotRefusals()
	if err != nil {
		return fmt.Errorf("plot refusals: %w", err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: plotGap}
	for i, areas := range plot.Align([][]*plot.Plot{{latency}, {refusals}}, tiles, draw.New(canvas)) {
		[]*plot.Plot{latency, refusals}[i].Draw(areas[0])
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// plotPercentiles plots one line per distribution on a logarithmic scale.
func (r *Report) plotPercentiles() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Percentiles"
	p.Y.Label.Text = "milliseconds"
	p.NominalX("50", "90", "95", "99", "99.9", "100")
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	values := decadeRange{}
	for _, line := range r.percentileLines() {
		points := line.percentiles.points()
		values.add(points)
		lines = append(lines, line.name, points)
	}
	if len(lines) == 0 {
		return p, nil
	}
	err := plotutil.AddLinePoints(p, lines...)
	p.Y.Min, p.Y.Max = values.bounds()
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	return p, err
}

type percentileLine struct {
	name        string
	percentiles Percentiles
}

// percentileLines returns the distributions that contain at least one value, with their legend texts.
func (r *Report) percentileLines() []percentileLine {
	var lines []percentileLine
	add := func(suffix string, report *Report) {
		for _, line := range []percentileLine{
			{"latency", report.Latency}, {"first token", report.FirstToken}, {"token gap", report.TokenGap},
		} {
			if line.percentiles.Count > 0 {
				lines = append(lines, percentileLine{line.name + suffix, line.percentiles})
			}
		}
	}
	if r.Direct == nil {
		add("", r)
		return lines
	}
	add(", through routers", r)
	add(", direct", r.Direct)
	return lines
}

// minPlotted is the smallest plotted duration in milliseconds, equal to the lower bound of the histograms. A logarithmic
// scale can't show 0.
const minPlotted = 0.001

func (p Percentiles) points() plotter.XYs {
	points := make(plotter.XYs, 0)
	for i, value := range []Milliseconds{p.P50, p.P90, p.P95, p.P99, p.P999, p.Max} {
		points = append(points, plotter.XY{X: float64(i), Y: max(minPlotted, float64(value))})
	}
	return points
}

// decadeRange collects the exponents of the powers of ten that enclose all added points.
type decadeRange struct{ low, high float64 }

func (d *decadeRange) add(points plotter.XYs) {
	for _, point := range points {
		exponent := math.Log10(point.Y)
		if d.low == d.high {
			d.low, d.high = math.Floor(exponent), math.Floor(exponent)+1
		}
		d.low = min(d.low, math.Floor(exponent))
		d.high = max(d.high, math.Ceil(exponent))
	}
}

func (d *decadeRange) bounds() (low, high float64) { return math.Pow(10, d.low), math.Pow(10, d.high) }

// plotRefusals plots the number of refusals over time, one line per error code.
func (r *Report) plotRefusals() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Refused attempts by reason"
	p.X.Label.Text = "seconds since the start of the load"
	p.Y.Label.Text = "refusals per interval"
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, code := range refusalCodes(r.RefusalsOverTime) {
		points := make(plotter.XYs, 0)
		for _, interval := range r.RefusalsOverTime {
			points = append(points, plotter.XY{X: interval.Start, Y: float64(interval.Refusals[code])})
		}
		lines = append(lines, code, points)
	}
	if len(lines) == 0 {
		p.Title.Text = "No attempt was refused"
		p.X.Min, p.X.Max, p.Y.Max = 0, max(1, r.Seconds), 1
		return p, nil
	}
	return p, plotutil.AddLinePoints(p, lines...)
}
