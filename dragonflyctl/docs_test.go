package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// commandBlock matches a code block that shows a dragonflyctl command and its output.
var commandBlock = regexp.MustCompile("(?s)```\n(\\$ dragonflyctl [^\n]*\n).*?```\n")

// TestDocumentation fails if a page shows an outdated output of a command. It runs the commands of each page in their order on one
// site and compares the outputs. UPDATE=1 rewrites the pages.
func TestDocumentation(t *testing.T) {
	t.Chdir("..")
	t.Setenv("COLUMNS", "100")
	for _, page := range []string{"docs/dragonflyctl.md", "docs/tickets.md"} {
		t.Run(page, func(t *testing.T) {
			s := newDocumentedSite(t)
			text, err := os.ReadFile(page)
			assert.Must(t, err)
			got := commandBlock.ReplaceAllStringFunc(string(text), func(block string) string {
				command := commandBlock.FindStringSubmatch(block)[1]
				s.recordTotal(command)
				return "```\n" + command + s.commandOutput(strings.Fields(command)[2:]) + "```\n"
			})
			if os.Getenv("UPDATE") != "" {
				assert.Must(t, os.WriteFile(page, []byte(got), 0o600))
			}
			if diff := cmp.Diff(string(text), got); diff != "" {
				t.Errorf("page (-want +got):\n%s", diff)
			}
		})
	}
}

func TestExitCodesDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/dragonflyctl.md")
	assert.Must(t, err)
	for _, d := range exit.Codes() {
		if line := fmt.Sprintf("| %d | %s | %s |", d.Code, d.Name, d.Meaning); !strings.Contains(string(page), line) {
			t.Errorf("the page lacks %q", line)
		}
	}
}

// newDocumentedSite returns a site on which the commands of the pages run. Its only router has copied the prepaid totals of the
// example tickets into the ledger and has drawn shares of two budgets.
func newDocumentedSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{t: t}
	s.appendRecords(
		&ledger.Join{Region: "luzon-a", AvailabilityZone: "luzon-a1", Version: "1.0"},
		&ledger.Prepaid{Budget: "studio-luzon-main", Ticket: 4, Total: 20_000_000, Reserve: ledger.ReservePolicy{Share: 10_000}},
		&ledger.Prepaid{Budget: "studio-cebu-main", Ticket: 4, Total: 20_000_000, Reserve: ledger.ReservePolicy{Share: 10_000}},
		&ledger.Draw{Budget: "studio-luzon-main", Kind: ledger.Reserve, Wanted: 10_000, Minimum: 1},
		&ledger.Draw{Budget: "studio-luzon-main", Wanted: 4_000, Minimum: 1},
		&ledger.Draw{Budget: "studio-cebu-main", Kind: ledger.Reserve, Wanted: 10_000, Minimum: 1},
		&ledger.Open{Request: ledger.NewRequestIdentifier("studio-luzon", "a"), Attempt: 1, Budget: "studio-luzon-main", Amount: 600, Idempotent: true},
		&ledger.Open{Request: ledger.NewRequestIdentifier("studio-luzon", "b"), Attempt: 2, Budget: "studio-luzon-main", Amount: 700, Idempotent: true},
		&ledger.Bill{Request: ledger.NewRequestIdentifier("studio-luzon", "a"), Attempt: 1, Usage: 450},
		&ledger.Prepaid{Budget: "studio-cebu-trial", Ticket: 4, Total: 4_000},
		&ledger.Heartbeat{ConfigurationOffset: 7, ConfigurationNumber: 6},
	)
	return s
}

// recordTotal appends the prepaid total of the ticket that the command submits to the ledger, as the router would copy it. Commands
// that don't submit one of the later example tickets change nothing.
func (s *testSite) recordTotal(command string) {
	s.t.Helper()
	switch {
	case strings.Contains(command, "5-top-up"):
		s.appendRecords(&ledger.Prepaid{Budget: "studio-cebu-trial", Ticket: 5, Total: 9_000})
	case strings.Contains(command, "6-lower"):
		s.appendRecords(&ledger.Prepaid{Budget: "studio-cebu-main", Ticket: 6, Total: 5_000})
	}
}

// commandOutput runs a command and returns its stdout and stderr, followed by a line with the exit code if that isn't zero.
func (s *testSite) commandOutput(arguments []string) string {
	s.t.Helper()
	got := s.run(arguments...)
	text := got.Stdout + got.Stderr
	if got.Code != exit.OK {
		text += fmt.Sprintf("[exit code %d]\n", got.Code)
	}
	return trimLines(text)
}

// trimLines removes trailing spaces from each line, with which tables pad their last column.
func trimLines(text string) string {
	var trimmed strings.Builder
	for line := range strings.Lines(text) {
		trimmed.WriteString(strings.TrimRight(line, " \n") + "\n")
	}
	return trimmed.String()
}
