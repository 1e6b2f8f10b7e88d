package streams

import (
	"context"
	"errors"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// partition is the one ledger partition of a site.
const partition = 0

// Ledger follows the stream of the ledger.
type Ledger struct {
	Log platform.Log
	// State is the state that was read last; nil before the first read.
	State *ledger.State
}

// Advance reads to the stream's end and returns the events on the way. The first call starts from the newest
// usable snapshot, so that it needn't read everything that the log keeps.
func (l *Ledger) Advance(ctx context.Context) ([]ledger.Event, error) {
	if l.State == nil {
		state, err := l.newestSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		l.State = state
	}
	var events []ledger.Event
	for {
		entries, atEnd, err := read(ctx, l.Log, platform.LedgerStream(partition), l.State.Next())
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			return events, truncation(truncated)
		}
		if err != nil {
			return events, err
		}
		for _, e := range entries {
			events = append(events, l.State.Apply(e)...)
		}
		if atEnd {
			return events, nil
		}
	}
}

// newestSnapshot returns the state before the first entry if there is no snapshot.
func (l *Ledger) newestSnapshot(ctx context.Context) (*ledger.State, error) {
	newest := &ledger.State{}
	assembler := &ledger.Assembler{}
	err := readAll(ctx, l.Log, platform.LedgerSnapshotStream(partition), func(e platform.Entry) {
		if state, err := assembler.Add(e.Payload); err == nil && state != nil {
			newest = state
		}
	})
	return newest, err
}
