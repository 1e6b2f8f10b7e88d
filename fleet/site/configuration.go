// Package site models a site as its routers see it. The configuration that the operators declare has routes by host and
// path prefix, services, and teams with their keys and prepaid tokens. The directory has the endpoints that registered
// themselves.
package site

import (
	"strings"
	"time"
)

// RouteKind determines whether the router may send a request of a route again if the request may already have run.
type RouteKind uint8

// The kinds of routes. NonIdempotent is the zero value, so that requests of a route without a declared kind are not repeated.
const (
	// NonIdempotent requests must run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once, so that the router may retry them.
	Idempotent
	// Streaming requests get a response of several events. They must run at most once unless the route is Resumable.
	Streaming
)

// String returns the kind's name as it appears in logs.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "Idempotent"
	case Streaming:
		return "Streaming"
	default:
		return "NonIdempotent"
	}
}

// WeightedService is one of the services among which a route splits its requests, with its relative weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps the requests for a host and path prefix to services and says how they are served.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix of the route's requests. It begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable reports whether a streaming request can be sent again and continue after the last event received.
	Resumable bool
	// Public reports whether callers without a key may use the route.
	Public bool
	// Affinity reports whether a prompt should be placed on an engine that has the prompt's prefix in its cache.
	Affinity bool
	// Timeout is the maximum time that a request may wait for its response, counted from its receipt. Zero sets no bound.
	Timeout time.Duration
	// Target is the latency objective for the response, or for the first event of a stream. TargetGap is the objective
	// for the pause between two events.
	Target    time.Duration
	TargetGap time.Duration
	// Priority is the priority class of the requests. 0 is the highest.
	Priority int
	// Attempts is the maximum number of endpoints to which one request may be sent. It is at least 1.
	Attempts int
	Services []WeightedService
	// Regions are the regions in which requests may be served, cached and stored; empty allows all.
	Regions []string
}

// IsRetryable reports whether the router may send a request of the route again that may already have run.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService returns the service for a request, in proportion to the weights. The point is a uniform random number in
// [0, 1) that the caller draws. Without a positive weight PickService returns the first service, and without services
// the empty string.
func (r *Route) PickService(point float64) string {
	var total float64
	for _, s := range r.Services {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Services {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Service
}

// Engine describes the inference engines that the endpoints of a service run.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// Memory is the capacity of an engine's memory in tokens.
	Memory int64
	// EventTokens is the maximum number of tokens in one event of a stream.
	EventTokens int64
}

// Service is a group of interchangeable endpoints and the properties that they share.
type Service struct {
	Name       string
	HealthPath string
	// Connections is the maximum number of connections that one endpoint accepts, over all clients.
	Connections int
	// Engine is nil if the endpoints of the service run no inference engine.
	Engine *Engine
	// ColdTime is how long an endpoint is cold after its start. ColdRate is the number of requests per second that a cold
	// endpoint can take from all routers together; zero sets no bound.
	ColdTime time.Duration
	ColdRate float64
}

// Team is a customer of the site. Its callers authenticate with one of its keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is the total number of tokens that the team may use. Without HasPrepaid the team's use is not limited.
	Prepaid    int64
	HasPrepaid bool
	// Regions are the regions in which the team's requests may be served, cached and stored; empty allows all.
	Regions []string
}

// Limits bounds the size of a caller's request, and the time that a connection may take to send headers or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of everything that the operators declare. It must not change after Index was called, because
// goroutines share it without a lock.
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

// Index builds the lookup tables for hosts, keys, teams and services. It must be called once, before the configuration is
// shared between goroutines.
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

// Route returns the route for a request: of the host's routes, the one with the longest prefix of the path.
func (c *Configuration) Route(host, path string) (*Route, bool) {
	var found *Route
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && (found == nil || len(route.Prefix) > len(found.Prefix)) {
			found = route
		}
	}
	return found, found != nil
}

// HasTeams reports whether any team is configured. Without teams, callers need no key.
func (c *Configuration) HasTeams() bool { return len(c.Teams) > 0 }

// TeamOfKey returns the team that a key belongs to.
func (c *Configuration) TeamOfKey(key string) (*Team, bool) {
	team, ok := c.keys[key]
	return team, ok
}

// Team looks a team up by its name.
func (c *Configuration) Team(name string) (*Team, bool) {
	team, ok := c.teams[name]
	return team, ok
}

// Service looks a service up by its name.
func (c *Configuration) Service(name string) (*Service, bool) {
	service, ok := c.services[name]
	return service, ok
}
