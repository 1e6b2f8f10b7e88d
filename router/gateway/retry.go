package gateway

import (
	"sync"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

const (
	// retryShare is the number of repeats that a request pays for: less than operators allow, since other routers may
	// count the same requests in another window.
	retryShare = 0.15
	// retryBurst is the most repeats that one router saves up, fleetBurst what all save up together, since each router
	// counts for itself; each saves up one at least.
	retryBurst = 4
	fleetBurst = 120
)

// retryBudgets bound the repeats of each service.
type retryBudgets struct {
	// fleet counts the routers; nil stands for one.
	fleet func() int

	mu       sync.Mutex
	services map[string]*endpoint.RetryBudget
}

// first counts a request.
func (b *retryBudgets) first(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetLocked(service).Deposit()
}

// repeat takes one repeat and reports whether it was there.
func (b *retryBudgets) repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetLocked(service).Withdraw()
}

// saved returns how many repeats are left.
func (b *retryBudgets) saved(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetLocked(service).Saved()
}

// burst returns this router's part of what the fleet saves up.
func (b *retryBudgets) burst() float64 {
	if b.fleet == nil {
		return retryBurst
	}
	return max(1, min(retryBurst, float64(fleetBurst)/float64(max(1, b.fleet()))))
}

func (b *retryBudgets) budgetLocked(service string) *endpoint.RetryBudget {
	if b.services == nil {
		b.services = make(map[string]*endpoint.RetryBudget)
	}
	budget, ok := b.services[service]
	if !ok {
		budget = &endpoint.RetryBudget{Share: retryShare}
		b.services[service] = budget
	}
	budget.Burst = b.burst()
	return budget
}
