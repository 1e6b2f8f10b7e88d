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

// job is the state of one call across its attempts.
type job struct {
	dispatcher *Dispatcher
	call       *Call
	limits     operator.RouteLimits
	w          http.ResponseWriter
	// route is the call's own route or the fallback route in use. body is the request body, with the model name of
	// that route.
	route operator.Route
	body  []byte
	// triedFallbacks is the number of fallback routes that were considered so far.
	triedFallbacks int
	triedPeers     []*peer
	// unservedRoute is the first route whose endpoints are all known not to serve its model, and unservedBody is its
	// request body. hadEligiblePeer reports whether another route had an endpoint that may serve its model.
	// ignoresModels reports whether the call uses unservedRoute regardless of the loaded models.
	unservedRoute                  *operator.Route
	unservedBody                   []byte
	hadEligiblePeer, ignoresModels bool
	// isSuspect reports whether the attempt in progress counts in its endpoint's suspectsInFlight.
	isSuspect bool
	result    Result
	// withheld is the most recent error response of an endpoint that was not relayed to the caller.
	withheld *withheldResponse
	// mayHaveRun is true once any attempt may have run; the verdict on the call can then no longer be NotRun.
	mayHaveRun bool
}

// run makes attempts until one gets a complete response or the call is refused.
func (j *job) run(ctx context.Context) (Result, error) {
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

// retryCounter returns the name of the counter for a retry after this outcome.
func (o *outcome) retryCounter() string {
	if o.withheld != nil {
		return retryEndpointError
	}
	return retryPrefix + string(o.reason)
}

// acquire reserves a slot at an endpoint of the call's route, or of the first fallback route that has an available
// endpoint. If no route has an endpoint that may serve its model, acquire ignores the loaded models.
func (j *job) acquire(ctx context.Context) (*peer, *verdict.Refusal) {
	var first *verdict.Refusal
	for {
		p, refusal := j.dispatcher.acquire(ctx, j)
		switch {
		case refusal == nil || !j.mayFallBack(refusal.Reason):
			return p, refusal
		case first == nil:
			first = refusal
		}
		if !j.useNextFallback() && !j.useAnyEndpoint() {
			if refusal.Reason == verdict.RegionsDisjoint {
				// The caller learns why its own route can't serve it, not why a fallback can't.
				return nil, first
			}
			return nil, refusal
		}
	}
}

// useNextFallback switches to the next usable fallback of the call's route and reports whether there was one.
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

// withModel returns a request body with the model name replaced. Bodies of plain routes, which have no model, are
// returned unchanged.
func withModel(body []byte, model string) ([]byte, error) {
	if model == "" {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("parsing the request body: %w", err)
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, fmt.Errorf("encoding the model name: %w", err)
	}
	fields["model"] = name
	return json.Marshal(fields)
}

// attempt sends the call to one endpoint and releases the slot that was reserved there.
func (j *job) attempt(ctx context.Context, p *peer) outcome {
	x := &exchange{
		dispatcher: j.dispatcher, call: j.call, body: j.body, limits: j.limits, peer: p,
		w: j.w, controller: http.NewResponseController(j.w), allows: func() bool { return j.allows(p) },
	}
	out := x.perform(ctx)
	j.dispatcher.release(p, j, out)
	j.triedPeers = append(j.triedPeers, p)
	j.result.Attempts++
	j.result.Endpoint = p.name
	j.result.ResponseStarted = x.responseStarted
	j.result.MustAbort = out.mustAbort
	if out.withheld != nil {
		j.withheld = out.withheld
	}
	return out
}

// merge adds the outcome of an attempt to the result of the call.
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

// decide returns the decision whether and when to retry after a failed attempt.
func (j *job) decide(ctx context.Context, out outcome) endpoint.Decision {
	remaining := j.limits.RequestTimeout
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	failure := endpoint.Failure{
		Verdict: j.result.Verdict, Reason: out.reason, Idempotent: j.call.Idempotent, ResponseStarted: j.result.ResponseStarted,
		IsFinal: out.isFinal, Attempts: j.result.Attempts, MaxAttempts: j.limits.Attempts, RetryAfter: out.retryAfter,
		Remaining: remaining,
	}
	d := j.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return endpoint.Decide(failure, &d.serviceLocked(j.route.Service).retries, rand.Float64()) //nolint:gosec // spreads retries
}

// refuse ends the call with a withheld error response if there is one and the caller is still connected, and otherwise
// with the refusal. The refusal gets the combined verdict on all attempts.
func (j *job) refuse(refusal *verdict.Refusal) (Result, error) {
	if j.withheld != nil && !j.result.ResponseStarted && refusal.Reason != verdict.CallerDisconnected {
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

// contextRefusal returns the refusal for a call whose context ended during a wait.
func (j *job) contextRefusal(ctx context.Context) *verdict.Refusal {
	reason := verdict.CallerDisconnected
	if ctx.Err() == context.DeadlineExceeded {
		reason = verdict.DeadlineTooShort
	}
	return &verdict.Refusal{Reason: reason, Cause: context.Cause(ctx)}
}
