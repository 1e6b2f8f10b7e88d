package main

import (
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/budget"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/certificate"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/config"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/fleet"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/request"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/ticket"
)

// commandGroup is a top-level command: either a group of subcommands or a command without subcommands.
type commandGroup struct {
	name     string
	help     string
	commands any
}

// commandGroups returns all commands in the order of the help text. The help text and the shell completion are generated from them.
func commandGroups() []commandGroup {
	return []commandGroup{
		{"ticket", "Change tickets.", &ticket.Verbs{}},
		{"config", "The configuration in force.", &config.Verbs{}},
		{"budget", "Prepaid budgets.", &budget.Verbs{}},
		{"fleet", "The routers.", &fleet.Verbs{}},
		{"certificate", "Certificates of the routers.", &certificate.Verbs{}},
		{"explain", "Explains the outcome of a request from the routers' logs.", &request.Explain{}},
		{"version", "Prints the version.", &versionCommand{}},
	}
}
