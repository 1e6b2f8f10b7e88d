package main

import (
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/budget"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/certificate"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/config"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/fleet"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/request"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/ticket"
)

// noun is a group of verbs, or a verb that stands alone.
type noun struct {
	name  string
	help  string
	verbs any
}

// nouns is the table of all verbs; help and completion follow from it.
func nouns() []noun {
	return []noun{
		{"ticket", "Change tickets.", &ticket.Verbs{}},
		{"config", "The configuration in force.", &config.Verbs{}},
		{"budget", "Prepaid budgets.", &budget.Verbs{}},
		{"fleet", "The routers.", &fleet.Verbs{}},
		{"certificate", "Certificates of the routers.", &certificate.Verbs{}},
		{"explain", "Explains what became of a request, from the routers' logs.", &request.Explain{}},
		{"version", "Prints the version.", &versionVerb{}},
	}
}
