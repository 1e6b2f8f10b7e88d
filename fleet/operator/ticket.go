// Package operator decodes and validates the change tickets that operators submit, and applies them in stream
// order to build the configuration of the fleet.
package operator

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Ticket is a numbered change to the configuration. It contains the complete new state of each object that it
// names; all other objects stay unchanged.
type Ticket struct {
	Number       uint64        `yaml:"Number"`
	Teams        []Team        `yaml:"Teams,omitempty"`
	Budgets      []Budget      `yaml:"Budgets,omitempty"`
	Routes       []Route       `yaml:"Routes,omitempty"`
	InstanceSets []InstanceSet `yaml:"InstanceSets,omitempty"`
	// EvacuatedZones are the availability zones whose endpoints get no new calls, in place of those evacuated before. Nil leaves these as they
	// are, an empty list ends all evacuations.
	EvacuatedZones []string `yaml:"EvacuatedZones,omitempty"`
}

// Team is a customer of the fleet, whose callers authenticate with the team's bearer keys.
type Team struct {
	Name string `yaml:"Name"`
	// KeyDigests are the SHA-256 digests of the team's bearer keys, in lower-case hexadecimal.
	KeyDigests []string   `yaml:"KeyDigests"`
	Limits     TeamLimits `yaml:"Limits,omitempty"`
	// Regions are the regions in which the team's calls may be served; empty allows all.
	Regions []string `yaml:"Regions,omitempty" json:",omitempty"`
	// Removed is true for a team whose bearer keys are no longer accepted.
	Removed bool `yaml:"Removed,omitempty"`
}

// TeamLimits contains the limits that each router enforces for a team on its own; zero means no limit.
type TeamLimits struct {
	RequestsPerSecond int `yaml:"RequestsPerSecond,omitempty"`
	TokensPerSecond   int `yaml:"TokensPerSecond,omitempty"`
	Concurrency       int `yaml:"Concurrency,omitempty"`
	// Weight is the team's relative weight in a wait queue shared with other teams; zero counts as 1.
	Weight int `yaml:"Weight,omitempty"`
}

// Budget is a balance of prepaid tokens that a team spends from.
type Budget struct {
	Name string `yaml:"Name"`
	Team string `yaml:"Team"`
	// Prepaid is the total number of tokens that were prepaid since the budget was created; a top-up increases it.
	Prepaid ledger.Tokens `yaml:"Prepaid"`
	Frozen  bool          `yaml:"Frozen,omitempty"`
	Reserve Reserve       `yaml:"Reserve,omitempty"`
}

// Reserve is the policy for spending from a budget while the platform's log is unreachable.
type Reserve struct {
	// Share is the amount in tokens that each router tries to hold in reserve for an outage of the log.
	Share ledger.Tokens `yaml:"Share,omitempty"`
	// ForfeitResidue reports whether the unused rest of a reserve share is charged to the budget, instead of
	// returned to it, when the router that holds the share is lost permanently.
	ForfeitResidue bool `yaml:"ForfeitResidue,omitempty"`
}

// Route maps a model or a path prefix to the service that answers its requests.
type Route struct {
	Name    string `yaml:"Name"`
	Service string `yaml:"Service"`
	// Model is the model name that callers send; it is empty for routes to plain services.
	Model string `yaml:"Model,omitempty"`
	// PathPrefix is the URL path prefix under which a plain service is called; it is empty for model routes.
	PathPrefix string `yaml:"PathPrefix,omitempty"`
	// NonIdempotent is true if requests of the route must run at most once.
	NonIdempotent bool `yaml:"NonIdempotent,omitempty"`
	// DatedKeys is true if the idempotency keys of non-idempotent requests must contain a timestamp, so that routers
	// can determine their age.
	DatedKeys bool        `yaml:"DatedKeys,omitempty"`
	Limits    RouteLimits `yaml:"Limits,omitempty"`
	// Fallbacks are the names of the routes to try, in this order, when no endpoint of the service is available.
	Fallbacks []string `yaml:"Fallbacks,omitempty"`
	// Regions are the regions in which calls of the route may be served; empty allows all. They also apply to calls that use a fallback.
	Regions []string `yaml:"Regions,omitempty" json:",omitempty"`
	Removed bool     `yaml:"Removed,omitempty"`
}

// RouteLimits contains the limits for requests of a route; WithDefaults replaces each zero by its default.
type RouteLimits struct {
	// BodyBytes is the maximum length of a request body in bytes.
	BodyBytes int64 `yaml:"BodyBytes,omitempty"`
	// DefaultMaxTokens is the completion limit in tokens of requests that set none; MaxTokens is the upper bound
	// for the limit that a request may set.
	DefaultMaxTokens int64 `yaml:"DefaultMaxTokens,omitempty"`
	MaxTokens        int64 `yaml:"MaxTokens,omitempty"`
	// CallCost is the price in tokens of one call of a plain service.
	CallCost ledger.Tokens `yaml:"CallCost,omitempty"`
	// RequestTimeout is the maximum duration of a request with all its attempts.
	RequestTimeout time.Duration `yaml:"RequestTimeout,omitempty"`
	// HeaderTimeout is the maximum wait for the response headers of an endpoint, except for model requests without
	// streaming: an engine sends those headers only after the last token, so their maximum wait is FirstTokenTimeout
	// plus TokenTimeout for each token of the request's completion limit, and no more than RequestTimeout.
	HeaderTimeout time.Duration `yaml:"HeaderTimeout,omitempty"`
	// FirstTokenTimeout is the maximum wait for the first token of a stream after its headers. TokenTimeout is the
	// maximum wait for each further part of a response.
	FirstTokenTimeout time.Duration `yaml:"FirstTokenTimeout,omitempty"`
	TokenTimeout      time.Duration `yaml:"TokenTimeout,omitempty"`
	// Attempts is the maximum number of attempts per request.
	Attempts int `yaml:"Attempts,omitempty"`
}

// InstanceSet declares a group of endpoints and the models that its engines load.
type InstanceSet struct {
	Name      string     `yaml:"Name"`
	Endpoints []Endpoint `yaml:"Endpoints"`
	// Wanted and Role are the desired state of those engines of the set that have no Wanted of their own.
	Wanted []Artifact `yaml:"Wanted,omitempty"`
	Role   string     `yaml:"Role,omitempty"`
	// Retired are the models that engines of the set may unload even if no other engine serves them.
	Retired []string `yaml:"Retired,omitempty"`
	// LoadLimit is the maximum number of engines in the whole fleet that may be loading when an engine of the set
	// starts to load, including that engine; zero counts as DefaultLoadLimit.
	LoadLimit uint64 `yaml:"LoadLimit,omitempty"`
}

// Artifact identifies weights that an engine loads from the weight store: a version of a model or of an adapter for it.
type Artifact struct {
	Model string `yaml:"Model"`
	// Adapter is the name of the adapter; it is empty for the model itself.
	Adapter string `yaml:"Adapter,omitempty"`
	Version string `yaml:"Version,omitempty"`
}

// EndpointKind determines how routers communicate with an endpoint.
type EndpointKind string

// EngineEndpoint is an engine that serves models; PlainEndpoint is any other HTTP service.
const (
	EngineEndpoint EndpointKind = "Engine"
	PlainEndpoint  EndpointKind = "Plain"
)

// Endpoint is one back end to which routers send requests of a service.
type Endpoint struct {
	Name    string       `yaml:"Name"`
	Service string       `yaml:"Service"`
	Kind    EndpointKind `yaml:"Kind"`
	// Address is the IP address and port of the endpoint.
	Address          string `yaml:"Address"`
	AvailabilityZone string `yaml:"AvailabilityZone"`
	Region           string `yaml:"Region"`
	// ChecksFencing reports whether the endpoint rejects orders with an outdated fencing number.
	ChecksFencing bool `yaml:"ChecksFencing,omitempty"`
	// Concurrency is the maximum number of requests in flight at the endpoint; zero counts as
	// DefaultEndpointConcurrency.
	Concurrency int `yaml:"Concurrency,omitempty"`
	// Wanted and Role are the desired state of the engine and replace those of its instance set. An engine
	// receives no orders if neither the endpoint nor its set declares Wanted.
	Wanted []Artifact `yaml:"Wanted,omitempty"`
	Role   string     `yaml:"Role,omitempty"`
}
