package locality

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// TestMain fixes the seed of the property tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261205", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestHomeRegions guards against a region that only one of route and team allows, and against an endpoint of unknown region that counts
// as allowed.
func TestHomeRegions(t *testing.T) {
	for _, c := range []struct {
		name        string
		route, team []string
		want        []string
		disjoint    bool
	}{
		{"neither", nil, nil, nil, false},
		{"empty lists", []string{}, []string{}, nil, false},
		{"route", []string{"north"}, nil, []string{"north"}, false},
		{"team", nil, []string{"south", "north"}, []string{"north", "south"}, false},
		{"both", []string{"north", "east"}, []string{"south", "north", "north"}, []string{"north"}, false},
		{"none in common", []string{"north"}, []string{"south"}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := Allowed(&site.Route{Regions: c.route}, &site.Team{Regions: c.team})
			assert.Equal(t, c.disjoint, err != nil)
			assert.Equal(t, c.want, r.Names())
			assert.Equal(t, c.want == nil && !c.disjoint, r.Contains(""))
			assert.Equal(t, c.want == nil && !c.disjoint, r.Contains("west"))
			p := Policy{Regions: r, RegionOfZone: map[string]string{"n-1": "north"}}
			assert.Equal(t, c.want == nil && !c.disjoint, p.AllowsEndpoint("unlisted"))
			assert.Equal(t, !c.disjoint, p.AllowsEndpoint("n-1"))
		})
	}
	t.Run("without route and team", func(t *testing.T) {
		r, err := Allowed(nil, nil)
		assert.NoError(t, err)
		assert.Equal(t, false, r.IsRestricted())
	})
}

// TestHomeIsWithinBothLists guards against any pair of lists for which a region outside one of them is allowed.
func TestHomeIsWithinBothLists(t *testing.T) {
	names := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c", "d"}))
	rapid.Check(t, func(t *rapid.T) {
		route, team := names.Draw(t, "route"), names.Draw(t, "team")
		r, err := Allowed(&site.Route{Regions: route}, &site.Team{Regions: team})
		for _, region := range []string{"a", "b", "c", "d", "e"} {
			want := (len(route) == 0 || contains(route, region)) && (len(team) == 0 || contains(team, region))
			if got := r.Contains(region); got != want {
				t.Fatalf("region %s: got %v, want %v", region, got, want)
			}
		}
		if isEmpty := r.IsRestricted() && len(r.Names()) == 0; isEmpty != (err != nil) {
			t.Fatalf("no region is allowed: %v, error %v", isEmpty, err)
		}
	})
}

func contains(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// TestEvacuatedAndHomeReasons guards against refusals that name the wrong reason when no endpoint of a service may be used.
func TestEvacuatedAndHomeReasons(t *testing.T) {
	zones := map[string]string{"n-1": "north", "n-2": "north", "s-1": "south"}
	north, south, unknown := site.Endpoint{AvailabilityZone: "n-1"}, site.Endpoint{AvailabilityZone: "s-1"}, site.Endpoint{AvailabilityZone: "?"}
	evacuated := func(names ...string) site.Evacuations {
		e := site.Evacuations{}
		for _, n := range names {
			e[n] = struct{}{}
		}
		return e
	}
	onlyNorth, _ := Allowed(&site.Route{Regions: []string{"north"}}, nil)
	for _, c := range []struct {
		name      string
		policy    Policy
		endpoints []site.Endpoint
		want      verdict.Reason
	}{
		{"nothing restricts", Policy{}, nil, ""},
		{"an endpoint in the region", Policy{Regions: onlyNorth}, []site.Endpoint{south, north}, ""},
		{"none in the region", Policy{Regions: onlyNorth}, []site.Endpoint{south, unknown}, verdict.NoEndpointInRegion},
		{"no endpoint at all", Policy{Regions: onlyNorth}, nil, verdict.NoEndpointInRegion},
		{"the region is evacuated", Policy{Regions: onlyNorth, Evacuations: evacuated("n-1")}, []site.Endpoint{south, north}, verdict.ZoneEvacuated},
		{"another zone is evacuated", Policy{Evacuations: evacuated("n-1")}, []site.Endpoint{south, north}, ""},
		{"all are evacuated", Policy{Evacuations: evacuated("n-1", "s-1")}, []site.Endpoint{south, north}, verdict.ZoneEvacuated},
		{"evacuations and no endpoint", Policy{Evacuations: evacuated("n-1")}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.policy.RegionOfZone = zones
			assert.Equal(t, c.want, c.policy.Refusal(c.endpoints))
		})
	}
}

// TestHomeProblems guards against mistakes in allowed regions that operators aren't told of, and against a report for each of many teams.
func TestHomeProblems(t *testing.T) {
	zones := map[string]string{"n-1": "north", "s-1": "south"}
	c := &site.Configuration{
		Routes: []site.Route{
			{Name: "r", Regions: []string{"north", "nowhere"}, Services: []site.WeightedService{{Service: "a"}}},
			{Name: "open", Services: []site.WeightedService{{Service: "b"}}},
		},
		Teams: []site.Team{{Name: "t1", Regions: []string{"south"}}, {Name: "t2", Regions: []string{"south"}}, {Name: "t3", Regions: []string{"north"}}, {Name: "t4"}},
	}
	assert.Equal(t, []Problem{
		{Kind: UnknownRegion, Route: "r", Region: "nowhere"},
		{Kind: DisjointRegions, Route: "r", Team: "t1", Teams: 2},
	}, CheckConfiguration(c, zones))
	d := site.NewDirectory([]site.Endpoint{{Name: "a1", Service: "a", AvailabilityZone: "s-1"}, {Name: "b1", Service: "b", AvailabilityZone: "s-1"}})
	assert.Equal(t, []Problem{
		{Kind: RegionWithoutEndpoint, Route: "r", Region: "north"},
		{Kind: RegionWithoutEndpoint, Team: "t3", Teams: 1, Region: "north"},
	}, CheckEndpoints(c, d, zones))
}
