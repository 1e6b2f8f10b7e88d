package site

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// EndpointState is what an endpoint says of itself.
type EndpointState uint8

// The states of endpoints.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
)

// Endpoint is a server of a service as it registered itself.
type Endpoint struct {
	// Name is the identifier of the endpoint's incarnation.
	Name    string
	Service string
	// Address is an IP address with a port.
	Address          string
	AvailabilityZone string
	// Slots is how many requests it works on at once.
	Slots int
	State EndpointState
	// Born is when it started, in Unix milliseconds; zero if it didn't say.
	Born int64
}

// Directory is the endpoints of a site. A directory is not changed once it is shared.
type Directory struct {
	services map[string][]Endpoint
}

// NewDirectory returns a directory of endpoints in the order of their names.
func NewDirectory(endpoints []Endpoint) *Directory {
	d := &Directory{services: make(map[string][]Endpoint)}
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range sorted {
		d.services[e.Service] = append(d.services[e.Service], e)
	}
	return d
}

// Endpoints returns those of a service that may get new requests.
func (d *Directory) Endpoints(service string) []Endpoint { return d.services[service] }

// ReturnGrace is how long after the end of an outage of the platform an entry that lapsed may be missing: endpoints write
// their entries again within about two seconds of the platform's return.
const ReturnGrace = 2200 * time.Millisecond

// Register folds the endpoints' entries into a directory. Its zero value is empty.
type Register struct {
	entries map[string]Endpoint
	// lapsed are entries that were removed during an outage or just after it, and until when they count.
	lapsed map[string]lapsedEntry
	// away says that the platform can't be read; returned is when it last came back.
	away     bool
	returned time.Time
}

type lapsedEntry struct {
	endpoint Endpoint
	until    time.Time
}

// Put takes the newest entry of an endpoint in and reports whether it differs from the one before.
func (r *Register) Put(e Endpoint) bool {
	if r.entries == nil {
		r.entries, r.lapsed = make(map[string]Endpoint), make(map[string]lapsedEntry)
	}
	delete(r.lapsed, e.Name)
	before, ok := r.entries[e.Name]
	r.entries[e.Name] = e
	return !ok || before != e
}

// Remove takes the removal of an entry in. An entry that lapsed in an outage stays for a while, unless its endpoint was
// draining: the endpoint may live and write it again.
func (r *Register) Remove(now time.Time, name string) bool {
	e, ok := r.entries[name]
	if !ok {
		return false
	}
	delete(r.entries, name)
	if until := r.returned.Add(ReturnGrace); e.State == EndpointReady && (r.away || now.Before(until)) {
		// In an outage the time counts from its end.
		r.lapsed[name] = lapsedEntry{endpoint: e, until: until}
	}
	return true
}

// Replace takes a whole list in, from which entries that are missing were removed. It reports whether anything changed.
func (r *Register) Replace(now time.Time, endpoints []Endpoint) bool {
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

// Away says whether the platform can be read.
func (r *Register) Away(now time.Time, away bool) {
	if r.away && !away {
		r.returned = now
		for name, lapsed := range r.lapsed {
			lapsed.until = now.Add(ReturnGrace)
			r.lapsed[name] = lapsed
		}
	}
	r.away = away
}

// Expire drops lapsed entries whose time is over and reports whether there were any.
func (r *Register) Expire(now time.Time) bool {
	changed := false
	for name, lapsed := range r.lapsed {
		if !r.away && !now.Before(lapsed.until) {
			delete(r.lapsed, name)
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when the next lapsed entry is dropped; false if none will be for now.
func (r *Register) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, lapsed := range r.lapsed {
		if !r.away && (next.IsZero() || lapsed.until.Before(next)) {
			next = lapsed.until
		}
	}
	return next, !next.IsZero()
}

// Directory returns the endpoints that may get new requests.
func (r *Register) Directory() *Directory {
	var endpoints []Endpoint
	for _, e := range r.entries {
		if e.State == EndpointReady {
			endpoints = append(endpoints, e)
		}
	}
	for _, lapsed := range r.lapsed {
		endpoints = append(endpoints, lapsed.endpoint)
	}
	return NewDirectory(endpoints)
}

// String names the state as logs show it.
func (s EndpointState) String() string {
	if s == EndpointDraining {
		return "Draining"
	}
	return "Ready"
}
