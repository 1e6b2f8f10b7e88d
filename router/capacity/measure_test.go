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

// repeats is the number of runs whose median counts.
const repeats = 3

// pageVariable names the page to be rewritten; without it nothing is measured.
const pageVariable = "CAPACITY_PAGE"

// series are the measurements behind one slope.
type series struct {
	Name, Unit string
	Points     []point
}

// results gathers the series in the order in which they were measured.
type results struct {
	tb     testing.TB
	series []*series
}

func (r *results) must(err error) {
	if err != nil {
		r.tb.Fatal(err)
	}
}

func (r *results) point(name, unit string, p point) {
	i := slices.IndexFunc(r.series, func(s *series) bool { return s.Name == name })
	if i < 0 {
		i = len(r.series)
		r.series = append(r.series, &series{Name: name, Unit: unit})
	}
	r.series[i].Points = append(r.series[i].Points, p)
}

// add measures at each size as often as stated and keeps the medians.
func (r *results) add(name, unit string, sizes []int, runs int, measure func(n int) float64) {
	for _, n := range sizes {
		values := make([]float64, runs)
		for i := range values {
			values[i] = measure(n)
		}
		r.point(name, unit, point{float64(n), median(values)})
	}
}

// heap measures the live bytes of what build returns; each size counts for scale things.
func (r *results) heap(name, thing string, sizes []int, build func(n int) any, scale ...float64) {
	factor := 1.0
	for _, f := range scale {
		factor *= f
	}
	for _, n := range sizes {
		before := heapBytes()
		built := build(n)
		r.point("heap: "+name, "B/"+thing, point{float64(n) * factor, heapBytes() - before})
		runtime.KeepAlive(built)
	}
}

// timed adds the median processor time of a call.
func (r *results) timed(name string, n int, call func() error) {
	r.add(name, "µs/budget", []int{n}, repeats, func(int) float64 {
		return processorTime(func() { r.must(call()) }).Seconds() * 1e6
	})
}

// slope returns the fitted slope of a series; a missing one is a mistake of the sums.
func (r *results) slope(name string) float64 {
	for _, s := range r.series {
		if s.Name == name {
			return fit(s.Points).Slope
		}
	}
	r.tb.Fatalf("no series %q", name)
	return 0
}

func (r *results) table() string {
	rows := [][]string{{"Slope", "Sizes", "Measured", "Unit", "Slope", "At zero", "R²"}}
	for _, s := range r.series {
		var sizes, values []string
		for _, p := range s.Points {
			sizes, values = append(sizes, number(p.X)), append(values, number(p.Y))
		}
		l := fit(s.Points)
		rows = append(rows, []string{
			s.Name, strings.Join(sizes, "; "), strings.Join(values, "; "), s.Unit, number(l.Slope), number(l.AtZero), fmt.Sprintf("%.4f", l.R2),
		})
	}
	return table(rows)
}

func median(values []float64) float64 { return slices.Sorted(slices.Values(values))[len(values)/2] }

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTime returns the processor time that the process takes for a work on one core, collections of
// garbage included. Other load on the machine hardly changes it.
func processorTime(work func()) time.Duration {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runtime.GC()
	before := usedTime()
	work()
	return usedTime() - before
}

func usedTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMeasure writes the tables of the page that the environment names.
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
	r.must(err)
	text := string(page)
	for section, rows := range map[string]string{"slopes": r.table(), "sums": r.sums(), "roles": r.roleTable()} {
		t.Logf("%s\n%s", section, rows)
		text, err = replace(text, section, rows)
		r.must(err)
	}
	r.must(os.WriteFile(path, []byte(text), 0o600))
}
