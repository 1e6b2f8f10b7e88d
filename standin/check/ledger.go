// Package check verifies the guarantees of the router fleet, which it calls promises, after a load: it compares the answers
// that callers received, the runs that endpoints counted and the charges in the ledger.
package check

import (
	"context"
	"fmt"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// readBatch is the maximum number of ledger entries that one read returns.
const readBatch = 1000

// Charge is the sum of the ledger's charges for one request.
type Charge struct {
	// Bills is the number of closed reservations with a charge above zero.
	Bills  int
	Amount ledger.Tokens
	// Settled reports whether a charge comes from settling the open reservations of a lost router.
	Settled bool
}

// Ledger folds the entries of one ledger partition and collects charges and overspending from the resulting events. The zero
// value has folded no entry.
type Ledger struct {
	Partition int

	state   ledger.State
	next    platform.Offset
	charges map[ledger.RequestIdentifier]Charge
	// overspends describes each offset at which the spent and shared tokens of a budget exceeded its prepaid total.
	overspends []string
	// maxOverspend is the largest number of tokens by which the spent and shared tokens of a budget exceeded its prepaid
	// total.
	maxOverspend ledger.Tokens
	// settledBills counts the bills that come from settling the reservations of lost routers.
	settledBills int
}

// CatchUp folds the entries of the partition from the last position up to its current end.
func (l *Ledger) CatchUp(ctx context.Context, log platform.Log) error {
	for {
		entries, err := log.Read(ctx, platform.LedgerStream(l.Partition), l.next, readBatch)
		if err != nil {
			return fmt.Errorf("read ledger partition %d: %w", l.Partition, err)
		}
		if len(entries) == 0 {
			return nil
		}
		for _, entry := range entries {
			l.apply(entry)
		}
	}
}

func (l *Ledger) apply(entry platform.Entry) {
	l.next = entry.Offset + 1
	for _, event := range l.state.Apply(entry) {
		l.checkEvent(entry.Offset, event)
	}
}

// checkEvent records a charge and checks the budget of an event for overspending. Events without a budget change no balance.
func (l *Ledger) checkEvent(offset platform.Offset, event ledger.Event) {
	switch e := event.(type) {
	case *ledger.Billed:
		l.addCharge(e)
		l.checkBudget(offset, e.Budget)
	case *ledger.Granted:
		l.checkBudget(offset, e.Budget)
	case *ledger.Returned:
		l.checkBudget(offset, e.Budget)
	case *ledger.PrepaidAccepted:
		l.checkBudget(offset, e.Budget)
	}
}

func (l *Ledger) addCharge(e *ledger.Billed) {
	if e.Settled {
		l.settledBills++
	}
	if e.Charged <= 0 {
		return
	}
	if l.charges == nil {
		l.charges = make(map[ledger.RequestIdentifier]Charge)
	}
	charge := l.charges[e.Request]
	charge.Bills++
	charge.Amount += e.Charged
	charge.Settled = charge.Settled || e.Settled
	l.charges[e.Request] = charge
}

func (l *Ledger) checkBudget(offset platform.Offset, name string) {
	budget, known := l.state.Budget(name)
	if !known {
		return
	}
	if budget.Spent > budget.Prepaid || budget.Spent+budget.Shared > budget.Prepaid {
		l.maxOverspend = max(l.maxOverspend, budget.Spent+budget.Shared-budget.Prepaid)
		l.overspends = append(l.overspends, fmt.Sprintf("%s at offset %d of partition %d", name, offset, l.Partition))
	}
}

// Ledgers holds the partitions of one ledger, indexed by partition number.
type Ledgers []*Ledger

// NewLedgers returns a ledger whose partitions have folded no entry.
func NewLedgers(partitions int) Ledgers {
	ledgers := make(Ledgers, partitions)
	for i := range ledgers {
		ledgers[i] = &Ledger{Partition: i}
	}
	return ledgers
}

// CatchUp folds the entries of every partition up to its current end.
func (l Ledgers) CatchUp(ctx context.Context, log platform.Log) error {
	for _, partition := range l {
		if err := partition.CatchUp(ctx, log); err != nil {
			return err
		}
	}
	return nil
}

// Charge returns the charges for the request of a team with an idempotency key.
func (l Ledgers) Charge(team, key string) Charge {
	partition := l[ledger.PartitionOf(team, len(l))]
	return partition.charges[ledger.NewRequestIdentifier(team, key)]
}

// Budgets returns the budgets of all partitions, ordered by partition.
func (l Ledgers) Budgets() []ledger.BudgetView {
	var budgets []ledger.BudgetView
	for _, partition := range l {
		budgets = slices.Concat(budgets, partition.state.Budgets())
	}
	return budgets
}

// LiveIncarnations returns the number of incarnations that hold a lease. Reading partition 0 is enough: all partitions
// of a ledger have the same incarnations.
func (l Ledgers) LiveIncarnations() int {
	live := 0
	for _, incarnation := range l[0].state.Incarnations() {
		if !incarnation.Suspended {
			live++
		}
	}
	return live
}
