// Package fleet holds the verbs for the routers.
package fleet

// Verbs is the table of the verbs for the fleet.
type Verbs struct {
	Status Status `cmd:"" help:"Shows the routers with their leases, offsets and configuration."`
}
