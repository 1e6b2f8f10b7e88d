// Package config implements the commands that show the configuration in force.
package config

// Verbs holds the subcommands of "config".
type Verbs struct {
	Show Show `cmd:"" help:"Shows the configuration in force according to the log."`
}
