package load

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Runner sends one load. It must not be used again after Run.
type Runner struct {
	Settings

	client  *http.Client
	jobs    chan *job
	workers sync.WaitGroup

	mutex sync.Mutex
	// unhealthyUntil maps a target that refused a connection to the time at which it may be picked again.
	unhealthyUntil map[string]time.Time
	report         Report
	latency        distribution
	firstToken     distribution
	tokenGap       distribution
}

// Run sends the load and returns its report. It starts no request after Duration has passed or the context is done, and
// waits for the requests in flight.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	if err := r.Validate(); err != nil {
		return nil, fmt.Errorf("load settings: %w", err)
	}
	r.prepare()
	r.workers.Add(r.Concurrency)
	for range r.Concurrency {
		go r.work(context.WithoutCancel(ctx))
	}
	r.generate(ctx)
	r.workers.Wait()
	r.finish()
	return &r.report, nil
}

func (r *Runner) prepare() {
	r.client = &http.Client{Transport: &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: r.Concurrency,
		IdleConnTimeout:     r.Timeout,
		DisableCompression:  true,
	}}
	r.jobs = make(chan *job)
	r.unhealthyUntil = make(map[string]time.Time)
	r.report = Report{
		Started:  time.Now(),
		Seed:     r.Seed,
		Targets:  r.Targets,
		Outcomes: make(map[Outcome]int),
		Refusals: make(map[string]int),
		Retries:  make(map[string]int),
	}
	r.latency, r.firstToken, r.tokenGap = newDistribution(), newDistribution(), newDistribution()
}

// generate passes jobs to the workers at the configured rate and closes the channel at the end.
func (r *Runner) generate(ctx context.Context) {
	defer close(r.jobs)
	ctx, cancel := context.WithTimeout(ctx, r.Duration)
	defer cancel()
	limiter := rate.NewLimiter(rate.Limit(r.Rate), 1)
	for index := range r.Requests {
		next := newJob(&r.Settings, index)
		if r.Rate > 0 {
			if limiter.Wait(ctx) != nil {
				return
			}
			next.scheduledAt = time.Now()
		}
		select {
		case r.jobs <- next:
		case <-ctx.Done():
			return
		}
	}
}

// work processes jobs until the channel is closed.
func (r *Runner) work(ctx context.Context) {
	defer r.workers.Done()
	for next := range r.jobs {
		r.process(ctx, next)
	}
}

// process sends a job's request until an attempt succeeds, an attempt fails in a way that must not be retried, or all attempts
// are used up. It records the result.
func (r *Runner) process(ctx context.Context, j *job) {
	start := j.scheduledAt
	if start.IsZero() {
		start = time.Now()
	}
	request := Request{index: j.index, Key: j.key, Team: j.team.Name, Budget: j.budget, Kind: j.kind, CostBound: j.costBound}
	result := attemptResult{}
	for attempt := range r.Attempts {
		if attempt > 0 {
			time.Sleep(r.retryWait(result, attempt, j.random))
		}
		result = r.sendWithFailover(ctx, j, &request)
		if !result.retryable {
			break
		}
	}
	request.Outcome = result.outcome
	request.Verdict = result.attempt.Verdict
	request.Code = result.attempt.Code
	request.Detail = result.attempt.Error
	request.Latency = toMilliseconds(time.Since(start))
	r.record(request, result, start)
}

// sendWithFailover sends the request to one target. If no connection can be established, it marks the target unhealthy and
// picks again as a load balancer does, up to as many times as there are targets.
func (r *Runner) sendWithFailover(ctx context.Context, j *job, request *Request) attemptResult {
	result := attemptResult{}
	for range j.targets {
		target := r.pickTarget(j.targets, result.attempt.Target, j.random)
		attemptStart := time.Now()
		result = r.sendAttempt(ctx, j, target)
		result.attempt.Start = toMilliseconds(attemptStart.Sub(r.report.Started))
		result.attempt.Latency = toMilliseconds(time.Since(attemptStart))
		request.Attempts = append(request.Attempts, result.attempt)
		if !result.connectFailed {
			break
		}
		r.markUnhealthy(target)
	}
	return result
}

// retryBackoff is the mean delay before the first retry if the answer has no Retry-After header. It doubles with each of
// the next five retries.
const retryBackoff = 50 * time.Millisecond

// retryWait returns the delay from the Retry-After header, or an exponential backoff with jitter if the answer has none.
// MaxRetryWait is the upper bound of both.
func (r *Runner) retryWait(last attemptResult, attempt int, random *rand.Rand) time.Duration {
	if last.retryAfter > 0 {
		return min(last.retryAfter, r.MaxRetryWait)
	}
	backoff := retryBackoff << min(attempt-1, 5)
	return min(backoff/2+time.Duration(random.Int64N(int64(backoff))), r.MaxRetryWait)
}

// unhealthyPeriod is the time for which a target that refused a connection is not picked.
const unhealthyPeriod = 5 * time.Second

// pickTarget picks a random target as a load balancer with health checks does. It prefers healthy targets other than the
// last one, then any healthy target, then any target.
func (r *Runner) pickTarget(targets []string, lastTarget string, random *rand.Rand) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	healthy := slices.DeleteFunc(slices.Clone(targets), func(t string) bool { return now.Before(r.unhealthyUntil[t]) })
	others := slices.DeleteFunc(slices.Clone(healthy), func(t string) bool { return t == lastTarget })
	for _, candidates := range [][]string{others, healthy} {
		if len(candidates) > 0 {
			return candidates[random.IntN(len(candidates))]
		}
	}
	return targets[random.IntN(len(targets))]
}

// markUnhealthy excludes a target from selection for unhealthyPeriod.
func (r *Runner) markUnhealthy(target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unhealthyUntil[target] = time.Now().Add(unhealthyPeriod)
}

func (r *Runner) record(request Request, result attemptResult, start time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if request.Outcome == Completed {
		r.latency.add(time.Since(start))
		request.Usage = result.received.totalTokens
		if !result.received.firstToken.IsZero() {
			first := result.received.firstToken.Sub(start)
			request.FirstToken = toMilliseconds(first)
			r.firstToken.add(first)
		}
		for _, gap := range result.received.tokenGaps {
			r.tokenGap.add(gap)
		}
	}
	r.report.Outcomes[request.Outcome]++
	if request.Code != "" {
		r.report.Refusals[request.Code]++
	}
	for _, attempt := range request.Attempts[:len(request.Attempts)-1] {
		r.report.Retries[retryCause(attempt)]++
	}
	r.report.Requests = append(r.report.Requests, request)
}

func retryCause(attempt Attempt) string {
	if attempt.Code != "" {
		return attempt.Code
	}
	return "connection"
}

func (r *Runner) finish() {
	slices.SortFunc(r.report.Requests, func(a, b Request) int { return cmp.Compare(a.index, b.index) })
	r.report.Seconds = time.Since(r.report.Started).Seconds()
	r.report.RefusalsOverTime = countRefusals(r.report.Requests, r.report.Seconds)
	r.report.Latency = r.latency.percentiles()
	r.report.FirstToken = r.firstToken.percentiles()
	r.report.TokenGap = r.tokenGap.percentiles()
	r.client.CloseIdleConnections()
}
