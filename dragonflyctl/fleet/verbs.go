// Package fleet implements the commands that show the routers of the fleet.
package fleet

// Verbs holds the subcommands of "fleet".
type Verbs struct {
	Status Status `cmd:"" help:"Shows the routers with their leases, offsets and configuration."`
}
