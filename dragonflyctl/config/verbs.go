// Package config holds the verbs for the configuration in force.
package config

// Verbs is the table of the verbs for the configuration.
type Verbs struct {
	Show Show `cmd:"" help:"Shows the configuration that follows from the log."`
}
