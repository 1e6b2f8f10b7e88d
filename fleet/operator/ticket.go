// Package operator holds what operators declare: numbered change tickets and the configuration
// that follows from them.
package operator

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Ticket is a numbered change. It carries the whole new state of every object that it touches.
type Ticket struct {
	Number       uint64        `yaml:"Number"`
	Teams        []Team        `yaml:"Teams,omitempty"`
	Budgets      []Budget      `yaml:"Budgets,omitempty"`
	Routes       []Route       `yaml:"Routes,omitempty"`
	InstanceSets []InstanceSet `yaml:"InstanceSets,omitempty"`
}

// Team is a customer of the fleet.
type Team struct {
	Name string `yaml:"Name"`
	// KeyDigests are the SHA-256 digests, in hexadecimal, of the team's bearer keys.
	KeyDigests []string   `yaml:"KeyDigests"`
	Limits     TeamLimits `yaml:"Limits,omitempty"`
	// Removed teams have no access.
	Removed bool `yaml:"Removed,omitempty"`
}

// TeamLimits bounds a team's use of one router; a zero means no limit.
type TeamLimits struct {
	RequestsPerSecond int `yaml:"RequestsPerSecond,omitempty"`
	TokensPerSecond   int `yaml:"TokensPerSecond,omitempty"`
	Concurrency       int `yaml:"Concurrency,omitempty"`
	// Weight is the team's part of a contended queue; zero counts as 1.
	Weight int `yaml:"Weight,omitempty"`
}

// Budget is a team's prepaid budget.
type Budget struct {
	Name string `yaml:"Name"`
	Team string `yaml:"Team"`
	// Prepaid is everything that was ever prepaid; a top-up raises it.
	Prepaid ledger.Tokens `yaml:"Prepaid"`
	Frozen  bool          `yaml:"Frozen,omitempty"`
	Reserve Reserve       `yaml:"Reserve,omitempty"`
}

// Reserve is the policy for spending while the log can't be reached.
type Reserve struct {
	// Share is what each router tries to hold for such times.
	Share ledger.Tokens `yaml:"Share,omitempty"`
	// ForfeitResidue bills the residue of a share whose holder was lost for good.
	ForfeitResidue bool `yaml:"ForfeitResidue,omitempty"`
}

// Route leads a path or a model to a service.
type Route struct {
	Name    string `yaml:"Name"`
	Service string `yaml:"Service"`
	// Model is the model that callers name; set for model routes only.
	Model string `yaml:"Model,omitempty"`
	// PathPrefix is the path under which a plain service is called; set for plain routes only.
	PathPrefix string `yaml:"PathPrefix,omitempty"`
	// NonIdempotent marks requests that run at most once.
	NonIdempotent bool `yaml:"NonIdempotent,omitempty"`
	// DatedKeys demands that the keys of non-idempotent requests tell their age.
	DatedKeys bool        `yaml:"DatedKeys,omitempty"`
	Limits    RouteLimits `yaml:"Limits,omitempty"`
	// Fallbacks are names of routes that are tried in turn when no endpoint of the service is available.
	Fallbacks []string `yaml:"Fallbacks,omitempty"`
	Removed   bool     `yaml:"Removed,omitempty"`
}

// RouteLimits bounds the requests of a route; a zero takes the default of the accessor below.
type RouteLimits struct {
	// BodyBytes is the longest body accepted.
	BodyBytes int64 `yaml:"BodyBytes,omitempty"`
	// DefaultMaxTokens applies to requests that name no limit; MaxTokens bounds those that do.
	DefaultMaxTokens int64 `yaml:"DefaultMaxTokens,omitempty"`
	MaxTokens        int64 `yaml:"MaxTokens,omitempty"`
	// CallCost is the price of a call of a plain service.
	CallCost          ledger.Tokens `yaml:"CallCost,omitempty"`
	RequestTimeout    time.Duration `yaml:"RequestTimeout,omitempty"`
	HeaderTimeout     time.Duration `yaml:"HeaderTimeout,omitempty"`
	FirstTokenTimeout time.Duration `yaml:"FirstTokenTimeout,omitempty"`
	TokenTimeout      time.Duration `yaml:"TokenTimeout,omitempty"`
	Attempts          int           `yaml:"Attempts,omitempty"`
}

// InstanceSet declares the endpoints that serve services.
type InstanceSet struct {
	Name      string     `yaml:"Name"`
	Endpoints []Endpoint `yaml:"Endpoints"`
	// Wanted and Role are the state of its engines that name none of their own.
	Wanted []Artifact `yaml:"Wanted,omitempty"`
	Role   string     `yaml:"Role,omitempty"`
	// Retired are models that the set's engines may drop even where no other engine serves them.
	Retired []string `yaml:"Retired,omitempty"`
	// LoadLimit is the number of engines of the fleet that may load while one of the set starts to; zero counts
	// as DefaultLoadLimit.
	LoadLimit uint64 `yaml:"LoadLimit,omitempty"`
}

// Artifact is what an engine loads from the weight store: a version of a model or of an adapter to it.
type Artifact struct {
	Model string `yaml:"Model"`
	// Adapter is empty for the model itself.
	Adapter string `yaml:"Adapter,omitempty"`
	Version string `yaml:"Version,omitempty"`
}

// EndpointKind says how an endpoint is spoken to.
type EndpointKind string

// The kinds of endpoints.
const (
	EngineEndpoint EndpointKind = "Engine"
	PlainEndpoint  EndpointKind = "Plain"
)

// Endpoint is one back end.
type Endpoint struct {
	Name    string       `yaml:"Name"`
	Service string       `yaml:"Service"`
	Kind    EndpointKind `yaml:"Kind"`
	// Address is an IP address with a port.
	Address          string `yaml:"Address"`
	AvailabilityZone string `yaml:"AvailabilityZone"`
	Region           string `yaml:"Region"`
	// ChecksFencing says that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool `yaml:"ChecksFencing,omitempty"`
	// Concurrency bounds the requests in progress at the endpoint; zero counts as DefaultEndpointConcurrency.
	Concurrency int `yaml:"Concurrency,omitempty"`
	// Wanted and Role are the state that the engine is ordered to have, in place of the set's. Without any, the
	// engine gets no orders.
	Wanted []Artifact `yaml:"Wanted,omitempty"`
	Role   string     `yaml:"Role,omitempty"`
}
