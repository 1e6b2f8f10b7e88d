package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// attemptResult is the outcome of one exchange with an endpoint. A nil cause means that the complete answer was
// forwarded to the caller.
type attemptResult struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	cause   error
	// responded reports whether the endpoint began an answer to this request.
	responded bool
	// isRefusal reports whether the endpoint itself refused the request.
	isRefusal bool
	// endpointFailed reports whether the endpoint is to blame for the failure, misdirected whether another endpoint than
	// the intended one answered at the address.
	endpointFailed, misdirected bool
	// abortCaller reports whether the connection to the caller must be aborted so that the caller doesn't take a
	// truncated answer for complete. canResume reports whether another endpoint may continue the answer.
	abortCaller, canResume bool
	// notSent reports whether nothing of the request was sent to the endpoint. writeCount is how many times the HTTP
	// transport wrote the request.
	notSent    bool
	writeCount int32
	// buffered is the endpoint's error answer if it was not forwarded; nil otherwise.
	buffered   *bufferedResponse
	retryAfter time.Duration
}

// bufferedResponse is an endpoint's error answer, kept in memory while the request may be tried at other endpoints.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// nextStep is how a request continues after an attempt that gave no complete answer.
type nextStep string

const (
	// stepEnd: the caller, the deadline, the route, maxEndpointsTried or the verdict allows no further attempt.
	stepEnd nextStep = "end"
	// stepBudgetSpent: the service's retry budget is spent.
	stepBudgetSpent nextStep = "budget_spent"
	// stepUncountedRetry: nothing was sent, so that a further attempt needs no retry from the budget.
	stepUncountedRetry nextStep = "free"
	// stepRetry: a retry was taken from the service's budget.
	stepRetry nextStep = "repeat"
)

// runAttempts sends the request to endpoints until one answers it or no further attempt is allowed. It reports whether
// the connection to the caller must be aborted.
func (j *job) runAttempts(ctx context.Context) bool {
	var buffered *bufferedResponse
	j.server.retries.recordRequest(j.service)
	for {
		e, err := j.acquireTarget()
		if err != nil && j.retryUnsent(err) {
			continue
		}
		if err != nil {
			if j.responseStarted {
				return true
			}
			return j.respondFailure(ctx, buffered, j.withdrawNotRun(err))
		}
		j.tried = append(j.tried, e)
		startedAt := time.Now()
		j.attemptFirstByte = time.Time{}
		result := j.exchange(ctx, e)
		j.countWrites(result)
		j.server.targets.finishPrompt(e, j, false)
		j.server.targets.release(e, j, startedAt, result)
		j.clearSuspicion(result)
		j.recordFailedDial(e, result)
		if result.verdict != verdict.NotRun {
			j.mayHaveRun = true
		}
		if !result.notSent {
			j.endpointsSent++
		}
		if result.cause == nil {
			return result.abortCaller
		}
		step := j.decideNextStep(ctx, result)
		j.logAttempt(e, startedAt, result, step)
		if result.abortCaller && !result.canResume {
			return result.abortCaller
		}
		if result.buffered != nil {
			buffered = result.buffered
		}
		if step == stepEnd || step == stepBudgetSpent {
			if j.responseStarted {
				return true
			}
			return j.respondFailure(ctx, buffered, j.finalRefusal(result))
		}
		j.events.DropIncomplete()
		j.server.state.Count(retryReasonPrefix + string(result.reason))
	}
}

// acquireTarget returns an endpoint for the next attempt. Parts of the prompt may have been blocked since the last one.
func (j *job) acquireTarget() (*target, error) {
	if !j.isTrial || len(j.tried) > 0 {
		if err := j.checkPartsBlocked(); err != nil {
			return nil, err
		}
	}
	return j.server.targets.acquire(j.server.state.Directory.Load(), j)
}

// decideNextStep returns how the request continues after an attempt. A request runs at most once unless its route
// allows it to be repeated, and retries stay within the service's retry budget.
func (j *job) decideNextStep(ctx context.Context, result attemptResult) nextStep {
	if ctx.Err() != nil || result.abortCaller && !result.canResume || j.responseStarted && !j.canContinue() {
		return stepEnd
	}
	if j.endpointsSent >= max(1, j.route.Attempts) || len(j.tried)-j.withdrawn >= maxEndpointsTried {
		return stepEnd
	}
	if result.reason == verdict.DeadlineTooShort {
		// Any other endpoint would miss the same deadline; the retry is kept for requests that can still be answered.
		return stepEnd
	}
	if result.notSent {
		return stepUncountedRetry
	}
	if result.verdict != verdict.NotRun && !j.route.IsRetryable() {
		return stepEnd
	}
	if !j.hasTakenRetry.Swap(false) && !j.server.retries.takeRetry(j.service) {
		j.server.state.Count(retryBudgetSpent)
		return stepBudgetSpent
	}
	return stepRetry
}

// clearSuspicion removes the request from those suspected of crashing endpoints if an endpoint answered it.
func (j *job) clearSuspicion(result attemptResult) {
	if (result.cause == nil || result.buffered != nil) && j.server.crashes.hasSuspects.Load() {
		j.server.crashes.recordAnswer(time.Now(), j.requestFingerprint())
	}
}

// countWrites counts how often the request was written to an endpoint of the service during an attempt: not at all, to
// a first or a further endpoint, or again by the HTTP transport itself.
func (j *job) countWrites(result attemptResult) {
	state := j.server.state
	if errors.Is(result.cause, errWithdrawn) {
		state.Count(requestWithdrawn)
		j.withdrawn++
	}
	switch {
	case result.writeCount == 0:
		state.Count(nothingWrittenPrefix + j.service)
		return
	case j.endpointsSent == 0:
		state.Count(firstWritePrefix + j.service)
	default:
		state.Count(retryWritePrefix + j.service)
	}
	for range result.writeCount - 1 {
		state.Count(transportWritePrefix + j.service)
	}
}

// withdrawNotRun returns a refusal whose verdict doesn't promise that the request has not run if an attempt may have run it.
func (j *job) withdrawNotRun(err error) error {
	var refusal *verdict.Refusal
	if !j.mayHaveRun || !errors.As(err, &refusal) {
		return err
	}
	withdrawn := *refusal
	withdrawn.Verdict = verdict.MayHaveRun
	return &withdrawn
}

// finalRefusal returns the refusal that the caller gets after the last attempt. Its verdict is MayHaveRun if any
// attempt may have run the request.
func (j *job) finalRefusal(result attemptResult) error {
	refusal := &verdict.Refusal{Verdict: verdict.NotRun, Reason: result.reason, RetryAfter: result.retryAfter, Cause: result.cause}
	if j.mayHaveRun {
		refusal.Verdict = verdict.MayHaveRun
	} else if result.reason == verdict.EndpointFailed || result.reason == verdict.EndpointRefused {
		refusal.Reason = verdict.Overloaded
	}
	return refusal
}

// respondFailure answers with the endpoint's buffered error, or refuses the request with err if there is none, or the
// deadline is over or the caller has left. It returns false: the connection to the caller stays usable.
func (j *job) respondFailure(ctx context.Context, buffered *bufferedResponse, err error) bool {
	if buffered == nil || ctx.Err() != nil && !isStopped(j.r) {
		j.refuse(err)
		return false
	}
	copyHeader(j.w.Header(), buffered.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	j.status, j.outcome = buffered.status, "endpoint_error"
	j.writeHeader(buffered.status)
	_, _ = j.w.Write(buffered.body)
	return false
}
