package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// limitKeySuffix follows a router's instance name in the key of its record of rate limits.
	limitKeySuffix = "/limits"
	// limitCheckInterval is the interval at which a router that knows of a rate limit evaluates its part of it.
	limitCheckInterval = 500 * time.Millisecond
	// endedLimitTime is how long the end of a rate limit stays in the record: several reads of the other routers.
	endedLimitTime = 30 * time.Second
	// unlistedLimitTime is how long a rate limit of a process is kept that the directory doesn't list, or not yet.
	unlistedLimitTime = 1 * time.Minute
	// maxRecordedLimits bounds the record of rate limits to a few tens of KB.
	maxRecordedLimits = 256
	// maxReportedAge bounds the age of a limit in another router's record.
	maxReportedAge = 24 * time.Hour
	// limitedLoadPenalty is the number of requests added to the load of an endpoint that names a rate limit: few requests in
	// progress there don't say that it is idle.
	limitedLoadPenalty = 2
	// limitNewsTime is the age of a limit's newest answer from which on the endpoint gets the next request that the limit allows.
	limitNewsTime = 3 * time.Second
	// otherRouterDelay is the mean time after which a request may come again, at another router, that found only endpoints whose
	// rate limits other routers hold.
	otherRouterDelay = 1 * time.Second
)

// endpointProcess identifies a process of an endpoint.
type endpointProcess struct {
	name      string
	startedAt int64
}

func processOf(e *site.Endpoint) endpointProcess { return endpointProcess{e.Name, e.StartedAt} }

// processLimit is the rate limit of an endpoint's process.
type processLimit struct {
	endpoint.SharedLimit
	// bound decides which requests may be sent if the process is brittle.
	bound endpoint.RefusalBound

	// routers is the number of listed routers, position the number of those that rank before this one at the endpoint, as of the
	// roster's change count rosterChanges.
	position, routers int
	rosterChanges     int64
	// publishes reports whether this router's record holds the limit. endedAt is when this router learned of the limit's end, reportedAt when
	// it last read of the limit in another router's record, or when the directory ceased to list the process: it may list it again.
	publishes           bool
	endedAt, reportedAt time.Time
}

// limitRecord lists the rate limits that a router claims. The router writes it as JSON under a key of its own, where other routers read
// it.
type limitRecord struct {
	Limits []recordedLimit
	// Brittle are the services with brittle endpoints.
	Brittle []recordedMark `json:",omitempty"`
}

// recordedLimit is the rate limit that the process of an endpoint names. A rate of zero stands for a limit that has ended.
type recordedLimit struct {
	Endpoint  string
	StartedAt int64
	Rate      float64
	// AgeMilliseconds is the time since the router's newest answer that confirmed the rate, when the record was written.
	AgeMilliseconds int64
}

// limitLocked returns the rate limit of a process, which is known or not.
func (t *targets) limitLocked(p endpointProcess) *processLimit {
	if t.limits == nil {
		t.limits = make(map[endpointProcess]*processLimit)
	}
	if t.limits[p] == nil {
		t.limits[p] = &processLimit{SharedLimit: endpoint.SharedLimit{Endpoint: p.name}}
	}
	return t.limits[p]
}

// fleetLocked returns what is known about the other routers for the decision on a limit.
func (t *targets) fleetLocked(l *processLimit) endpoint.Fleet {
	if t.routers == nil {
		return endpoint.Fleet{IsAlone: true}
	}
	self := t.routers.Self.Instance
	if changes := t.routers.Roster.ChangeCount(); changes != l.rosterChanges {
		listed, rank := t.routers.Roster.Routers(), endpoint.Rank(l.Endpoint, self)
		l.rosterChanges, l.position, l.routers = changes, 0, len(listed)
		for _, other := range listed {
			if other.Instance != self && endpoint.Rank(l.Endpoint, other.Instance) <= rank {
				l.position++
			}
		}
	}
	f := endpoint.Fleet{Self: self, Routers: l.routers, Position: l.position}
	if !t.routers.hasRoster.Load() {
		f.Position = math.MaxInt
	}
	if readAt := t.routers.readAt.Load(); readAt != nil {
		f.ClaimsReadAt = *readAt
	}
	return f
}

// hasReadRecords reports whether the other routers' records have been read. A router that starts doesn't know before which limits
// its endpoints have named.
func (t *targets) hasReadRecords() bool { return t.routers == nil || t.routers.hasRoster.Load() }

// isWithinLimitLocked reports whether the endpoint's rate limit lets a request through.
func (t *targets) isWithinLimitLocked(now time.Time, e *target) bool {
	return e.limit.Rate() == 0 || e.limit.Admits(now, t.fleetLocked(e.limit))
}

// timeToAdmissionLocked returns when a request may come again that the endpoint's rate limit doesn't let through; zero without a limit.
func (t *targets) timeToAdmissionLocked(now time.Time, e *target, random uint64) time.Duration {
	if e.limit.Rate() == 0 {
		return 0
	}
	if wait, ok := e.limit.TimeToAdmission(now, t.fleetLocked(e.limit)); ok {
		return wait
	}
	return spreadDelay(random)
}

// spreadDelay returns a time around otherRouterDelay that spreads the callers which come again, most of them at other routers.
func spreadDelay(random uint64) time.Duration {
	return otherRouterDelay/2 + time.Duration(float64(random>>11)/(1<<53)*float64(otherRouterDelay))
}

// loadPenalty returns the number of requests added to an endpoint's load for its rate limit.
func (e *target) loadPenalty() int {
	if e.limit.Rate() > 0 {
		return limitedLoadPenalty
	}
	return 0
}

// preferUnheard returns the endpoints whose rate limits nobody has heard of for limitNewsTime, or else all: only a request shows whether a
// limit is still in force.
func preferUnheard(now time.Time, eligible []*target) []*target {
	var unheard []*target
	for _, e := range eligible {
		if e.limit.Rate() > 0 && e.limit.Age(now) > limitNewsTime {
			unheard = append(unheard, e)
		}
	}
	if len(unheard) > 0 {
		return unheard
	}
	return eligible
}

// recordRateLimit records the rate of requests that an endpoint names in the answer to a request that was sent at a time.
func (s *Server) recordRateLimit(e *target, sentAt time.Time, response *http.Response) {
	if s.protocol.RateLimit == "" {
		return
	}
	value := response.Header.Get(s.protocol.RateLimit)
	rate, err := endpoint.ParseRateLimit(value)
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	if err != nil {
		s.state.Count(endpointLimitUnreadable)
		if value != e.unreadableLimit {
			s.logger.WithFields(log.Fields{fieldEndpoint: e.Name, "Value": value}).Warn("endpoint limit can't be read; the previous one stays in force")
		}
		e.unreadableLimit = value
		return
	}
	e.unreadableLimit = ""
	now, previous := time.Now(), e.limit.Rate()
	if !e.limit.RecordAnswer(sentAt, now, rate) {
		return
	}
	if rate == 0 {
		e.limit.endedAt = now
	}
	s.logLimitChange(e.Name, rate, previous, "")
	s.limitChanges.signal()
}

// logLimitChange logs a new rate limit. from is the router that reported it; empty for an answer of the endpoint.
func (s *Server) logLimitChange(name string, rate, previous float64, from string) {
	s.state.Count(endpointLimited)
	s.logger.WithFields(log.Fields{fieldEndpoint: name, "Rate": rate, "Previous": previous, fieldFrom: from}).Info("endpoint limit changed")
}

// mergeLimits merges another router's record of rate limits.
func (s *Server) mergeLimits(now time.Time, router string, value []byte) {
	var record limitRecord
	if len(value) > 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			s.logger.WithField("Instance", router).WithError(err).Warn("cannot decode a router's record of rate limits")
			return
		}
	}
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	s.targets.mergeMarksLocked(now, record.Brittle)
	claimed := make(map[endpointProcess]bool, len(record.Limits))
	for _, r := range record.Limits[:min(len(record.Limits), maxRecordedLimits)] {
		p := endpointProcess{r.Endpoint, r.StartedAt}
		l, previous := s.targets.limitLocked(p), s.targets.limitLocked(p).Rate()
		l.reportedAt = now
		rate, isOwn := max(0, min(r.Rate, endpoint.MaxRateLimit)), router == s.targets.routers.Self.Instance
		if l.RecordReport(now, r.age(), rate) {
			s.logLimitChange(r.Endpoint, rate, previous, router)
		}
		claimed[p] = r.Rate > 0 && !isOwn
		s.targets.hasOwnRecord = s.targets.hasOwnRecord || isOwn
	}
	for p, l := range s.targets.limits {
		l.RecordClaim(now, router, claimed[p])
	}
	s.limitChanges.signal()
}

// age returns the age of the answer that named the limit, between zero and maxReportedAge.
func (r *recordedLimit) age() time.Duration {
	return time.Duration(max(0, min(r.AgeMilliseconds, maxReportedAge.Milliseconds()))) * time.Millisecond
}

// changeSignal tells a loop that something has changed since it last looked.
type changeSignal chan struct{}

func newChangeSignal() changeSignal { return make(changeSignal, 1) }

func (c changeSignal) signal() {
	select {
	case c <- struct{}{}:
	default:
	}
}

// limitClaimer writes the router's record of rate limits.
type limitClaimer struct {
	server  *Server
	routers *Routers
	// writtenAt is the start of the newest write of the record, hasFailed whether it failed. written are the processes in it.
	writtenAt time.Time
	hasFailed bool
	written   map[endpointProcess]float64
	// writtenMarks are the services in the record whose endpoints are brittle.
	writtenMarks map[string]int
}

// run evaluates the rate limits, and writes the record after changes and while the router claims one, until the context ends.
func (c *limitClaimer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		record, isNeeded := c.update(time.Now())
		if isNeeded {
			c.write(ctx, record)
		}
		if c.server.targets.hasLimits() {
			clock.Sleep(ctx, limitCheckInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.server.limitChanges:
		}
	}
	return nil
}

// update evaluates the router's part of each limit, and returns its record and whether that must be written.
func (c *limitClaimer) update(now time.Time) (limitRecord, bool) {
	t := &c.server.targets
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropUnlistedLimitsLocked(now)
	var record limitRecord
	// A record of this router's former process claims limits that nobody uses.
	isChanged := c.hasFailed || c.writtenAt.IsZero() && t.hasOwnRecord
	for p, l := range t.limits {
		l.publishes = l.isPublishable(now, t.fleetLocked(l)) && len(record.Limits) < maxRecordedLimits
		if !l.publishes {
			continue
		}
		record.Limits = append(record.Limits, recordedLimit{
			Endpoint: p.name, StartedAt: p.startedAt, Rate: l.Rate(), AgeMilliseconds: l.Age(now).Milliseconds(),
		})
		rate, isWritten := c.written[p]
		isChanged = isChanged || !isWritten || rate != l.Rate()
	}
	record.Brittle = t.recordedMarksLocked(now)
	isChanged = isChanged || len(record.Limits) != len(c.written) || !maps.Equal(c.writtenMarks, refusalsOf(record.Brittle))
	return record, isChanged || !record.isEmpty() && now.Sub(c.writtenAt) >= endpoint.ClaimInterval
}

// isPublishable evaluates the router's part of the limit and reports whether the limit belongs into the router's record: the
// router claims it, or knows since recently that a limit which it claimed has ended.
func (l *processLimit) isPublishable(now time.Time, f endpoint.Fleet) bool {
	l.Refill(now, f)
	if l.WantsClaim(now, f) {
		return true
	}
	l.DropOwnClaim()
	return l.Rate() == 0 && l.publishes && now.Sub(l.endedAt) <= endedLimitTime
}

// dropUnlistedLimitsLocked drops the limits of processes that no router has reported for a while and that this router doesn't know.
func (t *targets) dropUnlistedLimitsLocked(now time.Time) {
	for p, l := range t.limits {
		known := t.byName[p.name]
		if isListed := known != nil && known.limit == l; !isListed && now.Sub(l.reportedAt) > unlistedLimitTime {
			delete(t.limits, p)
		}
	}
}

// write writes the record and records the claims that the platform acknowledged.
func (c *limitClaimer) write(ctx context.Context, record limitRecord) {
	c.writtenAt = time.Now()
	err := c.routers.writeLimits(ctx, record)
	c.hasFailed = err != nil
	if err != nil {
		c.server.logger.WithError(err).Warn("cannot write the record of rate limits; retrying")
		return
	}
	t := &c.server.targets
	t.mu.Lock()
	defer t.mu.Unlock()
	c.written, c.writtenMarks = make(map[endpointProcess]float64, len(record.Limits)), refusalsOf(record.Brittle)
	for _, r := range record.Limits {
		p := endpointProcess{r.Endpoint, r.StartedAt}
		c.written[p] = r.Rate
		if l := t.limits[p]; l != nil && r.Rate > 0 {
			l.RecordOwnClaim(c.writtenAt)
		}
	}
}

// writeLimits writes the router's record of rate limits; an empty one removes the former record.
func (r *Routers) writeLimits(ctx context.Context, record limitRecord) error {
	var value []byte
	if !record.isEmpty() {
		var err error
		if value, err = json.Marshal(record); err != nil {
			return fmt.Errorf("encoding the record of rate limits: %w", err)
		}
	}
	return r.writeRecord(ctx, platform.KeyedRecord{Key: r.Self.Instance + limitKeySuffix, Value: value})
}

// hasLimits reports whether any endpoint names a rate limit or is brittle, or was until recently.
func (t *targets) hasLimits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.marks {
		if _, _, isBrittle := m.Report(time.Now()); isBrittle {
			return true
		}
	}
	for _, l := range t.limits {
		if l.Rate() > 0 || l.publishes {
			return true
		}
	}
	return false
}
