package gateway

import (
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// retryBudgets bound the repeats of each service.
type retryBudgets struct {
	// fleet counts the routers, zero if they are not known; nil stands for one.
	fleet func() int

	mu       sync.Mutex
	bounds   endpoint.RepeatBounds
	services map[string]*endpoint.RepeatBudget
}

// bound sets the bounds of the whole fleet.
func (b *retryBudgets) bound(bounds endpoint.RepeatBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// first counts a request.
func (b *retryBudgets) first(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetLocked(service).First(time.Now(), b.bounds, b.routers())
}

// repeat takes one repeat and reports whether it was there.
func (b *retryBudgets) repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetLocked(service).Take(time.Now(), b.bounds, b.routers())
}

// saved returns how many repeats are left.
func (b *retryBudgets) saved(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetLocked(service).Saved(time.Now(), b.bounds, b.routers())
}

func (b *retryBudgets) routers() int {
	if b.fleet == nil {
		return 1
	}
	return b.fleet()
}

func (b *retryBudgets) budgetLocked(service string) *endpoint.RepeatBudget {
	if b.services == nil {
		b.services = make(map[string]*endpoint.RepeatBudget)
	}
	budget, ok := b.services[service]
	if !ok {
		budget = &endpoint.RepeatBudget{}
		b.services[service] = budget
	}
	return budget
}
