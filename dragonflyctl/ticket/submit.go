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
	minimumTimeout = 100 * time.Millisecond
	maximumTimeout = time.Hour
	// repeatInterval is the time after which a ticket that isn't in the log is appended again.
	repeatInterval = time.Second
)

// Submit is the verb "ticket submit".
type Submit struct {
	File    string        `arg:"" help:"Ticket file." predictor:"file"`
	Timeout time.Duration `help:"Longest wait for the outcome, 100ms to 1h." default:"30s"`
}

// Help returns the verb's description.
func (*Submit) Help() string {
	return "A ticket with budgets counts as accepted once the ledger shows their totals. " +
		"Submitting the same file again is safe: a ticket is accepted once."
}

// Validate checks the flags.
func (s *Submit) Validate() error {
	if s.Timeout < minimumTimeout || s.Timeout > maximumTimeout {
		return exit.NotAllowed("timeout", s.Timeout, "100ms to 1h")
	}
	return nil
}

// Run submits the ticket.
func (s *Submit) Run(container *dig.Container) error {
	t, data, err := load(s.File)
	if err != nil {
		return err
	}
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		bounded, cancel := context.WithTimeout(ctx, s.Timeout)
		defer cancel()
		return newSubmission(log, p, t, data).submit(bounded)
	})
}

// submission carries a ticket to its outcome.
type submission struct {
	log           platform.Log
	printer       output.Printer
	ticket        *operator.Ticket
	data          []byte
	configuration *streams.Configuration
	totals        *totals
	// appendedAt is the time of the newest append, whose answer may have been lost.
	appendedAt time.Time
	// lastErr is the newest failure of the platform; nil after an answer.
	lastErr error
}

// submitResult is the outcome of a submission.
type submitResult struct {
	Number  uint64
	Outcome string
	// Offset is where the ticket lies in the configuration stream.
	Offset  platform.Offset
	Reason  operator.RefusalReason `json:",omitempty"`
	Detail  string                 `json:",omitempty"`
	Budgets []total                `json:",omitempty"`
}

// The outcomes that submissions and lists show.
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
		totals:        newTotals(log, t),
	}
}

func (s *submission) submit(ctx context.Context) error {
	// The ledger is read first, so that no refusal of a total is missed.
	if err := s.totals.start(ctx); err != nil {
		return err
	}
	result, err := s.decide(ctx)
	if err != nil {
		return err
	}
	if result.Outcome == outcomeAccepted {
		if err := s.totals.wait(ctx); err != nil {
			return err
		}
		result.Budgets = s.totals.all
	}
	if err := s.printer.Print(result, result.tables()...); err != nil {
		return err
	}
	return result.err()
}

// decide waits for the ticket's outcome and appends the ticket as often as the log seems not to have it.
func (s *submission) decide(ctx context.Context) (*submitResult, error) {
	for {
		decisions, err := s.configuration.Advance(ctx)
		if result := s.find(decisions); result != nil {
			return result, nil
		}
		if ctx.Err() != nil {
			return nil, s.undecided()
		}
		s.lastErr = err
		switch {
		case errors.Is(err, streams.ErrTruncated):
			return nil, err
		case err == nil && time.Since(s.appendedAt) >= repeatInterval:
			s.appendedAt = time.Now()
			s.lastErr = streams.Append(ctx, s.log, platform.ConfigurationStream, s.data)
			continue
		}
		streams.Wait(ctx)
	}
}

// find returns the newest decision about these very bytes; nil if there is none.
func (s *submission) find(decisions []streams.Decision) *submitResult {
	var found *submitResult
	for _, d := range decisions {
		if bytes.Equal(d.Entry.Payload, s.data) {
			found = s.result(d)
		}
	}
	return found
}

func (s *submission) result(d streams.Decision) *submitResult {
	r := &submitResult{Number: s.ticket.Number, Offset: d.Entry.Offset}
	switch o := d.Outcome.(type) {
	case *operator.Accepted, *operator.Duplicate:
		r.Outcome = outcomeAccepted
	case *operator.Refused:
		r.Outcome, r.Reason, r.Detail = outcomeRefused, o.Reason, o.Detail
	}
	return r
}

func (s *submission) undecided() error {
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
