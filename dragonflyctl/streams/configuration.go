package streams

import (
	"context"
	"errors"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Decision is an entry of the configuration stream with its outcome in the fold.
type Decision struct {
	Entry   platform.Entry
	Outcome operator.Outcome
}

// Configuration reads the configuration stream incrementally and holds the resulting configuration.
type Configuration struct {
	Log platform.Log
	// Current is the configuration up to the last entry that was read, or nil before the first call of Advance.
	Current *operator.Configuration
	// FirstOffset is the offset of the first entry that was read from the stream. Entries below it are known from a
	// snapshot only.
	FirstOffset platform.Offset
}

// Advance reads up to the stream's end and returns the decisions about the entries that it has read. If the log has dropped entries
// that weren't read yet, it continues from a snapshot, or fails with ErrTruncated if no usable snapshot covers them.
func (c *Configuration) Advance(ctx context.Context) ([]Decision, error) {
	if c.Current == nil {
		c.Current = &operator.Configuration{}
	}
	var decisions []Decision
	for {
		entries, atEnd, err := readBatch(ctx, c.Log, platform.ConfigurationStream, c.Current.Next)
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			if err := c.restoreSnapshot(ctx, truncated); err != nil {
				return decisions, err
			}
			continue
		}
		if err != nil {
			return decisions, err
		}
		next, outcomes := c.Current.ApplyAll(entries)
		c.Current = next
		for i, outcome := range outcomes {
			decisions = append(decisions, Decision{Entry: entries[i], Outcome: outcome})
		}
		if atEnd {
			return decisions, nil
		}
	}
}

// restoreSnapshot replaces the current configuration by the newest usable snapshot. It fails with ErrTruncated if that snapshot
// ends below the first entry that the log still keeps.
func (c *Configuration) restoreSnapshot(ctx context.Context, truncated *platform.TruncatedError) error {
	newest := c.Current
	assembler := &operator.SnapshotAssembler{}
	err := readRetained(ctx, c.Log, platform.ConfigurationSnapshotStream, func(e platform.Entry) {
		if snapshot, err := assembler.Add(e.Payload); err == nil && snapshot != nil {
			newest = operator.SelectNewer(newest, snapshot)
		}
	})
	if err != nil {
		return err
	}
	if newest.Next < truncated.First {
		return newTruncatedError(truncated)
	}
	c.Current = newest
	c.FirstOffset = newest.Next
	return nil
}
