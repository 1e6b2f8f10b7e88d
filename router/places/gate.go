// Package places tells a router to which endpoints and through which other routers a request may be sent. It applies fleet/locality to the
// newest configuration and the newest evacuations, so that a change of either also counts for requests that wait, and reports mistakes in
// allowed regions and evacuations.
package places

import (
	"sync/atomic"

	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Gate holds what decides where requests may be sent. It is safe for concurrent use.
type Gate struct {
	// Configuration and Evacuations are those in force.
	Configuration *atomic.Pointer[site.Configuration]
	Evacuations   *atomic.Pointer[site.Evacuations]
	// RegionOfZone is the region of each availability zone.
	RegionOfZone map[string]string
}

// Request identifies the route and the team of a request. The zero value is a request without restrictions.
type Request struct {
	// Configuration is the one from which Route and Team are; nil if they aren't known. Route and Team may be nil.
	Configuration *site.Configuration
	Route         *site.Route
	Team          *site.Team
	// Host, Path and TeamName find the route and the team in a newer configuration.
	Host, Path, TeamName string
}

// Policy returns what decides on the request now. The newest configuration that knows the request's route or team decides on each of them. It
// fails with a refusal if the route and the team allow no region in common.
func (g *Gate) Policy(r *Request) (locality.Policy, error) {
	route, team := r.Route, r.Team
	if newest := g.Configuration.Load(); newest != nil && newest != r.Configuration {
		if found, ok := newest.Route(r.Host, r.Path); ok {
			route = found
		}
		if found, ok := newest.Team(r.TeamName); ok {
			team = found
		}
	}
	p := locality.Policy{RegionOfZone: g.RegionOfZone}
	if evacuations := g.Evacuations.Load(); evacuations != nil {
		p.Evacuations = *evacuations
	}
	var err error
	if p.Regions, err = locality.Allowed(route, team); err != nil {
		return p, &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.RegionsDisjoint, Cause: err}
	}
	return p, nil
}

// AllowsEndpoint reports whether the request may be sent to an endpoint in an availability zone now.
func (g *Gate) AllowsEndpoint(r *Request, availabilityZone string) bool {
	p, err := g.Policy(r)
	return err == nil && p.AllowsEndpoint(availabilityZone)
}

// AllowsRouter reports whether the body of the request may be sent to a router in a region now.
func (g *Gate) AllowsRouter(r *Request, region string) bool {
	p, err := g.Policy(r)
	return err == nil && p.AllowsRouter(region)
}
