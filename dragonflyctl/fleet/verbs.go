// Package fleet implements the commands that show the routers of the fleet.
package fleet

// Commands holds the subcommands of "fleet".
type Commands struct {
	Status Status `cmd:"" help:"Shows the routers with their leases, offsets and configuration."`
}
