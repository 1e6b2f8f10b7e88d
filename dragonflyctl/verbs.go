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
		{"ticket", "Change tickets.", &ticket.Commands{}},
		{"config", "The configuration in force.", &config.Commands{}},
		{"budget", "Prepaid budgets.", &budget.Commands{}},
		{"fleet", "The routers.", &fleet.Commands{}},
		{"certificate", "Certificates of the routers.", &certificate.Commands{}},
		{"explain", "Explains the outcome of a request from the routers' logs.", &request.Explain{}},
		{"version", "Prints the version.", &versionCommand{}},
	}
}
