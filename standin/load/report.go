package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of requests.
const (
	// Completed requests got their own whole answer.
	Completed Outcome = "Completed"
	// Refused requests got an error instead of an answer.
	Refused Outcome = "Refused"
	// Broken requests got a part of their answer and then an error.
	Broken Outcome = "Broken"
	// Disconnected requests got nothing, or a part of their answer and then the end of the connection.
	Disconnected Outcome = "Disconnected"
	// WrongAnswer requests got the answer to another request.
	WrongAnswer Outcome = "WrongAnswer"
	// CutAnswer requests got an answer that ended in order but was not whole.
	CutAnswer Outcome = "CutAnswer"
)

// Attempt is one try of a request.
type Attempt struct {
	Target string
	// Status is the HTTP status; zero if there was no answer.
	Status  int
	Verdict string
	Code    string
	Error   string
	// Start is the time from the load's beginning to the attempt's, Latency that from there to its end.
	Start   Milliseconds
	Latency Milliseconds
}

// Request is one request as its caller saw it.
type Request struct {
	index   int
	Key     string
	Team    string
	Budget  string
	Kind    Kind
	Outcome Outcome
	// Verdict and Code are those of the last attempt.
	Verdict  string
	Code     string
	Attempts []Attempt
	// Latency is the time from the request's beginning to the end of its last attempt, FirstToken that to the
	// first token of the last attempt.
	Latency    Milliseconds
	FirstToken Milliseconds
	// Usage is the count of tokens that the answer reports, prompt included; zero for plain calls.
	Usage int
	// CostBound is the most that the request can cost: a token for each byte of a model call's body and for each of its
	// answer's limit, or the price of a plain call.
	CostBound int
	Detail    string
}

// IsNotRun reports whether the caller was told of every attempt that the request was not run.
func (r *Request) IsNotRun() bool {
	for _, attempt := range r.Attempts {
		if attempt.Verdict != verdict.NotRun.String() || attempt.Status == http.StatusOK {
			return false
		}
	}
	return len(r.Attempts) > 0
}

// Milliseconds is a duration in a report.
type Milliseconds float64

func milliseconds(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

func (m Milliseconds) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Percentiles summarise a distribution of durations.
type Percentiles struct {
	Count int64
	Mean  Milliseconds
	P50   Milliseconds
	P90   Milliseconds
	P95   Milliseconds
	P99   Milliseconds
	P999  Milliseconds
	Max   Milliseconds
}

// Report is the result of a load.
type Report struct {
	Name    string
	Started time.Time
	// Seconds is how long the load took.
	Seconds  float64
	Seed     uint64
	Targets  []string
	Outcomes map[Outcome]int
	// Refusals counts the requests that ended with a code.
	Refusals map[string]int
	// Retries counts the attempts that were tried again, by code or error.
	Retries map[string]int
	// RefusalsOverTime counts the refused attempts of each interval.
	RefusalsOverTime []Interval
	// Completed requests alone enter the distributions.
	Latency    Percentiles
	FirstToken Percentiles
	TokenGap   Percentiles
	// Direct is what the same requests met at the endpoints themselves; nil if that was not measured.
	Direct *Report `json:",omitempty"`
	// Findings are what a check wrote into the report; nil before.
	Findings *Findings `json:",omitempty"`
	Requests []Request
}

// Findings are what a check found out about a load from the ledger and the endpoints.
type Findings struct {
	// Overspend is the most tokens by which what a budget had spent and shared out exceeded its prepaid total.
	Overspend int
	// FalseRefusals counts by code the requests that were refused although their budget could have paid.
	FalseRefusals map[string]int
	// BrokenPromises counts the cases of each promise that was broken.
	BrokenPromises map[string]int
}

// Faults counts the requests whose answer broke a promise.
func (r *Report) Faults() int { return r.Outcomes[WrongAnswer] + r.Outcomes[CutAnswer] }

// ReadReport reads a report from a file.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the path is the user's argument
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decode report %s: %w", path, err)
	}
	return r, nil
}

// Write writes the report as JSON.
func (r *Report) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// Bounds and precision of the histograms, in microseconds and digits.
const (
	lowestDuration  = 1
	highestDuration = int64(10 * time.Minute / time.Microsecond)
	digits          = 3
)

// distribution collects durations.
type distribution struct{ histogram *hdrhistogram.Histogram }

func newDistribution() distribution {
	return distribution{hdrhistogram.New(lowestDuration, highestDuration, digits)}
}

func (d distribution) add(value time.Duration) {
	_ = d.histogram.RecordValue(min(highestDuration, max(lowestDuration, value.Microseconds())))
}

func (d distribution) percentiles() Percentiles {
	at := func(quantile float64) Milliseconds {
		return milliseconds(time.Duration(d.histogram.ValueAtQuantile(quantile)) * time.Microsecond)
	}
	return Percentiles{
		Count: d.histogram.TotalCount(),
		Mean:  Milliseconds(d.histogram.Mean() / float64(time.Millisecond/time.Microsecond)),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   milliseconds(time.Duration(d.histogram.Max()) * time.Microsecond),
	}
}
