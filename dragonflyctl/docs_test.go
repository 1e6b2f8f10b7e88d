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

// example matches a block of a page that shows a command.
var example = regexp.MustCompile("(?s)```\n(\\$ dragonflyctl [^\n]*\n).*?```\n")

// TestDocumentation runs the commands of the pages, in their order and on one site, and compares the outputs.
// UPDATE=1 rewrites the pages.
func TestDocumentation(t *testing.T) {
	t.Chdir("..")
	t.Setenv("COLUMNS", "100")
	for _, page := range []string{"docs/dragonflyctl.md", "docs/tickets.md"} {
		t.Run(page, func(t *testing.T) {
			s := documentedSite(t)
			text, err := os.ReadFile(page)
			assert.Must(t, err)
			got := example.ReplaceAllStringFunc(string(text), func(block string) string {
				command := example.FindStringSubmatch(block)[1]
				s.copyTotal(command)
				return "```\n" + command + s.show(strings.Fields(command)[2:]) + "```\n"
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

// documentedSite returns a site whose only router copies the totals of the examples, and draws shares of two.
func documentedSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t}
	s.record(
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

// copyTotal lets the router copy the total of a later ticket into the ledger.
func (s *site) copyTotal(command string) {
	s.t.Helper()
	switch {
	case strings.Contains(command, "5-top-up"):
		s.record(&ledger.Prepaid{Budget: "studio-cebu-trial", Ticket: 5, Total: 9_000})
	case strings.Contains(command, "6-lower"):
		s.record(&ledger.Prepaid{Budget: "studio-cebu-main", Ticket: 6, Total: 5_000})
	}
}

// show returns what a command prints, with its exit code unless that is zero.
func (s *site) show(arguments []string) string {
	s.t.Helper()
	got := s.run(arguments...)
	text := got.Stdout + got.Stderr
	if got.Code != exit.OK {
		text += fmt.Sprintf("[exit code %d]\n", got.Code)
	}
	return trimLines(text)
}

// trimLines removes the blanks that tables leave at the ends of lines.
func trimLines(text string) string {
	var trimmed strings.Builder
	for line := range strings.Lines(text) {
		trimmed.WriteString(strings.TrimRight(line, " \n") + "\n")
	}
	return trimmed.String()
}
