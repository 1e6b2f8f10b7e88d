package main

import (
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/version"
)

// versionCommand implements the command "version".
type versionCommand struct{}

// Run prints the version that was recorded at build time.
func (*versionCommand) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error {
		v := version.Current().Version
		return p.Print(struct{ Version string }{v}, output.Table{Columns: []string{"dragonflyctl " + v}})
	})
}
