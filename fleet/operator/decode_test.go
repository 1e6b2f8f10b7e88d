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

func assertEqual[T any](t *testing.T, want, got T, options ...cmp.Option) {
	t.Helper()
	if diff := cmp.Diff(want, got, options...); diff != "" {
		t.Errorf("unexpected value (-want +got):\n%s", diff)
	}
}

// TestDecodeBadTickets compares the messages with the files named expected; UPDATE=1 rewrites them.
func TestDecodeBadTickets(t *testing.T) {
	for _, directory := range glob(t, "testdata/bad/*") {
		t.Run(filepath.Base(directory), func(t *testing.T) {
			_, err := DecodeTicket("ticket.yaml", []byte(read(t, directory+"/ticket.yaml")))
			if err == nil {
				t.Fatal("the ticket was accepted")
			}
			if os.Getenv("UPDATE") != "" {
				write(t, directory+"/expected", err.Error()+"\n")
			}
			assertEqual(t, read(t, directory+"/expected"), err.Error()+"\n")
		})
	}
}

func TestDecodeTicket(t *testing.T) {
	got, err := DecodeTicket("ticket.yaml", []byte(read(t, "testdata/full.yaml")))
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

// TestDecodeBounds holds entries on which the parser alone would spend minutes, or all of its stack.
func TestDecodeBounds(t *testing.T) {
	full := func(part string) string { return strings.Repeat(part, (MaxTicketBytes-MaxLineBytes)/len(part)) }
	for name, test := range map[string]struct{ data, message string }{
		"size":               {"Number: 1\n" + full("# more\n") + full("\n"), "bytes long"},
		"line":               {"Number: 1 # " + strings.Repeat("x", MaxLineBytes), "a line that is too long"},
		"brackets":           {full("[\n"), "nested too deeply"},
		"braces":             {full("{a: \n"), "nested too deeply"},
		"list in list":       {strings.Repeat("- ", 2000), "nested too deeply"},
		"indentation":        {nestedMappings(maxIndentation + 1), "nested too deeply"},
		"fields":             {full("a: b\n"), "too many fields"},
		"fields in brackets": {"{" + full("a: b,\n") + "}", "too many fields"},
		"empty entries":      {full("-\n"), "empty value"},
		"empty fields":       {full("- a:\n"), "empty value"},
		"empty in brackets":  {"[" + full("{a: },\n") + "]", "empty value"},
		"commas":             {"[" + full(",\n") + "]", "empty value"},
		"keys alone":         {"[" + full("{a},\n") + "]", "empty value"},
		"documents":          {full("---\na\n"), "several documents"},
		"many problems":      {"Teams:\n" + full("- a\n"), "and 64"},
		"comments":           {full("# a\n"), "is empty"},
		"text":               {"Number: " + full("a\n  "), "is the text"},
		"not UTF-8":          {"Number: 1 # \xff", "UTF-8"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeTicket("", []byte(test.data))
			if err == nil || !strings.Contains(err.Error(), test.message) {
				t.Errorf("error %v doesn't contain %q", err, test.message)
			}
		})
	}
}

func nestedMappings(depth int) string {
	var text strings.Builder
	for i := range depth {
		text.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return text.String()
}

func glob(tb testing.TB, pattern string) []string {
	tb.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		tb.Fatalf("no file matches %s: %v", pattern, err)
	}
	return paths
}

func read(tb testing.TB, path string) string {
	tb.Helper()
	data, err := os.ReadFile(path)
	assert.Must(tb, err)
	return string(data)
}

func write(t *testing.T, path, text string) {
	t.Helper()
	assert.Must(t, os.WriteFile(path, []byte(text), 0o600))
}
