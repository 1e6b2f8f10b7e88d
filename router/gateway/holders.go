package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

const (
	// sharingRouters is the number of routers up to which each holds a share of each team. In larger fleets so many shares
	// would each be smaller than a request, and their writes would collide.
	sharingRouters = 12
	// lendingRouters is how many routers one asks for a loan, one after the other, until it draws itself.
	lendingRouters = 3
	// leastCapacity is the capacity of a router that didn't say, as a part of a core.
	leastCapacity = 0.1
)

// holders chooses the routers that hold the shares of a team: in each region the one that ranks first by weighted
// rendezvous hashing, so that routers with the same roster agree without a message (Schindelhauer and Schomaker, Weighted
// Distributed Hash Tables, 2005). The zero value has chosen none.
type holders struct {
	mu      sync.Mutex
	changes int64
	teams   map[string][]string
}

// of returns the instances that the router itself asks for a team's tokens, the first to ask first; none if it holds a
// share itself.
func (c *holders) of(team string, self peer.Router, roster *peer.Roster) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes := roster.Changes(); c.teams == nil || changes != c.changes {
		c.changes, c.teams = changes, make(map[string][]string)
	}
	chosen, ok := c.teams[team]
	if !ok {
		chosen = holdersOf(team, self, roster.All())
		c.teams[team] = chosen
	}
	return chosen
}

// holdersOf ranks the routers of a region for a team and returns those before the router itself.
func holdersOf(team string, self peer.Router, routers []peer.Router) []string {
	if len(routers) <= sharingRouters {
		return nil
	}
	var before []peer.Router
	for _, r := range routers {
		if r.Region == self.Region && r.Instance != self.Instance && rankForTeam(team, r) > rankForTeam(team, self) {
			before = append(before, r)
		}
	}
	sortForTeam(team, before)
	return instances(before[:min(lendingRouters, len(before))])
}

// othersOf returns the other routers, those of the same region first: one that can't reach the platform asks them to draw.
// All routers agree on the order within a region, so that one of them draws for all.
func othersOf(team string, self peer.Router, routers []peer.Router) []string {
	var near, far []peer.Router
	for _, r := range routers {
		switch {
		case r.Instance == self.Instance:
		case r.Region == self.Region:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	sortForTeam(team, near)
	sortForTeam(team, far)
	return instances(append(near, far...))
}

func sortForTeam(team string, routers []peer.Router) {
	slices.SortFunc(routers, func(a, b peer.Router) int {
		return cmp.Or(cmp.Compare(rankForTeam(team, b), rankForTeam(team, a)), cmp.Compare(a.Instance, b.Instance))
	})
}

func instances(routers []peer.Router) []string {
	var names []string
	for _, r := range routers {
		names = append(names, r.Instance)
	}
	return names
}

// rankForTeam is the weighted rendezvous score of a router: routers are first in proportion to their capacity.
func rankForTeam(team string, r peer.Router) float64 {
	hash := endpoint.Mix(xxhash.Sum64String(team) ^ xxhash.Sum64String(r.Instance))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(leastCapacity, r.Capacity) / math.Log(uniform)
}
