package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// job is one call on its way through its attempts.
type job struct {
	dispatcher *Dispatcher
	call       *Call
	limits     operator.RouteLimits
	w          http.ResponseWriter
	// route is the call's route or the fallback that is being tried, body is what its model is sent.
	route operator.Route
	body  []byte
	// triedFallbacks counts the triedFallbacks tried.
	triedFallbacks int
	triedPeers     []*peer
	// unservedRoute is the first route tried whose endpoints are all known not to serve its model, with its body. mayBeServed
	// says that another one had an endpoint that may serve it, anyEndpoint that unservedRoute is tried all the same.
	unservedRoute                  *operator.Route
	unservedBody                   []byte
	hadEligiblePeer, ignoresModels bool
	// isSuspect says that the attempt under way counts among its endpoint's suspects.
	isSuspect bool
	result    Result
	// withheld is the newest error of an endpoint that was not passed on.
	withheld *withheldResponse
	// mayHaveRun says that an attempt may have run; from then on no failure is NotRun.
	mayHaveRun bool
}

// do makes attempts until one succeeds or the call is given up.
func (j *job) do(ctx context.Context) (Result, error) {
	for {
		p, refusal := j.acquire(ctx)
		if refusal != nil {
			return j.refuse(refusal)
		}
		out := j.attempt(ctx, p)
		j.merge(out)
		if out.cause == nil {
			return j.result, nil
		}
		switch decision := j.decide(ctx, out).(type) {
		case *endpoint.Retry:
			j.dispatcher.board.Count(out.retryCounter())
			if !clock.Sleep(ctx, decision.Backoff) {
				return j.refuse(j.contextRefusal(ctx))
			}
		case *endpoint.GiveUp:
			if decision.BudgetExhausted {
				j.dispatcher.board.Count(retryBudgetSpent)
			}
			decision.Refusal.Cause = out.cause
			return j.refuse(decision.Refusal)
		}
	}
}

// retryCounter names the counter of a retry after this attempt.
func (o *outcome) retryCounter() string {
	if o.withheld != nil {
		return retryEndpointError
	}
	return retryPrefix + string(o.reason)
}

// acquire reserves a place at an endpoint of the route, or of its first fallback with one.
func (j *job) acquire(ctx context.Context) (*peer, *verdict.Refusal) {
	for {
		p, refusal := j.dispatcher.acquire(ctx, j)
		if refusal == nil || refusal.Reason != verdict.NoEndpoint || !j.useNextFallback() && !j.useAnyEndpoint() {
			return p, refusal
		}
	}
}

// useNextFallback goes over to the next fallback of the call's route and reports whether there was one.
func (j *job) useNextFallback() bool {
	configuration := j.dispatcher.board.Configuration.Load()
	if configuration == nil {
		return false
	}
	for j.triedFallbacks < len(j.call.Route.Fallbacks) {
		route, ok := configuration.Routes[j.call.Route.Fallbacks[j.triedFallbacks]]
		j.triedFallbacks++
		if !ok || route.Removed || (route.Model == "") != (j.call.Model == nil) {
			continue
		}
		body, err := withModel(j.call.Body, route.Model)
		if err != nil {
			continue
		}
		j.route, j.body = route, body
		j.dispatcher.board.Count(retryFallback)
		return true
	}
	return false
}

// withModel returns a body that names another model. Plain bodies stay as they are.
func withModel(body []byte, model string) ([]byte, error) {
	if model == "" {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("reading the body: %w", err)
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, fmt.Errorf("naming the model: %w", err)
	}
	fields["model"] = name
	return json.Marshal(fields)
}

// attempt sends the call to one endpoint.
func (j *job) attempt(ctx context.Context, p *peer) outcome {
	x := &exchange{
		dispatcher: j.dispatcher, call: j.call, body: j.body, limits: j.limits, peer: p,
		w: j.w, controller: http.NewResponseController(j.w),
	}
	out := x.perform(ctx)
	j.dispatcher.release(p, j, out)
	j.triedPeers = append(j.triedPeers, p)
	j.result.Attempts++
	j.result.Endpoint = p.name
	j.result.Started = x.responseStarted
	j.result.Abort = out.mustAbort
	if out.withheld != nil {
		j.withheld = out.withheld
	}
	return out
}

// merge adds an attempt's outcome to the result of the call.
func (j *job) merge(out outcome) {
	switch out.verdict {
	case verdict.Ran:
		j.result.Verdict, j.result.Usage = verdict.Ran, out.usage
	case verdict.MayHaveRun:
		j.mayHaveRun = true
		j.result.Verdict, j.result.Usage = verdict.MayHaveRun, max(j.result.Usage, out.usage)
		if j.call.Model == nil {
			j.result.Usage = j.limits.CallCost
		}
	case verdict.NotRun:
		if !j.mayHaveRun {
			j.result.Verdict = verdict.NotRun
		}
	}
}

// decide asks for the decision after a failed attempt.
func (j *job) decide(ctx context.Context, out outcome) endpoint.Decision {
	remaining := j.limits.RequestTimeout
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	failure := endpoint.Failure{
		Verdict: j.result.Verdict, Reason: out.reason, Idempotent: j.call.Idempotent, ResponseStarted: j.result.Started,
		IsFinal: out.isFinal, Attempts: j.result.Attempts, MaxAttempts: j.limits.Attempts, RetryAfter: out.retryAfter,
		Remaining: remaining,
	}
	d := j.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return endpoint.Decide(failure, &d.serviceLocked(j.route.Service).retries, rand.Float64()) //nolint:gosec // spreads retries
}

// refuse ends the call, with an endpoint's error if one was held back. The refusal's verdict is that of all
// attempts together.
func (j *job) refuse(refusal *verdict.Refusal) (Result, error) {
	if j.withheld != nil && !j.result.Started && refusal.Reason != verdict.CallerWentAway {
		return j.relayWithheld()
	}
	if j.result.Attempts == 0 {
		j.result.Verdict = verdict.NotRun
	}
	refusal.Verdict = j.result.Verdict
	if refusal.RetryAfter == 0 {
		refusal.RetryAfter = verdict.Describe(refusal.Reason).RetryAfter
	}
	return j.result, refusal
}

// contextRefusal tells why a wait of the call ended early.
func (j *job) contextRefusal(ctx context.Context) *verdict.Refusal {
	reason := verdict.CallerWentAway
	if ctx.Err() == context.DeadlineExceeded {
		reason = verdict.DeadlineTooShort
	}
	return &verdict.Refusal{Reason: reason, Cause: context.Cause(ctx)}
}
