package budget

import (
	"context"
	"maps"
	"slices"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// List implements the command "budget list".
type List struct {
	Team string `help:"List only the budgets of this team." default:""`
}

// Help returns the detailed help text of the command.
func (*List) Help() string {
	return "PREPAID is the total in force, IN FORCE the ticket that set it. AVAILABLE is the number of tokens that routers can still draw."
}

// Run prints all budgets, or only those of the team if one is set.
func (l *List) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newLister(log, p, l.Team).list(ctx)
	})
}

// lister prints the budgets of a team, or all budgets if team is empty.
type lister struct {
	log     platform.Log
	printer output.Printer
	team    string
}

func newLister(log platform.Log, p output.Printer, team string) *lister {
	return &lister{log: log, printer: p, team: team}
}

func (l *lister) list(ctx context.Context) error {
	all, err := readAccounts(ctx, l.log)
	if err != nil {
		return err
	}
	list := make([]account, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a := all[name]
		if l.team == "" || l.team == a.Team {
			a.Holders = nil
			list = append(list, a)
		}
	}
	if l.team != "" && len(list) == 0 {
		return exit.NewInvalidFlagError("team", l.team, "the name of a team that has a budget")
	}
	return l.printer.Print(list, accountTable(list))
}
