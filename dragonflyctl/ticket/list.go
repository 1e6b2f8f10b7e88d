package ticket

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/streams"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// List is the verb "ticket list".
type List struct{}

// Help returns the verb's description.
func (*List) Help() string {
	return "Entries that the log no longer keeps are listed as far as a snapshot remembers them."
}

// Run lists the tickets.
func (*List) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newLister(log, p).list(ctx)
	})
}

// lister collects the tickets of the configuration stream.
type lister struct {
	configuration *streams.Configuration
	printer       output.Printer
	lines         []line
}

// line is an entry of the configuration stream.
type line struct {
	Offset  platform.Offset
	Number  uint64 `json:",omitempty"`
	Outcome string
	Reason  operator.RefusalReason `json:",omitempty"`
	Detail  string                 `json:",omitempty"`
}

func newLister(log platform.Log, p output.Printer) *lister {
	return &lister{configuration: &streams.Configuration{Log: log}, printer: p}
}

func (l *lister) list(ctx context.Context) error {
	decisions, err := l.configuration.Advance(ctx)
	if err != nil {
		return err
	}
	l.addRemembered()
	for _, d := range decisions {
		l.lines = append(l.lines, newLine(d))
	}
	t := output.Table{Columns: []string{"OFFSET", "NUMBER", "OUTCOME", "REASON", "DETAIL"}}
	for _, r := range l.lines {
		number := any(r.Number)
		if r.Number == 0 {
			number = ""
		}
		t.Rows = append(t.Rows, output.Cells(r.Offset, number, r.Outcome, r.Reason, r.Detail))
	}
	return l.printer.Print(l.lines, t)
}

// addRemembered adds the tickets that lie below the first entry that was read.
func (l *lister) addRemembered() {
	for _, d := range l.configuration.Current.Accepted {
		if d.Offset < l.configuration.Start {
			l.lines = append(l.lines, line{Offset: d.Offset, Number: d.Number, Outcome: outcomeAccepted})
		}
	}
	for _, d := range l.configuration.Current.Refused {
		if d.Offset < l.configuration.Start {
			l.lines = append(l.lines, line{Offset: d.Offset, Number: d.Number, Outcome: outcomeRefused, Reason: d.Reason, Detail: d.Detail})
		}
	}
	slices.SortFunc(l.lines, func(a, b line) int { return cmp.Compare(a.Offset, b.Offset) })
}

func newLine(d streams.Decision) line {
	r := line{Offset: d.Entry.Offset}
	switch o := d.Outcome.(type) {
	case *operator.Accepted:
		r.Number, r.Outcome = o.Number, outcomeAccepted
	case *operator.Refused:
		r.Number, r.Outcome, r.Reason, r.Detail = o.Number, outcomeRefused, o.Reason, o.Detail
	case *operator.Duplicate:
		r.Number, r.Outcome = o.Number, outcomeDuplicate
	case *operator.Malformed:
		r.Outcome, r.Detail = outcomeMalformed, firstLine(o.Err)
	}
	return r
}

func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return text
}
