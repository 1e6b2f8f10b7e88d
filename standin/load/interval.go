package load

import (
	"maps"
	"slices"
	"time"
)

// maxIntervals is the maximum number of refusal intervals in a report.
const maxIntervals = 32

// Interval counts the attempts that were refused during one period of a load.
type Interval struct {
	// Start is the start of the interval in seconds since the start of the load.
	Start float64
	// Refusals counts, by error code, the attempts whose refusal arrived in the interval, including attempts that were
	// followed by a retry.
	Refusals map[string]int
}

// countRefusals counts refused attempts in consecutive intervals from the start to the end of the load. All intervals have
// the same length, the smallest whole number of seconds with which maxIntervals suffice.
func countRefusals(requests []Request, seconds float64) []Interval {
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

// refusalCodes returns the distinct error codes of all intervals in alphabetical order.
func refusalCodes(intervals []Interval) []string {
	var codes []string
	for _, interval := range intervals {
		codes = slices.AppendSeq(codes, maps.Keys(interval.Refusals))
	}
	slices.Sort(codes)
	return slices.Compact(codes)
}
