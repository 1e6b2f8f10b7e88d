// Package version reports which code the running program was built from.
package version

import (
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// release is the program's version if the build sets it with
// -ldflags "-X github.com/dragonflyworks/dragonflyworks/fleet/version.release=1.2.0"; else it is empty. source is likewise what scripts/revision.sh prints.
var release, source string //nolint:gochecknoglobals // -X sets package variables only

const (
	// unknownRevision stands for a revision that the build didn't record.
	unknownRevision = "unknown"
	// modifiedSuffix marks the revision of a tree with uncommitted changes.
	modifiedSuffix = "-modified"
	// sourcesPrefix marks a digest of sources that were built outside a checkout.
	sourcesPrefix = "sources-"
	// numberDigits is the number of hexadecimal digits of a revision that every reader of JSON holds exactly as a number.
	numberDigits = 13
)

// Names of the gauges.
const (
	revisionGauge = "build.revision"
	modifiedGauge = "build.modified"
)

// Description is the name of a gauge and what it shows.
type Description struct{ Name, Meaning string }

// Counters returns the gauges of this package.
func Counters() []Description {
	return []Description{
		{revisionGauge, "gauge: the first 13 hexadecimal digits of the revision that the program was built from, as a number; 0 if unknown"},
		{modifiedGauge, "gauge: 1 if it was built from a tree with uncommitted changes, 0 if not"},
	}
}

// Build says which code a program was built from.
type Build struct {
	// Version is the release, else the main module's version that the Go toolchain recorded, else "devel".
	Version string
	// Revision is the commit, "sources-" and a digest of the sources if they were built outside a checkout, or "unknown".
	Revision string
	// IsModified reports whether the tree had changes that aren't in the commit.
	IsModified bool
}

// Current returns the build of the running program: what was set at link time, else what the Go toolchain recorded.
func Current() Build {
	info, _ := debug.ReadBuildInfo()
	return buildOf(release, source, info)
}

// buildOf returns the build of a program with the given values of the linker. info may be nil.
func buildOf(release, source string, info *debug.BuildInfo) Build {
	b := Build{Version: release, Revision: strings.TrimSuffix(source, modifiedSuffix), IsModified: strings.HasSuffix(source, modifiedSuffix)}
	if info == nil {
		info = &debug.BuildInfo{}
	}
	if b.Version == "" {
		b.Version = info.Main.Version
	}
	if b.Version == "" {
		b.Version = "devel"
	}
	if b.Revision != "" {
		return b
	}
	b.Revision = unknownRevision
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.IsModified = s.Value == "true"
		}
	}
	return b
}

// String returns the version, the revision and whether the tree was changed, as --version prints them.
func (b Build) String() string {
	s := b.Version + " (revision " + b.Revision
	if b.IsModified {
		s += ", modified"
	}
	return s + ")"
}

// Fields implements log.Fielder.
func (b Build) Fields() log.Fields {
	return log.Fields{"Version": b.Version, "Revision": b.Revision, "Modified": b.IsModified}
}

// Register sets the gauges of the build.
func (b Build) Register(registry metrics.Registry) {
	modified := int64(0)
	if b.IsModified {
		modified = 1
	}
	metrics.GetOrRegisterGauge(modifiedGauge, registry).Update(modified)
	metrics.GetOrRegisterGauge(revisionGauge, registry).Update(b.revisionNumber())
}

// revisionNumber returns the first digits of the revision as a number; zero if it is unknown.
func (b Build) revisionNumber() int64 {
	digits := strings.TrimPrefix(b.Revision, sourcesPrefix)
	number, err := strconv.ParseInt(digits[:min(len(digits), numberDigits)], 16, 64)
	if err != nil {
		return 0
	}
	return number
}
