package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// TestSoundEndpointsRankNoRouters guards against requests that rank the whole fleet at each endpoint although no endpoint is brittle or limited.
func TestSoundEndpointsRankNoRouters(t *testing.T) {
	g := newGatewayTest(t, answerSealed("fine"), answerSealed("fine"))
	roster := &peer.Roster{}
	for i := range 5 {
		roster.Put(peer.Router{Instance: fmt.Sprint("router-", i)})
	}
	g.server.targets.routers = &Routers{Self: peer.Router{Instance: "router-0"}, Roster: roster}
	g.server.targets.routers.hasRoster.Store(true)
	assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "body", nil).status)
	for _, e := range g.server.targets.byName {
		assert.Equal(t, 0, e.limit.routers)
	}
}
