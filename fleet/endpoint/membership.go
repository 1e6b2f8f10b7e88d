// Package endpoint decides which endpoint gets which attempt: choice, ejection, retries, limits,
// queues and quarantine.
//
// Every decision is a pure function of its inputs and of the state that it is called on: the time
// and the random source are passed in, nothing here does I/O or starts a goroutine. The types are
// not safe for concurrent use; their owner guards them.
package endpoint

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Membership merges instance lists into a view of which endpoints are leaving. Its zero value has
// seen no list.
type Membership struct {
	// Version is the version of the newest list that was taken in.
	Version uint64
	names   map[string]platform.InstanceState
	// addresses serve endpoints that are listed under another name.
	addresses map[string]platform.InstanceState
}

// Merge takes a list in and reports whether it counted. An empty list and a list older than the newest
// one change nothing: they are what a failing store answers.
func (m *Membership) Merge(listing platform.Listing) bool {
	if len(listing.Instances) == 0 || listing.Version < m.Version {
		return false
	}
	names, addresses := leavingOf(m.names), leavingOf(m.addresses)
	for _, instance := range listing.Instances {
		if instance.State == platform.Leaving {
			addresses[instance.Address] = instance.State
		}
	}
	for _, instance := range listing.Instances {
		names[instance.Name] = instance.State
		if instance.State == platform.Live {
			addresses[instance.Address] = instance.State
		}
	}
	m.Version, m.names, m.addresses = listing.Version, names, addresses
	return true
}

// leavingOf keeps what was leaving: an instance that vanishes from the list after it was leaving is
// gone, and only a list that shows it live brings it back.
func leavingOf(states map[string]platform.InstanceState) map[string]platform.InstanceState {
	kept := make(map[string]platform.InstanceState)
	for key, state := range states {
		if state == platform.Leaving {
			kept[key] = state
		}
	}
	return kept
}

// Leaving reports whether an endpoint may get no new work. An endpoint that no list names is not
// leaving: the ticket declares it, and observation ejects it if it is dead.
func (m *Membership) Leaving(e operator.Endpoint) bool {
	if state, ok := m.names[e.Name]; ok {
		return state == platform.Leaving
	}
	return m.addresses[e.Address] == platform.Leaving
}

// Members returns the endpoints that may get new work, in the order given.
func (m *Membership) Members(endpoints []operator.Endpoint) []operator.Endpoint {
	members := make([]operator.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !m.Leaving(e) {
			members = append(members, e)
		}
	}
	return members
}
