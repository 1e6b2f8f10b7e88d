package site

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// EndpointState is the state that an endpoint reports in its entry on the platform.
type EndpointState uint8

// The states of endpoints. A draining endpoint gets no new requests.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
)

// Endpoint is a server of a service, as described by the entry that it wrote to the platform.
type Endpoint struct {
	// Name identifies the incarnation of the endpoint.
	Name    string
	Service string
	// Address is an IP address with a port.
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that the endpoint processes at the same time.
	Slots int
	State EndpointState
	// StartedAt is the endpoint's start time in Unix milliseconds, or zero if the entry has none.
	StartedAt int64
	// SoftwareVersion is the version of the endpoint's software, or empty if the entry has none. Versions have no order.
	SoftwareVersion string
	// ColdFor is how much longer the endpoint was going to be cold when it wrote its entry. NamesCold reports whether the entry says so at
	// all. Directories leave both out, since each of an endpoint's entries has another value.
	ColdFor   time.Duration
	NamesCold bool
}

// withoutCold returns the endpoint without what its entry says of the time for which it stays cold.
func (e Endpoint) withoutCold() Endpoint {
	e.ColdFor, e.NamesCold = 0, false
	return e
}

// Evacuations is the set of the availability zones whose endpoints must get no requests. It must not change once it is shared
// between goroutines; nil is the empty set.
type Evacuations map[string]struct{}

// Contains reports whether an availability zone is evacuated.
func (e Evacuations) Contains(availabilityZone string) bool {
	_, ok := e[availabilityZone]
	return ok
}

// Directory holds the endpoints of a site by service. It is immutable, so that goroutines can share it without a lock.
type Directory struct {
	services map[string][]Endpoint
}

// NewDirectory returns a directory that lists the endpoints of each service in the order of their names.
func NewDirectory(endpoints []Endpoint) *Directory {
	d := &Directory{services: make(map[string][]Endpoint)}
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range sorted {
		d.services[e.Service] = append(d.services[e.Service], e)
	}
	return d
}

// Endpoints returns the endpoints of a service that may get new requests. Callers must not modify the slice.
func (d *Directory) Endpoints(service string) []Endpoint { return d.services[service] }

// SoftwareVersions returns the software versions of the endpoints of each service.
func (d *Directory) SoftwareVersions() map[string][]string {
	versions := make(map[string][]string, len(d.services))
	for service, listed := range d.services {
		for _, e := range listed {
			if !slices.Contains(versions[service], e.SoftwareVersion) {
				versions[service] = append(versions[service], e.SoftwareVersion)
			}
		}
	}
	return versions
}

// AvailabilityZones returns the availability zones of the endpoints of each service.
func (d *Directory) AvailabilityZones() map[string][]string {
	zones := make(map[string][]string, len(d.services))
	for service, listed := range d.services {
		for _, e := range listed {
			if !slices.Contains(zones[service], e.AvailabilityZone) {
				zones[service] = append(zones[service], e.AvailabilityZone)
			}
		}
	}
	return zones
}

// InZones returns the endpoints in availability zones, of all services.
func (d *Directory) InZones(zones []string) []Endpoint {
	var found []Endpoint
	for _, listed := range d.services {
		for _, e := range listed {
			if slices.Contains(zones, e.AvailabilityZone) {
				found = append(found, e)
			}
		}
	}
	return found
}

// Lists reports whether an endpoint of a service may get new requests.
func (d *Directory) Lists(service, name string) bool {
	_, found := slices.BinarySearchFunc(d.services[service], name, func(e Endpoint, n string) int { return strings.Compare(e.Name, n) })
	return found
}

// RetentionGrace is how long an endpoint whose entry expired during an outage of the platform stays in the directory
// after the outage. Live endpoints write their entries again within about two seconds after the platform is reachable.
const RetentionGrace = 2200 * time.Millisecond

// EndpointRegistry tracks the endpoints' entries on the platform and derives the directory of endpoints from them.
// During an outage of the platform it retains endpoints whose entries expire, because endpoints can't renew entries
// then. The zero value is empty. An EndpointRegistry is not safe for concurrent use.
type EndpointRegistry struct {
	entries map[string]Endpoint
	// retained holds, by name, the endpoints whose entries were removed during an outage or within RetentionGrace after
	// it.
	retained map[string]retainedEntry
	// platformUnreachable is true during an outage of the platform. reachableSince is the end of the last outage.
	platformUnreachable bool
	reachableSince      time.Time
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
		r.entries, r.retained = make(map[string]Endpoint), make(map[string]retainedEntry)
	}
	delete(r.retained, e.Name)
	previous, ok := r.entries[e.Name]
	r.entries[e.Name] = e
	return !ok || previous != e
}

// Remove records that the platform no longer has an endpoint's entry, and returns false if there was no such entry. A ready
// endpoint stays in the directory if its entry is removed during an outage or within RetentionGrace after it: the
// endpoint may be alive and write the entry again.
func (r *EndpointRegistry) Remove(now time.Time, name string) bool {
	e, ok := r.entries[name]
	if !ok {
		return false
	}
	delete(r.entries, name)
	if keepUntil := r.reachableSince.Add(RetentionGrace); e.State == EndpointReady && (r.platformUnreachable || now.Before(keepUntil)) {
		// During an outage the time in keepUntil has no effect: SetUnreachable replaces it when the outage ends.
		r.retained[name] = retainedEntry{endpoint: e, keepUntil: keepUntil}
	}
	return true
}

// Withdraw records that the platform has an entry under an endpoint's name that names no endpoint to use, and reports whether
// the endpoint was in use. Unlike one whose entry is removed, it is not retained.
func (r *EndpointRegistry) Withdraw(name string) bool {
	_, isListed := r.entries[name]
	_, isRetained := r.retained[name]
	delete(r.entries, name)
	delete(r.retained, name)
	return isListed || isRetained
}

// Replace applies a complete list of the platform's entries: it puts the listed ones and removes all others. It reports
// whether anything changed.
func (r *EndpointRegistry) Replace(now time.Time, endpoints []Endpoint) bool {
	changed := false
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Name] = true
		changed = r.Put(e) || changed
	}
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if !listed[name] {
			changed = r.Remove(now, name) || changed
		}
	}
	return changed
}

// SetUnreachable records whether the platform is unreachable. The end of an outage starts RetentionGrace for the
// endpoints retained during the outage.
func (r *EndpointRegistry) SetUnreachable(now time.Time, unreachable bool) {
	if r.platformUnreachable && !unreachable {
		r.reachableSince = now
		for name, entry := range r.retained {
			entry.keepUntil = now.Add(RetentionGrace)
			r.retained[name] = entry
		}
	}
	r.platformUnreachable = unreachable
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

// String returns the state's name as it appears in logs.
func (s EndpointState) String() string {
	if s == EndpointDraining {
		return "Draining"
	}
	return "Ready"
}
