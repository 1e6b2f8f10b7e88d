package ticket

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/streams"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	// minimumTimeout and maximumTimeout are the bounds of the flag --timeout.
	minimumTimeout = 100 * time.Millisecond
	maximumTimeout = time.Hour
	// appendRetryInterval is the interval between appends of a ticket that isn't in the log yet.
	appendRetryInterval = time.Second
)

// Submit implements the command "ticket submit".
type Submit struct {
	File    string        `arg:"" help:"Ticket file." predictor:"file"`
	Timeout time.Duration `help:"Maximum time to wait for the outcome, 100ms to 1h." default:"30s"`
}

// Help returns the detailed help text of the command.
func (*Submit) Help() string {
	return "A ticket with budgets is reported as accepted once the ledger shows their totals. " +
		"Submitting the same file again is safe: a ticket is accepted only once."
}

// Validate checks the bounds of the timeout. The argument parser calls it.
func (s *Submit) Validate() error {
	if s.Timeout < minimumTimeout || s.Timeout > maximumTimeout {
		return exit.NewInvalidFlagError("timeout", s.Timeout, "100ms to 1h")
	}
	return nil
}

// Run submits the ticket, waits for its outcome up to the timeout and prints the outcome.
func (s *Submit) Run(container *dig.Container) error {
	t, data, err := loadTicket(s.File)
	if err != nil {
		return err
	}
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		submitCtx, cancel := context.WithTimeout(ctx, s.Timeout)
		defer cancel()
		return newSubmission(log, p, t, data).submit(submitCtx)
	})
}

// submission appends a ticket to the configuration stream and waits for its outcome.
type submission struct {
	log           platform.Log
	printer       output.Printer
	ticket        *operator.Ticket
	data          []byte
	configuration *streams.Configuration
	totals        *totalsTracker
	// appendedAt is the time of the last append attempt. The entry can be in the log even if the attempt returned an error, because
	// the response may have been lost.
	appendedAt time.Time
	// lastErr is the error of the last call to the platform that ended before the timeout, or nil if that call succeeded.
	lastErr error
}

// submitResult is the outcome of a submission. Budgets holds the outcomes of the prepaid totals in the ledger.
type submitResult struct {
	Number  uint64
	Outcome string
	// Offset is the ticket's offset in the configuration stream.
	Offset  platform.Offset
	Reason  operator.RefusalReason `json:",omitempty"`
	Detail  string                 `json:",omitempty"`
	Budgets []budgetTotal          `json:",omitempty"`
}

// The outcomes that "ticket submit" and "ticket list" print.
const (
	outcomeAccepted  = "accepted"
	outcomeRefused   = "refused"
	outcomeDuplicate = "duplicate"
	outcomeMalformed = "malformed"
)

func newSubmission(log platform.Log, p output.Printer, t *operator.Ticket, data []byte) *submission {
	return &submission{
		log: log, printer: p, ticket: t, data: data,
		configuration: &streams.Configuration{Log: log},
		totals:        newTotalsTracker(log, t),
	}
}

func (s *submission) submit(ctx context.Context) error {
	// The ledger is read before the append. Otherwise the refusal of a total could be part of the snapshot from which the first
	// read starts; a snapshot shows no refusals.
	if err := s.totals.start(ctx); err != nil {
		return err
	}
	result, err := s.awaitOutcome(ctx)
	if err != nil {
		return err
	}
	if result.Outcome == outcomeAccepted {
		if err := s.totals.wait(ctx); err != nil {
			return err
		}
		result.Budgets = s.totals.results
	}
	if err := s.printer.Print(result, result.tables()...); err != nil {
		return err
	}
	return result.err()
}

// awaitOutcome polls the configuration stream for the ticket's outcome. It appends the ticket each time the log has been read to
// its end without finding the ticket and the retry interval has passed.
func (s *submission) awaitOutcome(ctx context.Context) (*submitResult, error) {
	for {
		decisions, err := s.configuration.Advance(ctx)
		if result := s.findResult(decisions); result != nil {
			return result, nil
		}
		if ctx.Err() != nil {
			return nil, s.unknownOutcomeError()
		}
		s.lastErr = err
		switch {
		case errors.Is(err, streams.ErrTruncated):
			return nil, err
		case err == nil && time.Since(s.appendedAt) >= appendRetryInterval:
			s.appendedAt = time.Now()
			s.lastErr = streams.Append(ctx, s.log, platform.ConfigurationStream, s.data)
			continue
		}
		streams.WaitPollInterval(ctx)
	}
}

// findResult returns the result of the last decision about an entry with exactly the submitted bytes, or nil if there is none.
func (s *submission) findResult(decisions []streams.Decision) *submitResult {
	var found *submitResult
	for _, d := range decisions {
		if bytes.Equal(d.Entry.Payload, s.data) {
			found = s.newResult(d)
		}
	}
	return found
}

func (s *submission) newResult(d streams.Decision) *submitResult {
	r := &submitResult{Number: s.ticket.Number, Offset: d.Entry.Offset}
	switch o := d.Outcome.(type) {
	case *operator.Accepted, *operator.Duplicate:
		r.Outcome = outcomeAccepted
	case *operator.Refused:
		r.Outcome, r.Reason, r.Detail = outcomeRefused, o.Reason, o.Detail
	}
	return r
}

func (s *submission) unknownOutcomeError() error {
	if s.lastErr != nil {
		return fmt.Errorf("it isn't known whether ticket %d is in the log; submit it again: %w", s.ticket.Number, s.lastErr)
	}
	return exit.ErrTimedOut.New("ticket %d wasn't seen in the log in time; submit it again", s.ticket.Number)
}

func (r *submitResult) tables() []output.Table {
	tables := []output.Table{{
		Columns: []string{"NUMBER", "OUTCOME", "OFFSET", "REASON", "DETAIL"},
		Rows:    [][]string{output.Cells(r.Number, r.Outcome, r.Offset, r.Reason, r.Detail)},
	}}
	if len(r.Budgets) == 0 {
		return tables
	}
	t := output.Table{Columns: []string{"BUDGET", "LEDGER", "PREPAID", "DETAIL"}}
	for _, b := range r.Budgets {
		t.Rows = append(t.Rows, output.Cells(b.Budget, b.Outcome, b.Prepaid, b.Detail))
	}
	return append(tables, t)
}

func (r *submitResult) err() error {
	if r.Outcome == outcomeRefused {
		return exit.ErrRefused.New("ticket %d was refused: %s: %s", r.Number, r.Reason, r.Detail)
	}
	for _, b := range r.Budgets {
		if b.Outcome == outcomeRefused {
			return exit.ErrRefused.New("ticket %d: the ledger refused the total of budget %q: %s", r.Number, b.Budget, b.Detail)
		}
	}
	return nil
}
