package gateway

import (
	"fmt"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// testRouters returns routers of two regions; each third one is large.
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
		routers := testRouters(sharingRouters)
		for _, r := range routers {
			assert.Equal(t, 0, len(lendersOf("studio", r, routers).before))
		}
	})
	t.Run("one router a region of a large fleet holds them, and all agree on it", func(t *testing.T) {
		routers := testRouters(60)
		for team := range 30 {
			holding := make(map[string]string)
			for _, r := range routers {
				if len(lendersOf(fmt.Sprint(team), r, routers).before) == 0 {
					holding[r.Region] += r.Instance
				}
			}
			assert.Equal(t, 2, len(holding))
			for _, r := range routers {
				if asked := lendersOf(fmt.Sprint(team), r, routers).before; len(asked) > 0 {
					assert.Equal(t, holding[r.Region], asked[0])
				}
			}
		}
	})
	t.Run("a router asks a few, each of which would ask fewer", func(t *testing.T) {
		routers := testRouters(60)
		for _, r := range routers {
			asked := lendersOf("studio", r, routers).before
			assert.Equal(t, true, len(asked) <= lendingRouters)
			for i, instance := range asked {
				for _, other := range routers {
					if other.Instance == instance {
						assert.Equal(t, i, len(lendersOf("studio", other, routers).before))
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
				if r.Region == "north" && r.Capacity == 0.8 && len(lendersOf(fmt.Sprint(team), r, routers).before) == 0 {
					large++
				}
			}
		}
		// Ten of thirty routers have two thirds of the capacity.
		assert.Equal(t, true, large > 300*55/100 && large < 300*78/100)
	})
	t.Run("a router that is cut off asks its region first, in one order", func(t *testing.T) {
		routers := testRouters(7)
		first, second := lendersOf("studio", routers[0], routers).others, lendersOf("studio", routers[2], routers).others
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
	t.Run("a choice lasts until the roster changes", func(t *testing.T) {
		roster, chosen := &peer.Roster{}, &holders{}
		routers := testRouters(sharingRouters + 1)
		for _, r := range routers[:sharingRouters] {
			roster.Put(r)
		}
		asking := 0
		for _, r := range routers[:sharingRouters] {
			asking += len(chosen.of("studio", r, roster).before)
		}
		assert.Equal(t, 0, asking)
		for range 2 {
			roster.Put(routers[sharingRouters])
		}
		assert.Equal(t, int64(sharingRouters+1), roster.Changes())
		last := lendersOf("studio", routers[sharingRouters], routers).before
		assert.Equal(t, last, chosen.of("studio", routers[sharingRouters], roster).before)
	})
}
