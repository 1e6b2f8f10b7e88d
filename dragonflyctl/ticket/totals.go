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

// totalsTracker follows the ledger until it shows, for each budget of a ticket, whether the prepaid total was accepted or refused.
type totalsTracker struct {
	ledger *streams.Ledger
	ticket *operator.Ticket
	// lowestTotals holds, for each budget whose total was refused, the lowest total in tokens that the ledger would have accepted.
	lowestTotals map[string]ledger.Tokens
	results      []budgetTotal
}

// budgetTotal is a budget's prepaid total in the ledger, in tokens, with the outcome of the total that the ticket declares.
type budgetTotal struct {
	Budget  string
	Outcome string
	Prepaid ledger.Tokens
	Detail  string `json:",omitempty"`
}

func newTotalsTracker(log platform.Log, t *operator.Ticket) *totalsTracker {
	return &totalsTracker{ledger: &streams.Ledger{Log: log}, ticket: t, lowestTotals: make(map[string]ledger.Tokens)}
}

// start reads the ledger up to its end. It does nothing for a ticket without budgets.
func (t *totalsTracker) start(ctx context.Context) error {
	if len(t.ticket.Budgets) == 0 {
		return nil
	}
	return t.advance(ctx)
}

func (t *totalsTracker) advance(ctx context.Context) error {
	events, err := t.ledger.Advance(ctx)
	for _, event := range events {
		if e, isRefusal := event.(*ledger.PrepaidRefused); isRefusal && e.Ticket == t.ticket.Number {
			t.lowestTotals[e.Budget] = e.Needed
		}
	}
	return err
}

// wait polls the ledger until it shows the outcome of each total. Failed reads are retried until ctx ends, except for a
// truncated stream, which no retry recovers.
func (t *totalsTracker) wait(ctx context.Context) error {
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
			return t.unknownOutcomeError(missing, lastErr)
		}
		lastErr = err
		streams.WaitPollInterval(ctx)
	}
}

// collect sets the results from the ledger's state. It returns the name of the first budget whose outcome the ledger doesn't show
// yet, or an empty name if there is none.
func (t *totalsTracker) collect() string {
	t.results = t.results[:0]
	for _, b := range t.ticket.Budgets {
		view, _ := t.ledger.State.Budget(b.Name)
		lowestTotal, isRefused := t.lowestTotals[b.Name]
		switch {
		case view.Ticket == t.ticket.Number:
			t.results = append(t.results, budgetTotal{Budget: b.Name, Outcome: outcomeAccepted, Prepaid: view.Prepaid})
		case view.Ticket > t.ticket.Number:
			detail := fmt.Sprintf("ticket %d is in force", view.Ticket)
			t.results = append(t.results, budgetTotal{Budget: b.Name, Outcome: outcomeAccepted, Prepaid: view.Prepaid, Detail: detail})
		case isRefused:
			detail := fmt.Sprintf("%d is below what is spent and in shares; lowest total possible then: %d", b.Prepaid, lowestTotal)
			t.results = append(t.results, budgetTotal{Budget: b.Name, Outcome: outcomeRefused, Prepaid: view.Prepaid, Detail: detail})
		default:
			return b.Name
		}
	}
	return ""
}

func (t *totalsTracker) unknownOutcomeError(budget string, err error) error {
	if err != nil {
		return fmt.Errorf("ticket %d is accepted; the ledger can't be read: %w", t.ticket.Number, err)
	}
	return exit.ErrTimedOut.New("ticket %d is accepted, but the ledger doesn't show budget %q yet; check that a router runs",
		t.ticket.Number, budget)
}
