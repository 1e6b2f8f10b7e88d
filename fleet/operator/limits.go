package operator

import (
	"cmp"
	"time"
)

// Defaults of the limits that a ticket leaves at zero. DefaultMaxTokens replaces a zero RouteLimits.DefaultMaxTokens
// and DefaultMaxTokensBound a zero RouteLimits.MaxTokens, both in tokens of one completion. DefaultCallCost is in
// tokens per call of a plain service, DefaultAttempts in attempts per request, DefaultEndpointConcurrency in requests
// in flight at an endpoint, and DefaultLoadLimit in engines of the fleet that may be loading at the same time.
const (
	DefaultBodyBytes           = 1 << 20
	DefaultMaxTokens           = 512
	DefaultMaxTokensBound      = 8192
	DefaultCallCost            = 1
	DefaultRequestTimeout      = 2 * time.Minute
	DefaultHeaderTimeout       = 10 * time.Second
	DefaultFirstTokenTimeout   = 15 * time.Second
	DefaultTokenTimeout        = 10 * time.Second
	DefaultAttempts            = 3
	DefaultEndpointConcurrency = 64
	DefaultLoadLimit           = 2
)

// WithDefaults returns a copy of the limits in which the default replaces each zero.
func (l RouteLimits) WithDefaults() RouteLimits {
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.DefaultMaxTokens = cmp.Or(l.DefaultMaxTokens, DefaultMaxTokens)
	l.MaxTokens = cmp.Or(l.MaxTokens, DefaultMaxTokensBound)
	l.CallCost = cmp.Or(l.CallCost, DefaultCallCost)
	l.RequestTimeout = cmp.Or(l.RequestTimeout, DefaultRequestTimeout)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, DefaultHeaderTimeout)
	l.FirstTokenTimeout = cmp.Or(l.FirstTokenTimeout, DefaultFirstTokenTimeout)
	l.TokenTimeout = cmp.Or(l.TokenTimeout, DefaultTokenTimeout)
	l.Attempts = cmp.Or(l.Attempts, DefaultAttempts)
	return l
}
