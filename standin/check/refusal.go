package check

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

// FalseRefusals counts by code the requests that were refused although their budget could have paid for them:
// what the budget has left in the end covers their highest possible cost. It covered them before too, unless the
// budget was topped up during the load. Of requests that name no budget, only those with another cause are counted.
func (e *Evidence) FalseRefusals() map[string]int {
	left := make(map[string]ledger.Tokens)
	for _, budget := range e.Ledgers.Budgets() {
		left[budget.Budget] = budget.Prepaid - budget.Spent
	}
	counted := make(map[string]int)
	for i := range e.Requests {
		if r := &e.Requests[i]; r.Outcome == load.Refused && couldPay(left, r) {
			counted[r.Code]++
		}
	}
	return counted
}

func couldPay(left map[string]ledger.Tokens, r *load.Request) bool {
	remaining, named := left[r.Budget]
	if !named {
		return r.Code != string(verdict.BudgetExhausted)
	}
	return ledger.Tokens(r.CostBound) <= remaining
}

func sum(counted map[string]int) int {
	total := 0
	for _, count := range counted {
		total += count
	}
	return total
}
