package config

import (
	"context"
	"maps"
	"slices"
	"strings"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/streams"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Show is the verb "config show".
type Show struct{}

// Help returns the verb's description.
func (*Show) Help() string {
	return "The budgets' totals are those of the tickets; \"budget list\" shows what the ledger made of them."
}

// Run shows the configuration.
func (*Show) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newView(log, p).show(ctx)
	})
}

// view prints a configuration.
type view struct {
	configuration *streams.Configuration
	printer       output.Printer
}

func newView(log platform.Log, p output.Printer) *view {
	return &view{configuration: &streams.Configuration{Log: log}, printer: p}
}

func (v *view) show(ctx context.Context) error {
	if _, err := v.configuration.Advance(ctx); err != nil {
		return err
	}
	c := v.configuration.Current
	return v.printer.Print(c, summary(c), teams(c), budgets(c), routes(c), endpoints(c))
}

// ticketColumn is the title of the number of the ticket that set an object.
const ticketColumn = "TICKET"

func summary(c *operator.Configuration) output.Table {
	return output.Table{
		Columns: []string{"NUMBER", "NEXT OFFSET", "ACCEPTED", "REFUSED", "DUPLICATE", "MALFORMED"},
		Rows: [][]string{output.Cells(c.Number, c.Next, c.Counts.Accepted, c.Counts.Refused,
			c.Counts.Duplicate, c.Counts.Malformed)},
	}
}

func teams(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"TEAM", ticketColumn, "KEYS", "REQUESTS/S", "TOKENS/S", "CONCURRENCY", "WEIGHT", "REMOVED"}}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		team := c.Teams[name]
		l := team.Limits
		t.Rows = append(t.Rows, output.Cells(name, c.TeamTickets[name], len(team.KeyDigests),
			l.RequestsPerSecond, l.TokensPerSecond, l.Concurrency, l.Weight, team.Removed))
	}
	return t
}

func budgets(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"BUDGET", ticketColumn, "TEAM", "PREPAID", "RESERVE", "FROZEN"}}
	for _, name := range slices.Sorted(maps.Keys(c.Budgets)) {
		b := c.Budgets[name]
		t.Rows = append(t.Rows, output.Cells(name, b.Ticket, b.Team, b.Prepaid, b.Reserve.Share, b.Frozen))
	}
	return t
}

func routes(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"ROUTE", ticketColumn, "SERVICE", "MODEL", "PATH PREFIX", "IDEMPOTENT", "DATED KEYS", "FALLBACKS", "REMOVED"}}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[name]
		t.Rows = append(t.Rows, output.Cells(name, c.RouteTickets[name], r.Service, r.Model, r.PathPrefix,
			!r.NonIdempotent, r.DatedKeys, strings.Join(r.Fallbacks, ","), r.Removed))
	}
	return t
}

func endpoints(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"INSTANCE SET", ticketColumn, "ENDPOINT", "SERVICE", "KIND", "ADDRESS", "REGION", "AVAILABILITY ZONE", "CHECKS FENCING"}}
	for _, name := range slices.Sorted(maps.Keys(c.InstanceSets)) {
		for _, e := range c.InstanceSets[name].Endpoints {
			t.Rows = append(t.Rows, output.Cells(name, c.InstanceSetTickets[name], e.Name, e.Service, e.Kind,
				e.Address, e.Region, e.AvailabilityZone, e.ChecksFencing))
		}
	}
	return t
}
