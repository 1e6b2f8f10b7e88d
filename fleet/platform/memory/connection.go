package memory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Way is one caller's way to a log that others reach by their own.
type Way struct {
	*KeyedLog

	// Cut makes this caller's calls fail with platform.ErrUnavailable, without doing anything.
	Cut atomic.Bool
}

// Newest implements platform.KeyedLog.
func (w *Way) Newest(ctx context.Context, topic string, partition int) (platform.KeyedState, error) {
	if w.Cut.Load() {
		return platform.KeyedState{}, platform.ErrUnavailable
	}
	return w.KeyedLog.Newest(ctx, topic, partition)
}

// ReadKeyed implements platform.KeyedLog.
func (w *Way) ReadKeyed(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.KeyedTail, error) {
	if w.Cut.Load() {
		return platform.KeyedTail{}, platform.ErrUnavailable
	}
	return w.KeyedLog.ReadKeyed(ctx, topic, partition, from, wait)
}

// AppendAt implements platform.KeyedLog.
func (w *Way) AppendAt(ctx context.Context, topic string, partition int, at int64, records []platform.KeyedRecord) (int64, error) {
	if w.Cut.Load() {
		return 0, platform.ErrUnavailable
	}
	return w.KeyedLog.AppendAt(ctx, topic, partition, at, records)
}
