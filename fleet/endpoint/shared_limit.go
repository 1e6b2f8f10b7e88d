package endpoint

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// limitUse is the fraction of a limit that the routers which hold it use together, agreementlessUse the fraction of that which
	// routers use together that can't tell who holds it.
	limitUse         = 0.93
	agreementlessUse = 0.2
	// holderRate is the rate, in requests a second, for which a limit has one holder.
	holderRate = 2.0
	// holderBurst is the number of requests that a holder may save up; a router without an agreement saves up one.
	holderBurst = 2.0
	// claimLifetime is how long a router holds its part after the start of its newest claim that the platform acknowledged. Others respect
	// a claim for claimRetention after they read it, which is longer, so that a part is free before another router takes it.
	claimLifetime  = 8 * time.Second
	claimRetention = 12 * time.Second
	// maxClaimsAge is the age of the newest read of others' claims from which on they say nothing about the present. settleTime is how
	// long a new claim is not used: after it, each router that still trusts its reads has read the claim.
	maxClaimsAge = 4 * time.Second
	settleTime   = 5 * time.Second
	// ClaimInterval is the time after which a claim is written again.
	ClaimInterval = 3 * time.Second
	// claimDelay is the delay of a claim by a router that isn't among the first in the order of ranks, and claimStep the further delay for
	// each router before it, up to maxClaimSteps, so that few routers claim at once.
	claimDelay    = 2 * time.Second
	claimStep     = 100 * time.Millisecond
	maxClaimSteps = 40
	// demandLifetime is how long a router claims a part of a limit after the last request that could have used it.
	demandLifetime = 10 * time.Second
	// maxRefillTime bounds the time for which a router's part accrues between two evaluations, in which it may have been lost.
	maxRefillTime = time.Second
)

// SharedLimit is one router's view of the rate of requests that one process of an endpoint accepts from all routers together, and decides
// which of the router's requests may be sent. It answers a load that an endpoint in need can't shed alone: a limit may be far below one
// request a second for each router.
//
// Few routers hold a limit, one for each holderRate of it. They claim it by records that all routers read, rank by a hash if too many
// claim, and share it evenly. While a router can't read or write claims it uses a fraction of a holder's part, and only if it is among the
// first in the order of ranks of all listed routers. Whoever is cut off from whom, a window of w seconds has at most
//
//	w*limitUse*(1+agreementlessUse)*limit + (holderBurst+1)*(1+limit/holderRate)
//
// requests. For 4 s this is below one and a half times what the limit allows and 5 requests. The zero value, with
// Endpoint set, is a process that names no limit.
type SharedLimit struct {
	// Endpoint is the name of the endpoint.
	Endpoint string

	rate float64
	// observedAt is when the newest answer arrived that named the rate, or none. knownSince is when the limit became known.
	observedAt, knownSince time.Time
	// claims are, by other router, the times at which their claims were read last.
	claims map[string]time.Time
	// claimedAt is the start of the newest acknowledged write of this router's own claim, claimedSince that of the first one without an
	// interruption; zero without a claim.
	claimedAt, claimedSince time.Time
	// demandedAt is when a request could last have used the limit, heldByOthersAt when as many routers as may hold it last claimed it.
	demandedAt, heldByOthersAt time.Time
	// tokens is the number of requests that may be sent now. It was evaluated at refilledAt, when it grew by part a second.
	tokens, part float64
	refilledAt   time.Time
}

// Fleet is what a router knows about the other routers when it decides on a limit.
type Fleet struct {
	// Self is the router's own instance, Routers the number of listed routers, Position the number of those that rank before it.
	Self              string
	Routers, Position int
	// IsAlone reports whether there are no other routers.
	IsAlone bool
	// ClaimsReadAt is the start of the newest successful read of the claims.
	ClaimsReadAt time.Time
}

// Rank returns the rank of a router for a subject, such as an endpoint whose limit the routers with the lowest ranks hold.
func Rank(subject, router string) uint64 {
	return MixHash(xxhash.Sum64String(subject) ^ MixHash(xxhash.Sum64String(router)))
}

// Rate returns the limit in requests a second; zero if there is none.
func (l *SharedLimit) Rate() float64 { return l.rate }

// Age returns the time since the newest answer that confirmed the limit or its end.
func (l *SharedLimit) Age(now time.Time) time.Duration { return now.Sub(l.observedAt) }

// RecordAnswer records the rate that the process named in an answer, zero for none, and reports whether it differs from the previous one.
// Answers may overtake each other: one that names a higher rate or none counts only if its request was sent after the answer
// with the lower rate arrived.
func (l *SharedLimit) RecordAnswer(sentAt, now time.Time, rate float64) bool {
	isHigher := rate == 0 && l.rate > 0 || l.rate > 0 && rate > l.rate
	if isHigher && sentAt.Before(l.observedAt) {
		return false
	}
	l.observedAt = now
	return l.setRate(now, rate)
}

// RecordReport records the rate that another router wrote down, for which its newest answer was age old. It reports whether the
// rate differs from the previous one. Older reports than this router's own newest answer are ignored.
func (l *SharedLimit) RecordReport(now time.Time, age time.Duration, rate float64) bool {
	observedAt := now.Add(-age)
	if !observedAt.After(l.observedAt) {
		return false
	}
	l.observedAt = observedAt
	return l.setRate(now, rate)
}

func (l *SharedLimit) setRate(now time.Time, rate float64) bool {
	if rate == l.rate {
		return false
	}
	if l.rate == 0 {
		l.knownSince, l.refilledAt, l.tokens, l.part = now, now, 0, 0
	}
	l.rate = rate
	return true
}

// RecordClaim records that another router claims the limit, or no longer does.
func (l *SharedLimit) RecordClaim(now time.Time, router string, isClaimed bool) {
	if !isClaimed {
		delete(l.claims, router)
		return
	}
	if l.claims == nil {
		l.claims = make(map[string]time.Time)
	}
	l.claims[router] = now
}

// RecordOwnClaim records that the platform acknowledged this router's claim, whose write started at a time.
func (l *SharedLimit) RecordOwnClaim(startedAt time.Time) {
	if startedAt.Sub(l.claimedAt) > claimLifetime {
		l.claimedSince = startedAt
	}
	l.claimedAt = startedAt
}

// DropOwnClaim records that this router no longer claims the limit.
func (l *SharedLimit) DropOwnClaim() { l.claimedAt, l.claimedSince = time.Time{}, time.Time{} }

// Admits reports whether a request may be sent now. It counts as demand for the limit.
func (l *SharedLimit) Admits(now time.Time, f Fleet) bool {
	if l.rate == 0 {
		return true
	}
	l.demandedAt = now
	l.Refill(now, f)
	return l.hasToken()
}

// hasToken allows for the rounding of many small refills.
func (l *SharedLimit) hasToken() bool { return l.tokens > 1-1e-9 }

// Take counts a request that is sent.
func (l *SharedLimit) Take() {
	if l.rate > 0 {
		l.tokens = max(0, l.tokens-1)
	}
}

// TimeToAdmission returns the time until this router may send a request, or false if it has no part of the limit.
func (l *SharedLimit) TimeToAdmission(now time.Time, f Fleet) (time.Duration, bool) {
	l.Refill(now, f)
	if l.part == 0 {
		return 0, false
	}
	return time.Duration(max(0, 1-l.tokens) / l.part * float64(time.Second)), true
}

// Refill evaluates the router's part of the limit. It must be called at least every maxRefillTime for the part to accrue in full.
func (l *SharedLimit) Refill(now time.Time, f Fleet) {
	part, burst := l.partOf(now, f)
	elapsed, grown := now.Sub(l.refilledAt), part
	if !f.IsAlone {
		elapsed, grown = min(elapsed, maxRefillTime), min(l.part, part)
	}
	l.tokens = min(burst, l.tokens+grown*elapsed.Seconds())
	l.part, l.refilledAt = part, now
}

// partOf returns the rate at which this router may send requests, in requests a second, and how many it may save up.
func (l *SharedLimit) partOf(now time.Time, f Fleet) (part, burst float64) {
	if f.IsAlone {
		return limitUse * l.rate, holderBurst
	}
	holders := l.maxHolders(f)
	part = limitUse * l.rate / float64(holders)
	switch {
	case l.isHolder(now, f):
		return part, holderBurst
	case f.Position < holders:
		return agreementlessUse * part, 1
	default:
		return 0, 0
	}
}

// maxHolders returns the number of routers that hold the limit together.
func (l *SharedLimit) maxHolders(f Fleet) int {
	return max(1, min(1+int(l.rate/holderRate), f.Routers))
}

// isHolder reports whether this router's claim is settled and among those that count, as far as all routers that can read claims know.
func (l *SharedLimit) isHolder(now time.Time, f Fleet) bool {
	return !l.claimedAt.IsZero() && now.Sub(l.claimedAt) <= claimLifetime && now.Sub(l.claimedSince) >= settleTime &&
		now.Sub(f.ClaimsReadAt) <= maxClaimsAge && l.claimsBefore(now, f.Self) < l.maxHolders(f)
}

// claimsBefore returns the number of claims of routers that rank before the given one.
func (l *SharedLimit) claimsBefore(now time.Time, self string) int {
	count, rank := 0, Rank(l.Endpoint, self)
	for router, readAt := range l.claims {
		if now.Sub(readAt) > claimRetention {
			delete(l.claims, router)
			continue
		}
		if other := Rank(l.Endpoint, router); other < rank || other == rank && router < self {
			count++
		}
	}
	return count
}

// WantsClaim reports whether this router should claim the limit, or go on to claim it.
func (l *SharedLimit) WantsClaim(now time.Time, f Fleet) bool {
	if l.rate == 0 || f.IsAlone {
		return false
	}
	before := l.claimsBefore(now, f.Self)
	holders := l.maxHolders(f)
	if len(l.claims) >= holders {
		l.heldByOthersAt = now
	}
	switch {
	case before >= holders || now.Sub(l.demandedAt) > demandLifetime:
		return false
	case !l.claimedAt.IsZero():
		return true
	case len(l.claims) >= holders:
		return false
	}
	freeSince := later(l.knownSince, l.heldByOthersAt)
	if f.Position < holders {
		return true
	}
	return now.Sub(freeSince) >= claimDelay+time.Duration(min(f.Position-holders, maxClaimSteps))*claimStep
}
