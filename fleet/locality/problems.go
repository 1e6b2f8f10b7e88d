package locality

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// ProblemKind classifies a mistake in the allowed regions of a configuration. The values are suffixes of counters.
type ProblemKind string

// The kinds of problems. Requests with disjoint regions are refused; the other kinds have no effect of their own.
const (
	// DisjointRegions: a route and teams allow no region in common.
	DisjointRegions ProblemKind = "disjoint"
	// UnknownRegion: no availability zone of the site is in the region.
	UnknownRegion ProblemKind = "unknown_region"
	// RegionWithoutEndpoint: no endpoint of the services concerned is in the region.
	RegionWithoutEndpoint ProblemKind = "no_endpoint"
)

// Problem is a mistake in the allowed regions of a configuration.
type Problem struct {
	Kind ProblemKind
	// Route and Team are the objects concerned; either may be empty. Team is the first of Teams teams with the same regions.
	Route, Team string
	Teams       int
	// Region is the region concerned; empty for DisjointRegions.
	Region string
}

// teamGroup are the teams with the same allowed regions: a site may have far more teams than lists of regions.
type teamGroup struct {
	first *site.Team
	count int
}

func groupTeams(teams []site.Team) []*teamGroup {
	var groups []*teamGroup
	byRegions := make(map[string]*teamGroup)
	for i := range teams {
		if len(teams[i].Regions) == 0 {
			continue
		}
		key := strings.Join(teams[i].Regions, "\n")
		if byRegions[key] == nil {
			byRegions[key] = &teamGroup{first: &teams[i]}
			groups = append(groups, byRegions[key])
		}
		byRegions[key].count++
	}
	return groups
}

// CheckConfiguration returns the problems that follow from a configuration and the site's availability zones alone.
func CheckConfiguration(c *site.Configuration, regionOfZone map[string]string) []Problem {
	known := make(map[string]bool, len(regionOfZone))
	for _, region := range regionOfZone {
		known[region] = true
	}
	isKnown := func(region string) bool { return known[region] }
	problems := unlisted(c, UnknownRegion, func(*site.Route) func(string) bool { return isKnown })
	groups := groupTeams(c.Teams)
	for i := range c.Routes {
		for _, g := range groups {
			if _, err := Allowed(&c.Routes[i], g.first); err != nil {
				problems = append(problems, Problem{Kind: DisjointRegions, Route: c.Routes[i].Name, Team: g.first.Name, Teams: g.count})
			}
		}
	}
	return problems
}

// CheckEndpoints returns the known regions in which none of the endpoints concerned runs: those of a route's services for a route, all
// endpoints for a team.
func CheckEndpoints(c *site.Configuration, d *site.Directory, regionOfZone map[string]string) []Problem {
	regions, all := make(map[string]map[string]bool), make(map[string]bool)
	for service, zones := range d.AvailabilityZones() {
		regions[service] = make(map[string]bool)
		for _, zone := range zones {
			regions[service][regionOfZone[zone]], all[regionOfZone[zone]] = true, true
		}
	}
	known := make(map[string]bool, len(regionOfZone))
	for _, region := range regionOfZone {
		known[region] = true
	}
	return unlisted(c, RegionWithoutEndpoint, func(r *site.Route) func(string) bool {
		return func(region string) bool {
			if r == nil {
				return !known[region] || all[region]
			}
			return !known[region] || slices.ContainsFunc(r.Services, func(w site.WeightedService) bool { return regions[w.Service][region] })
		}
	})
}

// unlisted returns a problem for each region of a route or of a group of teams that is not as it should be. expect returns the check for
// the regions of a route, and of teams if the route is nil.
func unlisted(c *site.Configuration, kind ProblemKind, expect func(*site.Route) func(region string) bool) []Problem {
	var problems []Problem
	for i := range c.Routes {
		isExpected := expect(&c.Routes[i])
		for _, region := range c.Routes[i].Regions {
			if !isExpected(region) {
				problems = append(problems, Problem{Kind: kind, Route: c.Routes[i].Name, Region: region})
			}
		}
	}
	isExpected := expect(nil)
	for _, g := range groupTeams(c.Teams) {
		for _, region := range g.first.Regions {
			if !isExpected(region) {
				problems = append(problems, Problem{Kind: kind, Team: g.first.Name, Teams: g.count, Region: region})
			}
		}
	}
	return problems
}

// String describes the problem for logs.
func (p Problem) String() string {
	switch p.Kind {
	case DisjointRegions:
		return fmt.Sprintf("route %q and team %q (%d teams) allow no region in common", p.Route, p.Team, p.Teams)
	case UnknownRegion:
		return fmt.Sprintf("%s allows region %q, which no availability zone is in", p.subject(), p.Region)
	default:
		return fmt.Sprintf("%s allows region %q, in which no endpoint runs", p.subject(), p.Region)
	}
}

func (p Problem) subject() string {
	if p.Route != "" {
		return fmt.Sprintf("route %q", p.Route)
	}
	return fmt.Sprintf("team %q (%d teams)", p.Team, p.Teams)
}
