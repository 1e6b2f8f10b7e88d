package check

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

// FalseRefusals counts, by error code, the refused requests whose budget has enough tokens left at the end of the load for
// the upper bound of their cost. The budget then had enough at the time of the refusal too, unless it was topped up during
// the load. A refused request that names no known budget counts unless its code says that the budget is exhausted.
func (e *Evidence) FalseRefusals() map[string]int {
	remainingTokens := make(map[string]ledger.Tokens)
	for _, budget := range e.Ledgers.Budgets() {
		remainingTokens[budget.Budget] = budget.Prepaid - budget.Spent
	}
	counts := make(map[string]int)
	for i := range e.Requests {
		if r := &e.Requests[i]; r.Outcome == load.Refused && isAffordable(remainingTokens, r) {
			counts[r.Code]++
		}
	}
	return counts
}

func isAffordable(remainingTokens map[string]ledger.Tokens, r *load.Request) bool {
	tokens, known := remainingTokens[r.Budget]
	if !known {
		return r.Code != string(verdict.BudgetExhausted)
	}
	return ledger.Tokens(r.CostBound) <= tokens
}

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
