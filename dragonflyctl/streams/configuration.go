package streams

import (
	"context"
	"errors"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Decision is an entry of the configuration stream with what the fold made of it.
type Decision struct {
	Entry   platform.Entry
	Outcome operator.Outcome
}

// Configuration follows the configuration stream.
type Configuration struct {
	Log platform.Log
	// Current is the configuration that was read last; nil before the first read.
	Current *operator.Configuration
	// Start is the first offset whose decision was seen; the ones below it come from a snapshot.
	Start platform.Offset
}

// Advance reads to the stream's end and returns what was decided on the way.
func (c *Configuration) Advance(ctx context.Context) ([]Decision, error) {
	if c.Current == nil {
		c.Current = &operator.Configuration{}
	}
	var decisions []Decision
	for {
		entries, atEnd, err := read(ctx, c.Log, platform.ConfigurationStream, c.Current.Next)
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			if err := c.recover(ctx, truncated); err != nil {
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

// recover continues from the newest usable snapshot.
func (c *Configuration) recover(ctx context.Context, truncated *platform.TruncatedError) error {
	newest := c.Current
	assembler := &operator.SnapshotAssembler{}
	err := readAll(ctx, c.Log, platform.ConfigurationSnapshotStream, func(e platform.Entry) {
		if snapshot, err := assembler.Add(e.Payload); err == nil && snapshot != nil {
			newest = operator.Newer(newest, snapshot)
		}
	})
	if err != nil {
		return err
	}
	if newest.Next < truncated.First {
		return truncation(truncated)
	}
	c.Current = newest
	c.Start = newest.Next
	return nil
}
