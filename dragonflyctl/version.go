package main

import (
	"runtime/debug"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
)

// versionVerb is the verb "version".
type versionVerb struct{}

// Run prints the version that the build recorded.
func (*versionVerb) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error {
		v := version()
		return p.Print(struct{ Version string }{v}, output.Table{Columns: []string{"dragonflyctl " + v}})
	})
}

// release is the version that a build sets by -ldflags "-X main.release=1.2.0".
var release string //nolint:gochecknoglobals // the linker can set nothing but a variable

// version returns the version that the build set or recorded.
func version() string {
	if release != "" {
		return release
	}
	info, found := debug.ReadBuildInfo()
	if !found || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
