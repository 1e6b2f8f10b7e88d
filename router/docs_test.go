package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/caller"
	"github.com/dragonflyworks/dragonflyworks/router/controller"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// generated matches a table of a page with the name that stands before it.
var generated = regexp.MustCompile(`(?s)<!-- table: (\w+) -->\n.*?<!-- end -->`)

// TestDocumentation compares the tables of the pages with those of the code. UPDATE=1 rewrites the pages.
func TestDocumentation(t *testing.T) {
	tables := map[string][]string{
		"flags": flagRows(t), "exits": exitRows(), "refusals": refusalRows(), "caller": rows(caller.Counters()),
		"controller": rows(controller.Counters()), "endpoint": rows(endpoint.Counters()),
		"ledgerstream": rows(ledgerstream.Counters()), "peer": rows(peer.Counters()),
	}
	for _, page := range []string{"../docs/settings.md", "../docs/metrics.md"} {
		text, err := os.ReadFile(page)
		assertEqual(t, nil, err)
		got := generated.ReplaceAllStringFunc(string(text), func(block string) string {
			name := generated.FindStringSubmatch(block)[1]
			table, found := tables[name]
			assertEqual(t, true, found)
			delete(tables, name)
			return fmt.Sprintf("<!-- table: %s -->\n\n%s\n\n<!-- end -->", name, strings.Join(table, "\n"))
		})
		if os.Getenv("UPDATE") != "" {
			assertEqual(t, nil, os.WriteFile(page, []byte(got), 0o600))
		}
		if diff := cmp.Diff(string(text), got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", page, diff)
		}
	}
	if len(tables) > 0 {
		t.Errorf("tables that no page has: %v", tables)
	}
}

// row returns a row of a table; a bar inside a cell would end the cell.
func row(cells ...string) string {
	for i := range cells {
		cells[i] = strings.ReplaceAll(cells[i], "|", `\|`)
	}
	return "| " + strings.Join(cells, " | ") + " |"
}

func flagRows(t *testing.T) []string {
	t.Helper()
	allowed := map[string]string{"version": "true or false"}
	for _, c := range (&Settings{}).checks() {
		allowed[c.flag] = c.allowed
	}
	lines := []string{"| Flag | Variable | Default | Allowed | Meaning |", "|---|---|---|---|---|"}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		flag := kebab(f.Name)
		if allowed[flag] == "" {
			t.Errorf("--%s has no rule", flag)
		}
		initial := code(f.Tag.Get("default"))
		if _, required := f.Tag.Lookup("required"); required {
			initial = "none, needed"
		}
		lines = append(lines, row(code("--"+flag), code(f.Tag.Get("env")), initial, allowed[flag], f.Tag.Get("help")))
	}
	return lines
}

// kebab returns the flag of a field, as kong names it.
func kebab(field string) string {
	words := regexp.MustCompile(`([a-z])([A-Z])|([A-Z])([A-Z][a-z])`).ReplaceAllString(field, "$1$3-$2$4")
	return strings.ToLower(words)
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

func exitRows() []string {
	lines := []string{"| Code | Name | Meaning |", "|---|---|---|"}
	for _, d := range exitCodes() {
		lines = append(lines, row(fmt.Sprint(d.Code), d.Name, d.Meaning))
	}
	return lines
}

func refusalRows() []string {
	lines := []string{"| Counter | Status | Retry-After | Meaning |", "|---|---|---|---|"}
	for _, d := range verdict.Reasons() {
		wait := "none"
		if d.RetryAfter > 0 {
			wait = fmt.Sprint(d.RetryAfter.Seconds())
		}
		lines = append(lines, row(code(blackboard.RefusalPrefix+string(d.Reason)), fmt.Sprint(d.Status), wait, d.Meaning))
	}
	return lines
}

// rows returns the table of a package's counters.
func rows[D ~struct{ Name, Meaning string }](counters []D) []string {
	lines := []string{"| Counter | Meaning |", "|---|---|"}
	for _, d := range counters {
		fields := struct{ Name, Meaning string }(d)
		lines = append(lines, row(code(fields.Name), strings.TrimSuffix(strings.ToUpper(fields.Meaning[:1])+fields.Meaning[1:], ".")+"."))
	}
	return lines
}

// TestCountersAreNamed finds counters that are counted by a literal and so stand in no table.
func TestCountersAreNamed(t *testing.T) {
	literal := regexp.MustCompile(`(?i)(\bcount|gauge|RegisterCounter|RegisterGauge)\("[^"]*"`)
	for _, root := range []string{".", "../fleet"} {
		assertEqual(t, nil, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, found := range literal.FindAllString(string(text), -1) {
				t.Errorf("%s: %s is not a constant of a table", path, found)
			}
			return err
		}))
	}
}

// TestPagesNameTests checks that each test and counter that the page on failures names exists.
func TestPagesNameTests(t *testing.T) {
	page, err := os.ReadFile("../docs/failures.md")
	assertEqual(t, nil, err)
	tests := sources(t, "../fleet", "../router", "../dragonflyctl")
	metrics, err := os.ReadFile("../docs/metrics.md")
	assertEqual(t, nil, err)
	for _, name := range regexp.MustCompile("`Test\\w+").FindAllString(string(page), -1) {
		if !strings.Contains(tests, "func "+name[1:]+"(") {
			t.Errorf("there is no test %s", name[1:])
		}
	}
	counter := "`(?:ledger|retry|refusal|endpoint|peer|configuration|instances|release|quarantine|listing|queue)\\.[a-z._]+`"
	for _, name := range regexp.MustCompile(counter).FindAllString(string(page), -1) {
		if !strings.Contains(string(metrics), name) {
			t.Errorf("there is no counter %s", name)
		}
	}
}

// sources returns the tests below some directories as one text.
func sources(t *testing.T, roots ...string) string {
	t.Helper()
	var text strings.Builder
	for _, root := range roots {
		assertEqual(t, nil, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			text.Write(content)
			return err
		}))
	}
	return text.String()
}
