// Package budget implements the commands that show prepaid budgets.
package budget

// Commands holds the subcommands of "budget".
type Commands struct {
	List List `cmd:"" help:"Lists the budgets with their state in the ledger."`
	Show Show `cmd:"" help:"Shows one budget and the routers that hold shares of it."`
}
