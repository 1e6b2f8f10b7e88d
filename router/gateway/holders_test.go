package gateway

import (
	"fmt"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// testRouters returns n routers in two regions; every third one has a larger capacity.
func testRouters(n int) []peer.Router {
	var routers []peer.Router
	for i := range n {
		r := peer.Router{Instance: fmt.Sprintf("router-%d", i), Region: []string{"north", "south"}[i%2], Capacity: 0.2}
		if i%3 == 0 {
			r.Capacity = 0.8
		}
		routers = append(routers, r)
	}
	return routers
}

func TestHolders(t *testing.T) {
	t.Run("each router of a small fleet holds shares", func(t *testing.T) {
		routers := testRouters(maxSharingRouters)
		for _, r := range routers {
			assert.Equal(t, 0, len(rankLenders("studio", r, routers).holders))
		}
	})
	t.Run("one router per region of a large fleet holds shares, and all agree on it", func(t *testing.T) {
		routers := testRouters(60)
		for team := range 30 {
			holding := make(map[string]string)
			for _, r := range routers {
				if len(rankLenders(fmt.Sprint(team), r, routers).holders) == 0 {
					holding[r.Region] += r.Instance
				}
			}
			assert.Equal(t, 2, len(holding))
			for _, r := range routers {
				if asked := rankLenders(fmt.Sprint(team), r, routers).holders; len(asked) > 0 {
					assert.Equal(t, holding[r.Region], asked[0])
				}
			}
		}
	})
	t.Run("a router asks few lenders, each of which would ask fewer", func(t *testing.T) {
		routers := testRouters(60)
		for _, r := range routers {
			asked := rankLenders("studio", r, routers).holders
			assert.Equal(t, true, len(asked) <= maxLendersAsked)
			for i, instance := range asked {
				for _, other := range routers {
					if other.Instance == instance {
						assert.Equal(t, i, len(rankLenders("studio", other, routers).holders))
					}
				}
			}
		}
	})
	t.Run("large routers hold more teams", func(t *testing.T) {
		routers := testRouters(60)
		large := 0
		for team := range 300 {
			for _, r := range routers {
				if r.Region == "north" && r.Capacity == 0.8 && len(rankLenders(fmt.Sprint(team), r, routers).holders) == 0 {
					large++
				}
			}
		}
		// Ten of the thirty routers in the region have two thirds of its capacity.
		assert.Equal(t, true, large > 300*55/100 && large < 300*78/100)
	})
	t.Run("a router that is cut off asks its region first, in an agreed order", func(t *testing.T) {
		routers := testRouters(7)
		first, second := rankLenders("studio", routers[0], routers).others, rankLenders("studio", routers[2], routers).others
		assert.Equal(t, len(routers)-1, len(first))
		regions := make(map[string]string)
		for _, r := range routers {
			regions[r.Instance] = r.Region
		}
		for i, instance := range first {
			assert.Equal(t, i < 3, regions[instance] == routers[0].Region)
		}
		assert.Equal(t, first[3:], second[3:])
	})
	t.Run("a ranking is cached until the roster changes", func(t *testing.T) {
		roster, cache := &peer.Roster{}, &lenderCache{}
		routers := testRouters(maxSharingRouters + 1)
		for _, r := range routers[:maxSharingRouters] {
			roster.Put(r)
		}
		asking := 0
		for _, r := range routers[:maxSharingRouters] {
			asking += len(cache.get("studio", r, roster).holders)
		}
		assert.Equal(t, 0, asking)
		for range 2 {
			roster.Put(routers[maxSharingRouters])
		}
		assert.Equal(t, int64(maxSharingRouters+1), roster.ChangeCount())
		last := rankLenders("studio", routers[maxSharingRouters], routers).holders
		assert.Equal(t, last, cache.get("studio", routers[maxSharingRouters], roster).holders)
	})
}
