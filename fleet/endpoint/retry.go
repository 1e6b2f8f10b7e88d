package endpoint

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Bounds of the backoff before a retry.
const (
	minBackoff = 25 * time.Millisecond
	maxBackoff = 1 * time.Second
)

// Default values for the fields of RetryBudget.
const (
	// DefaultRetryShare is the number of retries that each first attempt earns.
	DefaultRetryShare = 0.2
	// DefaultRetryBurst is the maximum number of retries that can be saved up.
	DefaultRetryBurst = 20.0
)

// Failure describes a call after an attempt that got no complete response.
type Failure struct {
	// Verdict is the verdict on the whole call: MayHaveRun if any of its attempts may have run.
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Idempotent bool
	// ResponseStarted reports whether a part of the response has been written to the caller.
	ResponseStarted bool
	// IsFinal reports whether the failure concerns the call and not the endpoint: the caller disconnected, the deadline
	// passed or the router may not send.
	IsFinal bool
	// Attempts is the number of attempts so far, MaxAttempts the maximum number that the route allows.
	Attempts    int
	MaxAttempts int
	// RetryAfter is the wait that the endpoint asked for; zero if the endpoint named none.
	RetryAfter time.Duration
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
}

// Decision is the result of Decide: Retry or GiveUp.
type Decision interface{ isDecision() }

// Retry means that the call is sent again after a backoff.
type Retry struct{ Backoff time.Duration }

// GiveUp means that the call ends with a refusal.
type GiveUp struct {
	Refusal *verdict.Refusal
	// BudgetExhausted reports whether the exhausted retry budget is the only reason against another attempt.
	BudgetExhausted bool
}

func (*Retry) isDecision()  {}
func (*GiveUp) isDecision() {}

// Decide returns whether a failed call is sent again. random is in [0, 1) and determines the jitter of the backoff.
func Decide(f Failure, budget *RetryBudget, random float64) Decision {
	if !canRetry(f) {
		return newGiveUp(f)
	}
	wait := backoff(f.Attempts, random)
	if wait >= f.Remaining {
		return newGiveUp(f)
	}
	if !budget.Withdraw() {
		decision := newGiveUp(f)
		decision.BudgetExhausted = true
		return decision
	}
	return &Retry{Backoff: wait}
}

// canRetry ensures that a non-idempotent call runs at most once: after MayHaveRun only idempotent calls are retried.
// No call is retried once a part of the response was written to the caller.
func canRetry(f Failure) bool {
	if f.IsFinal || f.ResponseStarted || f.Attempts >= f.MaxAttempts {
		return false
	}
	switch f.Verdict {
	case verdict.NotRun:
		return true
	case verdict.MayHaveRun:
		return f.Idempotent
	default:
		return false
	}
}

func newGiveUp(f Failure) *GiveUp {
	retryAfter := f.RetryAfter
	if retryAfter <= 0 {
		retryAfter = verdict.Describe(f.Reason).RetryAfter
	}
	return &GiveUp{Refusal: &verdict.Refusal{Verdict: f.Verdict, Reason: f.Reason, RetryAfter: retryAfter}}
}

// backoff returns a wait that doubles with each attempt. Its upper half is random, so that calls that failed together
// are not retried at the same time.
func backoff(attempts int, random float64) time.Duration {
	wait := minBackoff
	for i := 1; i < attempts && wait < maxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, maxBackoff)
	return wait/2 + time.Duration(random*float64(wait/2))
}

// RetryBudget limits retries to a share of the first attempts. The zero value has the default share and burst and
// starts full.
type RetryBudget struct {
	// Share is the number of retries that each first attempt earns; zero means DefaultRetryShare.
	Share float64
	// Burst is the maximum number of retries that can be saved up; zero means DefaultRetryBurst.
	Burst float64
	spent float64
}

// Deposit credits the budget for a first attempt.
func (b *RetryBudget) Deposit() {
	b.spent = max(0, b.spent-b.retryShare())
}

// Withdraw takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) Withdraw() bool {
	burst := b.Burst
	if burst == 0 {
		burst = DefaultRetryBurst
	}
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}

func (b *RetryBudget) retryShare() float64 {
	if b.Share == 0 {
		return DefaultRetryShare
	}
	return b.Share
}
