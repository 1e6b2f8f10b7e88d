package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// evacuationTime is the time within which operators want an evacuation to be in force.
const evacuationTime = 5 * time.Second

// TestEvacuationIsInForceInTime guards against evacuations, and ends of them, that routers read late, on a link that is busy as well.
func TestEvacuationIsInForceInTime(t *testing.T) {
	for _, perRecord := range []time.Duration{0, slowConfigurationTime} {
		t.Run(perRecord.String(), func(t *testing.T) {
			wrap := func(l *keyed.KeyedLog) platform.KeyedLog { return slowLink{KeyedLog: l, perRecord: perRecord} }
			runFollowersOver(t, wrap, func(f *followerTest) {
				f.put("op", "config", `{"Version":1}`)
				time.Sleep(time.Second)
				for range 3 {
					f.put("op", "op/evacuate/north-1", "{}")
					time.Sleep(evacuationTime)
					assert.Equal(t, 1, f.evacuatedZones())
					f.put("op", "op/evacuate/north-1", "")
					time.Sleep(evacuationTime)
					assert.Equal(t, 0, f.evacuatedZones())
				}
				assert.Equal(t, []int64{1}, f.appliedVersions)
			})
		})
	}
}

// TestEvacuationDuringOutage guards against evacuations that end because the platform can't be read, or go on after their record was deleted in
// an outage.
func TestEvacuationDuringOutage(t *testing.T) {
	connection := &keyed.Connection{}
	wrap := func(l *keyed.KeyedLog) platform.KeyedLog {
		connection.KeyedLog = l
		return connection
	}
	runFollowersOver(t, wrap, func(f *followerTest) {
		f.put("op", "config", `{"Version":1}`)
		f.put("op", "op/evacuate/north-1", "{}")
		time.Sleep(evacuationTime)
		connection.Cut.Store(true)
		f.put("op", "op/evacuate/north-1", "")
		f.put("op", "op/evacuate/south-1", "{}")
		f.put("op", "op/evacuate/north-2", "{}")
		time.Sleep(9 * time.Second)
		assert.Equal(t, site.Evacuations{"north-1": {}}, *f.state.Evacuations.Load())
		connection.Cut.Store(false)
		time.Sleep(evacuationTime)
		assert.Equal(t, site.Evacuations{"north-2": {}, "south-1": {}}, *f.state.Evacuations.Load())
	})
}

// TestEvacuationOutlivesPowerLoss guards against routers that have restarted and serve before they know the evacuated zones, which they would
// send requests to.
func TestEvacuationOutlivesPowerLoss(t *testing.T) {
	runFollowers(t, func(f *followerTest) {
		f.put("op", "config", `{"Version":1}`)
		f.put("op", "op/evacuate/north-1", "{}")
		for range 3 {
			f.restart()
			assert.Equal(t, true, f.state.Configuration.Load() == nil)
			time.Sleep(time.Second)
			f.assertVersion(1)
			assert.Equal(t, 1, f.evacuated[len(f.evacuated)-1])
		}
	})
}

// TestEvacuatedZoneGetsNothing guards against requests that are sent to an evacuated zone, and against running ones that an evacuation ends.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	t.Run("another zone is left", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("evacuated"), abortConnection, answerSealed("left"))
		g.setZones("north-1", "north-2", "south-1")
		g.evacuate("north-1")
		for i := range 12 {
			g.call(http.MethodGet, "/read/", "", func(r *http.Request) { r.Header.Set("Id", fmt.Sprint(i)) })
		}
		assert.Equal(t, 0, g.endpoints[0].requestCount())
		assert.Equal(t, 12, g.endpoints[2].requestCount())
		g.evacuate()
		for range 12 {
			g.call(http.MethodPost, "/order/", "", nil)
		}
		assert.Equal(t, true, g.endpoints[0].requestCount() > 0)
	})
	t.Run("the last zone", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("a"), answerSealed("b"))
		g.setZones("north-1", "south-1")
		g.evacuate("north-1", "south-1")
		g.assertRefused("zone_evacuated")
		g.assertRequestCounts(0, 0)
	})
	t.Run("running requests", func(t *testing.T) {
		begun, evacuated := make(chan struct{}), make(chan struct{})
		g := newGatewayTest(t, func(w http.ResponseWriter, r *http.Request) {
			close(begun)
			<-evacuated
			answerSealed("finished")(w, r)
		})
		g.setZones("north-1")
		go func() {
			<-begun
			g.evacuate("north-1")
			close(evacuated)
		}()
		assert.Equal(t, "finished", g.call(http.MethodPost, "/order/", "", nil).body)
	})
}
