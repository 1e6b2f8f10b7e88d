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

// Show implements the command "config show".
type Show struct{}

// Help returns the detailed help text of the command.
func (*Show) Help() string {
	return "The totals of the budgets are those of the tickets; \"budget list\" shows the totals that the ledger has accepted."
}

// Run prints the configuration that follows from the tickets in the platform's log.
func (*Show) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newConfigurationReport(log, p).show(ctx)
	})
}

// configurationReport reads the configuration stream and prints the configuration that results from it.
type configurationReport struct {
	configuration *streams.Configuration
	printer       output.Printer
}

func newConfigurationReport(log platform.Log, p output.Printer) *configurationReport {
	return &configurationReport{configuration: &streams.Configuration{Log: log}, printer: p}
}

func (r *configurationReport) show(ctx context.Context) error {
	if _, err := r.configuration.Advance(ctx); err != nil {
		return err
	}
	c := r.configuration.Current
	return r.printer.Print(c, summaryTable(c), teamTable(c), budgetTable(c), routeTable(c), endpointTable(c), evacuationTable(c))
}

// ticketColumn is the header of the column with the number of the ticket that last set the object.
const ticketColumn = "TICKET"

func summaryTable(c *operator.Configuration) output.Table {
	return output.Table{
		Columns: []string{"NUMBER", "NEXT OFFSET", "ACCEPTED", "REFUSED", "DUPLICATE", "MALFORMED"},
		Rows: [][]string{output.Cells(c.Number, c.Next, c.Counts.Accepted, c.Counts.Refused,
			c.Counts.Duplicate, c.Counts.Malformed)},
	}
}

func teamTable(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"TEAM", ticketColumn, "KEYS", "REQUESTS/S", "TOKENS/S", "CONCURRENCY", "WEIGHT", "REGIONS", "REMOVED"}}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		team := c.Teams[name]
		l := team.Limits
		t.Rows = append(t.Rows, output.Cells(name, c.TeamTickets[name], len(team.KeyDigests),
			l.RequestsPerSecond, l.TokensPerSecond, l.Concurrency, l.Weight, strings.Join(team.Regions, ","), team.Removed))
	}
	return t
}

func budgetTable(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"BUDGET", ticketColumn, "TEAM", "PREPAID", "RESERVE", "FROZEN"}}
	for _, name := range slices.Sorted(maps.Keys(c.Budgets)) {
		b := c.Budgets[name]
		t.Rows = append(t.Rows, output.Cells(name, b.Ticket, b.Team, b.Prepaid, b.Reserve.Share, b.Frozen))
	}
	return t
}

func routeTable(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"ROUTE", ticketColumn, "SERVICE", "MODEL", "PATH PREFIX", "IDEMPOTENT", "DATED KEYS", "FALLBACKS", "REGIONS", "REMOVED"}}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[name]
		t.Rows = append(t.Rows, output.Cells(name, c.RouteTickets[name], r.Service, r.Model, r.PathPrefix,
			!r.NonIdempotent, r.DatedKeys, strings.Join(r.Fallbacks, ","), strings.Join(r.Regions, ","), r.Removed))
	}
	return t
}

func endpointTable(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"INSTANCE SET", ticketColumn, "ENDPOINT", "SERVICE", "KIND", "ADDRESS", "REGION", "AVAILABILITY ZONE", "CHECKS FENCING"}}
	for _, name := range slices.Sorted(maps.Keys(c.InstanceSets)) {
		for _, e := range c.InstanceSets[name].Endpoints {
			t.Rows = append(t.Rows, output.Cells(name, c.InstanceSetTickets[name], e.Name, e.Service, e.Kind,
				e.Address, e.Region, e.AvailabilityZone, e.ChecksFencing))
		}
	}
	return t
}

func evacuationTable(c *operator.Configuration) output.Table {
	t := output.Table{Columns: []string{"EVACUATED ZONE", ticketColumn}}
	for _, zone := range c.EvacuatedZones {
		t.Rows = append(t.Rows, output.Cells(zone, c.EvacuationTicket))
	}
	return t
}
