package allowance

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the moving average of a team's use.
	rateTimeConstant = 5 * time.Second
	// minRateSpan is the minimum time over which a rate of use is computed: a shorter time gives unreliable rates.
	minRateSpan = 2 * time.Second
	// largestRequestWindow is how long the largest recent request is remembered.
	largestRequestWindow = 10 * time.Second
)

// holding is the router's local state of one team's account. Amounts are in tokens.
type holding struct {
	account Account
	// accountRead is true once the account has been read from the platform.
	accountRead bool
	// usable is the granted amount without the returns whose write has not been confirmed.
	usable int64
	// spent is the use by requests at this router plus the tokens that it lent and that were not repaid.
	spent int64
	// reserved is the maximum use of the requests in progress.
	reserved int64
	// transferred is the total sent to other routers without repayment, received the total from other routers,
	// including loans less their repayments.
	transferred int64
	received    int64
	// borrowed is the part of received that came as loans and was not repaid. Lenders count it as used.
	borrowed int64
	// directDrawUntil is the time until which this router draws a share itself although other routers hold the team's
	// shares.
	directDrawUntil time.Time
	// spendingBounds are the bounds that may be stored in the account: the one of the last confirmed write and those of
	// later writes with an unknown outcome.
	spendingBounds []SpendingBound
	// largestRequest is the largest token maximum of recent requests, seen at largestAt.
	largestRequest int64
	largestAt      time.Time
	// averageRate is the moving average of the use in tokens per second over rateTimeConstant, as if the use before
	// meteredSince had been zero. averageUpdated is the time of its last update.
	averageRate    float64
	meteredSince   time.Time
	averageUpdated time.Time
	// retryDemand is the amount in tokens that other routers or refused callers are expected to ask for again before
	// retryDemandUntil.
	retryDemand      int64
	retryDemandUntil time.Time
	// boundExceeded is true if another router asked for tokens that the share covers but the spending bound does not
	// allow.
	boundExceeded bool
	waiters       []*waiter
}

// free returns the tokens available to new requests: the granted tokens not in use, limited by the spending bounds that
// still apply.
func (t *holding) free(uptime time.Duration) int64 {
	used := t.netUsed() + t.reserved
	free := t.unused()
	for i := range t.spendingBounds {
		if bound, ok := t.spendingBounds[i].MaxUsed(uptime); ok {
			free = min(free, bound-used)
		}
	}
	return free
}

// allowsAfter returns how long a request must wait until the spending bounds allow it, or zero if no bound keeps it from its
// tokens.
func (t *holding) allowsAfter(uptime time.Duration, maxTokens int64) time.Duration {
	if t.unused() < maxTokens {
		return 0
	}
	wait := time.Duration(0)
	for i := range t.spendingBounds {
		wait = max(wait, t.spendingBounds[i].allowsAfter(uptime, t.netUsed()+t.reserved+maxTokens))
	}
	return wait
}

// unused returns the granted tokens that are neither used nor reserved.
func (t *holding) unused() int64 { return t.usable - t.netUsed() - t.reserved }

// netUsed returns the granted tokens that were used or transferred to other routers, less the tokens received from
// them.
func (t *holding) netUsed() int64 { return t.spent + t.transferred - t.received }

// reported returns the use to report in the account: the router's use without the borrowed tokens, which lenders
// report.
func (t *holding) reported() int64 { return max(0, t.spent-t.borrowed) }

// participates reports whether this router updates the team's account itself. It does if no other routers hold the
// team's shares on its behalf (lenders is 0), if the account was not read yet, if the router draws directly because no
// lender answered, if requests wait or retries are expected, if surplus tokens must be returned, or if the share of a
// former process on this instance must be settled.
func (t *holding) participates(now time.Time, instance, holder string, lenders int) bool {
	if lenders == 0 || !t.accountRead || now.Before(t.directDrawUntil) || t.currentRetryDemand(now) > 0 || len(t.waiters) > 0 {
		return true
	}
	// The stored grant decides whether a surplus must be returned: usable is already lowered if the write of a return
	// failed, but the surplus is still in the account.
	if t.account.Shares[holder].Granted > max(0, t.netUsed()+t.reserved) {
		return true
	}
	for name, share := range t.account.Shares {
		if share.Instance == instance && name != holder {
			return true
		}
	}
	return false
}

// expectRetry records the demand in tokens of requests that are expected to be retried within the period.
func (t *holding) expectRetry(now time.Time, demand int64, period time.Duration) {
	t.retryDemand = demand
	t.retryDemandUntil = now.Add(period)
}

// currentRetryDemand returns the demand in tokens of requests whose retry is still expected.
func (t *holding) currentRetryDemand(now time.Time) int64 {
	if !now.Before(t.retryDemandUntil) {
		return 0
	}
	return t.retryDemand
}

// recordRequest updates the largest request within largestRequestWindow.
func (t *holding) recordRequest(now time.Time, maxTokens int64) {
	if maxTokens >= t.largestRequest || now.Sub(t.largestAt) > largestRequestWindow {
		t.largestRequest, t.largestAt = maxTokens, now
	}
}

// waiter is a request in the wait queue for tokens.
type waiter struct {
	maxTokens int64
	// done is closed once the tokens are reserved.
	done chan struct{}
}

// recordUse adds used tokens to the moving average over rateTimeConstant. A request is counted at its maximum on
// arrival and corrected when it ends.
func (t *holding) recordUse(now time.Time, used int64) {
	if t.meteredSince.IsZero() {
		t.meteredSince, t.averageUpdated = now, now
	}
	t.averageRate *= math.Exp(-now.Sub(t.averageUpdated).Seconds() / rateTimeConstant.Seconds())
	t.averageUpdated = now
	t.averageRate = max(0, t.averageRate+float64(used)/rateTimeConstant.Seconds())
}

// rate returns the use in tokens per second, corrected for the short history of a recently started average.
func (t *holding) rate() float64 {
	span := max(minRateSpan, t.averageUpdated.Sub(t.meteredSince))
	return t.averageRate / (1 - math.Exp(-span.Seconds()/rateTimeConstant.Seconds()))
}
