package operator

import (
	"fmt"
	"maps"
	"slices"
)

// check returns the reason for which a ticket can't be accepted, or an empty reason. Objects are gone through in
// a fixed order, so that every router gives the same reason.
func (c *Configuration) check(t *Ticket) (RefusalReason, string) {
	checks := []func(*Ticket) (RefusalReason, string){
		c.checkNewer,
		c.checkBudgets,
		c.checkKeys,
		c.checkRouting,
	}
	for _, check := range checks {
		if reason, detail := check(t); reason != "" {
			return reason, detail
		}
	}
	return "", ""
}

func (c *Configuration) checkNewer(t *Ticket) (RefusalReason, string) {
	for _, o := range t.objects() {
		if former := c.ticketOf(o); t.Number <= former {
			return NotNewer, fmt.Sprintf("%s was set by ticket %d", o, former)
		}
	}
	return "", ""
}

// object names an object that a ticket touches.
type object struct {
	Kind string
	Name string
}

// String returns the object as messages name it.
func (o object) String() string { return fmt.Sprintf("%s %q", o.Kind, o.Name) }

// The kinds of objects, as messages name them.
const (
	teamObject        = "team"
	budgetObject      = "budget"
	routeObject       = "route"
	instanceSetObject = "instance set"
)

func (t *Ticket) objects() []object {
	var all []object
	for _, team := range t.Teams {
		all = append(all, object{teamObject, team.Name})
	}
	for _, budget := range t.Budgets {
		all = append(all, object{budgetObject, budget.Name})
	}
	for _, route := range t.Routes {
		all = append(all, object{routeObject, route.Name})
	}
	for _, set := range t.InstanceSets {
		all = append(all, object{instanceSetObject, set.Name})
	}
	return all
}

// ticketOf returns the number of the ticket that set an object; zero for an unknown one.
func (c *Configuration) ticketOf(o object) uint64 {
	switch o.Kind {
	case teamObject:
		return c.TeamTickets[o.Name]
	case budgetObject:
		return c.Budgets[o.Name].Ticket
	case routeObject:
		return c.RouteTickets[o.Name]
	default:
		return c.InstanceSetTickets[o.Name]
	}
}

func (c *Configuration) checkBudgets(t *Ticket) (RefusalReason, string) {
	alone := len(t.objects()) == 1
	for _, budget := range t.Budgets {
		former, exists := c.Budgets[budget.Name]
		if exists && former.Team != budget.Team {
			return TeamChanged, fmt.Sprintf("budget %q belongs to team %q", budget.Name, former.Team)
		}
		if budget.Prepaid < former.Highest && !alone {
			return LowersWithOthers, fmt.Sprintf("budget %q: %d is below %d", budget.Name, budget.Prepaid, former.Highest)
		}
		team, found := c.teamWith(t, budget.Team)
		if !found || (team.Removed && !exists) {
			return UnknownTeam, fmt.Sprintf("budget %q: team %q", budget.Name, budget.Team)
		}
	}
	return "", ""
}

// teamWith returns a team as it would stand after the ticket.
func (c *Configuration) teamWith(t *Ticket, name string) (Team, bool) {
	for _, team := range t.Teams {
		if team.Name == name {
			return team, true
		}
	}
	team, found := c.Teams[name]
	return team, found
}

func (c *Configuration) checkKeys(t *Ticket) (RefusalReason, string) {
	touched := make(map[string]bool)
	for _, team := range t.Teams {
		touched[team.Name] = true
	}
	taken := make(map[string]string)
	for _, team := range t.Teams {
		if team.Removed {
			continue
		}
		for _, digest := range team.KeyDigests {
			owner, found := taken[digest]
			if former := c.TeamByKeyDigest[digest]; !found && former != "" && !touched[former] {
				owner, found = former, true
			}
			if found {
				return KeyTaken, fmt.Sprintf("team %q: a digest belongs to team %q", team.Name, owner)
			}
			taken[digest] = team.Name
		}
	}
	return "", ""
}

// routing is the routes and endpoints as they would stand after a ticket.
type routing struct {
	routes   map[string]Route
	services map[string][]Endpoint
}

func (c *Configuration) checkRouting(t *Ticket) (RefusalReason, string) {
	if len(t.Routes) == 0 && len(t.InstanceSets) == 0 {
		return "", ""
	}
	r := routing{routes: cloned(c.Routes), services: make(map[string][]Endpoint)}
	for _, route := range t.Routes {
		r.routes[route.Name] = route
	}
	sets := cloned(c.InstanceSets)
	for _, set := range t.InstanceSets {
		sets[set.Name] = set
	}
	if reason, detail := r.addEndpoints(sets); reason != "" {
		return reason, detail
	}
	if reason, detail := r.checkUnique(); reason != "" {
		return reason, detail
	}
	return r.checkReferences()
}

func (r *routing) addEndpoints(sets map[string]InstanceSet) (RefusalReason, string) {
	setByEndpoint := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(sets)) {
		for _, endpoint := range sets[name].Endpoints {
			if other, found := setByEndpoint[endpoint.Name]; found {
				return EndpointTaken, fmt.Sprintf("endpoint %q stands in instance sets %q and %q", endpoint.Name, other, name)
			}
			setByEndpoint[endpoint.Name] = name
			r.services[endpoint.Service] = append(r.services[endpoint.Service], endpoint)
		}
	}
	return "", ""
}

// live returns the routes that are not removed in the order of their names.
func (r *routing) live() []Route {
	var live []Route
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		if route := r.routes[name]; !route.Removed {
			live = append(live, route)
		}
	}
	return live
}

func (r *routing) checkUnique() (RefusalReason, string) {
	byModel, byPrefix := make(map[string]string), make(map[string]string)
	for _, route := range r.live() {
		if other, found := byModel[route.Model]; found && route.Model != "" {
			return ModelTaken, fmt.Sprintf("model %q is served by routes %q and %q", route.Model, other, route.Name)
		}
		if other, found := byPrefix[route.PathPrefix]; found && route.PathPrefix != "" {
			return PathTaken, fmt.Sprintf("path prefix %q is served by routes %q and %q", route.PathPrefix, other, route.Name)
		}
		byModel[route.Model] = route.Name
		byPrefix[route.PathPrefix] = route.Name
	}
	return "", ""
}

func (r *routing) checkReferences() (RefusalReason, string) {
	for _, route := range r.live() {
		endpoints := r.services[route.Service]
		if len(endpoints) == 0 {
			return UnknownService, fmt.Sprintf("route %q: service %q has no endpoint", route.Name, route.Service)
		}
		for _, endpoint := range endpoints {
			if endpoint.Kind != route.endpointKind() {
				return KindMismatch, fmt.Sprintf("route %q: endpoint %q has kind %s", route.Name, endpoint.Name, endpoint.Kind)
			}
		}
		for _, name := range route.Fallbacks {
			fallback, found := r.routes[name]
			if !found || fallback.Removed || fallback.endpointKind() != route.endpointKind() {
				return UnknownFallback, fmt.Sprintf("route %q: fallback %q", route.Name, name)
			}
		}
	}
	return "", ""
}

// endpointKind returns the kind of endpoints that a route leads to.
func (r Route) endpointKind() EndpointKind {
	if r.Model != "" {
		return EngineEndpoint
	}
	return PlainEndpoint
}
