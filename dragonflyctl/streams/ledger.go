package streams

import (
	"context"
	"errors"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// ledgerPartition is the number of the ledger partition. A site has exactly one.
const ledgerPartition = 0

// Ledger reads the ledger's stream incrementally and holds the resulting state.
type Ledger struct {
	Log platform.Log
	// State is the ledger's state up to the last entry that was read, or nil before the first call of Advance.
	State *ledger.State
}

// Advance reads up to the stream's end and returns the events of the entries that it has read. The first call starts from the
// newest usable snapshot, which saves reading all entries that the log keeps. Advance fails with ErrTruncated if the log has dropped
// entries that weren't read yet.
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
		entries, atEnd, err := readBatch(ctx, l.Log, platform.LedgerStream(ledgerPartition), l.State.Next())
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			return events, newTruncatedError(truncated)
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

// newestSnapshot returns the newest usable snapshot of the ledger, or the empty state if there is none.
func (l *Ledger) newestSnapshot(ctx context.Context) (*ledger.State, error) {
	newest := &ledger.State{}
	assembler := &ledger.Assembler{}
	err := readRetained(ctx, l.Log, platform.LedgerSnapshotStream(ledgerPartition), func(e platform.Entry) {
		if state, err := assembler.Add(e.Payload); err == nil && state != nil {
			newest = state
		}
	})
	return newest, err
}
