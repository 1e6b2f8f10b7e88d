package site

import (
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
	_, isListed := d.Endpoint(service, name)
	return isListed
}

// Endpoint returns an endpoint of a service, or false if it may get no new requests.
func (d *Directory) Endpoint(service, name string) (Endpoint, bool) {
	listed := d.services[service]
	i, isListed := slices.BinarySearchFunc(listed, name, func(e Endpoint, n string) int { return strings.Compare(e.Name, n) })
	if !isListed {
		return Endpoint{}, false
	}
	return listed[i], true
}

// String returns the state's name as it appears in logs.
func (s EndpointState) String() string {
	if s == EndpointDraining {
		return "Draining"
	}
	return "Ready"
}
