package site

import (
	"time"
)

// RetentionGrace is how long an endpoint whose entry expired during an outage of the platform stays in the directory
// after the outage. Live endpoints write their entries again within about two seconds after the platform is reachable.
const RetentionGrace = 2200 * time.Millisecond

// lapseHeartbeats is the number of heartbeat intervals without a renewal after which the platform removes an entry.
const lapseHeartbeats = 3

// EndpointRegistry tracks the endpoints' entries on the platform and derives the directory of endpoints from them.
// An entry is missing because its endpoint has left, or because it expired for want of renewals, which endpoints can't make during an
// outage of the platform. The registry retains endpoints whose entries may have expired so. The zero value is empty. An EndpointRegistry is
// not safe for concurrent use.
type EndpointRegistry struct {
	// HeartbeatInterval is the time between two renewals of an entry. If it is zero, any entry may have expired in an outage.
	HeartbeatInterval time.Duration

	entries map[string]Endpoint
	// writtenAfter holds, by name, a time after which the newest entry was written, if one is known.
	writtenAfter map[string]time.Time
	// retained holds, by name, the endpoints whose entries were removed during an outage or within RetentionGrace after
	// it.
	retained map[string]retainedEntry
	// platformUnreachable is true during an outage of the platform. reachableSince is the end of the last outage.
	platformUnreachable bool
	reachableSince      time.Time
	// lastReached is when the platform was last reachable, and unreachableFrom its value at the start of the last outage.
	lastReached, unreachableFrom time.Time
	// sparedEndpoints reports whether the last outage was one of this router only, in which no entry expired.
	sparedEndpoints bool
}

// retainedEntry is an endpoint that stays in the directory without an entry until keepUntil, or longer while the platform is
// unreachable.
type retainedEntry struct {
	endpoint  Endpoint
	keepUntil time.Time
}

// Put sets the entry of an endpoint and reports whether the entry is new or has changed. The time for which an endpoint stays cold is no
// change: endpoints write their entries about once a second, each time with less time left.
func (r *EndpointRegistry) Put(e Endpoint) bool {
	e = e.withoutCold()
	if r.entries == nil {
		r.entries, r.retained, r.writtenAfter = make(map[string]Endpoint), make(map[string]retainedEntry), make(map[string]time.Time)
	}
	delete(r.retained, e.Name)
	previous, ok := r.entries[e.Name]
	r.entries[e.Name] = e
	return !ok || previous != e
}

// RecordWrite records that the newest entry of an endpoint was written after a time.
func (r *EndpointRegistry) RecordWrite(name string, after time.Time) {
	if _, isListed := r.entries[name]; isListed && after.After(r.writtenAfter[name]) {
		r.writtenAfter[name] = after
	}
}

// Removal says what became of an endpoint whose entry was removed.
type Removal struct {
	// IsListed is false if there was no such entry.
	IsListed bool
	// IsRetained reports whether the endpoint stays in the directory, because the entry may have expired in an outage.
	IsRetained bool
	// Age is the time within which the entry was last renewed before the removal was seen; zero if that isn't known.
	Age time.Duration
}

// Remove records that the platform no longer has an endpoint's entry. A ready endpoint stays in the directory if its entry is removed during an
// outage or within RetentionGrace after it, and may have expired: the endpoint may be alive and write the entry again.
func (r *EndpointRegistry) Remove(now time.Time, name string) Removal {
	e, ok := r.entries[name]
	if !ok {
		return Removal{}
	}
	removal := Removal{IsListed: true}
	if after := r.writtenAfter[name]; !after.IsZero() {
		removal.Age = now.Sub(after)
	}
	keepUntil := r.reachableSince.Add(RetentionGrace)
	removal.IsRetained = e.State == EndpointReady && (r.platformUnreachable || now.Before(keepUntil)) && r.mayHaveExpired(removal.Age)
	delete(r.entries, name)
	delete(r.writtenAfter, name)
	if removal.IsRetained {
		// During an outage the time in keepUntil has no effect: SetUnreachable replaces it when the outage ends.
		r.retained[name] = retainedEntry{endpoint: e, keepUntil: keepUntil}
	}
	return removal
}

// mayHaveExpired reports whether an entry may be missing for want of renewals in the last outage. One that was written less than the time to
// expire ago was removed because its endpoint has left.
func (r *EndpointRegistry) mayHaveExpired(age time.Duration) bool {
	if r.HeartbeatInterval <= 0 {
		return true
	}
	return !r.sparedEndpoints && (age == 0 || age >= lapseHeartbeats*r.HeartbeatInterval)
}

// Withdraw records that the platform has an entry under an endpoint's name that names no endpoint to use, and reports whether
// the endpoint was in use. Unlike one whose entry is removed, it is not retained.
func (r *EndpointRegistry) Withdraw(name string) bool {
	_, isListed := r.entries[name]
	_, isRetained := r.retained[name]
	delete(r.entries, name)
	delete(r.writtenAfter, name)
	delete(r.retained, name)
	return isListed || isRetained
}

// Snapshot is a complete list of the endpoints' entries on the platform.
type Snapshot struct {
	Endpoints []Endpoint
	// Written is the number of records that were written to the entries' topic since the read before.
	Written int64
}

// Replace applies a snapshot: it puts the listed endpoints and removes all others. It returns the removals by name, and whether anything
// changed.
func (r *EndpointRegistry) Replace(now time.Time, s Snapshot) (removals map[string]Removal, changed bool) {
	listed := make(map[string]bool, len(s.Endpoints))
	for _, e := range s.Endpoints {
		listed[e.Name] = true
	}
	var missing []string
	for name := range r.entries {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	if !r.unreachableFrom.IsZero() {
		r.sparedEndpoints = Outage{
			Duration: now.Sub(r.unreachableFrom), Written: s.Written, Listed: len(r.entries), Missing: len(missing),
		}.SparedEndpoints(r.HeartbeatInterval)
		r.unreachableFrom = time.Time{}
	}
	for _, e := range s.Endpoints {
		changed = r.Put(e) || changed
	}
	removals = make(map[string]Removal, len(missing))
	for _, name := range missing {
		removals[name], changed = r.Remove(now, name), true
	}
	return removals, changed
}

// SetUnreachable records whether the platform is unreachable. The end of an outage in which entries may have expired starts RetentionGrace for
// those that are missing from then on. For endpoints retained before, it starts anew only if the outage was long enough for any entry to expire: a
// router that loses the platform again for a moment would otherwise keep endpoints that have left.
func (r *EndpointRegistry) SetUnreachable(now time.Time, unreachable bool) {
	if unreachable && !r.platformUnreachable {
		r.unreachableFrom = r.lastReached
	}
	hasReturned := r.platformUnreachable && !unreachable
	r.platformUnreachable = unreachable
	if unreachable {
		return
	}
	r.lastReached = now
	duration := now.Sub(r.unreachableFrom)
	if !hasReturned || duration < (lapseHeartbeats-1)*r.HeartbeatInterval {
		return
	}
	r.reachableSince, r.sparedEndpoints = now, false
	if duration < lapseHeartbeats*r.HeartbeatInterval {
		return
	}
	for name, entry := range r.retained {
		entry.keepUntil = now.Add(RetentionGrace)
		r.retained[name] = entry
	}
}

// DropExpired drops the retained endpoints whose grace period is over and reports whether it dropped any. It drops none
// while the platform is unreachable.
func (r *EndpointRegistry) DropExpired(now time.Time) bool {
	changed := false
	for name, entry := range r.retained {
		if !r.platformUnreachable && !now.Before(entry.keepUntil) {
			delete(r.retained, name)
			changed = true
		}
	}
	return changed
}

// NextExpiry returns the earliest time at which DropExpired will drop a retained endpoint, and false if there is none
// or the platform is unreachable.
func (r *EndpointRegistry) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, entry := range r.retained {
		if !r.platformUnreachable && (next.IsZero() || entry.keepUntil.Before(next)) {
			next = entry.keepUntil
		}
	}
	return next, !next.IsZero()
}

// Directory returns a directory of the endpoints that may get new requests: the ready and the retained ones.
func (r *EndpointRegistry) Directory() *Directory {
	var endpoints []Endpoint
	for _, e := range r.entries {
		if e.State == EndpointReady {
			endpoints = append(endpoints, e)
		}
	}
	for _, entry := range r.retained {
		endpoints = append(endpoints, entry.endpoint)
	}
	return NewDirectory(endpoints)
}
