package endpoint

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxBearableRefusals bounds the refusals a second that an endpoint is taken to name. No endpoint gets more requests.
	MaxBearableRefusals = 1_000_000
	// usedRefusals is the part of the bearable refusals that routers plan with. The rest is for what they don't know: connections that hold a
	// slot, requests of routers that have ended, rosters that differ.
	usedRefusals = 0.5
	// refusalWindow is the time in which an endpoint counts its refusals. A router that has used up its part of them sends nothing for so long.
	refusalWindow = 1 * time.Second
	// refusedBoundFactor is the part of the requests in progress to which the bound falls when one more was refused.
	refusedBoundFactor = 0.875
	// restartBoundFactor is the part of a router's places at an endpoint's next process that it begins with: the former one may have
	// had room for fewer requests than it has slots.
	restartBoundFactor = 0.5
	// refusedRoomFactor lowers, at each refusal, the part of the planned places of the service's endpoints that is used, down to leastRoom.
	// It counts refusals at most every refusedRoomInterval.
	refusedRoomFactor   = 0.875
	leastRoom           = 0.25
	refusedRoomInterval = 100 * time.Millisecond
	// minGrowth is the least growth of all routers' requests in progress at an endpoint, in requests a second.
	minGrowth = 0.1
	// minGrowthInterval is the least time in which the bound grows by one.
	minGrowthInterval = 1 * time.Second
	// brokenOffTime is how long a request that was broken off is taken to occupy the endpoint.
	brokenOffTime = 1 * time.Second
	// formerRequestsTime is how long a router that starts leaves to the requests of its former process.
	formerRequestsTime = 2 * time.Second
	// serviceMarkLifetime is how long a service's endpoints are taken to be brittle after the newest answer that said so.
	serviceMarkLifetime = 30 * time.Second
)

// Brittleness says whether endpoints fall over when they have to refuse more than a number of requests in a second.
type Brittleness struct {
	IsBrittle bool
	// Refusals is the number of requests that the endpoint can refuse in a second.
	Refusals int
}

// ParseBrittleness returns the brittleness that an endpoint names in a header: none for an empty value. A value that is negative or no number
// counts as zero, one above MaxBearableRefusals as that, and fractions are cut off.
func ParseBrittleness(value string) Brittleness {
	value = strings.TrimSpace(value)
	if value == "" {
		return Brittleness{}
	}
	refusals, err := strconv.ParseFloat(value, 64)
	if isRangeError := err != nil && math.IsInf(refusals, 1); err != nil && !isRangeError || math.IsNaN(refusals) {
		refusals = 0
	}
	return Brittleness{IsBrittle: true, Refusals: int(max(0, min(refusals, MaxBearableRefusals)))}
}

// ServiceMark is what one router knows of the brittleness of a service's endpoints together. It stands for endpoints that haven't answered
// since they became brittle or started. The zero value is a service without brittle endpoints.
type ServiceMark struct {
	refusals int
	// since is when the first answer with the mark arrived, newest when the newest one did.
	since, newest time.Time
	// heardAt is when this router's own newest answer with the mark arrived.
	heardAt time.Time
	// missing is the part of the planned places that is not used since endpoints refused requests, as of missingAt.
	missing   float64
	missingAt time.Time
	// closedUntil is the time before which nothing is sent.
	closedUntil time.Time
}

// Record records that an endpoint of the service named its brittleness.
func (m *ServiceMark) Record(now time.Time, refusals int) {
	if !m.IsInForce(now) {
		m.since, m.missing = now, 0
	}
	m.refusals, m.newest, m.heardAt = refusals, now, now
}

// room returns the part of the planned places that is used at an endpoint with the given number of them.
func (m *ServiceMark) room(now time.Time, planned int) float64 {
	grown := now.Sub(m.missingAt).Seconds() * growthOf(m.refusals) / float64(planned)
	return 1 - max(0, m.missing-grown)
}

// recordRefusal lowers the part of the planned places that is used.
func (m *ServiceMark) recordRefusal(now time.Time, planned int) {
	if now.Sub(m.missingAt) < refusedRoomInterval {
		return
	}
	m.missing, m.missingAt = 1-max(leastRoom, refusedRoomFactor*m.room(now, planned)), now
}

// growthOf returns the number of requests a second by which all routers together raise what is in progress at an endpoint that has refused
// requests. Few of these are refused in the same second.
func growthOf(refusals int) float64 {
	n := float64(refusals)
	return max(minGrowth, usedRefusals*n*n/(n+2))
}

// RecordReport records what another router wrote down, for which its newest answer was age old. A router that starts with it sends nothing until the requests of its
// former process have ended.
func (m *ServiceMark) RecordReport(now time.Time, age time.Duration, refusals int, isStarting bool) {
	newest := now.Add(-max(0, age))
	if !newest.After(m.newest) || now.Sub(newest) > serviceMarkLifetime {
		return
	}
	if isStarting {
		m.closedUntil = now.Add(formerRequestsTime)
	}
	if !m.IsInForce(now) {
		m.since, m.missing = now, 0
	}
	m.refusals, m.newest = max(0, min(refusals, MaxBearableRefusals)), newest
}

// Report returns, for other routers, the refusals a second that the service's endpoints can bear and the age of this router's newest answer that
// said so, or false without one. What others reported is not passed on: two routers would go on to report it to each other.
func (m *ServiceMark) Report(now time.Time) (refusals int, age time.Duration, ok bool) {
	age = now.Sub(m.heardAt)
	return m.refusals, age, !m.heardAt.IsZero() && age <= serviceMarkLifetime
}

// IsInForce reports whether the service's endpoints are taken to be brittle.
func (m *ServiceMark) IsInForce(now time.Time) bool {
	return !m.newest.IsZero() && now.Sub(m.newest) <= serviceMarkLifetime
}

// RefusalBound is one router's view of an endpoint's process that may be brittle, and decides which of the router's requests may be sent
// there. An endpoint counts what it refuses from all routers, while each router knows only of its own requests, and of the endpoint's room only the slots that the
// directory lists.
//
// So the routers divide the slots and usedRefusals of the bearable refusals among them, by their ranks at the endpoint. No message is
// needed, and requests in progress exceed the slots by no more than the bearable refusals, also at an endpoint that comes back empty. An endpoint
// that has less room than slots refuses; then the bound falls below what was in progress, and grows so slowly that all routers' attempts to
// grow stay within the same refusals. The zero value is a process that has not answered yet.
type RefusalBound struct {
	own Brittleness
	// markedAt is when the newest answer with the mark arrived, clearedAt when the newest request was sent that was answered without.
	markedAt, clearedAt time.Time
	// bound is the number of requests that may be in progress, if isBounded; else the router's places are the bound. It last changed at boundedAt.
	bound     int
	isBounded bool
	boundedAt time.Time
	// refusedAt are the arrivals of refusals within the last refusalWindow, closedUntil the time before which nothing is sent.
	refusedAt   []time.Time
	closedUntil time.Time
	// brokenOff are the times until which requests that were broken off occupy the endpoint.
	brokenOff []time.Time
}

// RecordAnswer records what the process named in the answer to a request that was sent at a time, and reports whether that is a change. A mark ends
// only with an answer to a request that was sent after the newest answer with the mark had arrived.
func (b *RefusalBound) RecordAnswer(sentAt, now time.Time, named Brittleness, m *ServiceMark) bool {
	if named.IsBrittle {
		if !b.of(now, m).IsBrittle {
			b.isBounded = false
		}
		m.Record(now, named.Refusals)
		b.markedAt = now
	} else {
		if sentAt.Before(b.markedAt) {
			return false
		}
		b.clearedAt = later(b.clearedAt, sentAt)
	}
	isChanged := named != b.own
	b.own = named
	return isChanged
}

// of returns the brittleness of the process: its own, or its service's if it hasn't answered without the mark since that began.
func (b *RefusalBound) of(now time.Time, m *ServiceMark) Brittleness {
	switch {
	case b.own.IsBrittle:
		return b.own
	case m.IsInForce(now) && b.clearedAt.Before(m.since):
		return Brittleness{IsBrittle: true, Refusals: m.refusals}
	default:
		return Brittleness{}
	}
}

// IsBrittle reports whether the process is taken to be brittle.
func (b *RefusalBound) IsBrittle(now time.Time, m *ServiceMark) bool { return b.of(now, m).IsBrittle }

// Admits reports whether a request may be sent to the endpoint, which has slots, beside inProgress ones of this router.
func (b *RefusalBound) Admits(now time.Time, inProgress, slots int, f Fleet, m *ServiceMark) bool {
	brittleness := b.of(now, m)
	if !brittleness.IsBrittle {
		return true
	}
	if now.Before(b.closedUntil) || now.Before(m.closedUntil) {
		return false
	}
	b.dropEnded(now)
	return inProgress+len(b.brokenOff) < b.current(now, brittleness, slots, f, m)
}

// current returns the number of requests that may be in progress. It grows by one in each growth interval, up to the router's places.
func (b *RefusalBound) current(now time.Time, brittleness Brittleness, slots int, f Fleet, m *ServiceMark) int {
	places, planned := placesOf(now, brittleness, slots, f, m)
	if !b.isBounded {
		return places
	}
	sharers := min(max(1, f.Routers), planned)
	interval := max(minGrowthInterval, time.Duration(float64(sharers)/growthOf(brittleness.Refusals)*float64(time.Second)))
	if grown := int(now.Sub(b.boundedAt) / interval); grown > 0 {
		b.bound += grown
		b.boundedAt = b.boundedAt.Add(time.Duration(grown) * interval)
	}
	if b.bound >= places {
		b.isBounded = false
		return places
	}
	return b.bound
}

// placesOf returns this router's part of the endpoint's places, and how many there are.
func placesOf(now time.Time, brittleness Brittleness, slots int, f Fleet, m *ServiceMark) (part, planned int) {
	planned = cmp.Or(max(0, slots), 1) + int(usedRefusals*float64(brittleness.Refusals))
	used := max(1, int(m.room(now, planned)*float64(planned)))
	if f.IsAlone {
		return used, planned
	}
	routers := max(1, f.Routers)
	part = used / routers
	if f.Position < used%routers {
		part++
	}
	if f.Position >= routers {
		part = 0
	}
	return part, planned
}

// StartAnew is called for the first process after one that ended while it was brittle.
func (b *RefusalBound) StartAnew(now time.Time, slots int, f Fleet, m *ServiceMark) {
	if !m.IsInForce(now) {
		return
	}
	places, _ := placesOf(now, Brittleness{Refusals: m.refusals}, slots, f, m)
	b.bound, b.isBounded, b.boundedAt = int(math.Ceil(restartBoundFactor*float64(places))), true, now
}

// RecordRefusal records that the endpoint refused a request, which was sent at a time, beside inProgress other ones of this router.
func (b *RefusalBound) RecordRefusal(sentAt, now time.Time, inProgress, slots int, f Fleet, m *ServiceMark) {
	brittleness := b.of(now, m)
	if !brittleness.IsBrittle || sentAt.Before(m.since) {
		return
	}
	_, planned := placesOf(now, brittleness, slots, f, m)
	m.recordRefusal(now, planned)
	bound := int(refusedBoundFactor * float64(inProgress))
	b.bound, b.isBounded, b.boundedAt = min(bound, b.current(now, brittleness, slots, f, m)), true, now
	for len(b.refusedAt) > 0 && now.Sub(b.refusedAt[0]) >= refusalWindow {
		b.refusedAt = b.refusedAt[1:]
	}
	b.refusedAt = append(b.refusedAt, now)
	if float64(len(b.refusedAt)+1)*float64(min(max(1, f.Routers), planned)) > usedRefusals*float64(brittleness.Refusals) {
		b.closedUntil = now.Add(refusalWindow)
	}
}

// RecordBrokenOff records that a request was broken off, on which the endpoint may still work.
func (b *RefusalBound) RecordBrokenOff(now time.Time) {
	b.dropEnded(now)
	b.brokenOff = append(b.brokenOff, now.Add(brokenOffTime))
}

// dropEnded drops the broken-off requests that no longer occupy the endpoint.
func (b *RefusalBound) dropEnded(now time.Time) {
	for len(b.brokenOff) > 0 && !now.Before(b.brokenOff[0]) {
		b.brokenOff = b.brokenOff[1:]
	}
}
