// Package site describes what the operators of a site declare and what runs there: routes by host and path, services,
// teams with their keys and prepaid tokens, and the endpoints that registered themselves.
package site

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes. The zero value is the cautious one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events; they run at most once unless they are resumable.
	Streaming
)

// String names the kind as logs show it.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "Idempotent"
	case Streaming:
		return "Streaming"
	default:
		return "NonIdempotent"
	}
}

// Share is a service of a route with its part of the requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says how requests of a host and path are served.
type Route struct {
	Name string
	Host string
	// Prefix begins the paths of the route. It begins and ends with a slash.
	Prefix    string
	Kind      Kind
	Resumable bool
	// Public routes are open to callers without a key.
	Public bool
	// Affinity says that prompts should go where their beginning is cached.
	Affinity bool
	// Timeout bounds how long a request is kept waiting; zero sets no bound.
	Timeout time.Duration
	// Target is the objective for the answer, or for a stream's first event; TargetGap bounds its pauses.
	Target    time.Duration
	TargetGap time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Attempts is the most endpoints to which one request may be sent; at least 1.
	Attempts int
	Services []Share
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick returns the service of a request by the weights; at is in [0, 1).
func (r *Route) Pick(at float64) string {
	var total float64
	for _, s := range r.Services {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Services {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the most requests in one batch.
	Slots int
	// Memory is the number of tokens that fit into an engine's memory.
	Memory int64
	// EventTokens is the most tokens that one event of a stream holds.
	EventTokens int64
}

// Service is what endpoints of one kind have in common.
type Service struct {
	Name       string
	HealthPath string
	// Connections is the most connections that an endpoint accepts from all callers.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority goes before the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is the total of tokens that the team may use if HasPrepaid is set; else its use is not bounded.
	Prepaid    int64
	HasPrepaid bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is everything that the operators declared, in one version. It is not changed once it is indexed.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	hosts    map[string][]*Route
	keys     map[string]*Team
	teams    map[string]*Team
	services map[string]*Service
}

// Index prepares the lookups. It must be called once before the configuration is shared.
func (c *Configuration) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		c.hosts[route.Host] = append(c.hosts[route.Host], route)
	}
	c.keys, c.teams = make(map[string]*Team), make(map[string]*Team, len(c.Teams))
	for i := range c.Teams {
		team := &c.Teams[i]
		c.teams[team.Name] = team
		for _, key := range team.Keys {
			c.keys[key] = team
		}
	}
	c.services = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
}

// Route returns the route of a host with the longest prefix that begins the path.
func (c *Configuration) Route(host, path string) (*Route, bool) {
	var found *Route
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && (found == nil || len(route.Prefix) > len(found.Prefix)) {
			found = route
		}
	}
	return found, found != nil
}

// HasTeams reports whether callers need keys.
func (c *Configuration) HasTeams() bool { return len(c.Teams) > 0 }

// TeamOfKey returns the team that holds a key.
func (c *Configuration) TeamOfKey(key string) (*Team, bool) {
	team, ok := c.keys[key]
	return team, ok
}

// Team returns a team by its name.
func (c *Configuration) Team(name string) (*Team, bool) {
	team, ok := c.teams[name]
	return team, ok
}

// Service returns a service by its name.
func (c *Configuration) Service(name string) (*Service, bool) {
	service, ok := c.services[name]
	return service, ok
}
