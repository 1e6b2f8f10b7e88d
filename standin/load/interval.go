package load

import (
	"maps"
	"slices"
	"time"
)

// maxIntervals bounds the intervals of a report.
const maxIntervals = 32

// Interval is a part of a load's time with what was refused in it.
type Interval struct {
	// Start is the time from the load's beginning to the interval's, in seconds.
	Start float64
	// Refusals counts the refused attempts by code, at the time of their answers. An attempt that was tried again counts too.
	Refusals map[string]int
}

// refusalsOverTime counts refusals in intervals of the same whole number of seconds, from the load's beginning to its end.
func refusalsOverTime(requests []Request, seconds float64) []Interval {
	width := 1.0
	for seconds/width > maxIntervals {
		width++
	}
	intervals := make([]Interval, 0, maxIntervals)
	for start := 0.0; start == 0 || start < seconds; start += width {
		intervals = append(intervals, Interval{Start: start, Refusals: make(map[string]int)})
	}
	for i := range requests {
		for _, attempt := range requests[i].Attempts {
			if attempt.Code == "" {
				continue
			}
			end := float64(attempt.Start+attempt.Latency) / float64(time.Second/time.Millisecond)
			intervals[min(int(end/width), len(intervals)-1)].Refusals[attempt.Code]++
		}
	}
	return intervals
}

// refusalCodes returns the codes of all intervals in the order of names.
func refusalCodes(intervals []Interval) []string {
	var codes []string
	for _, interval := range intervals {
		codes = slices.AppendSeq(codes, maps.Keys(interval.Refusals))
	}
	slices.Sort(codes)
	return slices.Compact(codes)
}
