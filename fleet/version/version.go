// Package version tells which version of a program runs.
package version

import "runtime/debug"

// release is the version that a build sets by
// -ldflags "-X github.com/dragonflyworks/dragonflyworks/fleet/version.release=1.2.0".
var release string //nolint:gochecknoglobals // the linker can set nothing but a variable

// Of returns the version of the running program that its build set or recorded.
func Of() string {
	if release != "" {
		return release
	}
	info, found := debug.ReadBuildInfo()
	if !found || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
