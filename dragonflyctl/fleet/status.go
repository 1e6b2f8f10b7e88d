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

// Status is the verb "fleet status".
type Status struct{}

// Help returns the verb's description.
func (*Status) Help() string {
	return "A suspended router lost its lease and may spend only its reserve shares. " +
		"The configuration of a router is the one of its newest heartbeat."
}

// Run shows the routers.
func (*Status) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newReport(log, p).show(ctx)
	})
}

// report prints the state of the fleet.
type report struct {
	configuration *streams.Configuration
	ledger        *streams.Ledger
	printer       output.Printer
}

// fleetStatus is the state of the fleet as the log shows it.
type fleetStatus struct {
	// ConfigurationNumber and ConfigurationNext are what a router that has read everything has in force.
	ConfigurationNumber uint64
	ConfigurationNext   platform.Offset
	LedgerNext          platform.Offset
	Routers             []router
}

// router is one process start of a router.
type router struct {
	Instance string
	// Incarnation is a text in JSON, since it is too large for the numbers of some readers.
	Incarnation         uint64 `json:",string"`
	Region              string
	AvailabilityZone    string
	Version             string
	Lease               string
	LastSeen            platform.Offset
	ConfigurationNumber uint64
	ConfigurationNext   platform.Offset
	// Current says whether the router's configuration is the newest one.
	Current bool
}

// The states of a lease.
const (
	leaseLive      = "live"
	leaseSuspended = "suspended"
)

func newReport(log platform.Log, p output.Printer) *report {
	return &report{configuration: &streams.Configuration{Log: log}, ledger: &streams.Ledger{Log: log}, printer: p}
}

func (r *report) show(ctx context.Context) error {
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
		Routers:             []router{},
	}
	for _, view := range r.ledger.State.Incarnations() {
		status.Routers = append(status.Routers, newRouter(view, status.ConfigurationNext))
	}
	return r.printer.Print(status, status.tables()...)
}

func newRouter(view ledger.IncarnationView, next platform.Offset) router {
	lease := leaseLive
	if view.Suspended {
		lease = leaseSuspended
	}
	return router{
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
