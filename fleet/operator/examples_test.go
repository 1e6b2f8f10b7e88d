package operator

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

func TestExamples(t *testing.T) {
	for site, want := range map[string]struct{ teams, models, engines, plain int }{
		"pintados": {teams: 10, models: 2, engines: 9, plain: 3},
		"ceylon":   {teams: 10, models: 2, engines: 18, plain: 3},
		"demo":     {teams: 2, models: 1, engines: 6, plain: 3},
	} {
		t.Run(site, func(t *testing.T) {
			c := foldExamples(t, site)
			services := make(map[EndpointKind]int)
			regions := make(map[string]bool)
			for _, set := range c.InstanceSets {
				for _, endpoint := range set.Endpoints {
					services[endpoint.Kind]++
					regions[endpoint.Region] = true
				}
			}
			assertEqual(t, want.teams, len(c.TeamByKeyDigest))
			assertEqual(t, want.models, len(c.Models()))
			assertEqual(t, map[EndpointKind]int{EngineEndpoint: want.engines, PlainEndpoint: want.plain}, services)
			assertEqual(t, 3, len(regions))
		})
	}
	t.Run("keys of the comments", func(t *testing.T) {
		for site, keys := range map[string][]string{
			"pintados": {"pintados-studio-1-example-key"},
			"ceylon":   {"ceylon-engineers-example-key"},
			"demo":     {"demo-key-luzon", "demo-key-cebu"},
		} {
			for _, key := range keys {
				_, found := foldExamples(t, site).TeamForKey(key)
				assertEqual(t, true, found)
			}
		}
	})
}

func TestReasonsDocumented(t *testing.T) {
	page := read(t, "../../docs/tickets.md")
	for _, d := range RefusalReasons() {
		if line := fmt.Sprintf("| `%s` | %s |", d.Reason, d.Meaning); !strings.Contains(page, line) {
			t.Errorf("the page lacks %q", line)
		}
	}
}

// foldExamples folds a site's tickets in the order of their file names; each must be accepted.
func foldExamples(t *testing.T, site string) *Configuration {
	t.Helper()
	var c *Configuration
	for i, file := range glob(t, filepath.Join("../../examples", site, "*.yaml")) {
		entry := platform.Entry{Offset: platform.Offset(i), Payload: []byte(read(t, file))}
		var outcome Outcome
		c, outcome = c.Apply(entry)
		assertEqual(t, Outcome(&Accepted{uint64(i + 1)}), outcome)
	}
	return c
}
