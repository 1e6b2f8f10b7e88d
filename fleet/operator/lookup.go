package operator

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
)

// index contains the data of a configuration that routers look up for each request.
type index struct {
	routeByModel  map[string]Route
	routeByPrefix map[string]Route
	models        []string
	// The slices in budgetsByTeam and endpointsByService are sorted by name.
	budgetsByTeam      map[string][]NumberedBudget
	endpointsByService map[string][]Endpoint
}

// RouteForModel returns the active route for a model name; false if there is none.
func (c *Configuration) RouteForModel(model string) (Route, bool) {
	route, found := c.lookupIndex().routeByModel[model]
	return route, found
}

// RouteForPath returns the route with the longest path prefix that matches whole segments of a path; false if no route
// matches.
func (c *Configuration) RouteForPath(path string) (Route, bool) {
	prefixes := c.lookupIndex().routeByPrefix
	prefix := strings.TrimRight(path, "/")
	for prefix != "" {
		if route, found := prefixes[prefix]; found {
			return route, true
		}
		prefix = prefix[:max(strings.LastIndexByte(prefix, '/'), 0)]
	}
	route, found := prefixes["/"]
	return route, found
}

// TeamForKey returns the team to which a bearer key belongs; false if the key is not accepted.
func (c *Configuration) TeamForKey(key string) (Team, bool) {
	if c == nil {
		return Team{}, false
	}
	name, found := c.TeamByKeyDigest[KeyDigest(key)]
	if !found {
		return Team{}, false
	}
	return c.Teams[name], true
}

// KeyDigest returns the SHA-256 digest of a bearer key in lower-case hexadecimal, as in Team.KeyDigests.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// BudgetsOfTeam returns the budgets of a team, sorted by name; the returned slice must not be modified.
func (c *Configuration) BudgetsOfTeam(team string) []NumberedBudget {
	return c.lookupIndex().budgetsByTeam[team]
}

// EndpointsOfService returns the endpoints of a service, sorted by name; the returned slice must not be modified.
func (c *Configuration) EndpointsOfService(service string) []Endpoint {
	return c.lookupIndex().endpointsByService[service]
}

// Models returns the model names of all active routes, sorted; the returned slice must not be modified.
func (c *Configuration) Models() []string { return c.lookupIndex().models }

// lookupIndex returns the index of the configuration, or a newly built one if the configuration contains none.
func (c *Configuration) lookupIndex() *index {
	switch {
	case c == nil:
		return &index{}
	case c.index != nil:
		return c.index
	default:
		return newIndex(c)
	}
}

func newIndex(c *Configuration) *index {
	teams := make(map[string]bool)
	for _, budget := range c.Budgets {
		teams[budget.Team] = true
	}
	return (&index{}).updated(c, teams, true)
}

// updated returns the index of configuration c, based on the index of an earlier configuration that differs from c only
// in the budgets of changedTeams and, if isRoutingChanged, in the routes and endpoints.
func (x *index) updated(c *Configuration, changedTeams map[string]bool, isRoutingChanged bool) *index {
	next := *x
	if isRoutingChanged {
		next.setRoutes(c)
		next.setEndpoints(c)
	}
	if len(changedTeams) > 0 {
		next.setBudgets(c, changedTeams)
	}
	return &next
}

func (x *index) setRoutes(c *Configuration) {
	x.routeByModel = make(map[string]Route)
	x.routeByPrefix = make(map[string]Route)
	for _, route := range c.Routes {
		switch {
		case route.Removed:
		case route.Model != "":
			x.routeByModel[route.Model] = route
		default:
			x.routeByPrefix[route.PathPrefix] = route
		}
	}
	x.models = slices.Sorted(maps.Keys(x.routeByModel))
}

func (x *index) setEndpoints(c *Configuration) {
	x.endpointsByService = make(map[string][]Endpoint)
	for _, set := range c.InstanceSets {
		for _, endpoint := range set.Endpoints {
			x.endpointsByService[endpoint.Service] = append(x.endpointsByService[endpoint.Service], endpoint)
		}
	}
	for _, endpoints := range x.endpointsByService {
		slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// setBudgets rebuilds the budget lists of the changed teams in a single pass over all budgets.
func (x *index) setBudgets(c *Configuration, changedTeams map[string]bool) {
	x.budgetsByTeam = cloneOrMake(x.budgetsByTeam)
	for team := range changedTeams {
		x.budgetsByTeam[team] = nil
	}
	for _, budget := range c.Budgets {
		if changedTeams[budget.Team] {
			x.budgetsByTeam[budget.Team] = append(x.budgetsByTeam[budget.Team], budget)
		}
	}
	for team := range changedTeams {
		slices.SortFunc(x.budgetsByTeam[team], func(a, b NumberedBudget) int { return cmp.Compare(a.Name, b.Name) })
	}
}
