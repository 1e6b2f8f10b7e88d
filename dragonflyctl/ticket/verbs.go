// Package ticket implements the commands that check, submit and list change tickets.
package ticket

// Commands holds the subcommands of "ticket".
type Commands struct {
	Check  Check  `cmd:"" help:"Checks ticket files without contacting the platform and prints each error with its line and field."`
	Submit Submit `cmd:"" help:"Submits a ticket and waits until the log shows that it was accepted or refused."`
	List   List   `cmd:"" help:"Lists the tickets in the log with their outcomes."`
}
