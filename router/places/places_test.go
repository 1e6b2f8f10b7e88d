package places

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// placesTest is a gate with counters and log lines.
type placesTest struct {
	gate   *Gate
	lines  *memory.Handler
	logger log.Interface
	counts map[string]int
}

func newPlacesTest() *placesTest {
	p := &placesTest{lines: memory.New(), counts: make(map[string]int)}
	p.logger = &log.Logger{Handler: p.lines, Level: log.InfoLevel}
	p.gate = &Gate{
		Configuration: &atomic.Pointer[site.Configuration]{}, Evacuations: &atomic.Pointer[site.Evacuations]{},
		RegionOfZone: map[string]string{"n-1": "north", "n-2": "north", "s-1": "south"},
	}
	return p
}

func (p *placesTest) count(name string) { p.counts[name]++ }

func configurationWith(version int64, route, team []string) *site.Configuration {
	c := &site.Configuration{
		Version: version, Routes: []site.Route{{Name: "r", Host: "h", Prefix: "/", Regions: route, Services: []site.WeightedService{{Service: "s"}}}},
		Teams: []site.Team{{Name: "t", Regions: team}},
	}
	c.Index()
	return c
}

// TestHomeFollowsConfiguration guards against requests for which the regions of a former configuration decide, and against routes and teams
// whose regions are forgotten because a newer configuration no longer has them.
func TestHomeFollowsConfiguration(t *testing.T) {
	p := newPlacesTest()
	first := configurationWith(1, []string{"north"}, nil)
	p.gate.Configuration.Store(first)
	r := &Request{Configuration: first, Route: &first.Routes[0], Team: &first.Teams[0], Host: "h", Path: "/x", TeamName: "t"}
	assert.Equal(t, []bool{true, false}, []bool{p.gate.AllowsEndpoint(r, "n-1"), p.gate.AllowsEndpoint(r, "s-1")})
	p.gate.Configuration.Store(configurationWith(2, nil, []string{"south"}))
	assert.Equal(t, []bool{false, true}, []bool{p.gate.AllowsEndpoint(r, "n-1"), p.gate.AllowsRouter(r, "south")})
	p.gate.Configuration.Store(configurationWith(3, []string{"north"}, []string{"south"}))
	assert.Equal(t, []bool{false, false}, []bool{p.gate.AllowsEndpoint(r, "n-1"), p.gate.AllowsRouter(r, "south")})
	empty := &site.Configuration{Version: 4}
	empty.Index()
	p.gate.Configuration.Store(empty)
	assert.Equal(t, []bool{true, false}, []bool{p.gate.AllowsEndpoint(r, "n-1"), p.gate.AllowsEndpoint(r, "s-1")})
}

// TestHomeMistakesAreReportedOnce guards against mistakes in allowed regions that are reported for each request or directory, or not at all.
func TestHomeMistakesAreReportedOnce(t *testing.T) {
	p := newPlacesTest()
	r := &Reporter{Gate: p.gate, Logger: p.logger, Count: p.count}
	r.Configure(configurationWith(1, []string{"north", "nowhere"}, []string{"south"}))
	assert.Equal(t, map[string]int{"regions.disjoint": 1, "regions.unknown_region": 1}, p.counts)
	directory := site.NewDirectory([]site.Endpoint{{Name: "e", Service: "s", AvailabilityZone: "s-1"}})
	r.UpdateDirectory(directory)
	r.UpdateDirectory(directory)
	assert.Equal(t, map[string]int{"regions.disjoint": 1, "regions.unknown_region": 1, "regions.no_endpoint": 1}, p.counts)
	assert.Equal(t, 3, len(p.lines.Entries))
	r.Configure(configurationWith(2, []string{"north"}, nil))
	assert.Equal(t, 2, p.counts["regions.no_endpoint"])
	many := make([]string, 1000)
	for i := range many {
		many[i] = fmt.Sprint("region-", i)
	}
	before := len(p.lines.Entries)
	r.Configure(configurationWith(3, many, nil))
	assert.Equal(t, 1001, p.counts["regions.unknown_region"])
	assert.Equal(t, maxLoggedProblems+1, len(p.lines.Entries)-before)
}
