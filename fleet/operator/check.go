package operator

import (
	"fmt"
	"maps"
	"slices"
)

// checkTicket returns the reason and detail for refusing a ticket, or an empty reason if the ticket is acceptable. The
// order of the checks and of the objects is fixed, so that every router determines the same reason and detail.
func (c *Configuration) checkTicket(t *Ticket) (RefusalReason, string) {
	checks := []func(*Ticket) (RefusalReason, string){
		c.checkTicketNumbers,
		c.checkBudgets,
		c.checkKeys,
		c.checkRouting,
		c.checkPlaces,
	}
	for _, check := range checks {
		if reason, detail := check(t); reason != "" {
			return reason, detail
		}
	}
	return "", ""
}

func (c *Configuration) checkTicketNumbers(t *Ticket) (RefusalReason, string) {
	for _, o := range t.objects() {
		if previous := c.ticketNumberOf(o); t.Number <= previous {
			return NotNewer, fmt.Sprintf("%s was set by ticket %d", o, previous)
		}
	}
	return "", ""
}

// object identifies a team, budget, route or instance set by its kind and name. The list of evacuated zones is an object without a name.
type object struct {
	Kind string
	Name string
}

// String returns the kind and the quoted name of the object, as used in refusal details.
func (o object) String() string {
	if o.Name == "" {
		return o.Kind
	}
	return fmt.Sprintf("%s %q", o.Kind, o.Name)
}

// Kinds of configuration objects, as used in refusal details.
const (
	teamObject        = "team"
	budgetObject      = "budget"
	routeObject       = "route"
	instanceSetObject = "instance set"
	evacuationObject  = "list of evacuated zones"
)

func (t *Ticket) objects() []object {
	var objects []object
	for _, team := range t.Teams {
		objects = append(objects, object{teamObject, team.Name})
	}
	for _, budget := range t.Budgets {
		objects = append(objects, object{budgetObject, budget.Name})
	}
	for _, route := range t.Routes {
		objects = append(objects, object{routeObject, route.Name})
	}
	for _, set := range t.InstanceSets {
		objects = append(objects, object{instanceSetObject, set.Name})
	}
	if t.EvacuatedZones != nil {
		objects = append(objects, object{Kind: evacuationObject})
	}
	return objects
}

// ticketNumberOf returns the number of the last ticket that set an object, or zero if there is no such object.
func (c *Configuration) ticketNumberOf(o object) uint64 {
	switch o.Kind {
	case teamObject:
		return c.TeamTickets[o.Name]
	case budgetObject:
		return c.Budgets[o.Name].Ticket
	case routeObject:
		return c.RouteTickets[o.Name]
	case evacuationObject:
		return c.EvacuationTicket
	default:
		return c.InstanceSetTickets[o.Name]
	}
}

func (c *Configuration) checkBudgets(t *Ticket) (RefusalReason, string) {
	isOnlyObject := len(t.objects()) == 1
	for _, budget := range t.Budgets {
		previous, exists := c.Budgets[budget.Name]
		if exists && previous.Team != budget.Team {
			return TeamChanged, fmt.Sprintf("budget %q belongs to team %q", budget.Name, previous.Team)
		}
		if budget.Prepaid < previous.Highest && !isOnlyObject {
			return LowersWithOthers, fmt.Sprintf("budget %q: %d is below %d", budget.Name, budget.Prepaid, previous.Highest)
		}
		team, found := c.teamAfter(t, budget.Team)
		if !found || (team.Removed && !exists) {
			return UnknownTeam, fmt.Sprintf("budget %q: team %q", budget.Name, budget.Team)
		}
	}
	return "", ""
}

// teamAfter returns the state that a team would have after the ticket.
func (c *Configuration) teamAfter(t *Ticket, name string) (Team, bool) {
	for _, team := range t.Teams {
		if team.Name == name {
			return team, true
		}
	}
	team, found := c.Teams[name]
	return team, found
}

func (c *Configuration) checkKeys(t *Ticket) (RefusalReason, string) {
	teamsInTicket := make(map[string]bool)
	for _, team := range t.Teams {
		teamsInTicket[team.Name] = true
	}
	ownerByDigest := make(map[string]string)
	for _, team := range t.Teams {
		if team.Removed {
			continue
		}
		for _, digest := range team.KeyDigests {
			owner, found := ownerByDigest[digest]
			if previousOwner := c.TeamByKeyDigest[digest]; !found && previousOwner != "" && !teamsInTicket[previousOwner] {
				owner, found = previousOwner, true
			}
			if found {
				return KeyTaken, fmt.Sprintf("team %q: a digest belongs to team %q", team.Name, owner)
			}
			ownerByDigest[digest] = team.Name
		}
	}
	return "", ""
}

// routing contains the routes and endpoints that would result from accepting a ticket.
type routing struct {
	routes             map[string]Route
	endpointsByService map[string][]Endpoint
}

func (c *Configuration) checkRouting(t *Ticket) (RefusalReason, string) {
	if len(t.Routes) == 0 && len(t.InstanceSets) == 0 {
		return "", ""
	}
	r := routing{routes: cloneOrMake(c.Routes), endpointsByService: make(map[string][]Endpoint)}
	for _, route := range t.Routes {
		r.routes[route.Name] = route
	}
	if reason, detail := r.addEndpoints(c.instanceSetsAfter(t)); reason != "" {
		return reason, detail
	}
	if reason, detail := r.checkUniqueRoutes(); reason != "" {
		return reason, detail
	}
	return r.checkRouteReferences()
}

// instanceSetsAfter returns the instance sets that would result from accepting a ticket.
func (c *Configuration) instanceSetsAfter(t *Ticket) map[string]InstanceSet {
	sets := cloneOrMake(c.InstanceSets)
	for _, set := range t.InstanceSets {
		sets[set.Name] = set
	}
	return sets
}

func (r *routing) addEndpoints(sets map[string]InstanceSet) (RefusalReason, string) {
	setByEndpoint := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(sets)) {
		for _, endpoint := range sets[name].Endpoints {
			if otherSet, found := setByEndpoint[endpoint.Name]; found {
				return EndpointTaken, fmt.Sprintf("endpoint %q stands in instance sets %q and %q", endpoint.Name, otherSet, name)
			}
			setByEndpoint[endpoint.Name] = name
			r.endpointsByService[endpoint.Service] = append(r.endpointsByService[endpoint.Service], endpoint)
		}
	}
	return "", ""
}

// activeRoutes returns the routes that are not removed, sorted by name.
func (r *routing) activeRoutes() []Route {
	var active []Route
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		if route := r.routes[name]; !route.Removed {
			active = append(active, route)
		}
	}
	return active
}

func (r *routing) checkUniqueRoutes() (RefusalReason, string) {
	byModel, byPrefix := make(map[string]string), make(map[string]string)
	for _, route := range r.activeRoutes() {
		if otherRoute, found := byModel[route.Model]; found && route.Model != "" {
			return ModelTaken, fmt.Sprintf("model %q is served by routes %q and %q", route.Model, otherRoute, route.Name)
		}
		if otherRoute, found := byPrefix[route.PathPrefix]; found && route.PathPrefix != "" {
			return PathTaken, fmt.Sprintf("path prefix %q is served by routes %q and %q", route.PathPrefix, otherRoute, route.Name)
		}
		byModel[route.Model] = route.Name
		byPrefix[route.PathPrefix] = route.Name
	}
	return "", ""
}

func (r *routing) checkRouteReferences() (RefusalReason, string) {
	for _, route := range r.activeRoutes() {
		endpoints := r.endpointsByService[route.Service]
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

// endpointKind returns the kind that all endpoints of the route's service must have.
func (r Route) endpointKind() EndpointKind {
	if r.Model != "" {
		return EngineEndpoint
	}
	return PlainEndpoint
}
