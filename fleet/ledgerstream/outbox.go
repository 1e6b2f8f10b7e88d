package ledgerstream

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// recordBytes is the estimated encoded size of a record in bytes, without the name of its budget or endpoint. It is
// used to bound the size of groups.
const recordBytes = 64

// outboxEntry is a record that is to be appended, with the attempt that the record opens or closes, if any.
type outboxEntry struct {
	record  ledger.Record
	attempt *attempt
}

// outboxGroup is a sealed group of records. Its records never change, and it stays in the outbox until it was read
// back.
type outboxGroup struct {
	first    uint64
	entries  []outboxEntry
	payload  []byte
	sealedAt time.Time
	// firstSentAt is the time before the first append of the group; zero if the group was never appended.
	firstSentAt time.Time
	appendCount int
	// copies holds the instances that have a copy of the group.
	copies []string
	// acknowledged is true if the log has acknowledged an append of the group at offset. It becomes false again if
	// the group must be appended once more.
	acknowledged bool
	offset       platform.Offset
}

// last returns the sequence number of the group's last record.
func (g *outboxGroup) last() uint64 { return g.first + uint64(len(g.entries)) - 1 }

// shareKey identifies one of the incarnation's shares.
type shareKey struct {
	budget string
	kind   ledger.ShareKind
}

// outbox holds one incarnation's records until they were read back, the incarnation's leases and its open
// reservations.
type outbox struct {
	incarnation ledger.Incarnation
	// nonce distinguishes this process's Join from that of another process of the instance with the same
	// incarnation number.
	nonce uint64
	lease decision.Lease
	// reserveLease is the lease of the reserve shares.
	reserveLease decision.Lease
	// reportedPosition is the position in the configuration that the newest heartbeat contains.
	reportedPosition platform.Offset
	// joined is true once the incarnation's Join was read back as accepted.
	joined bool
	// ended is true for an incarnation that has left, lost its lease or was refused. Its records have no effect in
	// the ledger, so that its groups are removed on acknowledgement, without being read back.
	ended bool
	// suspended is true for an incarnation that lost its lease while reservations in a reserve share were open. These
	// reservations stay valid until they are closed and the incarnation leaves.
	suspended bool
	// leaving is true once Leave was queued.
	leaving  bool
	queue    []outboxEntry
	groups   []*outboxGroup
	sequence uint64
	// attempts holds the reservations that are not closed yet, by number.
	attempts map[uint64]*attempt
	// pendingTokens is the net amount that the records in the outbox will take from the free part of each share.
	pendingTokens map[shareKey]ledger.Tokens
	// newestQueuedAt is the time at which the newest record was queued, and oldestQueuedAt that of the oldest
	// record in the queue.
	newestQueuedAt time.Time
	oldestQueuedAt time.Time
	// isUrgent is true if the queued records must be sealed without delay because a caller or another router waits
	// for one of them.
	isUrgent bool
}

// newOutbox returns the empty outbox of an incarnation.
func newOutbox(incarnation ledger.Incarnation, s Settings) *outbox {
	return &outbox{
		incarnation:   incarnation,
		lease:         decision.Lease{Term: s.Lease, Margin: s.LeaseMargin},
		reserveLease:  decision.Lease{Term: s.ReserveTerm, Margin: s.LeaseMargin},
		sequence:      1,
		attempts:      map[uint64]*attempt{},
		pendingTokens: map[shareKey]ledger.Tokens{},
	}
}

// renewLeases restarts both leases at sentAt, the time before the append of a record that is in the log.
func (o *outbox) renewLeases(sentAt time.Time) {
	o.lease.Renew(sentAt)
	o.reserveLease.Renew(sentAt)
}

// maySpend reports whether a reservation in a share of the given kind may be dispatched.
func (o *outbox) maySpend(now time.Time, kind ledger.ShareKind) bool {
	switch {
	case o.ended:
		return false
	case kind == ledger.Reserve:
		return o.reserveLease.Valid(now)
	default:
		return !o.suspended && o.lease.Valid(now)
	}
}

// hasOpenReserve reports whether a reservation in a reserve share is open.
func (o *outbox) hasOpenReserve() bool {
	for _, a := range o.attempts {
		if a.kind == ledger.Reserve {
			return true
		}
	}
	return false
}

// add queues a record for the next group. Once the incarnation is leaving, it ignores all records but bills and
// releases.
func (o *outbox) add(now time.Time, entry outboxEntry) {
	if o.leaving && !closesAttempt(entry.record) {
		return
	}
	if isLeave(entry.record) {
		o.leaving = true
	}
	if len(o.queue) == 0 {
		o.oldestQueuedAt, o.isUrgent = now, false
	}
	o.queue = append(o.queue, entry)
	o.newestQueuedAt = now
	o.isUrgent = o.isUrgent || !isBill(entry.record)
	o.addPending(entry, 1)
}

// sealDelay returns the time until the queued records are to be sealed. No caller waits for a bill, so a queue of
// bills alone is delayed by billDelay: only one append is in flight at a time, and one for bills would delay the
// open that follows it.
func (o *outbox) sealDelay(now time.Time, billDelay time.Duration) (wait time.Duration, queued bool) {
	switch {
	case len(o.queue) == 0:
		return 0, false
	case o.isUrgent:
		return 0, true
	default:
		return max(0, o.oldestQueuedAt.Add(billDelay).Sub(now)), true
	}
}

func isBill(record ledger.Record) bool {
	_, ok := record.(*ledger.Bill)
	return ok
}

// addPending adds the tokens that a record takes from a share, or subtracts them again if sign is -1. The ledger
// applies an incarnation's records in sequence, so that tokens freed by a bill or release pay for the opens queued
// after it.
func (o *outbox) addPending(entry outboxEntry, sign ledger.Tokens) {
	switch r := entry.record.(type) {
	case *ledger.Open:
		o.changePending(shareKey{budget: r.Budget, kind: r.Kind}, sign*r.Amount)
	case *ledger.Return:
		o.changePending(shareKey{budget: r.Budget, kind: r.Kind}, sign*r.Amount)
	case *ledger.Bill:
		demand := entry.attempt.demand
		unspent := demand.Amount - min(r.Usage, demand.Amount)
		o.changePending(shareKey{budget: demand.Budget, kind: entry.attempt.kind}, -sign*unspent)
	case *ledger.Release:
		demand := entry.attempt.demand
		o.changePending(shareKey{budget: demand.Budget, kind: entry.attempt.kind}, -sign*demand.Amount)
	}
}

func (o *outbox) changePending(key shareKey, amount ledger.Tokens) {
	o.pendingTokens[key] += amount
	if o.pendingTokens[key] == 0 {
		delete(o.pendingTokens, key)
	}
}

// withdraw removes an attempt's open from the queue. It returns false if the open is already in a sealed group.
func (o *outbox) withdraw(a *attempt) bool {
	index := slices.IndexFunc(o.queue, func(e outboxEntry) bool {
		_, isOpen := e.record.(*ledger.Open)
		return isOpen && e.attempt == a
	})
	if index < 0 {
		return false
	}
	o.addPending(o.queue[index], -1)
	o.queue = slices.Delete(o.queue, index, index+1)
	delete(o.attempts, a.number)
	return true
}

// length returns the number of records that have not been read back.
func (o *outbox) length() int {
	n := len(o.queue)
	for _, g := range o.groups {
		n += len(g.entries)
	}
	return n
}

// oldestUnacknowledged returns the oldest sealed group that is not known to be in the log, or nil.
func (o *outbox) oldestUnacknowledged() *outboxGroup {
	for _, g := range o.groups {
		if !g.acknowledged {
			return g
		}
	}
	return nil
}

// seal creates a group from the oldest queued records, up to about limit bytes. It returns nil if the queue is
// empty.
func (o *outbox) seal(now time.Time, limit int) (*outboxGroup, error) {
	n, size := 0, 0
	for n < len(o.queue) && (n == 0 || size < limit) {
		size += estimateSize(o.queue[n].record)
		n++
	}
	if n == 0 {
		return nil, nil
	}
	g := &outboxGroup{first: o.sequence, entries: slices.Clone(o.queue[:n]), sealedAt: now}
	records := make([]ledger.Record, 0, n)
	for _, e := range g.entries {
		records = append(records, e.record)
	}
	payload, err := ledger.Encode(ledger.Group{Writer: o.incarnation, First: g.first, Records: records})
	if err != nil {
		return nil, err
	}
	g.payload = payload
	o.queue = slices.Delete(o.queue, 0, n)
	// Records that did not fit are sealed without delay.
	o.isUrgent = len(o.queue) > 0
	o.sequence += uint64(n)
	o.groups = append(o.groups, g)
	for _, e := range g.entries {
		if e.attempt != nil {
			e.attempt.sealed = true
		}
	}
	return g, nil
}

// estimateSize returns an estimate of the encoded size of a record in bytes.
func estimateSize(record ledger.Record) int {
	switch r := record.(type) {
	case *ledger.Prepaid:
		return recordBytes + len(r.Budget)
	case *ledger.Draw:
		return recordBytes + len(r.Budget)
	case *ledger.Return:
		return recordBytes + len(r.Budget)
	case *ledger.Open:
		return recordBytes + len(r.Budget)
	case *ledger.Crash:
		return recordBytes + len(r.Endpoint) + fingerprintBytes*len(r.InProgress)
	default:
		return recordBytes
	}
}

// removeApplied removes and returns the groups up to the sequence number applied, the newest in the folded state.
func (o *outbox) removeApplied(applied uint64) []*outboxGroup {
	n := 0
	for n < len(o.groups) && o.groups[n].last() <= applied {
		for _, e := range o.groups[n].entries {
			o.addPending(e, -1)
		}
		n++
	}
	removed := slices.Clone(o.groups[:n])
	o.groups = slices.Delete(o.groups, 0, n)
	return removed
}

// removeAcknowledged removes and returns the acknowledged groups of an ended incarnation, whose records have no
// effect.
func (o *outbox) removeAcknowledged() []*outboxGroup {
	applied := uint64(0)
	for _, g := range o.groups {
		if !g.acknowledged {
			break
		}
		applied = g.last()
	}
	return o.removeApplied(applied)
}

// reappendMissing marks the groups that the log acknowledged at offsets below next for another append. The fold has
// read past these groups without applying them, because its buffer of groups that arrived out of sequence was full.
func (o *outbox) reappendMissing(next platform.Offset) {
	for _, g := range o.groups {
		if g.acknowledged && g.offset < next {
			g.acknowledged = false
		}
	}
}

// withdrawWorking removes all opens in working shares from the queue and returns their attempts.
func (o *outbox) withdrawWorking() []*attempt {
	return o.removeQueued(func(record ledger.Record) bool {
		open, isOpen := record.(*ledger.Open)
		return isOpen && open.Kind == ledger.Working
	})
}

// refuseSealed refuses the undecided attempts in sealed groups. Their opens may have been accepted, and charged, in
// records that this router skipped when it loaded a snapshot, so the verdict is MayHaveRun.
func (o *outbox) refuseSealed() {
	for _, a := range o.attempts {
		if a.sealed {
			a.refuseUndecided()
		}
	}
}

// withdrawStale removes the records that have no effect after the end of the incarnation's lease, which is all but
// bills and releases, from the queue. It returns the attempts of the opens.
func (o *outbox) withdrawStale() []*attempt {
	return o.removeQueued(func(record ledger.Record) bool { return !closesAttempt(record) })
}

// removeQueued removes the queued records for which match is true and returns the attempts of the opens among them.
func (o *outbox) removeQueued(match func(ledger.Record) bool) []*attempt {
	withdrawn := []*attempt{}
	remaining := []outboxEntry{}
	for _, e := range o.queue {
		if !match(e.record) {
			remaining = append(remaining, e)
			continue
		}
		o.addPending(e, -1)
		if e.attempt != nil {
			withdrawn = append(withdrawn, e.attempt)
			delete(o.attempts, e.attempt.number)
		}
	}
	o.queue = remaining
	return withdrawn
}

// closesAttempt reports whether a record closes a reservation.
func closesAttempt(record ledger.Record) bool {
	switch record.(type) {
	case *ledger.Bill, *ledger.Release:
		return true
	default:
		return false
	}
}

// isFinished reports whether nothing is left to append and no reservation is open.
func (o *outbox) isFinished() bool {
	return len(o.queue) == 0 && len(o.groups) == 0 && len(o.attempts) == 0
}
