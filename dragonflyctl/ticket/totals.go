package ticket

import (
	"context"
	"errors"
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/streams"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// totals waits until the ledger shows the prepaid totals of a ticket.
type totals struct {
	ledger *streams.Ledger
	ticket *operator.Ticket
	// refused holds the lowest totals that the ledger would have accepted.
	refused map[string]ledger.Tokens
	all     []total
}

// total is a budget's prepaid total as the ledger shows it.
type total struct {
	Budget  string
	Outcome string
	Prepaid ledger.Tokens
	Detail  string `json:",omitempty"`
}

func newTotals(log platform.Log, t *operator.Ticket) *totals {
	return &totals{ledger: &streams.Ledger{Log: log}, ticket: t, refused: make(map[string]ledger.Tokens)}
}

// start reads the ledger unless the ticket has no budgets.
func (t *totals) start(ctx context.Context) error {
	if len(t.ticket.Budgets) == 0 {
		return nil
	}
	return t.advance(ctx)
}

func (t *totals) advance(ctx context.Context) error {
	events, err := t.ledger.Advance(ctx)
	for _, event := range events {
		if e, isRefusal := event.(*ledger.PrepaidRefused); isRefusal && e.Ticket == t.ticket.Number {
			t.refused[e.Budget] = e.Needed
		}
	}
	return err
}

// wait returns once the ledger shows each total or its refusal.
func (t *totals) wait(ctx context.Context) error {
	if len(t.ticket.Budgets) == 0 {
		return nil
	}
	var lastErr error
	for {
		err := t.advance(ctx)
		missing := t.collect()
		switch {
		case missing == "":
			return nil
		case errors.Is(err, streams.ErrTruncated):
			return err
		case ctx.Err() != nil:
			return t.undecided(missing, lastErr)
		}
		lastErr = err
		streams.Wait(ctx)
	}
}

// collect fills in what the ledger shows and returns the name of a budget that it doesn't show yet.
func (t *totals) collect() string {
	t.all = t.all[:0]
	for _, b := range t.ticket.Budgets {
		view, _ := t.ledger.State.Budget(b.Name)
		needed, isRefused := t.refused[b.Name]
		switch {
		case view.Ticket == t.ticket.Number:
			t.all = append(t.all, total{Budget: b.Name, Outcome: outcomeAccepted, Prepaid: view.Prepaid})
		case view.Ticket > t.ticket.Number:
			detail := fmt.Sprintf("ticket %d is in force", view.Ticket)
			t.all = append(t.all, total{Budget: b.Name, Outcome: outcomeAccepted, Prepaid: view.Prepaid, Detail: detail})
		case isRefused:
			detail := fmt.Sprintf("%d is below what is spent and in shares; lowest total possible then: %d", b.Prepaid, needed)
			t.all = append(t.all, total{Budget: b.Name, Outcome: outcomeRefused, Prepaid: view.Prepaid, Detail: detail})
		default:
			return b.Name
		}
	}
	return ""
}

func (t *totals) undecided(budget string, err error) error {
	if err != nil {
		return fmt.Errorf("ticket %d is accepted; the ledger can't be read: %w", t.ticket.Number, err)
	}
	return exit.ErrTimedOut.New("ticket %d is accepted, but the ledger doesn't show budget %q yet; check that a router runs",
		t.ticket.Number, budget)
}
