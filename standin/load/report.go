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

// Outcome is the result of a request as its caller observed it.
type Outcome string

// The outcomes of requests.
const (
	// Completed means that the caller received the whole answer to its own request.
	Completed Outcome = "Completed"
	// Refused means that the caller received an error status instead of an answer.
	Refused Outcome = "Refused"
	// Broken means that a streamed answer ended with an error event.
	Broken Outcome = "Broken"
	// Disconnected means that the connection failed before the answer or within it.
	Disconnected Outcome = "Disconnected"
	// WrongAnswer means that the caller received the answer to another request, or a part of one.
	WrongAnswer Outcome = "WrongAnswer"
	// CutAnswer means that the answer was incomplete although its connection ended without an error.
	CutAnswer Outcome = "CutAnswer"
)

// Attempt is one transmission of a request to a target.
type Attempt struct {
	Target string
	// Status is the HTTP status, or zero if no answer arrived.
	Status  int
	Verdict string
	Code    string
	Error   string
	// Start is the start of the attempt relative to the start of the load. Latency is the duration of the attempt.
	Start   Milliseconds
	Latency Milliseconds
}

// Request records one request of a load as its caller observed it.
type Request struct {
	index   int
	Key     string
	Team    string
	Budget  string
	Kind    Kind
	Outcome Outcome
	// Verdict and Code are the verdict header and the error code of the last attempt.
	Verdict  string
	Code     string
	Attempts []Attempt
	// Latency is the time from the start of the request to the end of its last attempt, FirstToken the time from the
	// start of the request to the first token of that attempt.
	Latency    Milliseconds
	FirstToken Milliseconds
	// Usage is the number of tokens that the answer reports, including the prompt; zero for plain calls.
	Usage int
	// CostBound is the upper bound on the cost of the request in tokens: the bytes of the body plus max_tokens for a model
	// call, the price for a plain call.
	CostBound int
	Detail    string
}

// IsNotRun reports whether every attempt was answered with the verdict that the request was not run.
func (r *Request) IsNotRun() bool {
	for _, attempt := range r.Attempts {
		if attempt.Verdict != verdict.NotRun.String() || attempt.Status == http.StatusOK {
			return false
		}
	}
	return len(r.Attempts) > 0
}

// Milliseconds is a duration in milliseconds, as reports encode it.
type Milliseconds float64

func toMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

func (m Milliseconds) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Percentiles summarises a distribution of durations.
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

// Report is the result of a load. It is stored as JSON under the names of its fields.
type Report struct {
	Name    string
	Started time.Time
	// Seconds is the duration of the load.
	Seconds  float64
	Seed     uint64
	Targets  []string
	Outcomes map[Outcome]int
	// Refusals counts the requests whose last attempt had an error code, by code.
	Refusals map[string]int
	// Retries counts the attempts that were followed by another attempt, by error code, or as "connection" without a code.
	Retries map[string]int
	// RefusalsOverTime counts the refused attempts per interval.
	RefusalsOverTime []Interval
	// Latency, FirstToken and TokenGap include completed requests only.
	Latency    Percentiles
	FirstToken Percentiles
	TokenGap   Percentiles
	// Direct is the summary of the same requests sent straight to the endpoints; nil if no direct load was run.
	Direct *Report `json:",omitempty"`
	// Findings are the results of the command check; nil until it has recorded them.
	Findings *Findings `json:",omitempty"`
	Requests []Request
}

// Findings are the results of checking a load against the ledger and the endpoints' run counts.
type Findings struct {
	// Overspend is the maximum number of tokens by which the spent and shared tokens of a budget exceeded its prepaid total.
	Overspend int
	// FalseRefusals counts, by error code, the requests that were refused although their budget covered their cost.
	FalseRefusals map[string]int
	// BrokenPromises counts the violations of each broken promise, by the promise's name.
	BrokenPromises map[string]int
}

// InvalidAnswers returns the number of requests that got a wrong or an incomplete answer.
func (r *Report) InvalidAnswers() int { return r.Outcomes[WrongAnswer] + r.Outcomes[CutAnswer] }

// ReadReport reads a report from a JSON file.
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

// Write writes the report as indented JSON.
func (r *Report) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	minDuration       = 1
	maxDuration       = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// distribution is a histogram of durations.
type distribution struct{ histogram *hdrhistogram.Histogram }

func newDistribution() distribution {
	return distribution{hdrhistogram.New(minDuration, maxDuration, significantDigits)}
}

func (d distribution) add(value time.Duration) {
	_ = d.histogram.RecordValue(min(maxDuration, max(minDuration, value.Microseconds())))
}

func (d distribution) percentiles() Percentiles {
	valueAt := func(quantile float64) Milliseconds {
		return toMilliseconds(time.Duration(d.histogram.ValueAtQuantile(quantile)) * time.Microsecond)
	}
	return Percentiles{
		Count: d.histogram.TotalCount(),
		Mean:  Milliseconds(d.histogram.Mean() / float64(time.Millisecond/time.Microsecond)),
		P50:   valueAt(50),
		P90:   valueAt(90),
		P95:   valueAt(95),
		P99:   valueAt(99),
		P999:  valueAt(99.9),
		Max:   toMilliseconds(time.Duration(d.histogram.Max()) * time.Microsecond),
	}
}
