package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Durations and bounds of the quarantine.
const (
	// quarantineDuration is how long a request is refused after it was quarantined; suspicionDuration is how long a
	// crash counts against a request.
	quarantineDuration = 10 * time.Minute
	suspicionDuration  = 5 * time.Minute
	// maxSuspects is the maximum number of tracked requests; maxReporters is the maximum number of routers recorded
	// for one crash.
	maxSuspects  = 4096
	maxReporters = 64
)

// Crash is one router's report of an endpoint crash.
type Crash struct {
	// Endpoint is the name of the crashed endpoint.
	Endpoint string
	// Reporter is the incarnation of the reporting router; zero for this router itself. A router reports a request once
	// per crash, so a second report of the request by the same router means a second crash.
	Reporter ledger.Incarnation
	// InProgress lists the requests whose exchanges with the endpoint broke off.
	InProgress []ledger.Fingerprint
}

// suspect is a request that was in flight at an endpoint when the endpoint crashed.
type suspect struct {
	expiresAt time.Time
	// isQuarantined is true once the request was in flight at a second crash.
	isQuarantined bool
	// endpoint is the name of the endpoint that crashed first; reporters are the routers that reported this crash.
	endpoint  string
	reporters []ledger.Incarnation
}

// Quarantine detects requests that crash endpoints: a request is quarantined if it was in flight at two crashes and
// did not complete at this router in between. Reports of the same crash by several routers count once. The zero value
// is ready for use.
type Quarantine struct {
	suspects map[ledger.Fingerprint]*suspect
}

// RecordCrash applies a crash report and returns the requests that are quarantined because of it.
func (q *Quarantine) RecordCrash(now time.Time, c Crash) []ledger.Fingerprint {
	if q.suspects == nil {
		q.suspects = make(map[ledger.Fingerprint]*suspect)
	}
	q.removeExpired(now)
	requests := slices.Clone(c.InProgress)
	slices.Sort(requests)
	var quarantined []ledger.Fingerprint
	for _, f := range slices.Compact(requests) {
		if q.countCrash(now, f, &c) {
			quarantined = append(quarantined, f)
		}
	}
	q.removeExcess()
	return quarantined
}

// SuspectsFirst returns the requests with those first that were in flight at an earlier crash and have not completed since, as reports of
// crashes are bounded.
func (q *Quarantine) SuspectsFirst(now time.Time, requests []ledger.Fingerprint) []ledger.Fingerprint {
	sorted := slices.Clone(requests)
	slices.SortStableFunc(sorted, func(a, b ledger.Fingerprint) int { return compareBool(!q.IsSuspect(now, a), !q.IsSuspect(now, b)) })
	return sorted
}

// countCrash counts a crash for one request and reports whether the request is quarantined because of it.
func (q *Quarantine) countCrash(now time.Time, f ledger.Fingerprint, c *Crash) bool {
	entry, ok := q.suspects[f]
	if !ok {
		q.suspects[f] = &suspect{
			expiresAt: now.Add(suspicionDuration), endpoint: c.Endpoint, reporters: []ledger.Incarnation{c.Reporter},
		}
		return false
	}
	if !entry.isQuarantined && c.Endpoint == entry.endpoint && !slices.Contains(entry.reporters, c.Reporter) {
		// Another router has already reported the same crash, so it does not count again.
		if len(entry.reporters) < maxReporters {
			entry.reporters = append(entry.reporters, c.Reporter)
		}
		return false
	}
	isNew := !entry.isQuarantined
	entry.isQuarantined, entry.expiresAt = true, now.Add(quarantineDuration)
	return isNew
}

// RecordCompletion clears a request that an endpoint has answered, because such a request did not cause the crash.
func (q *Quarantine) RecordCompletion(f ledger.Fingerprint) { delete(q.suspects, f) }

// QuarantineTimeLeft returns for how long a request is still refused; zero if it is not quarantined.
func (q *Quarantine) QuarantineTimeLeft(now time.Time, f ledger.Fingerprint) time.Duration {
	entry, ok := q.suspects[f]
	if !ok || !entry.isQuarantined {
		return 0
	}
	return max(0, entry.expiresAt.Sub(now))
}

// IsSuspect reports whether a request was in flight at a recent crash and has not completed since. Two suspects must
// not be in flight at the same endpoint: its next crash would quarantine both, although only one is at fault.
func (q *Quarantine) IsSuspect(now time.Time, f ledger.Fingerprint) bool {
	entry, ok := q.suspects[f]
	return ok && now.Before(entry.expiresAt)
}

// removeExcess deletes the suspects above maxSuspects, those first that are not quarantined, then the oldest.
func (q *Quarantine) removeExcess() {
	removeFirst(q.suspects, len(q.suspects)-maxSuspects, func(a, b *suspect) int {
		return cmp.Or(compareBool(a.isQuarantined, b.isQuarantined), a.expiresAt.Compare(b.expiresAt))
	})
}

// removeFirst deletes the first count requests in an order, if that is above zero.
func removeFirst[V any](requests map[ledger.Fingerprint]V, count int, compare func(a, b V) int) {
	if count <= 0 {
		return
	}
	fingerprints := slices.SortedFunc(maps.Keys(requests), func(a, b ledger.Fingerprint) int {
		return cmp.Or(compare(requests[a], requests[b]), cmp.Compare(a, b))
	})
	for _, f := range fingerprints[:count] {
		delete(requests, f)
	}
}

// removeExpired deletes the suspects whose suspicion or quarantine has ended.
func (q *Quarantine) removeExpired(now time.Time) {
	for f, entry := range q.suspects {
		if !now.Before(entry.expiresAt) {
			delete(q.suspects, f)
		}
	}
}
