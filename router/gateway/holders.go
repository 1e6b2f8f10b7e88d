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
	teams   map[string]lenders
}

// lenders are the routers that one asks for a team's tokens, the first to ask first.
type lenders struct {
	// before rank before it in its region; none if it holds a share itself.
	before []string
	// others are all others, those of its region first.
	others []string
}

// of returns the routers that the router itself asks for a team's tokens. They are chosen anew when the roster has changed.
func (c *holders) of(team string, self peer.Router, roster *peer.Roster) lenders {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes := roster.Changes(); c.teams == nil || changes != c.changes {
		c.changes, c.teams = changes, make(map[string]lenders)
	}
	chosen, ok := c.teams[team]
	if !ok {
		chosen = lendersOf(team, self, roster.All())
		c.teams[team] = chosen
	}
	return chosen
}

// lendersOf ranks the routers for a team. All routers agree on the order within a region, so that one of them draws for all.
func lendersOf(team string, self peer.Router, routers []peer.Router) lenders {
	own := rankForTeam(team, self)
	var near, far []ranked
	before := 0
	for _, r := range routers {
		other := ranked{instance: r.Instance, rank: rankForTeam(team, r)}
		switch {
		case r.Instance == self.Instance:
		case r.Region != self.Region:
			far = append(far, other)
		default:
			near = append(near, other)
			if other.rank > own {
				before++
			}
		}
	}
	slices.SortFunc(near, compareRanks)
	slices.SortFunc(far, compareRanks)
	chosen := lenders{others: append(instances(near), instances(far)...)}
	if len(routers) > sharingRouters {
		chosen.before = chosen.others[:min(lendingRouters, before)]
	}
	return chosen
}

// ranked is a router with its rank for a team.
type ranked struct {
	instance string
	rank     float64
}

// compareRanks puts the highest rank first.
func compareRanks(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.instance, b.instance))
}

func instances(routers []ranked) []string {
	names := make([]string, 0, len(routers))
	for _, r := range routers {
		names = append(names, r.instance)
	}
	return names
}

// rankForTeam is the weighted rendezvous score of a router: routers are first in proportion to their capacity.
func rankForTeam(team string, r peer.Router) float64 {
	hash := endpoint.Mix(xxhash.Sum64String(team) ^ xxhash.Sum64String(r.Instance))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(leastCapacity, r.Capacity) / math.Log(uniform)
}
