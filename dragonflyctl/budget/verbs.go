// Package budget holds the verbs for budgets.
package budget

// Verbs is the table of the verbs for budgets.
type Verbs struct {
	List List `cmd:"" help:"Lists the budgets with what the ledger shows of them."`
	Show Show `cmd:"" help:"Shows one budget with the routers that hold shares of it."`
}
