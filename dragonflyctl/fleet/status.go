package fleet

import (
	"context"
	"fmt"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/streams"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Status implements the command "fleet status".
type Status struct{}

// Help returns the detailed help text of the command.
func (*Status) Help() string {
	return "A suspended router has lost its lease and may spend only from its reserve shares. " +
		"The configuration shown for a router is that of its newest heartbeat."
}

// Run prints the state of the fleet's routers.
func (*Status) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newStatusReport(log, p).show(ctx)
	})
}

// statusReport reads the configuration and the ledger from the platform's log and prints the state of the fleet.
type statusReport struct {
	configuration *streams.Configuration
	ledger        *streams.Ledger
	printer       output.Printer
}

// fleetStatus is the state of the fleet as the platform's log records it.
type fleetStatus struct {
	// ConfigurationNumber is the highest number of an accepted ticket, and ConfigurationNext the offset after the last entry of
	// the configuration stream. A router that has read the whole stream reports the same values.
	ConfigurationNumber uint64
	ConfigurationNext   platform.Offset
	LedgerNext          platform.Offset
	Routers             []routerStatus
}

// routerStatus is the state of one incarnation of a router, that is, of one start of its process.
type routerStatus struct {
	Instance string
	// Incarnation is encoded as a JSON string: it exceeds the integers that some JSON parsers represent exactly.
	Incarnation         uint64 `json:",string"`
	Region              string
	AvailabilityZone    string
	Version             string
	Lease               string
	LastSeen            platform.Offset
	ConfigurationNumber uint64
	ConfigurationNext   platform.Offset
	// Current reports whether the router had read the whole configuration stream as of its newest heartbeat.
	Current bool
}

// The lease states that the LEASE column shows. A router whose lease is suspended may spend its reserve shares only.
const (
	leaseLive      = "live"
	leaseSuspended = "suspended"
)

func newStatusReport(log platform.Log, p output.Printer) *statusReport {
	return &statusReport{configuration: &streams.Configuration{Log: log}, ledger: &streams.Ledger{Log: log}, printer: p}
}

func (r *statusReport) show(ctx context.Context) error {
	if _, err := r.configuration.Advance(ctx); err != nil {
		return err
	}
	if _, err := r.ledger.Advance(ctx); err != nil {
		return err
	}
	status := fleetStatus{
		ConfigurationNumber: r.configuration.Current.Number,
		ConfigurationNext:   r.configuration.Current.Next,
		LedgerNext:          r.ledger.State.Next(),
		Routers:             []routerStatus{},
	}
	for _, view := range r.ledger.State.Incarnations() {
		status.Routers = append(status.Routers, newRouterStatus(view, status.ConfigurationNext))
	}
	return r.printer.Print(status, status.tables()...)
}

func newRouterStatus(view ledger.IncarnationView, next platform.Offset) routerStatus {
	lease := leaseLive
	if view.Suspended {
		lease = leaseSuspended
	}
	return routerStatus{
		Instance: view.Incarnation.Instance, Incarnation: view.Incarnation.Number,
		Region: view.Join.Region, AvailabilityZone: view.Join.AvailabilityZone, Version: view.Join.Version,
		Lease: lease, LastSeen: view.LastSeen,
		ConfigurationNumber: view.Heartbeat.ConfigurationNumber, ConfigurationNext: view.Heartbeat.ConfigurationOffset,
		Current: view.Heartbeat.ConfigurationOffset >= next,
	}
}

func (s *fleetStatus) tables() []output.Table {
	summary := output.Table{
		Columns: []string{"CONFIGURATION", "CONFIGURATION NEXT", "LEDGER NEXT", "ROUTERS"},
		Rows:    [][]string{output.Cells(s.ConfigurationNumber, s.ConfigurationNext, s.LedgerNext, len(s.Routers))},
	}
	t := output.Table{Columns: []string{"ROUTER", "REGION", "AVAILABILITY ZONE", "VERSION", "LEASE", "LAST SEEN", "CONFIGURATION", "CURRENT"}}
	for _, r := range s.Routers {
		t.Rows = append(t.Rows, output.Cells(fmt.Sprintf("%s/%d", r.Instance, r.Incarnation), r.Region, r.AvailabilityZone,
			r.Version, r.Lease, r.LastSeen, r.ConfigurationNumber, r.Current))
	}
	return []output.Table{summary, t}
}
