package operator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// benchmarkBudgets is the number of budgets of the largest fleet that the design must support.
const benchmarkBudgets = 530_000

// largeConfiguration returns a configuration with 9600 teams and benchmarkBudgets budgets.
func largeConfiguration() *Configuration {
	c := &Configuration{Number: 1, Teams: make(map[string]Team), Budgets: make(map[string]NumberedBudget), TeamByKeyDigest: make(map[string]string)}
	for i := range 9600 {
		name := fmt.Sprintf("team-%d", i)
		c.Teams[name] = Team{Name: name, KeyDigests: []string{KeyDigest(name)}}
		c.TeamByKeyDigest[KeyDigest(name)] = name
	}
	for i := range benchmarkBudgets {
		b := Budget{Name: fmt.Sprintf("budget-%d", i), Team: fmt.Sprintf("team-%d", i%9600), Prepaid: ledger.Tokens(i)}
		c.Budgets[b.Name] = NumberedBudget{Budget: b, Ticket: 1, Highest: b.Prepaid}
	}
	c.index = newIndex(c)
	return c
}

func BenchmarkApplyTopUp(b *testing.B) {
	c := largeConfiguration()
	entry := platform.Entry{Payload: []byte("Number: 2\nBudgets: [{Name: budget-7, Team: team-7, Prepaid: 1000}]\n")}
	b.ReportAllocs()
	for b.Loop() {
		if _, outcome := c.Apply(entry); fmt.Sprintf("%T", outcome) != "*operator.Accepted" {
			b.Fatal(outcome)
		}
	}
}

func BenchmarkDecodeTicket(b *testing.B) {
	var text strings.Builder
	text.WriteString("Number: 2\nBudgets:\n")
	for i := range 4_000 {
		fmt.Fprintf(&text, "  - Name: budget-%d\n    Team: team-%d\n    Prepaid: 1000\n", i, i%9600)
	}
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeTicket("", []byte(text.String())); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkLookups(b *testing.B) {
	c := largeConfiguration()
	b.ReportAllocs()
	for b.Loop() {
		team, _ := c.TeamForKey("team-7")
		if len(c.BudgetsOfTeam(team.Name)) == 0 {
			b.Fatal("no budgets")
		}
		_, _ = c.RouteForPath("/atelier/sittings/7")
	}
}

func BenchmarkSnapshot(b *testing.B) {
	c := largeConfiguration()
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := c.EncodeSnapshot()
		assert.Must(b, err)
		size = len(data)
	}
	b.ReportMetric(float64(size)/benchmarkBudgets, "B/budget")
}
