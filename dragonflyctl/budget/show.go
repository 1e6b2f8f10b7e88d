package budget

import (
	"context"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Show implements the command "budget show".
type Show struct {
	Name string `arg:"" help:"Name of the budget."`
}

// Help returns the detailed help text of the command.
func (*Show) Help() string {
	return "Each holder is one incarnation (process start) of a router; reserved tokens belong to open requests."
}

// Run prints the budget with the holders of its shares. It fails if no budget has the name.
func (s *Show) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newBudgetReport(log, p, s.Name).show(ctx)
	})
}

// budgetReport prints a single budget with the holders of its shares.
type budgetReport struct {
	log     platform.Log
	printer output.Printer
	name    string
}

func newBudgetReport(log platform.Log, p output.Printer, name string) *budgetReport {
	return &budgetReport{log: log, printer: p, name: name}
}

func (r *budgetReport) show(ctx context.Context) error {
	all, err := readAccounts(ctx, r.log)
	if err != nil {
		return err
	}
	a, found := all[r.name]
	if !found {
		return exit.ErrNotFound.New("no budget is named %q; \"budget list\" lists the budgets", r.name)
	}
	return r.printer.Print(a, accountTable([]account{a}), holderTable(a))
}

func holderTable(a account) output.Table {
	t := output.Table{Columns: []string{"HOLDER", "WORKING FREE", "WORKING RESERVED", "RESERVE FREE", "RESERVE RESERVED"}}
	for _, h := range a.Holders {
		t.Rows = append(t.Rows, output.Cells(h.Holder, h.WorkingFree, h.WorkingReserved, h.ReserveFree, h.ReserveReserved))
	}
	return t
}
