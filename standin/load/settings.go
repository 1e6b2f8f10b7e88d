// Package load sends a bounded number of requests to routers as callers behind a balancer do, and
// checks that each of them gets its own whole answer.
package load

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests.
const (
	// Stream is a model call whose answer is streamed.
	Stream Kind = "Stream"
	// Whole is a model call with one answer.
	Whole Kind = "Whole"
	// Plain is an idempotent call of a plain service.
	Plain Kind = "Plain"
	// NonIdempotent is a call of a plain service that may run at most once.
	NonIdempotent Kind = "NonIdempotent"
)

// kinds lists all kinds in the order in which a mix is drawn.
func kinds() []Kind { return []Kind{Stream, Whole, Plain, NonIdempotent} }

// Team is a caller's team with its bearer key.
type Team struct {
	Name      string
	BearerKey string
	// Budgets are named in a header, each as often as it stands here; without any there is no header.
	Budgets []string
}

// Settings bound the load and say what it consists of.
type Settings struct {
	// Targets are base URLs; each attempt picks one at random.
	Targets []string
	// EngineTargets and ServiceTargets take the model calls and the plain calls in place of Targets.
	EngineTargets  []string
	ServiceTargets []string
	Teams          []Team
	// Requests and Duration bound the load; whichever is reached first ends it.
	Requests int
	Duration time.Duration
	// Rate is in requests per second; zero sends as fast as the concurrency allows.
	Rate        float64
	Concurrency int
	Seed        uint64
	// KeyPrefix begins every Idempotency-Key, so that two loads don't share one.
	KeyPrefix string
	Mix       map[Kind]int
	Model     string
	// PlainPath and NonIdempotentPath are where plain services are called.
	PlainPath         string
	NonIdempotentPath string
	MaxTokens         int
	PromptWords       int
	// CallCost is the price of a plain call.
	CallCost int
	// Attempts bounds the attempts of one request, Timeout each of them.
	Attempts int
	Timeout  time.Duration
	// MaxRetryWait bounds the wait that a Retry-After header asks for.
	MaxRetryWait time.Duration
}

// Check reports the first setting that makes no sense.
func (s Settings) Check() error {
	if len(s.Targets) == 0 {
		return errors.New("no target")
	}
	for _, target := range s.Targets {
		if err := checkTarget(target); err != nil {
			return err
		}
	}
	switch {
	case len(s.Teams) == 0:
		return errors.New("no team")
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
