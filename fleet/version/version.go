// Package version reports the version of the running program.
package version

import "runtime/debug"

// release is the program's version if the build sets it with
// -ldflags "-X github.com/dragonflyworks/dragonflyworks/fleet/version.release=1.2.0"; else it is empty.
var release string //nolint:gochecknoglobals // -X sets package variables only

// Current returns the version of the running program: the one set at link time, else the main module's version that the
// Go toolchain recorded, else "devel".
func Current() string {
	if release != "" {
		return release
	}
	info, found := debug.ReadBuildInfo()
	if !found || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
