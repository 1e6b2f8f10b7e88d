package endpoint

// Names of the counters that are not formed from a reason.
const (
	retryBudgetSpent = "retry.budget_spent"
)
