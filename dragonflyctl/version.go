package main

import (
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/version"
)

// versionVerb is the verb "version".
type versionVerb struct{}

// Run prints the version that the build recorded.
func (*versionVerb) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error {
		v := version.Of()
		return p.Print(struct{ Version string }{v}, output.Table{Columns: []string{"dragonflyctl " + v}})
	})
}
