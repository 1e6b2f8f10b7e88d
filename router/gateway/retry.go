package gateway

import (
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// retryBudgets limits the retries of each service.
type retryBudgets struct {
	// countRouters returns the number of routers, zero if unknown. A nil function stands for a single router.
	countRouters func() int

	mu      sync.Mutex
	limits  endpoint.RepeatBounds
	budgets map[string]*endpoint.RepeatBudget
}

// setLimits sets the limits on the retries of the whole fleet.
func (b *retryBudgets) setLimits(limits endpoint.RepeatBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// recordRequest counts a request, which adds to the retry budget of its service.
func (b *retryBudgets) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetLocked(service).RecordRequest(time.Now(), b.limits, b.routerCount())
}

// takeRetry takes one retry from the service's budget and reports whether one was available.
func (b *retryBudgets) takeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetLocked(service).Withdraw(time.Now(), b.limits, b.routerCount())
}

// availableRetries returns how many retries are left in the service's budget.
func (b *retryBudgets) availableRetries(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetLocked(service).Balance(time.Now(), b.limits, b.routerCount())
}

func (b *retryBudgets) routerCount() int {
	if b.countRouters == nil {
		return 1
	}
	return b.countRouters()
}

func (b *retryBudgets) budgetLocked(service string) *endpoint.RepeatBudget {
	if b.budgets == nil {
		b.budgets = make(map[string]*endpoint.RepeatBudget)
	}
	budget, ok := b.budgets[service]
	if !ok {
		budget = &endpoint.RepeatBudget{}
		b.budgets[service] = budget
	}
	return budget
}
