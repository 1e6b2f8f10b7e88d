package allowance

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the moving average of a team's use.
	rateTimeConstant = 5 * time.Second
	// minRateSpan is the minimum measuring time that a rate is computed over: a shorter one gives unreliable rates.
	minRateSpan = 2 * time.Second
	// largestRequestWindow is how long the largest recent request is remembered.
	largestRequestWindow = 10 * time.Second
)

// holding is the router's local state of one team's account. Amounts are in tokens.
type holding struct {
	account Account
	// accountRead is true once the account has been read from the platform.
	accountRead bool
	usable      int64
	spent       int64
	reserved    int64
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
func (held *holding) free(uptime time.Duration) int64 {
	used := held.netUsed() + held.reserved
	free := held.usable - used
	for i := range held.spendingBounds {
		if bound, ok := held.spendingBounds[i].MaxUsed(uptime); ok {
			free = min(free, bound-used)
		}
	}
	return free
}

// netUsed returns the granted tokens that were used or transferred to other routers, less the tokens received from
// them.
func (held *holding) netUsed() int64 { return held.spent + held.transferred - held.received }

// reported returns the use to report in the account: the router's use without the borrowed tokens, which lenders
// report.
func (held *holding) reported() int64 { return max(0, held.spent-held.borrowed) }

// participates reports whether this router updates the team's account itself: because no lender is available, the
// account was not read yet, the router draws directly for now, requests wait or retries are expected, surplus tokens
// must be returned, or the share of a former process on this instance must be settled.
func (held *holding) participates(now time.Time, instance, holder string, lenders int) bool {
	if lenders == 0 || !held.accountRead || now.Before(held.directDrawUntil) || held.currentRetryDemand(now) > 0 || len(held.waiters) > 0 {
		return true
	}
	// The stored grant decides here, since usable is already lowered if the write of a return failed and the surplus
	// remains in the account.
	if held.account.Shares[holder].Granted > max(0, held.netUsed()+held.reserved) {
		return true
	}
	for name, share := range held.account.Shares {
		if share.Instance == instance && name != holder {
			return true
		}
	}
	return false
}

// expectRetry records the demand in tokens of requests that are expected to be retried within the period.
func (held *holding) expectRetry(now time.Time, demand int64, period time.Duration) {
	held.retryDemand = demand
	held.retryDemandUntil = now.Add(period)
}

// currentRetryDemand returns the demand in tokens of requests whose retry is still expected.
func (held *holding) currentRetryDemand(now time.Time) int64 {
	if !now.Before(held.retryDemandUntil) {
		return 0
	}
	return held.retryDemand
}

// recordRequest updates the largest request within largestRequestWindow.
func (held *holding) recordRequest(now time.Time, maxTokens int64) {
	if maxTokens >= held.largestRequest || now.Sub(held.largestAt) > largestRequestWindow {
		held.largestRequest, held.largestAt = maxTokens, now
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
func (held *holding) recordUse(now time.Time, used int64) {
	if held.meteredSince.IsZero() {
		held.meteredSince, held.averageUpdated = now, now
	}
	held.averageRate *= math.Exp(-now.Sub(held.averageUpdated).Seconds() / rateTimeConstant.Seconds())
	held.averageUpdated = now
	held.averageRate = max(0, held.averageRate+float64(used)/rateTimeConstant.Seconds())
}

// rate returns the use in tokens per second, corrected for the short history of a recently started average.
func (held *holding) rate() float64 {
	span := max(minRateSpan, held.averageUpdated.Sub(held.meteredSince))
	return held.averageRate / (1 - math.Exp(-span.Seconds()/rateTimeConstant.Seconds()))
}
