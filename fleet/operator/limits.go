package operator

import "time"

// Defaults of the limits that a ticket leaves at zero.
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

// WithDefaults returns the limits with every zero replaced by its default.
func (l RouteLimits) WithDefaults() RouteLimits {
	l.BodyBytes = orDefault(l.BodyBytes, DefaultBodyBytes)
	l.DefaultMaxTokens = orDefault(l.DefaultMaxTokens, DefaultMaxTokens)
	l.MaxTokens = orDefault(l.MaxTokens, DefaultMaxTokensBound)
	l.CallCost = orDefault(l.CallCost, DefaultCallCost)
	l.RequestTimeout = orDefault(l.RequestTimeout, DefaultRequestTimeout)
	l.HeaderTimeout = orDefault(l.HeaderTimeout, DefaultHeaderTimeout)
	l.FirstTokenTimeout = orDefault(l.FirstTokenTimeout, DefaultFirstTokenTimeout)
	l.TokenTimeout = orDefault(l.TokenTimeout, DefaultTokenTimeout)
	l.Attempts = orDefault(l.Attempts, DefaultAttempts)
	return l
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
