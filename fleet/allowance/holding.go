package allowance

import (
	"math"
	"time"
)

const (
	// rateMemory is the time over which the use of a team is averaged.
	rateMemory = 5 * time.Second
	// rateWarmUp is the least time that an average counts for: a shorter one tells too little.
	rateWarmUp = 2 * time.Second
	// largestMemory is how long the largest request counts.
	largestMemory = 10 * time.Second
)

// holding is the holder's side of one team's account.
type holding struct {
	account Account
	// read says that the account has been read.
	read     bool
	usable   int64
	spent    int64
	reserved int64
	given    int64
	received int64
	// lent is the part of received that lenders count as used until it is repaid.
	lent int64
	// directUntil is until when this router draws itself though others hold the team's shares.
	directUntil time.Time
	// pledges are those that may stand in the account: the last one that surely did and those of writes since then.
	pledges []Pledge
	// largest is the most that a recent request could use, as of noted.
	largest int64
	noted   time.Time
	// average is the use over rateMemory as if nothing had been used before metered; updated is as of when it is.
	average float64
	metered time.Time
	updated time.Time
	// asked is what another router or a caller that was sent away will ask for again, until askedUntil.
	asked      int64
	askedUntil time.Time
	// pressed says that another router asked for more than the pledge allows.
	pressed bool
	waiters []*waiter
}

// free returns what new requests may use: what is granted and not in use, as far as the pledges allow.
func (held *holding) free(uptime time.Duration) int64 {
	used := held.net() + held.reserved
	free := held.usable - used
	for i := range held.pledges {
		if bound, ok := held.pledges[i].Bound(uptime); ok {
			free = min(free, bound-used)
		}
	}
	return free
}

// net returns what was used or handed over of what was granted.
func (held *holding) net() int64 { return held.spent + held.given - held.received }

// reported returns what was used and is not counted by a lender.
func (held *holding) reported() int64 { return max(0, held.spent-held.lent) }

// draws reports whether this router takes part in a team's account: because it holds shares, because something is to be
// returned or settled, or because no lender answered.
func (held *holding) draws(now time.Time, instance, holder string, lenders int) bool {
	if lenders == 0 || !held.read || now.Before(held.directUntil) || held.keptFor(now) > 0 || len(held.waiters) > 0 {
		return true
	}
	// Not usable: a return whose write failed leaves the share in the account.
	if held.account.Shares[holder].Granted > max(0, held.net()+held.reserved) {
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
func (held *holding) keepFor(now time.Time, asked int64, wait time.Duration) {
	held.asked = asked
	held.askedUntil = now.Add(wait)
}

// keptFor returns what is drawn for requests that come again.
func (held *holding) keptFor(now time.Time) int64 {
	if !now.Before(held.askedUntil) {
		return 0
	}
	return held.asked
}

// noteDemand remembers the largest request of the last largestMemory.
func (held *holding) noteDemand(now time.Time, most int64) {
	if most >= held.largest || now.Sub(held.noted) > largestMemory {
		held.largest, held.noted = most, now
	}
}

// waiter is a request that waits for tokens.
type waiter struct {
	most int64
	// done is closed once the tokens are reserved.
	done chan struct{}
}

// meter averages the use over rateMemory. A request counts at its most when it comes and is corrected when it ends.
func (held *holding) meter(now time.Time, used int64) {
	if held.metered.IsZero() {
		held.metered, held.updated = now, now
	}
	held.average *= math.Exp(-now.Sub(held.updated).Seconds() / rateMemory.Seconds())
	held.updated = now
	held.average = max(0, held.average+float64(used)/rateMemory.Seconds())
}

// rate returns the use in tokens a second, corrected for the time in which nothing was metered yet.
func (held *holding) rate() float64 {
	span := max(rateWarmUp, held.updated.Sub(held.metered))
	return held.average / (1 - math.Exp(-span.Seconds()/rateMemory.Seconds()))
}
