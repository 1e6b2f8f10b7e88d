// Package locality decides where a request may be sent: to endpoints and through other routers in the regions that its route and its
// team allow, and to no endpoint in an evacuated availability zone.
//
// It handles data that must not leave its regions, and zones that are about to lose power or have to be emptied. The decisions depend only
// on their arguments; the package does no I/O.
package locality

import (
	"errors"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// ErrDisjoint means that a route and a team allow regions, but none in common.
var ErrDisjoint = errors.New("route and team allow no region in common")

// Regions is the set of regions in which a request may be served. The zero value allows all.
type Regions struct {
	// route, team and fallback are the lists of the route, of the team and of the route that takes its place. A region must be in each list that
	// isn't empty.
	route, team, fallback []string
}

// Allowed returns the regions that both a route and a team allow. Either may be nil, which restricts nothing. It fails with ErrDisjoint if
// both have allowed regions and none in common.
func Allowed(route *site.Route, team *site.Team) (Regions, error) {
	var r Regions
	if route != nil {
		r.route = route.Regions
	}
	if team != nil {
		r.team = team.Regions
	}
	return r, r.check()
}

// ForFallback returns the regions of the set that a route allows as well which takes the place of the request's own one. It fails with
// ErrDisjoint if there are none.
func (r Regions) ForFallback(route *site.Route) (Regions, error) {
	r.fallback = route.Regions
	return r, r.check()
}

// check returns ErrDisjoint if no region is in all lists.
func (r Regions) check() error {
	for _, list := range [][]string{r.route, r.team, r.fallback} {
		if len(list) > 0 && !slices.ContainsFunc(list, r.Contains) {
			return ErrDisjoint
		}
	}
	return nil
}

// IsRestricted reports whether any region is outside the set.
func (r Regions) IsRestricted() bool { return len(r.route)+len(r.team)+len(r.fallback) > 0 }

// Contains reports whether a request may be served in a region. An unknown region, which is empty, is outside every restricted set.
func (r Regions) Contains(region string) bool {
	if !r.IsRestricted() {
		return true
	}
	return region != "" && isIn(r.route, region) && isIn(r.team, region) && isIn(r.fallback, region)
}

func isIn(list []string, region string) bool { return len(list) == 0 || slices.Contains(list, region) }

// Names returns the regions of a restricted set, sorted; nil if all are allowed.
func (r Regions) Names() []string {
	var names []string
	for _, name := range slices.Concat(r.route, r.team, r.fallback) {
		if r.Contains(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
