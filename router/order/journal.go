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

// errUnexpectedOffset reports a log that answered a read with entries other than the requested ones.
var errUnexpectedOffset = errors.New("log returned an entry at an unexpected offset")

// journal folds the orders stream and appends this router's records to it, at most one unconfirmed record at a time.
type journal struct {
	stream platform.Log
	count  func(name string)

	state          order.State
	readContinuity decision.ReadContinuity
	// self is the incarnation that is recorded as the writer of this router's records.
	self     ledger.Incarnation
	sequence uint64
	lease    decision.Lease
	// pending is the unconfirmed record; nil if there is none.
	pending *pendingRecord
	// lastWrittenAt is the start of the first append of this router's newest record.
	lastWrittenAt time.Time
}

// pendingRecord is a record that was appended and has not been read back yet.
type pendingRecord struct {
	sequence uint64
	payload  []byte
	record   order.Record
	// firstSentAt is the start of the record's first append. The lease that the record renews counts from this time.
	firstSentAt time.Time
	// lastSentAt is the end of the record's newest append.
	lastSentAt time.Time
}

// setWriter sets the incarnation that writes records. A new incarnation starts without a lease and without a pending
// record; the claims of the former incarnation end by fences.
func (j *journal) setWriter(self ledger.Incarnation) {
	if self == j.self {
		return
	}
	j.self, j.sequence, j.pending, j.lastWrittenAt = self, 0, nil, time.Time{}
	j.lease = decision.Lease{Term: j.lease.Term, Margin: j.lease.Margin}
}

// read folds the orders stream up to its end. An error ends the period of reading without a gap, which a router needs to
// fence unresponsive orderers.
func (j *journal) read(ctx context.Context) error {
	for {
		startedAt := time.Now()
		entries, err := j.readOnce(ctx)
		if err != nil {
			j.readContinuity.Interrupt()
			return err
		}
		if len(entries) == 0 {
			j.readContinuity.RecordRead(startedAt)
			return nil
		}
		for _, e := range entries {
			result, ok := j.state.Apply(e)
			if !ok {
				j.readContinuity.Interrupt()
				return fmt.Errorf("%w: got %d, want %d", errUnexpectedOffset, e.Offset, j.state.Next())
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

// confirmPending clears the pending record and renews the lease if result belongs to the pending record. The lease is
// renewed also if the record was refused.
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

// append appends a record to the orders stream unless another record is pending. It returns false if another
// record is pending or the record can't be encoded. After a failed append it returns true, and resend appends again.
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

// resend appends the pending record again if it has not been read back within resendInterval. If the log then holds both
// copies, the second copy has no effect.
func (j *journal) resend(ctx context.Context) {
	if j.pending != nil && time.Since(j.pending.lastSentAt) >= resendInterval {
		j.count(recordResent)
		j.appendPending(ctx)
	}
}

// appendPending makes one attempt to append the pending record.
func (j *journal) appendPending(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if _, err := j.stream.Append(bounded, platform.OrdersStream, j.pending.payload); err != nil {
		j.count(appendFailed)
	}
	j.pending.lastSentAt = time.Now()
}
