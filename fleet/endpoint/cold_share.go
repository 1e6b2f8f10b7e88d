package endpoint

import "time"

const (
	// coldUse is the fraction of a cold endpoint's rate that the routers which share it use together.
	coldUse = 0.9
	// rosterMargin is the number of routers that may count themselves among those which share a rate, for each that does by the newest
	// roster, while routers have different rosters.
	rosterMargin = 2
	// spacedRate is the rate, in requests a second, up to which no two requests of a router arrive within one second, if they differ by up
	// to 150 ms in transit.
	spacedRate = 1 / 1.15
	// reservationTime is how long a reservation holds: longer than the opening of a connection, after which the request is sent or given up.
	reservationTime = 2 * time.Second
	// smallFleetMargin is what takes the place of rosterMargin for sharers with a rate above spacedRate. All routers share then, so that those
	// that join displace none.
	smallFleetMargin = 1.25
)

// ColdBounds are the operators' bounds on the requests that all routers together may send to a cold endpoint of a given rate: in any one
// second, Overage times the rate plus Slack.
type ColdBounds struct {
	Overage float64
	Slack   float64
}

// DefaultColdBounds returns the bounds of sites whose operators set none.
func DefaultColdBounds() ColdBounds { return ColdBounds{Overage: 1.5, Slack: 5} }

// perSecond returns the number of requests that a cold endpoint of a given rate may get in any one second.
func (b ColdBounds) perSecond(rate float64) float64 { return b.Overage*rate + b.Slack }

// ColdPlan says how routers share the rate of a cold endpoint.
type ColdPlan struct {
	// Sharers is the number of routers that send to the endpoint: the first in the order of ranks.
	Sharers int
	// Rate is the rate of each of them, in requests a second.
	Rate float64
}

// PlanCold returns how many routers share the rate of cold endpoints. There are as many as the bounds permit, because the shares at all cold
// endpoints then add up to about the same at each router, and because few routers more or less than planned matter less among many.
//
// Each router spaces its requests evenly, so that it sends at most one more than its rate in a second. Together that is at most
// coldUse*rate + Sharers, which is within the bounds. As long as Rate is up to spacedRate, it is one request of each sharer, and at most
// rosterMargin*Sharers while routers of two rosters take themselves for sharers.
func PlanCold(rate float64, b ColdBounds, routers int) ColdPlan {
	permitted := b.perSecond(rate)
	sharers := max(1, min(int(min(permitted/rosterMargin, permitted-coldUse*rate)), routers))
	highest := max(spacedRate, permitted/(smallFleetMargin*float64(sharers))-1)
	return ColdPlan{Sharers: sharers, Rate: min(coldUse*rate/float64(sharers), highest)}
}

// ColdShare is one router's share of the rate of a cold endpoint: a token bucket for one request. A router that has just started
// begins with an empty one, since it doesn't know what its former process has sent. The zero value is a bucket that has never been used.
type ColdShare struct {
	tokens     float64
	refilledAt time.Time
	// reservedUntil is the end of the reservation of the next request; zero without one.
	reservedUntil time.Time
}

// ColdUse is what a ColdShare is evaluated with.
type ColdUse struct {
	Plan ColdPlan
	// Position is the number of routers that rank before this one.
	Position int
	// StartedAt is when this router started.
	StartedAt time.Time
}

// hasShare reports whether the router is among those that send to the endpoint.
func (u *ColdUse) hasShare() bool { return u.Position < u.Plan.Sharers }

// refill adds what has accrued.
func (s *ColdShare) refill(now time.Time, u ColdUse) {
	if s.refilledAt.Before(u.StartedAt) {
		s.refilledAt = u.StartedAt
	}
	s.tokens = min(1, s.tokens+u.Plan.Rate*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
}

// Admits reports whether one more request may be sent now, beside those that are reserved.
func (s *ColdShare) Admits(now time.Time, u ColdUse) bool {
	if !u.hasShare() {
		return false
	}
	s.refill(now, u)
	return !now.Before(s.reservedUntil) && s.hasToken()
}

// hasToken allows for the rounding of many small refills.
func (s *ColdShare) hasToken() bool { return s.tokens > 1-1e-9 }

// Reserve reserves the next request, until Cancel or Take, or for reservationTime.
func (s *ColdShare) Reserve(now time.Time) { s.reservedUntil = now.Add(reservationTime) }

// Cancel gives the reservation back.
func (s *ColdShare) Cancel() { s.reservedUntil = time.Time{} }

// Take takes a request that is sent now, and reports whether the share allows it. isReserved reports whether the request was reserved,
// which ends the reservation in any case.
func (s *ColdShare) Take(now time.Time, u ColdUse, isReserved bool) bool {
	if isReserved {
		s.Cancel()
	}
	if !s.Admits(now, u) {
		return false
	}
	s.tokens--
	return true
}

// TimeToAdmission returns the time until the next request may be sent, or false if the router has no share.
func (s *ColdShare) TimeToAdmission(now time.Time, u ColdUse) (time.Duration, bool) {
	if !u.hasShare() {
		return 0, false
	}
	s.refill(now, u)
	return time.Duration(max(0, 1-s.tokens) / u.Plan.Rate * float64(time.Second)), true
}

// IsFull reports whether the bucket holds as much as an unused one does, so that it can be dropped.
func (s *ColdShare) IsFull(now time.Time, u ColdUse) bool {
	s.refill(now, u)
	return !now.Before(s.reservedUntil) && s.hasToken()
}
