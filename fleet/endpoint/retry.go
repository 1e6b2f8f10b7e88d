package endpoint

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Bounds of the wait before a retry.
const (
	firstBackoff = 25 * time.Millisecond
	longBackoff  = 1 * time.Second
)

// Defaults of a RetryBudget.
const (
	// DefaultRetryShare is the number of retries that a first attempt pays for.
	DefaultRetryShare = 0.2
	// DefaultRetryBurst is the most retries that can be saved up.
	DefaultRetryBurst = 20.0
)

// Failure describes a call after an attempt that gave no complete answer.
type Failure struct {
	// Verdict is that of the whole call: MayHaveRun if any of its attempts may have run.
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Idempotent bool
	// Started says that a part of the answer has been written to the caller.
	Started bool
	// Final failures concern the call and not the endpoint: the caller went away, its time is up or
	// the router may not send.
	Final bool
	// Attempts counts the attempts so far, Limit is the most that the route allows.
	Attempts int
	Limit    int
	// RetryAfter is the wait that the endpoint asked for; zero if it named none.
	RetryAfter time.Duration
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
}

// Decision says how a call goes on; the types below are all there are.
type Decision interface{ isDecision() }

// Retry sends the call again after a wait.
type Retry struct{ After time.Duration }

// GiveUp ends the call.
type GiveUp struct {
	Refusal *verdict.Refusal
	// BudgetSpent says that only the retry budget stood against another attempt.
	BudgetSpent bool
}

func (*Retry) isDecision()  {}
func (*GiveUp) isDecision() {}

// Decide says whether a failed call is sent again. random is in [0, 1) and spreads the wait.
func Decide(f Failure, budget *RetryBudget, random float64) Decision {
	if !mayRetry(f) {
		return giveUp(f)
	}
	after := backoff(f.Attempts, random)
	if after >= f.Remaining {
		return giveUp(f)
	}
	if !budget.Withdraw() {
		decision := giveUp(f)
		decision.BudgetSpent = true
		return decision
	}
	return &Retry{After: after}
}

// mayRetry holds the rule that a non-idempotent call runs at most once: after MayHaveRun only
// idempotent calls go on, and nobody's after a part of the answer has left.
func mayRetry(f Failure) bool {
	if f.Final || f.Started || f.Attempts >= f.Limit {
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

func giveUp(f Failure) *GiveUp {
	after := f.RetryAfter
	if after <= 0 {
		after = verdict.Describe(f.Reason).RetryAfter
	}
	return &GiveUp{Refusal: &verdict.Refusal{Verdict: f.Verdict, Reason: f.Reason, RetryAfter: after}}
}

// backoff doubles with each attempt and is spread over its upper half, so that the retries of
// calls that failed together don't arrive together.
func backoff(attempts int, random float64) time.Duration {
	wait := firstBackoff
	for i := 1; i < attempts && wait < longBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, longBackoff)
	return wait/2 + time.Duration(random*float64(wait/2))
}

// RetryBudget bounds retries to a share of first attempts. Its zero value has the default share and
// burst and starts full.
type RetryBudget struct {
	// Share is the number of retries that a first attempt pays for; zero counts as DefaultRetryShare.
	Share float64
	// Burst is the most that can be saved up; zero counts as DefaultRetryBurst.
	Burst float64
	spent float64
}

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() {
	b.spent = max(0, b.spent-b.share())
}

// Withdraw takes one retry from the budget and reports whether it was there.
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

func (b *RetryBudget) share() float64 {
	if b.Share == 0 {
		return DefaultRetryShare
	}
	return b.Share
}
