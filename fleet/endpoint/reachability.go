package endpoint

import "time"

const (
	// ReachabilityChecked is the number of endpoints to which a check opens connections.
	ReachabilityChecked = 3
	// failuresBeforeCheck is the number of endpoints at which new connections fail before a check is due.
	failuresBeforeCheck = 2
	// failureMemory is how long a failed connection counts.
	failureMemory = 3 * time.Second
	// checkSpacing is the minimum time between two checks.
	checkSpacing = 500 * time.Millisecond
	// minReturnTime is the time in which a router that was cut off goes back to its own connections. It doubles, up to
	// maxReturnTime, with each cut that begins within flapTime after the previous one has ended.
	minReturnTime = 2 * time.Second
	maxReturnTime = 16 * time.Second
	flapTime      = 10 * time.Second
)

// Reachability tells whether this router is cut off from the endpoints of a service, by the outcomes of new connections to
// them. Connections that were open before a cut may live on, so that their traffic is no evidence. A connection that fails
// alone shows that its endpoint has ended; connections that fail at several endpoints call for a check, which opens one to
// each of some endpoints. The zero value stands for endpoints that are reached.
type Reachability struct {
	// failed is, by endpoint, when a new connection last failed, without those before the last success.
	failed map[string]time.Time
	// checkedAt is when the last check was due.
	checkedAt time.Time
	// cutOffSince is when the present cut was found; zero if there is none. healedAt is when the last one ended.
	cutOffSince, healedAt time.Time
	returnTime            time.Duration
}

// RecordFailure records that no new connection to an endpoint could be opened. It reports whether a check is due.
func (r *Reachability) RecordFailure(now time.Time, endpoint string) bool {
	if r.IsCutOff() {
		return false
	}
	if r.failed == nil {
		r.failed = make(map[string]time.Time)
	}
	r.failed[endpoint] = now
	for name, at := range r.failed {
		if now.Sub(at) > failureMemory {
			delete(r.failed, name)
		}
	}
	isReturning := r.DirectShare(now) < 1
	return (len(r.failed) >= failuresBeforeCheck || isReturning) && r.TakeCheck(now)
}

// TakeCheck reports whether a check may begin, and counts it.
func (r *Reachability) TakeCheck(now time.Time) bool {
	if r.IsCutOff() || !r.checkedAt.IsZero() && now.Sub(r.checkedAt) < checkSpacing {
		return false
	}
	r.checkedAt = now
	return true
}

// RecordSuccess records that a new connection to an endpoint works. It reports whether a cut has ended.
func (r *Reachability) RecordSuccess(now time.Time) bool {
	clear(r.failed)
	if !r.IsCutOff() {
		return false
	}
	r.cutOffSince, r.healedAt = time.Time{}, now
	return true
}

// RecordCheck records a check of which no connection could be opened. The router counts as cut off if the check tried
// several endpoints, or if it is cut off from another service too. It reports whether that is new.
func (r *Reachability) RecordCheck(now time.Time, tried int, isCutOffElsewhere bool) bool {
	if r.IsCutOff() || tried == 0 || tried == 1 && !isCutOffElsewhere {
		return false
	}
	if r.healedAt.IsZero() || now.Sub(r.healedAt) > flapTime {
		r.returnTime = 0
	}
	r.returnTime = min(max(minReturnTime, 2*r.returnTime), maxReturnTime)
	r.cutOffSince = now
	clear(r.failed)
	return true
}

// IsCutOff reports whether the router is cut off.
func (r *Reachability) IsCutOff() bool { return !r.cutOffSince.IsZero() }

// IsDoubtful reports whether a refused connection may be due to a cut, and so is no evidence that the endpoint has ended.
func (r *Reachability) IsDoubtful(now time.Time) bool {
	return r.IsCutOff() || len(r.failed) >= failuresBeforeCheck || r.DirectShare(now) < 1
}

// CutOffSince returns when the present cut was found; zero if there is none.
func (r *Reachability) CutOffSince() time.Time { return r.cutOffSince }

// DirectShare returns the share of requests, from 0 to 1, that the router sends over its own connections.
func (r *Reachability) DirectShare(now time.Time) float64 {
	switch {
	case r.IsCutOff():
		return 0
	case r.healedAt.IsZero():
		return 1
	}
	return min(1, float64(now.Sub(r.healedAt))/float64(r.returnTime))
}
