package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// TestConfigurationKeepsRequests guards against configurations that end requests in progress by removing what they use.
func TestConfigurationKeepsRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(g *gatewayTest)
	}{
		{"the routes, services and teams", func(g *gatewayTest) {
			configuration := &site.Configuration{Version: 2}
			configuration.Index()
			g.server.payer.Configure(configuration)
			g.state.Configuration.Store(configuration)
		}},
		{"the endpoints", func(g *gatewayTest) { g.state.Directory.Store(site.NewDirectory(nil)) }},
		{"the route's timeout", func(g *gatewayTest) {
			configuration := *g.state.Configuration.Load()
			configuration.Version, configuration.Routes = 2, slices.Clone(configuration.Routes)
			for i := range configuration.Routes {
				configuration.Routes[i].Timeout = time.Millisecond
			}
			configuration.Index()
			g.server.payer.Configure(&configuration)
			g.state.Configuration.Store(&configuration)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, path := range []string{"/order/1", "/read/1", "/chat/1", "/talk/1"} {
				runStopTest(t, answerSlowly(2*time.Second), func(s *stopTest) {
					caller, other := s.newCaller(), s.newCaller()
					caller.send(path, "30000")
					time.Sleep(time.Second)
					c.change(s.gateway)
					other.send(path, "30000")
					assert.Equal(t, true, other.receive() != 0)
					assert.Equal(t, http.StatusOK, caller.receive())
				})
			}
		})
	}
}
