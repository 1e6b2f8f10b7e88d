package gateway

import (
	"sync"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

const (
	// retryShare is the number of repeats that a request pays for: less than operators allow, since other routers may
	// count the same requests in another window.
	retryShare = 0.15
	// retryBurst is the most repeats that one router saves up.
	retryBurst = 4
)

// retryBudgets bound the repeats of each service.
type retryBudgets struct {
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

func (b *retryBudgets) budgetLocked(service string) *endpoint.RetryBudget {
	if b.services == nil {
		b.services = make(map[string]*endpoint.RetryBudget)
	}
	budget, ok := b.services[service]
	if !ok {
		budget = &endpoint.RetryBudget{Share: retryShare, Burst: retryBurst}
		b.services[service] = budget
	}
	return budget
}
