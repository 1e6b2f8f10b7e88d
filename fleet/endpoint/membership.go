// Package endpoint decides which endpoint gets which attempt of a request. It covers selection, ejection, retries,
// concurrency limits, queues and quarantine.
//
// Every decision depends only on its arguments and on the state of its receiver: callers pass in the time and the
// random source, and the package does no I/O and starts no goroutine. The types are not safe for concurrent use;
// their owner must serialize access.
package endpoint

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Membership merges instance lists into a view of which endpoints are leaving. The zero value has merged no list.
type Membership struct {
	// Version is the version of the newest merged instance list.
	Version      uint64
	statesByName map[string]platform.InstanceState
	// statesByAddress identifies endpoints that the instance list contains under another name.
	statesByAddress map[string]platform.InstanceState
}

// Merge applies an instance list and reports whether it was accepted. Empty lists and lists older than the newest
// merged one are ignored, because a failing store returns such lists.
func (m *Membership) Merge(listing platform.Listing) bool {
	if len(listing.Instances) == 0 || listing.Version < m.Version {
		return false
	}
	byName, byAddress := leavingStates(m.statesByName), leavingStates(m.statesByAddress)
	for _, instance := range listing.Instances {
		if instance.State == platform.Leaving {
			byAddress[instance.Address] = instance.State
		}
	}
	for _, instance := range listing.Instances {
		byName[instance.Name] = instance.State
		if instance.State == platform.Live {
			byAddress[instance.Address] = instance.State
		}
	}
	m.Version, m.statesByName, m.statesByAddress = listing.Version, byName, byAddress
	return true
}

// leavingStates returns the entries of instances that are leaving. An instance that disappears from the list while
// leaving stays in this state until a list shows it as live again.
func leavingStates(states map[string]platform.InstanceState) map[string]platform.InstanceState {
	leaving := make(map[string]platform.InstanceState)
	for key, state := range states {
		if state == platform.Leaving {
			leaving[key] = state
		}
	}
	return leaving
}

// IsLeaving reports whether an endpoint must not get new requests. An endpoint on no list is not leaving: the change
// ticket declares it, and failed attempts eject it if it is dead.
func (m *Membership) IsLeaving(e operator.Endpoint) bool {
	if state, ok := m.statesByName[e.Name]; ok {
		return state == platform.Leaving
	}
	return m.statesByAddress[e.Address] == platform.Leaving
}

// Members returns the endpoints that may get new requests, in the order given.
func (m *Membership) Members(endpoints []operator.Endpoint) []operator.Endpoint {
	members := make([]operator.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !m.IsLeaving(e) {
			members = append(members, e)
		}
	}
	return members
}
