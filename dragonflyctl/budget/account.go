package budget

import (
	"context"
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/streams"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// account combines a budget's settings from its newest accepted ticket with its state in the ledger. Amounts are in tokens.
type account struct {
	Budget string
	Team   string
	// Ticket is the number of the newest accepted ticket that sets the budget, and Declared the prepaid total in that ticket.
	Ticket   uint64
	Declared ledger.Tokens
	// InForce is the number of the ticket whose prepaid total the ledger has accepted, or zero if there is none yet.
	InForce      uint64
	Prepaid      ledger.Tokens
	Spent        ledger.Tokens
	Shared       ledger.Tokens
	Available    ledger.Tokens
	OpenRequests int
	Frozen       bool
	Holders      []holder `json:",omitempty"`
}

// holder is an incarnation of a router, that is, one start of its process, with the budget's shares that it holds, in tokens.
type holder struct {
	// Holder is the router's instance and the number of its incarnation, as INSTANCE/NUMBER. It is one string because the number
	// exceeds the integers that some JSON parsers represent exactly.
	Holder          string
	WorkingFree     ledger.Tokens
	WorkingReserved ledger.Tokens
	ReserveFree     ledger.Tokens
	ReserveReserved ledger.Tokens
}

// readAccounts reads the configuration and the ledger and returns the accounts by budget name. The two streams have no common
// order, so a ticket may declare a total that the ledger doesn't show yet, and the ledger may show a budget that the configuration
// lacks.
func readAccounts(ctx context.Context, log platform.Log) (map[string]account, error) {
	configuration := &streams.Configuration{Log: log}
	if _, err := configuration.Advance(ctx); err != nil {
		return nil, err
	}
	reader := &streams.Ledger{Log: log}
	if _, err := reader.Advance(ctx); err != nil {
		return nil, err
	}
	all := make(map[string]account)
	for name, b := range configuration.Current.Budgets {
		view, _ := reader.State.Budget(name)
		all[name] = newAccount(b, view)
	}
	for _, view := range reader.State.Budgets() {
		if _, known := all[view.Budget]; !known {
			all[view.Budget] = newAccount(operator.NumberedBudget{Budget: operator.Budget{Name: view.Budget}}, view)
		}
	}
	return all, nil
}

func newAccount(b operator.NumberedBudget, view ledger.BudgetView) account {
	a := account{
		Budget: b.Name, Team: b.Team, Ticket: b.Ticket, Declared: b.Prepaid,
		InForce: view.Ticket, Prepaid: view.Prepaid, Spent: view.Spent, Shared: view.Shared,
		Available: view.Available(), OpenRequests: view.OpenRequests, Frozen: view.Frozen,
	}
	for _, h := range view.Holders {
		a.Holders = append(a.Holders, holder{
			Holder:      fmt.Sprintf("%s/%d", h.Incarnation.Instance, h.Incarnation.Number),
			WorkingFree: h.WorkingFree, WorkingReserved: h.WorkingReserved,
			ReserveFree: h.ReserveFree, ReserveReserved: h.ReserveReserved,
		})
	}
	return a
}

func accountTable(list []account) output.Table {
	t := output.Table{Columns: []string{"BUDGET", "TEAM", "TICKET", "IN FORCE", "PREPAID", "SPENT", "IN SHARES", "AVAILABLE", "OPEN", "FROZEN"}}
	for _, a := range list {
		t.Rows = append(t.Rows, output.Cells(a.Budget, a.Team, a.Ticket, a.InForce, a.Prepaid, a.Spent,
			a.Shared, a.Available, a.OpenRequests, a.Frozen))
	}
	return t
}
