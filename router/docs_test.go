package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/fleet/version"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/bodies"
	"github.com/dragonflyworks/dragonflyworks/router/caller"
	"github.com/dragonflyworks/dragonflyworks/router/cold"
	"github.com/dragonflyworks/dragonflyworks/router/controller"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
	"github.com/dragonflyworks/dragonflyworks/router/gateway"
	"github.com/dragonflyworks/dragonflyworks/router/listener"
	"github.com/dragonflyworks/dragonflyworks/router/order"
	"github.com/dragonflyworks/dragonflyworks/router/places"
)

// tableBlock matches a generated table in a documentation page, between its markers. The group is the table's name.
var tableBlock = regexp.MustCompile(`(?s)<!-- table: (\w+) -->\n.*?<!-- end -->`)

// TestDocumentation guards against documentation pages whose tables differ from the code. With UPDATE=1 in the environment it
// rewrites the pages.
func TestDocumentation(t *testing.T) {
	tables := map[string]string{
		"flags": flagTable(t), "exits": exitTable(), "refusals": refusalTable(), "caller": counterTable(caller.Counters()),
		"controller": counterTable(controller.Counters()), "endpoint": counterTable(endpoint.Counters()),
		"order":        counterTable(order.Counters()),
		"ledgerstream": counterTable(ledgerstream.Counters()), "peer": counterTable(peer.Counters()),
		"allowance": counterTable(allowance.Counters()), "gateway": counterTable(append(gateway.Counters(), gateway.Stages()...)),
		"places": counterTable(places.Counters()), "cold": counterTable(cold.Counters()),
		"bodies": counterTable(bodies.Counters()), "listener": counterTable(listener.Counters()), "version": counterTable(version.Counters()),
	}
	for _, page := range []string{"../docs/settings.md", "../docs/metrics.md"} {
		text := readAll(t, page)
		got := tableBlock.ReplaceAllStringFunc(text, func(block string) string {
			name := tableBlock.FindStringSubmatch(block)[1]
			table := tables[name]
			delete(tables, name)
			return fmt.Sprintf("<!-- table: %s -->\n\n%s\n<!-- end -->", name, table)
		})
		if os.Getenv("UPDATE") != "" {
			assert.Equal(t, nil, os.WriteFile(page, []byte(got), 0o600))
		}
		if diff := cmp.Diff(text, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", page, diff)
		}
	}
	assert.Equal(t, map[string]string{}, tables)
}

// flagTable returns the Markdown table of the router's flags.
func flagTable(t *testing.T) string {
	t.Helper()
	allowed := map[string]string{"help": "true or false", "version": "true or false"}
	for _, c := range (&Settings{}).checks() {
		allowed[c.flag] = c.allowed
	}
	parser, err := kong.New(&Settings{})
	assert.Equal(t, nil, err)
	table := "| Flag | Variable | Default | Allowed | Meaning |\n|---|---|---|---|---|\n"
	for _, f := range parser.Model.Flags {
		assert.Equal(t, true, allowed[f.Name] != "")
		defaultValue := map[bool]string{true: "none, needed", false: inlineCode(f.Default)}[f.Required]
		table += fmt.Sprintf("| `--%s` | %s | %s | %s | %s |\n", f.Name, inlineCode(strings.Join(f.Envs, " ")), defaultValue, allowed[f.Name], f.Help)
	}
	return table
}

// inlineCode returns a text as inline code in Markdown, or nothing for an empty text.
func inlineCode(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// exitTable returns the Markdown table of the router's exit codes.
func exitTable() string {
	table := "| Code | Name | Meaning |\n|---|---|---|\n"
	for _, d := range exitCodes() {
		table += fmt.Sprintf("| %d | %s | %s |\n", d.Code, d.Name, d.Meaning)
	}
	return table
}

// refusalTable returns the Markdown table of the refusal counters.
func refusalTable() string {
	table := "| Counter | Status | Retry-After | Meaning |\n|---|---|---|---|\n"
	for _, d := range verdict.Reasons() {
		retryAfter := strings.Replace(d.RetryAfter.String(), "0s", "none", 1)
		table += fmt.Sprintf("| `%s%s` | %d | %s | %s |\n", blackboard.RefusalPrefix, d.Reason, d.Status, retryAfter, d.Meaning)
	}
	return table
}

// counterTable returns the Markdown table of a package's counters.
func counterTable[D ~struct{ Name, Meaning string }](counters []D) string {
	table := "| Counter | Meaning |\n|---|---|\n"
	for _, d := range counters {
		c := struct{ Name, Meaning string }(d)
		table += fmt.Sprintf("| `%s` | %s%s. |\n", c.Name, strings.ToUpper(c.Meaning[:1]), strings.TrimSuffix(c.Meaning[1:], "."))
	}
	return table
}

// TestCountersAreNamed guards against counters that the documentation lacks because their names are string literals where they
// are incremented, instead of constants that Counters lists.
func TestCountersAreNamed(t *testing.T) {
	literal := regexp.MustCompile(`(?i)(count|gauge|RegisterCounter|RegisterGauge)\("[^"]*"`)
	text := readAll(t, "*.go", "*/*.go", "../fleet/*/*.go", "../fleet/*/*/*.go")
	assert.Equal(t, nil, literal.FindAllString(text, -1))
}

// TestPagesNameTests guards against names of tests and counters on the page about failures that no longer exist.
func TestPagesNameTests(t *testing.T) {
	page := readAll(t, "../docs/failures.md")
	tests := readAll(t, "../*/*_test.go", "../*/*/*_test.go", "../*/*/*/*_test.go")
	for _, name := range regexp.MustCompile("`Test\\w+").FindAllString(page, -1) {
		if !strings.Contains(tests, "func "+name[1:]+"(") {
			t.Errorf("docs/failures.md names unknown test %s", name[1:])
		}
	}
	metrics := readAll(t, "../docs/metrics.md")
	for _, name := range regexp.MustCompile("`[a-z]+\\.[a-z._]+`").FindAllString(page, -1) {
		if !strings.Contains(metrics, name) {
			t.Errorf("docs/failures.md names unknown counter %s", name)
		}
	}
}

// readAll returns the concatenated contents of the files that match the patterns. Test files are included only by patterns
// that end in _test.go.
func readAll(t *testing.T, patterns ...string) string {
	t.Helper()
	var contents strings.Builder
	for _, pattern := range patterns {
		paths, err := filepath.Glob(pattern)
		assert.Equal(t, nil, err)
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") && !strings.HasSuffix(pattern, "_test.go") {
				continue
			}
			text, err := os.ReadFile(path)
			assert.Equal(t, nil, err)
			contents.Write(text)
		}
	}
	return contents.String()
}
