package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// testZones are the availability zones of these tests. No region is known of zone lost-1.
func testZones() map[string]string {
	return map[string]string{"north-1": "north", "north-2": "north", "south-1": "south"}
}

// setZones puts the endpoints into availability zones, in order.
func (g *gatewayTest) setZones(zones ...string) {
	var listed []site.Endpoint
	for _, service := range []string{"plain", "engine"} {
		for i, e := range g.state.Directory.Load().Endpoints(service) {
			e.AvailabilityZone = zones[i]
			listed = append(listed, e)
		}
	}
	g.state.Directory.Store(site.NewDirectory(listed))
}

// allow puts a configuration in force that allows regions for all routes and for the team "studio".
func (g *gatewayTest) allow(route, team []string) {
	current := g.state.Configuration.Load()
	next := &site.Configuration{Version: current.Version + 1, Limits: current.Limits, Services: current.Services}
	next.Routes, next.Teams = slices.Clone(current.Routes), slices.Clone(current.Teams)
	for i := range next.Routes {
		next.Routes[i].Regions = route
	}
	next.Teams[0].Regions = team
	next.Index()
	g.server.payer.Configure(next)
	g.state.Configuration.Store(next)
}

func (g *gatewayTest) assertRefused(reason string) {
	g.t.Helper()
	got := g.call(http.MethodPost, "/order/", "body", nil)
	assert.Equal(g.t, http.StatusServiceUnavailable, got.status)
	assert.Equal(g.t, true, strings.Contains(got.body, `"`+reason+`"`))
}

// TestHomeOfAttempts guards against first attempts and retries that reach an endpoint outside the regions that the route and the team allow.
func TestHomeOfAttempts(t *testing.T) {
	north, both := []string{"north"}, []string{"north", "south"}
	for _, c := range []struct {
		name        string
		route, team []string
	}{{"route", north, nil}, {"team", nil, north}, {"both", both, north}} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, answerSealed("south"), answerSealed("lost"), answerNotRun, abortConnection, answerSealed("north"))
			g.setZones("south-1", "lost-1", "north-1", "north-1", "north-2")
			g.allow(c.route, c.team)
			for range 8 {
				g.call(http.MethodGet, "/read/", "body", nil)
				g.call(http.MethodPost, "/order/", "body", nil)
			}
			assert.Equal(t, 0, g.endpoints[0].requestCount()+g.endpoints[1].requestCount())
			assert.Equal(t, true, g.endpoints[4].requestCount() > 0)
		})
	}
	t.Run("no region is allowed by name", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("lost"))
		g.setZones("lost-1")
		g.allow([]string{}, []string{})
		assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
	})
}

// TestHomeWithoutEndpoint guards against requests that wait, or name the wrong reason, when no endpoint in their regions is left.
func TestHomeWithoutEndpoint(t *testing.T) {
	g := newGatewayTest(t, answerSealed("south"), answerSealed("lost"))
	g.setZones("south-1", "lost-1")
	g.allow([]string{"north"}, nil)
	g.assertRefused("no_endpoint_in_region")
	g.allow([]string{"north"}, []string{"south"})
	g.assertRefused("regions_disjoint")
	assert.Equal(t, "", g.call(http.MethodPost, "/order/", "body", nil).header.Get("Retry-After"))
	g.assertRequestCounts(0, 0)
	t.Run("the only one is unavailable", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("south"), answerSealed("north"))
		g.endpoints[1].server.Close()
		g.setZones("south-1", "north-1")
		g.allow([]string{"north"}, nil)
		g.assertRefused("no_endpoint_in_region")
		g.assertRequestCounts(0, 0)
	})
}

// TestHomeOfSplitRoute guards against refusals by chance where only one of a route's services has endpoints in the allowed regions.
func TestHomeOfSplitRoute(t *testing.T) {
	g := newGatewayTest(t, answerSealed("answer"))
	configuration := *g.state.Configuration.Load()
	configuration.Routes = slices.Clone(configuration.Routes)
	configuration.Routes[0].Services = []site.WeightedService{{Service: "nobody", Weight: 1}, {Service: "plain", Weight: 1}}
	configuration.Index()
	g.state.Configuration.Store(&configuration)
	g.setZones("north-1")
	g.allow([]string{"north"}, nil)
	for range 12 {
		assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
	}
	g.allow([]string{"south"}, nil)
	g.assertRefused("no_endpoint_in_region")
}

// TestHomeOfResumedStream guards against a stream that goes on outside its regions after its endpoint has broken off.
func TestHomeOfResumedStream(t *testing.T) {
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	rest := answerSealed("id: 2\ndata: b\n\n")
	g := newGatewayTest(t, cut, rest, rest, rest)
	g.setZones("north-1", "south-1", "south-1", "lost-1")
	g.allow(nil, []string{"north"})
	assert.Equal(t, true, g.call(http.MethodPost, "/talk/", "", nil).truncated)
	g.assertRequestCounts(1, 0, 0, 0)
}

// TestHomeChangesBeforeSending guards against a request that leaves its regions because they changed after its endpoint was chosen.
func TestHomeChangesBeforeSending(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(g *gatewayTest)
		reason string
	}{
		{"the route's regions", func(g *gatewayTest) { g.allow([]string{"north"}, nil) }, "no_endpoint_in_region"},
		{"the team's regions", func(g *gatewayTest) { g.allow(nil, []string{"north"}) }, "no_endpoint_in_region"},
		{"both, with none in common", func(g *gatewayTest) { g.allow([]string{"north"}, []string{"south"}) }, "regions_disjoint"},
		{"an evacuation", func(g *gatewayTest) { g.evacuate("south-1") }, "zone_evacuated"},
	} {
		for _, isKept := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", on a kept connection: ", isKept), func(t *testing.T) {
				g := newGatewayTest(t, answerSealed("south"), answerSealed("south"))
				g.setZones("south-1", "south-1")
				sent := 0
				if isKept {
					for g.endpoints[0].requestCount() == 0 || g.endpoints[1].requestCount() == 0 {
						g.call(http.MethodPost, "/order/", "body", nil)
						sent++
					}
					g.server.targets.onPermit = func() { c.change(g) }
				} else {
					g.server.targets.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
						c.change(g)
						return (&net.Dialer{}).DialContext(ctx, network, address)
					}
				}
				g.assertRefused(c.reason)
				assert.Equal(t, sent, g.endpoints[0].requestCount()+g.endpoints[1].requestCount())
				assert.Equal(t, true, g.counterValue(requestWithdrawn) > 0)
			})
		}
	}
}

// newHomeFleet returns a fleet whose first router is cut off, in front of endpoints in both regions. The routers are in the given regions.
func newHomeFleet(t *testing.T, regions ...string) *relayFleet {
	t.Helper()
	f := newRelayFleetIn(t, regions, answerSealed("answer"), answerSealed("answer"))
	for i, g := range f.routers {
		for j, region := range regions {
			listed, _ := g.server.targets.routers.Roster.Router(fmt.Sprint("router-", j))
			listed.Region = region
			g.server.targets.routers.Roster.Put(listed)
		}
		if i == 0 {
			g.setZones("north-1", "south-1")
			continue
		}
		g.state.Directory.Store(f.routers[0].state.Directory.Load())
	}
	f.cutQuietly(0)
	return f
}

// carried returns the numbers of exchanges that a router carried out and declined.
func (f *relayFleet) carried(router int) (carried, declined int64) {
	g := f.routers[router]
	for _, reason := range []declineReason{declineRegion, declineEvacuated, declineNotListed, declineNotAdmitted, declineCutOff} {
		declined += g.counterValue(exchangeDeclinedPrefix + string(reason))
	}
	return g.counterValue(exchangeCarried), declined
}

// TestHomeOfExchangesThroughRouters guards against bodies that are sent to a router outside their regions, or to one whose region isn't known.
func TestHomeOfExchangesThroughRouters(t *testing.T) {
	t.Run("a router in the region", func(t *testing.T) {
		f := newHomeFleet(t, "south", "south", "north", "")
		for _, g := range f.routers {
			g.allow([]string{"north"}, nil)
		}
		assert.Equal(t, int64(8), f.sendOrders(8))
		for router, want := range []int64{0, 0, 8, 0} {
			carried, declined := f.carried(router)
			assert.Equal(t, [2]int64{want, 0}, [2]int64{carried, declined})
		}
		f.routers[0].assertRequestCounts(8, 0)
	})
	t.Run("none in the region", func(t *testing.T) {
		f := newHomeFleet(t, "south", "south", "")
		for _, g := range f.routers {
			g.allow([]string{"north"}, nil)
		}
		f.routers[0].assertRefused("no_endpoint_in_region")
		for router := range f.routers {
			carried, declined := f.carried(router)
			assert.Equal(t, [2]int64{}, [2]int64{carried, declined})
		}
		f.routers[0].assertRequestCounts(0, 0)
	})
}

// TestHomeIsCheckedByCarrier guards against an exchange that a router with an older configuration hands over, and which the router that
// carries it out knows to lead outside the regions of the request.
func TestHomeIsCheckedByCarrier(t *testing.T) {
	for _, c := range []struct {
		name    string
		carrier string
		change  func(g *gatewayTest)
		want    int
	}{
		{"the route's regions", "north", func(g *gatewayTest) { g.allow([]string{"north"}, nil) }, 1},
		{"the team's regions", "north", func(g *gatewayTest) { g.allow(nil, []string{"north"}) }, 1},
		{"no region in common", "north", func(g *gatewayTest) { g.allow([]string{"north"}, []string{"south"}) }, 0},
		{"the carrier is outside the regions", "south", func(g *gatewayTest) { g.allow([]string{"north"}, nil) }, 0},
		{"an evacuated zone", "north", func(g *gatewayTest) { g.evacuate("south-1") }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newHomeFleet(t, "north", c.carrier)
			c.change(f.routers[1])
			for i := range 4 {
				f.routers[0].call(http.MethodPost, fmt.Sprint("/order/", i), "body", func(r *http.Request) { r.Header.Set("Id", fmt.Sprint(i)) })
			}
			f.routers[0].assertRequestCounts(4*c.want, 0)
		})
	}
}

// TestHomeChangesBeforeHandover guards against a body that is handed to a router outside its regions because they changed after the router
// was chosen.
func TestHomeChangesBeforeHandover(t *testing.T) {
	f := newHomeFleet(t, "north", "south")
	g := f.routers[0]
	j := &job{server: g.server}
	j.place.Host, j.place.Path = "h", "/order/"
	south := &target{Endpoint: site.Endpoint{AvailabilityZone: "south-1"}}
	permit := j.permitRouter(south, "south")
	assert.NoError(t, permit())
	g.allow([]string{"north"}, nil)
	assert.ErrorIs(t, permit(), errWithdrawn)
	assert.ErrorIs(t, j.permitRouter(south, "north")(), errWithdrawn)
	// Nothing reaches a router for which the permit is denied.
	listed, _ := g.server.targets.routers.Roster.Router("router-1")
	_, err := g.server.relays.routers.Node.OpenExchange(t.Context(), peer.Address{Instance: "router-1", Address: listed.Address},
		&peer.Exchange{Service: "plain", Body: []byte("body")}, permit)
	assert.ErrorIs(t, err, errWithdrawn)
	assert.ErrorIs(t, err, peer.ErrExchangeNotSent)
	time.Sleep(50 * time.Millisecond)
	carried, declined := f.carried(1)
	assert.Equal(t, [2]int64{}, [2]int64{carried, declined})
}

// evacuate evacuates availability zones in place of those evacuated before.
func (g *gatewayTest) evacuate(zones ...string) {
	evacuations := site.Evacuations{}
	for _, zone := range zones {
		evacuations[zone] = struct{}{}
	}
	g.state.Evacuations.Store(&evacuations)
}
