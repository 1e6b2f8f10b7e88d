// Package check compares what callers saw, what endpoints ran and what the ledger charged, and says
// which of the fleet's promises were broken.
package check

import (
	"context"
	"fmt"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const readEntries = 1000

// Charge is what the ledger charged for one request.
type Charge struct {
	// Bills counts the closed reservations that were charged.
	Bills  int
	Amount ledger.Tokens
	// Settled says that a charge came from the settlement of a lost router.
	Settled bool
}

// Ledger is the fold of one partition with what the events of all offsets say. Its zero value is the
// fold of no entry.
type Ledger struct {
	Partition int

	state   ledger.State
	next    platform.Offset
	charges map[ledger.RequestIdentifier]Charge
	// overspent lists the offsets at which a budget had spent and shared out more than was prepaid.
	overspent []string
	// overspend is the most tokens by which one had.
	overspend ledger.Tokens
	// settled counts the bills that came from settlements.
	settled int
}

// Follow folds the partition up to its end.
func (l *Ledger) Follow(ctx context.Context, log platform.Log) error {
	for {
		entries, err := log.Read(ctx, platform.LedgerStream(l.Partition), l.next, readEntries)
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
		l.note(entry.Offset, event)
	}
}

// note looks at the budget that an event names: only such a budget can have changed.
func (l *Ledger) note(offset platform.Offset, event ledger.Event) {
	switch e := event.(type) {
	case *ledger.Billed:
		l.charge(e)
		l.checkBudget(offset, e.Budget)
	case *ledger.Granted:
		l.checkBudget(offset, e.Budget)
	case *ledger.Returned:
		l.checkBudget(offset, e.Budget)
	case *ledger.PrepaidAccepted:
		l.checkBudget(offset, e.Budget)
	}
}

func (l *Ledger) charge(e *ledger.Billed) {
	if e.Settled {
		l.settled++
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
		l.overspend = max(l.overspend, budget.Spent+budget.Shared-budget.Prepaid)
		l.overspent = append(l.overspent, fmt.Sprintf("%s at offset %d of partition %d", name, offset, l.Partition))
	}
}

// Ledgers are the partitions of one ledger, by number.
type Ledgers []*Ledger

// NewLedgers returns the partitions before their first entry.
func NewLedgers(partitions int) Ledgers {
	ledgers := make(Ledgers, partitions)
	for i := range ledgers {
		ledgers[i] = &Ledger{Partition: i}
	}
	return ledgers
}

// Follow folds every partition up to its end.
func (l Ledgers) Follow(ctx context.Context, log platform.Log) error {
	for _, partition := range l {
		if err := partition.Follow(ctx, log); err != nil {
			return err
		}
	}
	return nil
}

// Charge returns what was charged for a team's request.
func (l Ledgers) Charge(team, key string) Charge {
	partition := l[ledger.PartitionOf(team, len(l))]
	return partition.charges[ledger.NewRequestIdentifier(team, key)]
}

// Budgets returns the budgets of all partitions.
func (l Ledgers) Budgets() []ledger.BudgetView {
	var budgets []ledger.BudgetView
	for _, partition := range l {
		budgets = slices.Concat(budgets, partition.state.Budgets())
	}
	return budgets
}

// Live counts the incarnations that hold a lease; partitions of one ledger have the same ones.
func (l Ledgers) Live() int {
	live := 0
	for _, incarnation := range l[0].state.Incarnations() {
		if !incarnation.Suspended {
			live++
		}
	}
	return live
}
