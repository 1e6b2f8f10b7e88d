package capacity

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// measurementRuns is the number of runs of which the median is taken.
const measurementRuns = 3

// pageVariable is the environment variable with the path of the page to update. Without it, TestMeasure is skipped.
const pageVariable = "CAPACITY_PAGE"

// series holds the measurements from which one slope is fitted.
type series struct {
	Name, Unit string
	Points     []point
}

// results collects the series in the order of measurement.
type results struct {
	tb     testing.TB
	series []*series
}

func (r *results) requireNoError(err error) {
	if err != nil {
		r.tb.Fatal(err)
	}
}

func (r *results) addPoint(name, unit string, p point) {
	i := slices.IndexFunc(r.series, func(s *series) bool { return s.Name == name })
	if i < 0 {
		i = len(r.series)
		r.series = append(r.series, &series{Name: name, Unit: unit})
	}
	r.series[i].Points = append(r.series[i].Points, p)
}

// measure runs a measurement the given number of times at each size and adds the medians to a series.
func (r *results) measure(name, unit string, sizes []int, runs int, measure func(n int) float64) {
	for _, n := range sizes {
		values := make([]float64, runs)
		for i := range values {
			values[i] = measure(n)
		}
		r.addPoint(name, unit, point{float64(n), median(values)})
	}
}

// measureHeap adds the live heap bytes of the value that build returns for each size. The number of units is the size times
// the factors in scale.
func (r *results) measureHeap(name, unit string, sizes []int, build func(n int) any, scale ...float64) {
	factor := 1.0
	for _, f := range scale {
		factor *= f
	}
	for _, n := range sizes {
		before := liveHeapBytes()
		built := build(n)
		r.addPoint("heap: "+name, "B/"+unit, point{float64(n) * factor, liveHeapBytes() - before})
		runtime.KeepAlive(built)
	}
}

// measureCall adds the median CPU time of a call on n budgets, in microseconds, to a series.
func (r *results) measureCall(name string, n int, call func() error) {
	r.measure(name, "µs/budget", []int{n}, measurementRuns, func(int) float64 {
		return processorTime(func() { r.requireNoError(call()) }).Seconds() * 1e6
	})
}

// slope returns the fitted slope of a series. It fails the test if no series has the name, because then an estimate refers to
// a measurement that doesn't exist.
func (r *results) slope(name string) float64 {
	for _, s := range r.series {
		if s.Name == name {
			return fit(s.Points).Slope
		}
	}
	r.tb.Fatalf("no series %q", name)
	return 0
}

func (r *results) slopeTable() string {
	rows := [][]string{{"Slope", "Sizes", "Measured", "Unit", "Slope", "At zero", "R²"}}
	for _, s := range r.series {
		var sizes, values []string
		for _, p := range s.Points {
			sizes, values = append(sizes, formatNumber(p.X)), append(values, formatNumber(p.Y))
		}
		l := fit(s.Points)
		rows = append(rows, []string{
			s.Name, strings.Join(sizes, "; "), strings.Join(values, "; "), s.Unit, formatNumber(l.Slope), formatNumber(l.AtZero), fmt.Sprintf("%.4f", l.R2),
		})
	}
	return markdownTable(rows)
}

func median(values []float64) float64 { return slices.Sorted(slices.Values(values))[len(values)/2] }

func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTime returns the CPU time that the process uses for a call on one core, including garbage collection. Unlike the
// elapsed time, it hardly depends on other load on the machine.
func processorTime(call func()) time.Duration {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runtime.GC()
	before := processTime()
	call()
	return processTime() - before
}

func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMeasure measures all slopes and writes the tables of the page to which pageVariable points.
func TestMeasure(t *testing.T) {
	path := os.Getenv(pageVariable)
	if path == "" {
		t.Skipf("%s is not set; run make capacity", pageVariable)
	}
	r := &results{tb: t}
	for _, measure := range []func(*testing.T, *results){
		heapSlopes, configurationSlopes, endpointSlopes, copySlopes, recordSlopes, snapshotSlopes, readerSlopes, clientSlopes,
	} {
		measure(t, r)
		runtime.GC()
	}
	page, err := os.ReadFile(path)
	r.requireNoError(err)
	text := string(page)
	for section, rows := range map[string]string{"slopes": r.slopeTable(), "sums": r.estimateTable(), "roles": r.roleTable()} {
		t.Logf("%s\n%s", section, rows)
		text, err = replaceSection(text, section, rows)
		r.requireNoError(err)
	}
	r.requireNoError(os.WriteFile(path, []byte(text), 0o600))
}
