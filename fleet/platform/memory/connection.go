package memory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Way is one client's connection to a KeyedLog that several clients share. Tests cut it to isolate that client from the
// platform while the others still reach it.
type Way struct {
	*KeyedLog

	// Cut, while true, makes calls over this connection fail with platform.ErrUnavailable and without effect.
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
func (w *Way) AppendAt(ctx context.Context, topic string, partition int, end int64, records []platform.KeyedRecord) (int64, error) {
	if w.Cut.Load() {
		return 0, platform.ErrUnavailable
	}
	return w.KeyedLog.AppendAt(ctx, topic, partition, end, records)
}
