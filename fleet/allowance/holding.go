package allowance

import (
	"math"
	"time"
)

const (
	// rateMemory is the time over which the use of a team is averaged.
	rateTimeConstant = 5 * time.Second
	// rateWarmUp is the least time that an average counts for: a shorter one tells too little.
	minRateSpan = 2 * time.Second
	// largestMemory is how long the largest request counts.
	largestRequestWindow = 10 * time.Second
)

// holding is the holder's side of one team's account.
type holding struct {
	account Account
	// read says that the account has been read.
	accountRead bool
	usable      int64
	spent       int64
	reserved    int64
	transferred int64
	received    int64
	// lent is the part of received that lenders count as used until it is repaid.
	borrowed int64
	// directUntil is until when this router draws itself though others hold the team's shares.
	directDrawUntil time.Time
	// pledges are those that may stand in the account: the last one that surely did and those of writes since then.
	spendingBounds []SpendingBound
	// largest is the most that a recent request could use, as of noted.
	largestRequest int64
	largestAt      time.Time
	// average is the use over rateMemory as if nothing had been used before metered; updated is as of when it is.
	averageRate    float64
	meteredSince   time.Time
	averageUpdated time.Time
	// asked is what another router or a caller that was sent away will ask for again, until askedUntil.
	retryDemand      int64
	retryDemandUntil time.Time
	// pressed says that another router asked for more than the pledge allows.
	boundExceeded bool
	waiters       []*waiter
}

// free returns what new requests may use: what is granted and not in use, as far as the pledges allow.
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

// net returns what was used or handed over of what was granted.
func (held *holding) netUsed() int64 { return held.spent + held.transferred - held.received }

// reported returns what was used and is not counted by a lender.
func (held *holding) reported() int64 { return max(0, held.spent-held.borrowed) }

// draws reports whether this router takes part in a team's account: because it holds shares, because something is to be
// returned or settled, or because no lender answered.
func (held *holding) participates(now time.Time, instance, holder string, lenders int) bool {
	if lenders == 0 || !held.accountRead || now.Before(held.directDrawUntil) || held.currentRetryDemand(now) > 0 || len(held.waiters) > 0 {
		return true
	}
	// Not usable: a return whose write failed leaves the share in the account.
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

// keepFor draws for requests that come again within some time.
func (held *holding) expectRetry(now time.Time, demand int64, period time.Duration) {
	held.retryDemand = demand
	held.retryDemandUntil = now.Add(period)
}

// keptFor returns what is drawn for requests that come again.
func (held *holding) currentRetryDemand(now time.Time) int64 {
	if !now.Before(held.retryDemandUntil) {
		return 0
	}
	return held.retryDemand
}

// noteDemand remembers the largest request of the last largestMemory.
func (held *holding) recordRequest(now time.Time, maxTokens int64) {
	if maxTokens >= held.largestRequest || now.Sub(held.largestAt) > largestRequestWindow {
		held.largestRequest, held.largestAt = maxTokens, now
	}
}

// waiter is a request that waits for tokens.
type waiter struct {
	maxTokens int64
	// done is closed once the tokens are reserved.
	done chan struct{}
}

// meter averages the use over rateMemory. A request counts at its most when it comes and is corrected when it ends.
func (held *holding) recordUse(now time.Time, used int64) {
	if held.meteredSince.IsZero() {
		held.meteredSince, held.averageUpdated = now, now
	}
	held.averageRate *= math.Exp(-now.Sub(held.averageUpdated).Seconds() / rateTimeConstant.Seconds())
	held.averageUpdated = now
	held.averageRate = max(0, held.averageRate+float64(used)/rateTimeConstant.Seconds())
}

// rate returns the use in tokens a second, corrected for the time in which nothing was metered yet.
func (held *holding) rate() float64 {
	span := max(minRateSpan, held.averageUpdated.Sub(held.meteredSince))
	return held.averageRate / (1 - math.Exp(-span.Seconds()/rateTimeConstant.Seconds()))
}
