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
	// maxSharingRouters is the number of routers up to which each router holds a share of each team's budget. With more
	// routers, each share would be smaller than a request, and the writes to the shares would collide.
	maxSharingRouters = 12
	// maxLendersAsked is how many routers a router asks for a loan, one after the other, before it draws from the budget
	// itself.
	maxLendersAsked = 3
	// minCapacity is the lower bound of a router's capacity, in processor cores. Routers that state no capacity count
	// with it.
	minCapacity = 0.1
)

// lenderCache selects the routers that hold the shares of each team: in fleets above maxSharingRouters, in each region
// the router that ranks first by weighted rendezvous hashing, so that routers with the same roster agree without
// exchanging messages (Schindelhauer and Schomaker, Weighted Distributed Hash Tables, 2005). Rankings are cached until
// the roster changes. The zero value is an empty cache.
type lenderCache struct {
	mu            sync.Mutex
	rosterChanges int64
	byTeam        map[string]teamLenders
}

// teamLenders lists the instances that a router asks for a team's tokens, in the order in which it asks them.
type teamLenders struct {
	// holders are the instances that rank above this router in its region, at most maxLendersAsked; empty if this router
	// holds a share itself.
	holders []string
	// others are all instances except this router's, those in this router's region first.
	others []string
}

// get returns the instances that the router self asks for a team's tokens. Rankings are computed anew after the
// roster has changed.
func (c *lenderCache) get(team string, self peer.Router, roster *peer.Roster) teamLenders {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes := roster.ChangeCount(); c.byTeam == nil || changes != c.rosterChanges {
		c.rosterChanges, c.byTeam = changes, make(map[string]teamLenders)
	}
	lenders, ok := c.byTeam[team]
	if !ok {
		lenders = rankLenders(team, self, roster.Routers())
		c.byTeam[team] = lenders
	}
	return lenders
}

// rankLenders ranks the routers for a team. All routers agree on the order within a region, so that only the first one
// draws from the budget for its region.
func rankLenders(team string, self peer.Router, routers []peer.Router) teamLenders {
	selfRank := rankForTeam(team, self)
	var sameRegion, otherRegions []rankedRouter
	higherRanked := 0
	for _, r := range routers {
		ranked := rankedRouter{instance: r.Instance, rank: rankForTeam(team, r)}
		switch {
		case r.Instance == self.Instance:
		case r.Region != self.Region:
			otherRegions = append(otherRegions, ranked)
		default:
			sameRegion = append(sameRegion, ranked)
			if ranked.rank > selfRank {
				higherRanked++
			}
		}
	}
	slices.SortFunc(sameRegion, compareRanks)
	slices.SortFunc(otherRegions, compareRanks)
	lenders := teamLenders{others: append(instanceNames(sameRegion), instanceNames(otherRegions)...)}
	if len(routers) > maxSharingRouters {
		lenders.holders = lenders.others[:min(maxLendersAsked, higherRanked)]
	}
	return lenders
}

// rankedRouter is a router's instance with its rank for a team.
type rankedRouter struct {
	instance string
	rank     float64
}

// compareRanks orders routers by descending rank; equal ranks are ordered by instance.
func compareRanks(a, b rankedRouter) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.instance, b.instance))
}

func instanceNames(routers []rankedRouter) []string {
	names := make([]string, 0, len(routers))
	for _, r := range routers {
		names = append(names, r.instance)
	}
	return names
}

// rankForTeam returns the weighted rendezvous score of a router for a team. Each router ranks first for a number of
// teams in proportion to its capacity.
func rankForTeam(team string, r peer.Router) float64 {
	hash := endpoint.MixHash(xxhash.Sum64String(team) ^ xxhash.Sum64String(r.Instance))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(minCapacity, r.Capacity) / math.Log(uniform)
}
