package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"

	"github.com/google/go-cmp/cmp"
)

// assertEqual fails the test and prints the difference if want and got differ.
func assertEqual[T any](t *testing.T, want, got T, options ...cmp.Option) {
	t.Helper()
	if diff := cmp.Diff(want, got, options...); diff != "" {
		t.Errorf("unexpected value (-want +got):\n%s", diff)
	}
}

// TestDecodeBadTickets compares the problems found in each ticket of testdata/bad with the file expected next to it.
// Run the test with UPDATE=1 in the environment to rewrite these files.
func TestDecodeBadTickets(t *testing.T) {
	for _, directory := range globFiles(t, "testdata/bad/*") {
		t.Run(filepath.Base(directory), func(t *testing.T) {
			_, err := DecodeTicket("ticket.yaml", []byte(readFile(t, directory+"/ticket.yaml")))
			if err == nil {
				t.Fatal("the ticket was accepted")
			}
			if os.Getenv("UPDATE") != "" {
				writeFile(t, directory+"/expected", err.Error()+"\n")
			}
			assertEqual(t, readFile(t, directory+"/expected"), err.Error()+"\n")
		})
	}
}

func TestDecodeTicket(t *testing.T) {
	got, err := DecodeTicket("ticket.yaml", []byte(readFile(t, "testdata/full.yaml")))
	assert.Must(t, err)
	assertEqual(t, &Ticket{
		Number: 1_200,
		Teams: []Team{{
			Name: "studio", KeyDigests: []string{KeyDigest("studio-example-key")},
			Limits: TeamLimits{RequestsPerSecond: 5, TokensPerSecond: 100, Concurrency: 8, Weight: 2},
		}},
		Budgets: []Budget{{Name: "studio-main", Team: "studio", Prepaid: 250_000, Frozen: true, Reserve: Reserve{Share: 100, ForfeitResidue: true}}},
		Routes: []Route{
			{Name: "brush", Service: "brush-llm", Model: "studio/brush-7b:2", Fallbacks: []string{"other"}, Limits: RouteLimits{TokenTimeout: 1500 * time.Millisecond}},
			{Name: "deposits", Service: "atelier-app", PathPrefix: "/deposits", NonIdempotent: true, Removed: true},
		},
		InstanceSets: []InstanceSet{{Name: "engines", Endpoints: []Endpoint{{
			Name: "runner-1", Service: "brush-llm", Kind: EngineEndpoint, Address: "[fd00::1]:8000",
			AvailabilityZone: "luzon-a1", Region: "luzon-a", ChecksFencing: true, Concurrency: 32, Role: "Decode",
			Wanted: []Artifact{{Model: "studio/brush-7b", Version: "2"}, {Model: "studio/brush-7b", Adapter: "cats", Version: "1"}},
		}}, Wanted: []Artifact{{Model: "studio/palette-7b"}}, Role: "Prefill", Retired: []string{"sketch"}, LoadLimit: 4}},
	}, got)
}

// TestDecodeBounds guards against stream entries that block routers: without the checks that run before the parser,
// such entries would keep the parser busy for minutes or exhaust its stack.
func TestDecodeBounds(t *testing.T) {
	fill := func(part string) string { return strings.Repeat(part, (MaxTicketBytes-MaxLineBytes)/len(part)) }
	for name, test := range map[string]struct{ data, message string }{
		"size":                {"Number: 1\n" + fill("# more\n") + fill("\n"), "bytes long"},
		"line":                {"Number: 1 # " + strings.Repeat("x", MaxLineBytes), "a line that is too long"},
		"brackets":            {fill("[\n"), "nested too deeply"},
		"braces":              {fill("{a: \n"), "nested too deeply"},
		"list in list":        {strings.Repeat("- ", 2000), "nested too deeply"},
		"indentation":         {nestedMappings(maxIndentationColumns + 1), "nested too deeply"},
		"fields":              {fill("a: b\n"), "too many fields"},
		"fields in brackets":  {"{" + fill("a: b,\n") + "}", "too many fields"},
		"empty entries":       {fill("-\n"), "empty value"},
		"empty fields":        {fill("- a:\n"), "empty value"},
		"empty in brackets":   {"[" + fill("{a: },\n") + "]", "empty value"},
		"commas":              {"[" + fill(",\n") + "]", "empty value"},
		"keys without values": {"[" + fill("{a},\n") + "]", "empty value"},
		"documents":           {fill("---\na\n"), "several documents"},
		"many problems":       {"Teams:\n" + fill("- a\n"), "and 64"},
		"comments":            {fill("# a\n"), "is empty"},
		"text":                {"Number: " + fill("a\n  "), "is the text"},
		"not UTF-8":           {"Number: 1 # \xff", "UTF-8"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeTicket("", []byte(test.data))
			if err == nil || !strings.Contains(err.Error(), test.message) {
				t.Errorf("error %v doesn't contain %q", err, test.message)
			}
		})
	}
}

// nestedMappings returns YAML mappings nested to a depth, each indented by one more column.
func nestedMappings(depth int) string {
	var text strings.Builder
	for i := range depth {
		text.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return text.String()
}

// globFiles returns the paths that match a pattern; it fails the test if there are none.
func globFiles(tb testing.TB, pattern string) []string {
	tb.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		tb.Fatalf("no file matches %s: %v", pattern, err)
	}
	return paths
}

func readFile(tb testing.TB, path string) string {
	tb.Helper()
	data, err := os.ReadFile(path)
	assert.Must(tb, err)
	return string(data)
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	assert.Must(t, os.WriteFile(path, []byte(text), 0o600))
}
