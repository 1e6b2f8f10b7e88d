package operator

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
)

// index holds what a router looks up for each request.
type index struct {
	routeByModel  map[string]Route
	routeByPrefix map[string]Route
	models        []string
	// The slices are sorted by name.
	budgetsByTeam      map[string][]NumberedBudget
	endpointsByService map[string][]Endpoint
}

// RouteForModel returns the route that serves a model.
func (c *Configuration) RouteForModel(model string) (Route, bool) {
	route, found := c.indexed().routeByModel[model]
	return route, found
}

// RouteForPath returns the route with the longest prefix of a path that ends at a boundary of the path's segments.
func (c *Configuration) RouteForPath(path string) (Route, bool) {
	prefixes := c.indexed().routeByPrefix
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

// TeamForKey returns the team that a bearer key belongs to.
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

// KeyDigest returns the digest of a bearer key as tickets hold it.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// BudgetsOfTeam returns a team's budgets in the order of their names; callers must not change the slice.
func (c *Configuration) BudgetsOfTeam(team string) []NumberedBudget {
	return c.indexed().budgetsByTeam[team]
}

// EndpointsOf returns a service's endpoints in the order of their names; callers must not change the slice.
func (c *Configuration) EndpointsOf(service string) []Endpoint {
	return c.indexed().endpointsByService[service]
}

// Models returns the models that routes serve, sorted; callers must not change the slice.
func (c *Configuration) Models() []string { return c.indexed().models }

// indexed returns the index; it builds one for a configuration that was put together by hand.
func (c *Configuration) indexed() *index {
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

// updated returns the index of a configuration that differs from this one's in the budgets of some teams and,
// if routes says so, in its routes and endpoints.
func (x *index) updated(c *Configuration, teams map[string]bool, routes bool) *index {
	next := *x
	if routes {
		next.setRoutes(c)
		next.setEndpoints(c)
	}
	if len(teams) > 0 {
		next.setBudgets(c, teams)
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

// setBudgets replaces the slices of the teams whose budgets changed. It passes over the budgets once.
func (x *index) setBudgets(c *Configuration, teams map[string]bool) {
	x.budgetsByTeam = cloned(x.budgetsByTeam)
	for team := range teams {
		x.budgetsByTeam[team] = nil
	}
	for _, budget := range c.Budgets {
		if teams[budget.Team] {
			x.budgetsByTeam[budget.Team] = append(x.budgetsByTeam[budget.Team], budget)
		}
	}
	for team := range teams {
		slices.SortFunc(x.budgetsByTeam[team], func(a, b NumberedBudget) int { return cmp.Compare(a.Name, b.Name) })
	}
}
