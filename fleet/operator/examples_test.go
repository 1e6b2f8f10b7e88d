package operator

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// TestExamples guards against example tickets that the fold refuses or that declare other objects than intended.
func TestExamples(t *testing.T) {
	for site, want := range map[string]struct{ teams, models, engines, plain int }{
		"pintados": {teams: 10, models: 2, engines: 9, plain: 3},
		"ceylon":   {teams: 10, models: 2, engines: 18, plain: 3},
		"demo":     {teams: 2, models: 1, engines: 6, plain: 3},
	} {
		t.Run(site, func(t *testing.T) {
			c := applyExamples(t, site)
			endpointsByKind := make(map[EndpointKind]int)
			regions := make(map[string]bool)
			for _, set := range c.InstanceSets {
				for _, endpoint := range set.Endpoints {
					endpointsByKind[endpoint.Kind]++
					regions[endpoint.Region] = true
				}
			}
			assertEqual(t, want.teams, len(c.TeamByKeyDigest))
			assertEqual(t, want.models, len(c.Models()))
			assertEqual(t, map[EndpointKind]int{EngineEndpoint: want.engines, PlainEndpoint: want.plain}, endpointsByKind)
			assertEqual(t, 3, len(regions))
		})
	}
	t.Run("bearer keys in comments", func(t *testing.T) {
		for site, keys := range map[string][]string{
			"pintados": {"pintados-studio-1-example-key"},
			"ceylon":   {"ceylon-engineers-example-key"},
			"demo":     {"demo-key-luzon", "demo-key-cebu"},
		} {
			for _, key := range keys {
				_, found := applyExamples(t, site).TeamForKey(key)
				assertEqual(t, true, found)
			}
		}
	})
}

// TestReasonsDocumented guards against refusal reasons whose description is missing or outdated in docs/tickets.md.
func TestReasonsDocumented(t *testing.T) {
	page := readFile(t, "../../docs/tickets.md")
	for _, d := range RefusalReasons() {
		if line := fmt.Sprintf("| `%s` | %s |", d.Reason, d.Meaning); !strings.Contains(page, line) {
			t.Errorf("the page lacks %q", line)
		}
	}
}

// applyExamples applies the example tickets of a site in the order of their file names and requires that each is
// accepted.
func applyExamples(t *testing.T, site string) *Configuration {
	t.Helper()
	var c *Configuration
	for i, file := range globFiles(t, filepath.Join("../../examples", site, "*.yaml")) {
		entry := platform.Entry{Offset: platform.Offset(i), Payload: []byte(readFile(t, file))}
		var outcome Outcome
		c, outcome = c.Apply(entry)
		assertEqual(t, Outcome(&Accepted{uint64(i + 1)}), outcome)
	}
	return c
}
