package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// attempt is how one exchange with an endpoint ended. Without a cause its answer was passed on.
type attempt struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	cause   error
	// answered says that the endpoint began an answer to this request.
	answered bool
	// broken says that the endpoint is to blame; misdirected that it is not the one that was meant.
	broken, misdirected bool
	// abort says that the caller must not take its answer for complete. resume says that another endpoint may go on with it.
	abort, resume bool
	// unsent says that nothing was sent to the endpoint, writes how often the transport wrote the request.
	unsent bool
	writes int32
	// held is an endpoint's error that was not passed on.
	held       *heldAnswer
	retryAfter time.Duration
}

// heldAnswer is an endpoint's own error.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// next says how a request goes on after an attempt without a whole answer.
type next string

const (
	// nextEnd: the caller, the deadline, the route or the verdict allow no further attempt.
	nextEnd next = "end"
	// nextSpent: the budget of repeats is spent.
	nextSpent next = "budget_spent"
	// nextFree: nothing was sent, so that nothing is repeated.
	nextFree next = "free"
	// nextRepeat: a repeat was taken from the budget.
	nextRepeat next = "repeat"
)

// attempts sends the request until an endpoint answers it or it is given up. It reports whether the connection to the
// caller must end.
func (j *job) attempts(ctx context.Context) bool {
	var held *heldAnswer
	j.server.retries.first(j.service)
	for {
		e, err := j.server.targets.acquire(j.server.board.Directory.Load(), j)
		if err != nil {
			if j.started {
				return true
			}
			return j.end(ctx, held, err)
		}
		j.tried = append(j.tried, e)
		begun := time.Now()
		out := j.exchange(ctx, e)
		j.countSent(out)
		j.server.targets.began(e, j, false)
		j.server.targets.release(e, j, begun, out)
		j.clear(out)
		if out.verdict != verdict.NotRun {
			j.mayHaveRun = true
		}
		if !out.unsent {
			j.sent++
		}
		if out.cause == nil {
			return out.abort
		}
		following := j.following(ctx, out)
		j.noteAttempt(e, begun, out, following)
		if out.abort && !out.resume {
			return out.abort
		}
		if out.held != nil {
			held = out.held
		}
		if following == nextEnd || following == nextSpent {
			if j.started {
				return true
			}
			return j.end(ctx, held, j.giveUp(out))
		}
		j.events.drop()
		j.server.board.Count(retryPrefix + string(out.reason))
	}
}

// following holds the rule that a request runs at most once unless it is repeatable, and that repeats stay in their
// budget.
func (j *job) following(ctx context.Context, out attempt) next {
	if ctx.Err() != nil || out.abort && !out.resume || j.started && !j.events.whole {
		return nextEnd
	}
	if j.sent >= max(1, j.route.Attempts) || len(j.tried) >= mostTried {
		return nextEnd
	}
	if out.reason == verdict.DeadlineTooShort {
		// No endpoint would get the request either, and a repeat is worth more elsewhere.
		return nextEnd
	}
	if out.unsent {
		return nextFree
	}
	if out.verdict != verdict.NotRun && !j.route.Repeatable() {
		return nextEnd
	}
	if !j.server.retries.repeat(j.service) {
		j.server.board.Count(repeatsSpent)
		return nextSpent
	}
	return nextRepeat
}

// clear takes a request that was answered off those that may have crashed endpoints.
func (j *job) clear(out attempt) {
	if (out.cause == nil || out.held != nil) && j.server.crashes.any.Load() {
		j.server.crashes.answered(time.Now(), j.identity())
	}
}

// countSent counts what an endpoint of the service was sent.
func (j *job) countSent(out attempt) {
	board := j.server.board
	switch {
	case out.writes == 0:
		board.Count(sentNothing + j.service)
		return
	case j.sent == 0:
		board.Count(sentFirst + j.service)
	default:
		board.Count(sentRepeat + j.service)
	}
	for range out.writes - 1 {
		board.Count(sentByTransport + j.service)
	}
}

// giveUp turns the last attempt into what the caller hears.
func (j *job) giveUp(out attempt) error {
	refusal := &verdict.Refusal{Verdict: verdict.NotRun, Reason: out.reason, RetryAfter: out.retryAfter, Cause: out.cause}
	if j.mayHaveRun {
		refusal.Verdict = verdict.MayHaveRun
	} else if out.reason == verdict.EndpointFailed || out.reason == verdict.EndpointRefused {
		refusal.Reason = verdict.Overloaded
	}
	return refusal
}

// end answers with the endpoint's error that was held back, or with one of the router's own.
func (j *job) end(ctx context.Context, held *heldAnswer, err error) bool {
	if held == nil || ctx.Err() != nil {
		j.refuse(err)
		return false
	}
	copyHeader(j.w.Header(), held.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(held.body)))
	j.status, j.outcome = held.status, "endpoint_error"
	j.w.WriteHeader(held.status)
	_, _ = j.w.Write(held.body)
	return false
}
