package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

const (
	teamTicket   = "Number: 1\nTeams: [{Name: studio, KeyDigests: [1111111111111111111111111111111111111111111111111111111111111111]}]\n"
	budgetTicket = "Number: 2\nBudgets: [{Name: main, Team: studio, Prepaid: 1000}]\n"
	lowerTicket  = "Number: 3\nBudgets: [{Name: main, Team: studio, Prepaid: 10}]\n"
	orphanTicket = "Number: 4\nBudgets: [{Name: orphan, Team: nobody, Prepaid: 10}]\n"
)

// testSite runs dragonflyctl against a platform log in memory. recordCount is the number of ledger records
// that were appended.
type testSite struct {
	t           *testing.T
	log         memory.Log
	recordCount uint64
}

// result is the exit code and the output of a run of dragonflyctl.
type result struct {
	Code   exit.Code
	Stdout string
	Stderr string
}

func (s *testSite) run(arguments ...string) result {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(s.t.Context(), arguments, &stdout, &stderr, func(string) (platform.Log, error) { return &s.log, nil })
	return result{Code: exit.Code(code), Stdout: stdout.String(), Stderr: stderr.String()}
}

// submit writes a ticket to a file and runs "ticket submit" on it.
func (s *testSite) submit(text string) result {
	s.t.Helper()
	return s.run("ticket", "submit", s.writeTicket(text))
}

func (s *testSite) writeTicket(text string) string {
	s.t.Helper()
	file := filepath.Join(s.t.TempDir(), "ticket.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

func (s *testSite) appendEntry(stream string, payload []byte) {
	s.t.Helper()
	if _, err := s.log.Append(s.t.Context(), stream, payload); err != nil {
		s.t.Fatal(err)
	}
}

// appendRecords appends the records to the ledger as one group, written by the site's only router.
func (s *testSite) appendRecords(records ...ledger.Record) {
	s.t.Helper()
	payload, err := ledger.Encode(ledger.Group{
		Writer: ledger.Incarnation{Instance: "router-1", Number: 1}, First: s.recordCount + 1, Records: records,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.recordCount += uint64(len(records))
	s.appendEntry(platform.LedgerStream(0), payload)
}

// newTestSite returns a site with a team, a malformed ticket, a budget of 1000 tokens in the ledger and a router that holds 100 of
// them.
func newTestSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{t: t}
	s.appendEntry(platform.ConfigurationStream, []byte(teamTicket))
	s.appendEntry(platform.ConfigurationStream, []byte("garbage"))
	s.appendRecords(
		&ledger.Join{Region: "luzon-a", AvailabilityZone: "luzon-a1", Version: "1.0"},
		&ledger.Prepaid{Budget: "main", Ticket: 2, Total: 1000},
		&ledger.Draw{Budget: "main", Wanted: 100, Minimum: 1},
		&ledger.Heartbeat{ConfigurationOffset: 2, ConfigurationNumber: 1},
	)
	return s
}

func assertResult(t *testing.T, code exit.Code, stderr string, got result) {
	t.Helper()
	if diff := cmp.Diff(code, got.Code); diff != "" {
		t.Errorf("exit code (-want +got):\n%s\n%s%s", diff, got.Stdout, got.Stderr)
	}
	if !strings.Contains(got.Stderr, stderr) || (stderr == "" && got.Stderr != "") {
		t.Errorf("stderr %q doesn't contain %q", got.Stderr, stderr)
	}
}

func assertLines(t *testing.T, want []string, got string) {
	t.Helper()
	var lines []string
	for line := range strings.Lines(got) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

func TestSubmit(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		s := &testSite{t: t}
		got := s.submit(teamTicket)
		assertResult(t, exit.OK, "", got)
		assertLines(t, []string{"NUMBER OUTCOME OFFSET REASON DETAIL", "1 accepted 0 - -"}, got.Stdout)
	})
	t.Run("same ticket submitted twice", func(t *testing.T) {
		s := &testSite{t: t}
		s.submit(teamTicket)
		assertResult(t, exit.OK, "", s.submit(teamTicket))
		assertLines(t, []string{"OFFSET NUMBER OUTCOME REASON DETAIL", "0 1 accepted - -"}, s.run("ticket", "list").Stdout)
	})
	t.Run("refused", func(t *testing.T) {
		got := newTestSite(t).submit(orphanTicket)
		assertResult(t, exit.Refused, `ticket 4 was refused: UnknownTeam: budget "orphan": team "nobody"`, got)
	})
	t.Run("mistakes", func(t *testing.T) {
		got := newTestSite(t).submit("Number: 0\nTeams: []\n")
		assertResult(t, exit.Failed, "ticket.yaml:1: Number: is missing or zero", got)
	})
	t.Run("response to the append lost", func(t *testing.T) {
		s := &testSite{t: t}
		s.log.LoseResponses(1, 1)
		assertResult(t, exit.OK, "", s.submit(teamTicket))
		assertLines(t, []string{"OFFSET NUMBER OUTCOME REASON DETAIL", "0 1 accepted - -"}, s.run("ticket", "list").Stdout)
	})
}

func TestSubmitBudget(t *testing.T) {
	t.Run("total accepted by the ledger", func(t *testing.T) {
		got := newTestSite(t).submit(budgetTicket)
		assertResult(t, exit.OK, "", got)
		assertLines(t, []string{
			"NUMBER OUTCOME OFFSET REASON DETAIL", "2 accepted 2 - -", "", "BUDGET LEDGER PREPAID DETAIL", "main accepted 1000 -",
		}, got.Stdout)
	})
	t.Run("total refused by the ledger", func(t *testing.T) {
		s := newTestSite(t)
		s.submit(budgetTicket)
		s.appendRecords(&ledger.Prepaid{Budget: "main", Ticket: 3, Total: 10})
		assertResult(t, exit.Refused, `the ledger refused the total of budget "main": 10 is below what is spent and in shares; lowest total possible then: 100`, s.submit(lowerTicket))
	})
	t.Run("a later total is in force", func(t *testing.T) {
		s := newTestSite(t)
		s.appendRecords(&ledger.Prepaid{Budget: "main", Ticket: 9, Total: 3000})
		got := s.submit(budgetTicket)
		assertResult(t, exit.OK, "", got)
		if !strings.Contains(got.Stdout, "ticket 9 is in force") {
			t.Error(got.Stdout)
		}
	})
}

func TestSubmitFaults(t *testing.T) {
	t.Run("no router copies the total", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestSite(t)
			s.submit(budgetTicket)
			assertResult(t, exit.TimedOut, `ticket 3 is accepted, but the ledger doesn't show budget "main" yet`, s.submit(lowerTicket))
		})
	})
	t.Run("platform unreachable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestSite(t)
			s.log.SetOutage(true)
			assertResult(t, exit.Unreachable, "it isn't known whether ticket 1 is in the log", s.submit(teamTicket))
			assertResult(t, exit.Unreachable, "platform service unavailable", s.run("budget", "list"))
		})
	})
	t.Run("platform reachable again before the timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestSite(t)
			s.log.OutageFor(10 * time.Second)
			assertResult(t, exit.OK, "", s.submit(teamTicket))
		})
	})
}

func TestTruncated(t *testing.T) {
	s := newTestSite(t)
	c, _ := (*operator.Configuration)(nil).Apply(platform.Entry{Payload: []byte(teamTicket)})
	snapshot, err := c.EncodeSnapshot()
	assert.Must(t, err)
	s.log.SetRetention(memory.Retention{Entries: 1})
	s.appendEntry(platform.ConfigurationSnapshotStream, []byte("garbage"))
	assertResult(t, exit.Failed, "no usable snapshot covers it", s.run("config", "show"))
	s.appendEntry(platform.ConfigurationSnapshotStream, snapshot)
	assertLines(t, []string{"OFFSET NUMBER OUTCOME REASON DETAIL", "0 1 accepted - -",
		`1 - malformed - ticket:1: ticket: is the text "garbage"; allowed: one YAML document with the fields of a ticket`,
	}, s.run("ticket", "list").Stdout)
	s.appendRecords(&ledger.Heartbeat{})
	assertResult(t, exit.Failed, "no usable snapshot covers it", s.run("fleet", "status"))
}

func TestShow(t *testing.T) {
	s := newTestSite(t)
	s.appendEntry(platform.ConfigurationStream, []byte(budgetTicket))
	line := "main studio 2 2 1000 0 100 900 0 false"
	header := "BUDGET TEAM TICKET IN FORCE PREPAID SPENT IN SHARES AVAILABLE OPEN FROZEN"
	assertLines(t, []string{header, line}, s.run("budget", "list", "--team", "studio").Stdout)
	assertLines(t, []string{
		header, line, "", "HOLDER WORKING FREE WORKING RESERVED RESERVE FREE RESERVE RESERVED", "router-1/1 100 0 0 0",
	}, s.run("budget", "show", "main").Stdout)
	assertLines(t, []string{
		"CONFIGURATION CONFIGURATION NEXT LEDGER NEXT ROUTERS", "2 3 1 1", "",
		"ROUTER REGION AVAILABILITY ZONE VERSION LEASE LAST SEEN CONFIGURATION CURRENT", "router-1/1 luzon-a luzon-a1 1.0 live 0 1 false",
	}, s.run("fleet", "status").Stdout)
	assertResult(t, exit.Failed, `no budget is named "other"`, s.run("budget", "show", "other"))
	assertResult(t, exit.Usage, `--team is "other"; allowed: the name of a team that has a budget`, s.run("budget", "list", "--team", "other"))
}

func TestJSON(t *testing.T) {
	s := newTestSite(t)
	for _, arguments := range [][]string{
		{"ticket", "list"}, {"config", "show"}, {"budget", "list"}, {"budget", "show", "main"}, {"fleet", "status"}, {"version"},
		{"ticket", "check", s.writeTicket(teamTicket)}, {"ticket", "submit", s.writeTicket(teamTicket)},
	} {
		t.Run(strings.Join(arguments[:min(2, len(arguments))], " "), func(t *testing.T) {
			got := s.run(append(arguments, "--output", "json")...)
			assertResult(t, exit.OK, "", got)
			if !json.Valid([]byte(got.Stdout)) {
				t.Errorf("output is not valid JSON:\n%s", got.Stdout)
			}
		})
	}
}

func TestUsage(t *testing.T) {
	s := newTestSite(t)
	for arguments, message := range map[string]string{
		"version --output xml":                 `--output must be one of "table","json" but got "xml"`,
		"ticket submit ticket --timeout 1ms":   `--timeout is "1ms"; allowed: 100ms to 1h`,
		"ticket submit ticket --timeout never": `--timeout`,
		"ticket submit":                        `<file>`,
		"ticket frobnicate":                    `frobnicate`,
		"fleet status --partitions 3":          `--partitions`,
	} {
		t.Run(arguments, func(t *testing.T) {
			assertResult(t, exit.Usage, message, s.run(strings.Fields(arguments)...))
		})
	}
	t.Run("platform", func(t *testing.T) {
		var stdout, stderr bytes.Buffer
		code := Main([]string{"budget", "list", "--platform", "http://platform.internal"}, &stdout, &stderr)
		assertResult(t, exit.Usage, `--platform is "http://platform.internal"; allowed: an http or https URL whose host is an IP address`,
			result{exit.Code(code), stdout.String(), stderr.String()})
	})
	t.Run("help", func(t *testing.T) {
		got := s.run("--help")
		assertResult(t, exit.OK, "", got)
		for _, d := range exit.Codes() {
			if !strings.Contains(got.Stdout, d.Meaning) {
				t.Errorf("help lacks %q", d.Meaning)
			}
		}
	})
}

func TestCodeOf(t *testing.T) {
	assertCode := func(want exit.Code, err error) {
		t.Helper()
		if diff := cmp.Diff(want, exit.CodeOf(err)); diff != "" {
			t.Error(diff)
		}
	}
	assertCode(exit.OK, nil)
	assertCode(exit.Failed, errors.New("other"))
	assertCode(exit.Unreachable, platform.ErrUnavailable)
}
