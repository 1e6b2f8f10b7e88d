package budget

import (
	"context"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Show is the verb "budget show".
type Show struct {
	Name string `arg:"" help:"Name of the budget."`
}

// Help returns the verb's description.
func (*Show) Help() string {
	return "Each holder is a process start of a router; reserved tokens belong to open requests."
}

// Run shows the budget.
func (s *Show) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newView(log, p, s.Name).show(ctx)
	})
}

// view prints one budget.
type view struct {
	log     platform.Log
	printer output.Printer
	name    string
}

func newView(log platform.Log, p output.Printer, name string) *view {
	return &view{log: log, printer: p, name: name}
}

func (v *view) show(ctx context.Context) error {
	all, err := accounts(ctx, v.log)
	if err != nil {
		return err
	}
	a, found := all[v.name]
	if !found {
		return exit.ErrUnknownObject.New("no budget is named %q; \"budget list\" lists the budgets", v.name)
	}
	return v.printer.Print(a, table([]account{a}), holders(a))
}

func holders(a account) output.Table {
	t := output.Table{Columns: []string{"HOLDER", "WORKING FREE", "WORKING RESERVED", "RESERVE FREE", "RESERVE RESERVED"}}
	for _, h := range a.Holders {
		t.Rows = append(t.Rows, output.Cells(h.Holder, h.WorkingFree, h.WorkingReserved, h.ReserveFree, h.ReserveReserved))
	}
	return t
}
