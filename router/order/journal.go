package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// errUnexpectedOffset reports a log that answered a read with other entries than those asked for.
var errUnexpectedOffset = errors.New("the log left entries out")

// journal is the fold of the orders stream and the one record of this router that is on its way there.
type journal struct {
	stream platform.Log
	count  func(name string)

	state       order.State
	observation decision.Observation
	// self is the incarnation in whose name records are written.
	self     ledger.Incarnation
	sequence uint64
	lease    decision.Lease
	pending  *pendingRecord
	// lastWrittenAt is when the newest record was first sent.
	lastWrittenAt time.Time
}

// pendingRecord was sent and not read back yet.
type pendingRecord struct {
	sequence uint64
	payload  []byte
	record   order.Record
	// firstSentAt is when it was first sent: from then on its lease counts.
	firstSentAt time.Time
	lastSentAt  time.Time
}

// setWriter makes an incarnation the writer. Nothing of a former one goes on: its claims end by fences.
func (j *journal) setWriter(self ledger.Incarnation) {
	if self == j.self {
		return
	}
	j.self, j.sequence, j.pending, j.lastWrittenAt = self, 0, nil, time.Time{}
	j.lease = decision.Lease{Term: j.lease.Term, Margin: j.lease.Margin}
}

// read folds the stream up to its end.
func (j *journal) read(ctx context.Context) error {
	for {
		startedAt := time.Now()
		entries, err := j.readOnce(ctx)
		if err != nil {
			j.observation.Break()
			return err
		}
		if len(entries) == 0 {
			j.observation.Read(startedAt)
			return nil
		}
		for _, e := range entries {
			result, ok := j.state.Apply(e)
			if !ok {
				j.observation.Break()
				return fmt.Errorf("%w: got %d in place of %d", errUnexpectedOffset, e.Offset, j.state.Next())
			}
			j.confirmPending(result)
		}
	}
}

func (j *journal) readOnce(ctx context.Context) ([]platform.Entry, error) {
	bounded, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return j.stream.Read(bounded, platform.OrdersStream, j.state.Next(), readLimit)
}

// confirmPending takes note of the record on its way once it was read back.
func (j *journal) confirmPending(result order.Result) {
	p := j.pending
	if p == nil || result.Entry.Writer != j.self || result.Entry.Sequence != p.sequence {
		return
	}
	j.lease.Renew(p.firstSentAt)
	j.pending = nil
	if result.Refused != "" {
		j.count(recordRefusedPrefix + string(result.Refused))
		return
	}
	j.count(recordAccepted)
}

// append writes a record unless another one is on its way. It reports whether it did.
func (j *journal) append(ctx context.Context, record order.Record) bool {
	if j.pending != nil {
		return false
	}
	payload, err := order.Encode(order.Entry{Writer: j.self, Sequence: j.sequence + 1, Record: record})
	if err != nil {
		j.count(recordTooLarge)
		return false
	}
	j.sequence++
	j.lastWrittenAt = time.Now()
	j.pending = &pendingRecord{sequence: j.sequence, payload: payload, record: record, firstSentAt: j.lastWrittenAt}
	j.appendPending(ctx)
	return true
}

// resend appends the record on its way again if it should have been read back by now. Its copy changes nothing.
func (j *journal) resend(ctx context.Context) {
	if j.pending != nil && time.Since(j.pending.lastSentAt) >= resendInterval {
		j.count(recordResent)
		j.appendPending(ctx)
	}
}

func (j *journal) appendPending(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if _, err := j.stream.Append(bounded, platform.OrdersStream, j.pending.payload); err != nil {
		j.count(appendFailed)
	}
	j.pending.lastSentAt = time.Now()
}
