package gateway

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

const (
	// boundLogInterval is the least time between two log lines that an endpoint's bound is reached.
	boundLogInterval = 1 * time.Second
	// markPublishers is the number of routers that record that a service's endpoints are brittle, for routers that start.
	markPublishers = 3
)

// recordedMark says in a limitRecord that a service's endpoints fall over if they have to refuse more than some requests a second.
type recordedMark struct {
	Service  string
	Refusals int
	// AgeMilliseconds is the time since the router's newest answer that said so, when the record was written.
	AgeMilliseconds int64
}

func (r *limitRecord) isEmpty() bool { return len(r.Limits) == 0 && len(r.Brittle) == 0 }

// refusalsOf returns the refusals a second that endpoints can bear, by service.
func refusalsOf(marks []recordedMark) map[string]int {
	refusals := make(map[string]int, len(marks))
	for _, m := range marks {
		refusals[m.Service] = m.Refusals
	}
	return refusals
}

// recordedMarksLocked returns the services with brittle endpoints that this router records.
func (t *targets) recordedMarksLocked(now time.Time) []recordedMark {
	var marks []recordedMark
	for _, service := range slices.Sorted(maps.Keys(t.marks)) {
		refusals, age, isBrittle := t.marks[service].Report(now)
		if isBrittle && len(marks) < maxRecordedLimits && t.publishesMark(service) {
			marks = append(marks, recordedMark{Service: service, Refusals: refusals, AgeMilliseconds: age.Milliseconds()})
		}
	}
	return marks
}

// publishesMark reports whether this router is among the markPublishers that rank first for a service.
func (t *targets) publishesMark(service string) bool {
	self := t.routers.Self.Instance
	before, rank := 0, endpoint.Rank(service, self)
	for _, other := range t.routers.Roster.Routers() {
		if other.Instance != self && endpoint.Rank(service, other.Instance) <= rank {
			before++
		}
	}
	return before < markPublishers
}

// mergeMarksLocked merges the services with brittle endpoints that a router recorded.
func (t *targets) mergeMarksLocked(now time.Time, marks []recordedMark) {
	for _, m := range marks[:min(len(marks), maxRecordedLimits)] {
		t.markLocked(m.Service).RecordReport(now, time.Duration(m.AgeMilliseconds)*time.Millisecond, m.Refusals, !t.hasReadRecords())
	}
}

// markLocked returns what is known of the brittleness of a service's endpoints together.
func (t *targets) markLocked(service string) *endpoint.ServiceMark {
	if t.marks == nil {
		t.marks = make(map[string]*endpoint.ServiceMark)
	}
	if t.marks[service] == nil {
		t.marks[service] = &endpoint.ServiceMark{}
	}
	return t.marks[service]
}

// isWithinBoundLocked reports whether a brittle endpoint may get one more request of this router; others may.
func (t *targets) isWithinBoundLocked(now time.Time, e *target) bool {
	mark := t.markLocked(e.Service)
	if !e.limit.bound.IsBrittle(now, mark) {
		// The fleet is ranked anew for each endpoint after each change of the roster, which only brittle endpoints need.
		return true
	}
	return e.limit.bound.Admits(now, e.inFlight, e.Slots, t.fleetLocked(e.limit), mark)
}

// reportBoundLocked counts a request that found no room because of an endpoint's bound, and logs it now and then.
func (t *targets) reportBoundLocked(now time.Time, e *target, j *job, retryAfter time.Duration) {
	j.server.state.Count(endpointBounded)
	if now.Sub(e.boundLoggedAt) < boundLogInterval {
		return
	}
	e.boundLoggedAt = now
	j.server.logger.WithFields(log.Fields{
		fieldEndpoint: e.Name, "InProgress": e.inFlight, "Slots": e.Slots, fieldMilliseconds: retryAfter.Milliseconds(),
	}).Info("brittle endpoint has no room for more requests of this router")
}

// recordBrittleness records how many refusals a second an endpoint can bear, as named in the answer to a request that was sent at a time.
func (s *Server) recordBrittleness(e *target, sentAt time.Time, response *http.Response) {
	if s.protocol.Brittle == "" {
		return
	}
	named := endpoint.ParseBrittleness(response.Header.Get(s.protocol.Brittle))
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	if !e.limit.bound.RecordAnswer(sentAt, time.Now(), named, s.targets.markLocked(e.Service)) {
		return
	}
	s.state.Count(endpointBrittle)
	s.limitChanges.signal()
	s.logger.WithFields(log.Fields{
		fieldEndpoint: e.Name, "Brittle": named.IsBrittle, "Refusals": named.Refusals, "Value": response.Header.Get(s.protocol.Brittle),
	}).Info("endpoint's brittleness changed")
}

// recordRoomLocked records what the end of an attempt says about the endpoint's room for requests.
func (t *targets) recordRoomLocked(startedAt, now time.Time, e *target, result attemptResult) {
	switch {
	case result.isRefusal:
		e.limit.bound.RecordRefusal(startedAt, now, e.inFlight, e.Slots, t.fleetLocked(e.limit), t.markLocked(e.Service))
	case result.cause != nil && result.writeCount > 0:
		e.limit.bound.RecordBrokenOff(now)
	}
}
