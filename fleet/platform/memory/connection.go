package memory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Connection is one client's connection to a KeyedLog that several clients share. Tests cut it to isolate that client
// from the platform while the others still reach it.
type Connection struct {
	*KeyedLog

	// Cut, while true, makes calls over this connection fail with platform.ErrUnavailable and without effect. Calls that
	// are in progress when it becomes true fail too, but may have taken effect.
	Cut atomic.Bool
}

// resultUnlessCut returns the result of a call, or platform.ErrUnavailable if the connection was cut before the result
// arrived.
func resultUnlessCut[T any](c *Connection, result T, err error) (T, error) {
	if c.Cut.Load() {
		var none T
		return none, platform.ErrUnavailable
	}
	return result, err
}

// Newest implements platform.KeyedLog.
func (c *Connection) Newest(ctx context.Context, topic string, partition int) (platform.KeyedState, error) {
	if c.Cut.Load() {
		return platform.KeyedState{}, platform.ErrUnavailable
	}
	result, err := c.KeyedLog.Newest(ctx, topic, partition)
	return resultUnlessCut(c, result, err)
}

// ReadKeyed implements platform.KeyedLog.
func (c *Connection) ReadKeyed(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.KeyedTail, error) {
	if c.Cut.Load() {
		return platform.KeyedTail{}, platform.ErrUnavailable
	}
	result, err := c.KeyedLog.ReadKeyed(ctx, topic, partition, from, wait)
	return resultUnlessCut(c, result, err)
}

// AppendAt implements platform.KeyedLog.
func (c *Connection) AppendAt(ctx context.Context, topic string, partition int, end int64, records []platform.KeyedRecord) (int64, error) {
	if c.Cut.Load() {
		return 0, platform.ErrUnavailable
	}
	result, err := c.KeyedLog.AppendAt(ctx, topic, partition, end, records)
	return resultUnlessCut(c, result, err)
}
