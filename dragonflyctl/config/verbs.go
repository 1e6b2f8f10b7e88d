// Package config implements the commands that show the configuration in force.
package config

// Commands holds the subcommands of "config".
type Commands struct {
	Show Show `cmd:"" help:"Shows the configuration in force according to the log."`
}
