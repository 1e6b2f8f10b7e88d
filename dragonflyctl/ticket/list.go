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

// List implements the command "ticket list".
type List struct{}

// Help returns the detailed help text of the command.
func (*List) Help() string {
	return "Entries that the log no longer keeps are listed only if the snapshot contains them."
}

// Run prints the tickets of the configuration stream with their outcomes.
func (*List) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, log platform.Log, p output.Printer) error {
		return newLister(log, p).list(ctx)
	})
}

// lister reads the configuration stream and prints its tickets in the order of their offsets.
type lister struct {
	configuration *streams.Configuration
	printer       output.Printer
	entries       []listEntry
}

// listEntry is an entry of the configuration stream with its outcome. Number is zero if the ticket is malformed.
type listEntry struct {
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
	l.addFromSnapshot()
	for _, d := range decisions {
		l.entries = append(l.entries, newListEntry(d))
	}
	t := output.Table{Columns: []string{"OFFSET", "NUMBER", "OUTCOME", "REASON", "DETAIL"}}
	for _, e := range l.entries {
		number := any(e.Number)
		if e.Number == 0 {
			number = ""
		}
		t.Rows = append(t.Rows, output.Cells(e.Offset, number, e.Outcome, e.Reason, e.Detail))
	}
	return l.printer.Print(l.entries, t)
}

// addFromSnapshot adds the tickets that the configuration snapshot records below the first offset that was read from the stream.
// Snapshots record accepted and refused tickets only.
func (l *lister) addFromSnapshot() {
	for _, d := range l.configuration.Current.Accepted {
		if d.Offset < l.configuration.FirstOffset {
			l.entries = append(l.entries, listEntry{Offset: d.Offset, Number: d.Number, Outcome: outcomeAccepted})
		}
	}
	for _, d := range l.configuration.Current.Refused {
		if d.Offset < l.configuration.FirstOffset {
			l.entries = append(l.entries, listEntry{Offset: d.Offset, Number: d.Number, Outcome: outcomeRefused, Reason: d.Reason, Detail: d.Detail})
		}
	}
	slices.SortFunc(l.entries, func(a, b listEntry) int { return cmp.Compare(a.Offset, b.Offset) })
}

func newListEntry(d streams.Decision) listEntry {
	e := listEntry{Offset: d.Entry.Offset}
	switch o := d.Outcome.(type) {
	case *operator.Accepted:
		e.Number, e.Outcome = o.Number, outcomeAccepted
	case *operator.Refused:
		e.Number, e.Outcome, e.Reason, e.Detail = o.Number, outcomeRefused, o.Reason, o.Detail
	case *operator.Duplicate:
		e.Number, e.Outcome = o.Number, outcomeDuplicate
	case *operator.Malformed:
		e.Outcome, e.Detail = outcomeMalformed, firstLine(o.Err)
	}
	return e
}

func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return text
}
