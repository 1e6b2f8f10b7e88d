// Package load is a load generator. It sends a bounded number of requests to routers as callers behind a load balancer do,
// and verifies that each request gets the whole answer to itself and not to another request.
package load

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Kind is a kind of request that a load sends.
type Kind string

// The kinds of requests.
const (
	// Stream is a model call whose answer arrives as a stream of server-sent events.
	Stream Kind = "Stream"
	// Whole is a model call whose answer arrives as one JSON body.
	Whole Kind = "Whole"
	// Plain is an idempotent call to a plain service.
	Plain Kind = "Plain"
	// NonIdempotent is a call to a plain service that must run at most once.
	NonIdempotent Kind = "NonIdempotent"
)

// kinds lists all kinds in a fixed order, so that a random pick by weight is repeatable.
func kinds() []Kind { return []Kind{Stream, Whole, Plain, NonIdempotent} }

// Team is a team on whose behalf requests are sent.
type Team struct {
	Name      string
	BearerKey string
	// Budgets are the values of the budget header. Each request picks one at random, so that a budget listed twice is
	// used twice as often. Requests of a team without budgets carry no budget header.
	Budgets []string
}

// Settings define the size of a load and its requests.
type Settings struct {
	// Targets are base URLs. Each attempt picks one at random.
	Targets []string
	// EngineTargets and ServiceTargets, if set, replace Targets for model calls and plain calls.
	EngineTargets  []string
	ServiceTargets []string
	Teams          []Team
	// Requests and Duration limit the load; it ends when the first limit is reached.
	Requests int
	Duration time.Duration
	// Rate is in requests per second. With zero, requests are sent as fast as the concurrency allows.
	Rate        float64
	Concurrency int
	Seed        uint64
	// KeyPrefix is the prefix of every Idempotency-Key. It must differ between loads, so that they share no key.
	KeyPrefix string
	Mix       map[Kind]int
	Model     string
	// PlainPath and NonIdempotentPath are the URL paths of calls to plain services.
	PlainPath         string
	NonIdempotentPath string
	MaxTokens         int
	PromptWords       int
	// CallCost is the price of a plain call in tokens.
	CallCost int
	// Attempts is the maximum number of attempts per request, Timeout the time limit of each attempt.
	Attempts int
	Timeout  time.Duration
	// MaxRetryWait is the maximum delay before a retry, also if a Retry-After header asks for more.
	MaxRetryWait time.Duration
}

// Validate returns an error for the first invalid setting.
func (s Settings) Validate() error {
	if len(s.Targets) == 0 {
		return errors.New("no target is set")
	}
	for _, target := range s.Targets {
		if err := checkTarget(target); err != nil {
			return err
		}
	}
	switch {
	case len(s.Teams) == 0:
		return errors.New("no team is set")
	case s.Requests < 1:
		return errors.New("requests must be positive")
	case s.Concurrency < 1:
		return errors.New("concurrency must be positive")
	case s.Attempts < 1:
		return errors.New("attempts must be positive")
	case s.Duration <= 0 || s.Timeout <= 0:
		return errors.New("duration and timeout must be positive")
	case s.MaxTokens < 1:
		return errors.New("max tokens must be positive")
	}
	return s.checkMix()
}

func (s Settings) checkMix() error {
	total := 0
	for _, kind := range kinds() {
		total += max(0, s.Mix[kind])
	}
	if total == 0 {
		return errors.New("the mix names no kind of request with a positive weight")
	}
	return nil
}

func checkTarget(target string) error {
	parsed, err := url.Parse(target)
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" {
		return fmt.Errorf("target %q: scheme is neither http nor https", target)
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		return fmt.Errorf("target %q: host is not an IP address", target)
	}
	return nil
}
