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

// account is a budget as its newest ticket and the ledger show it.
type account struct {
	Budget string
	Team   string
	// Ticket and Declared are those of the configuration.
	Ticket   uint64
	Declared ledger.Tokens
	// InForce is the ticket whose total the ledger has accepted; zero before the first one.
	InForce      uint64
	Prepaid      ledger.Tokens
	Spent        ledger.Tokens
	Shared       ledger.Tokens
	Available    ledger.Tokens
	OpenRequests int
	Frozen       bool
	Holders      []holder `json:",omitempty"`
}

// holder is a process start of a router that holds shares of a budget.
type holder struct {
	// Holder is the router's name and the number of its process start, which is too large for some readers of JSON.
	Holder          string
	WorkingFree     ledger.Tokens
	WorkingReserved ledger.Tokens
	ReserveFree     ledger.Tokens
	ReserveReserved ledger.Tokens
}

// accounts reads the configuration and the ledger. The two streams have no common order, so a total may be
// declared that the ledger doesn't show yet.
func accounts(ctx context.Context, log platform.Log) (map[string]account, error) {
	configuration := &streams.Configuration{Log: log}
	if _, err := configuration.Advance(ctx); err != nil {
		return nil, err
	}
	state := &streams.Ledger{Log: log}
	if _, err := state.Advance(ctx); err != nil {
		return nil, err
	}
	all := make(map[string]account)
	for name, b := range configuration.Current.Budgets {
		view, _ := state.State.Budget(name)
		all[name] = newAccount(b, view)
	}
	for _, view := range state.State.Budgets() {
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

func table(list []account) output.Table {
	t := output.Table{Columns: []string{"BUDGET", "TEAM", "TICKET", "IN FORCE", "PREPAID", "SPENT", "IN SHARES", "AVAILABLE", "OPEN", "FROZEN"}}
	for _, a := range list {
		t.Rows = append(t.Rows, output.Cells(a.Budget, a.Team, a.Ticket, a.InForce, a.Prepaid, a.Spent,
			a.Shared, a.Available, a.OpenRequests, a.Frozen))
	}
	return t
}
