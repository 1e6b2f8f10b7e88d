package order

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// writeDueSnapshot appends a snapshot of the orders stream if one is due, so that the log may drop the beginning of the
// stream. A state that has not changed is written again, because the log may be about to drop the newest snapshot.
func (o *Orderer) writeDueSnapshot(ctx context.Context) {
	now := time.Now()
	if o.snapshotAt.IsZero() {
		o.snapshotAt = now.Add(o.snapshotDelay())
	}
	if now.Before(o.snapshotAt) || o.journal.state.Next() == 0 {
		return
	}
	o.snapshotAt = now.Add(o.snapshotDelay())
	payload, err := o.journal.state.EncodeSnapshot()
	if err == nil {
		bounded, cancel := context.WithTimeout(ctx, logTimeout)
		defer cancel()
		_, err = o.journal.stream.Append(bounded, platform.OrdersSnapshotStream, payload)
	}
	if err != nil {
		o.board.Count(snapshotFailed)
		return
	}
	o.board.Count(snapshotWritten)
}

// snapshotDelay returns the jittered delay until this router's next snapshot.
func (o *Orderer) snapshotDelay() time.Duration {
	fraction := rand.Float64() //nolint:gosec // jitter needs no secrecy
	return decision.SnapshotWait(o.settings.SnapshotInterval, len(o.routers), fraction)
}

// recoverFromSnapshot replaces the folded state by the newest usable snapshot that is newer, after the log has dropped
// entries that this router had not read. Without such a snapshot the router gives no orders, because claims and orders
// that it can't see may be in force. The search is repeated at most once per idleReadInterval.
func (o *Orderer) recoverFromSnapshot(ctx context.Context) {
	o.board.Count(streamTruncated)
	if time.Since(o.recoveryTriedAt) < idleReadInterval {
		return
	}
	o.recoveryTriedAt = time.Now()
	newest := &o.journal.state
	reader := platform.RetainedReader{
		Log: o.journal.stream, Stream: platform.OrdersSnapshotStream, Limit: snapshotReadLimit, CallTimeout: logTimeout,
	}
	err := reader.Read(ctx, func(e platform.Entry) {
		state, err := order.DecodeSnapshot(e.Payload)
		if err != nil {
			o.board.Count(snapshotMalformed)
			return
		}
		if state.Next() > newest.Next() {
			newest = state
		}
	})
	if err != nil || newest == &o.journal.state {
		o.board.Count(snapshotMissing)
		return
	}
	o.journal.state = *newest
	o.logger.WithField("Next", newest.Next()).Info("orders state restored from a snapshot")
}
