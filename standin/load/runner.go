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

// Runner sends a load. It is used once.
type Runner struct {
	Settings

	client *http.Client
	jobs   chan *job
	done   sync.WaitGroup

	mutex sync.Mutex
	// avoided says until when the balancer leaves out a target that refused a connection.
	avoided    map[string]time.Time
	report     Report
	latency    distribution
	firstToken distribution
	tokenGap   distribution
}

// Do sends the load and returns its report. Once the duration is over, or the context ends, no further
// request begins; those in progress are still waited for.
func (r *Runner) Do(ctx context.Context) (*Report, error) {
	if err := r.Check(); err != nil {
		return nil, fmt.Errorf("load settings: %w", err)
	}
	r.prepare()
	r.done.Add(r.Concurrency)
	for range r.Concurrency {
		go r.run(context.WithoutCancel(ctx))
	}
	r.generate(ctx)
	r.done.Wait()
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
	r.avoided = make(map[string]time.Time)
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

// generate hands out jobs at the load's rate.
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
			next.due = time.Now()
		}
		select {
		case r.jobs <- next:
		case <-ctx.Done():
			return
		}
	}
}

// run sends jobs until there are no more.
func (r *Runner) run(ctx context.Context) {
	defer r.done.Done()
	for next := range r.jobs {
		r.send(ctx, next)
	}
}

// send tries a job until it ends or its attempts are used up.
func (r *Runner) send(ctx context.Context, j *job) {
	began := j.due
	if began.IsZero() {
		began = time.Now()
	}
	request := Request{index: j.index, Key: j.key, Team: j.team.Name, Budget: j.budget, Kind: j.kind, CostBound: j.costBound}
	last := result{}
	for attempt := range r.Attempts {
		if attempt > 0 {
			time.Sleep(r.retryWait(last, attempt, j.random))
		}
		last = r.connect(ctx, j, &request)
		if !last.retry {
			break
		}
	}
	request.Outcome = last.outcome
	request.Verdict = last.attempt.Verdict
	request.Code = last.attempt.Code
	request.Detail = last.attempt.Error
	request.Latency = milliseconds(time.Since(began))
	r.record(request, last, began)
}

// connect tries targets until one takes the connection, as a balancer does.
func (r *Runner) connect(ctx context.Context, j *job, request *Request) result {
	last := result{}
	for range j.targets {
		target := r.balance(j.targets, last.attempt.Target, j.random)
		began := time.Now()
		last = r.try(ctx, j, target)
		last.attempt.Start = milliseconds(began.Sub(r.report.Started))
		last.attempt.Latency = milliseconds(time.Since(began))
		request.Attempts = append(request.Attempts, last.attempt)
		if !last.unconnected {
			break
		}
		r.avoid(target)
	}
	return last
}

const retryBackoff = 50 * time.Millisecond

// retryWait returns the time that the answer asked for, within bounds; without an answer a jittered backoff.
func (r *Runner) retryWait(last result, attempt int, random *rand.Rand) time.Duration {
	if last.retryAfter > 0 {
		return min(last.retryAfter, r.MaxRetryWait)
	}
	backoff := retryBackoff << min(attempt-1, 5)
	return min(backoff/2+time.Duration(random.Int64N(int64(backoff))), r.MaxRetryWait)
}

// avoidance is how long the balancer leaves out a target that refused a connection.
const avoidance = 5 * time.Second

// balance picks a target at random as a balancer with health checks does: one that takes connections, and if
// there is a choice not the last one.
func (r *Runner) balance(targets []string, last string, random *rand.Rand) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	healthy := slices.DeleteFunc(slices.Clone(targets), func(t string) bool { return now.Before(r.avoided[t]) })
	others := slices.DeleteFunc(slices.Clone(healthy), func(t string) bool { return t == last })
	for _, candidates := range [][]string{others, healthy} {
		if len(candidates) > 0 {
			return candidates[random.IntN(len(candidates))]
		}
	}
	return targets[random.IntN(len(targets))]
}

// avoid leaves out a target for a time.
func (r *Runner) avoid(target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.avoided[target] = time.Now().Add(avoidance)
}

func (r *Runner) record(request Request, last result, began time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if request.Outcome == Completed {
		r.latency.add(time.Since(began))
		request.Usage = last.received.usage
		if !last.received.firstToken.IsZero() {
			first := last.received.firstToken.Sub(began)
			request.FirstToken = milliseconds(first)
			r.firstToken.add(first)
		}
		for _, gap := range last.received.gaps {
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
	r.report.RefusalsOverTime = refusalsOverTime(r.report.Requests, r.report.Seconds)
	r.report.Latency = r.latency.percentiles()
	r.report.FirstToken = r.firstToken.percentiles()
	r.report.TokenGap = r.tokenGap.percentiles()
	r.client.CloseIdleConnections()
}
