package ledgerstream

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// attempt is one reservation from its demand to its bill or release. The client's lock guards its fields, and its
// channels are closed under that lock.
type attempt struct {
	client *Client
	demand Demand
	// outbox and number are set when the open is queued.
	outbox *outbox
	number uint64
	// kind is the kind of share that pays for the reservation.
	kind ledger.ShareKind
	// sealed is true once the open is in a sealed group and may have left the process.
	sealed bool
	// accepted and refusal are the ledger's decision; both are unset until the decision is known.
	accepted bool
	refusal  *verdict.Refusal
	// settled is true if the ledger charged the open because the incarnation was fenced.
	settled  bool
	released bool
	// closeQueued is true once the bill or the release was queued.
	closeQueued bool
	// startedAt is the time at which the attempt began to wait for a share.
	startedAt time.Time
	// refusedDraws is the number of refused draws while the attempt waited.
	refusedDraws int
	// recalledAt is the time at which the first refused draw was read, and recallEnd the offset after it. Records
	// of other routers from recallEnd on may answer the recall.
	recalledAt time.Time
	recallEnd  platform.Offset
	// expired is true once the wait for a share has timed out. The next complete read then decides whether the
	// attempt is refused.
	expired bool

	queuedSignal       chan struct{}
	acknowledgedSignal chan struct{}
	decidedSignal      chan struct{}
	releaseSignal      chan struct{}
	// copiedSignal is closed once a router in another availability zone holds a copy of the open.
	copiedSignal chan struct{}
}

// newAttempt returns an attempt whose open is not queued yet.
func (c *Client) newAttempt(demand Demand) *attempt {
	return &attempt{
		client:             c,
		demand:             demand,
		startedAt:          time.Now(),
		queuedSignal:       make(chan struct{}),
		acknowledgedSignal: make(chan struct{}),
		decidedSignal:      make(chan struct{}),
		releaseSignal:      make(chan struct{}),
		copiedSignal:       make(chan struct{}),
	}
}

// queue adds the attempt's open to the outbox of the current incarnation.
func (a *attempt) queue() {
	c := a.client
	c.attempts++
	a.number = c.attempts
	a.outbox = c.current
	a.outbox.attempts[a.number] = a
	c.enqueueIn(a.outbox, outboxEntry{attempt: a, record: &ledger.Open{
		Request:     a.demand.Request,
		Fingerprint: a.demand.Fingerprint,
		Attempt:     a.number,
		Budget:      a.demand.Budget,
		Kind:        a.kind,
		Amount:      a.demand.Amount,
		Idempotent:  a.demand.Idempotent,
	}})
	close(a.queuedSignal)
}

func (a *attempt) isDecided() bool { return a.accepted || a.refusal != nil }

// accept records that the open was read back as accepted.
func (a *attempt) accept() {
	if a.isDecided() {
		return
	}
	a.accepted = true
	close(a.decidedSignal)
}

// refuse ends an undecided attempt with a refusal and removes it from its outbox.
func (a *attempt) refuse(refusal *verdict.Refusal) {
	if a.isDecided() {
		return
	}
	a.refusal = refusal
	if a.outbox != nil {
		delete(a.outbox.attempts, a.number)
	}
	close(a.decidedSignal)
}

// refuseUndecided refuses an attempt whose open was applied without an event that decided it.
func (a *attempt) refuseUndecided() {
	a.refuse(&verdict.Refusal{Reason: verdict.Internal, Detail: "the ledger did not decide on the reservation"})
}

// acknowledge records that the log acknowledged the open within a valid lease.
func (a *attempt) acknowledge() {
	if !isClosed(a.acknowledgedSignal) {
		close(a.acknowledgedSignal)
	}
}

// completeRelease signals that the release was read back or can no longer change anything.
func (a *attempt) completeRelease() {
	if !isClosed(a.releaseSignal) {
		close(a.releaseSignal)
	}
}

// wasNotRun reports whether the ledger charges nothing for the attempt: it was released, or refused as not run.
func (a *attempt) wasNotRun() bool {
	return a.released || a.refusal != nil && a.refusal.Verdict == verdict.NotRun
}

// CheckDispatch returns a refusal if the ledger has refused the reservation, if the lease of its share has lapsed, or
// if the ledger has charged the reservation because the incarnation was fenced. In the last two cases the verdict is
// MayHaveRun: the reservation is in the log, and only a release can show that the request was not run.
func (a *attempt) CheckDispatch() error {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.refusal != nil {
		return a.refusal
	}
	if a.settled || !a.outbox.maySpend(time.Now(), a.kind) {
		c.count(dispatchRefused, 1)
		return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.LeaseExpired}
	}
	return nil
}

// Bill closes the reservation with its usage in tokens.
func (a *attempt) Bill(usage ledger.Tokens) {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	a.queueClose(&ledger.Bill{Request: a.demand.Request, Attempt: a.number, Usage: max(usage, 0)})
}

// Release frees the reservation of a request that was not run. It waits until the release was read back or ctx
// ends.
func (a *attempt) Release(ctx context.Context) error {
	c := a.client
	c.mu.Lock()
	a.queueClose(&ledger.Release{Request: a.demand.Request, Attempt: a.number})
	c.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-a.releaseSignal:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.wasNotRun() {
		return nil
	}
	c.count(releaseUnknown, 1)
	return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.OutcomeUnknown, Cause: ctx.Err()}
}

// queueClose queues the bill or release that closes the reservation; later calls do nothing. If the ledger refused
// the reservation after its open was acknowledged, there is nothing to close, and no record is queued.
func (a *attempt) queueClose(record ledger.Record) {
	if a.closeQueued {
		return
	}
	a.closeQueued = true
	if a.refusal != nil {
		a.client.count(closeRefused, 1)
		a.completeRelease()
		return
	}
	a.client.enqueueIn(a.outbox, outboxEntry{record: record, attempt: a})
}

// refusalOf maps the ledger's reason for refusing an open to the refusal that the caller receives.
func refusalOf(reason ledger.RefusalReason) *verdict.Refusal {
	switch reason {
	case ledger.UnknownBudget:
		return verdict.Refuse(verdict.BudgetNotYetInLedger, "")
	case ledger.FrozenBudget:
		return verdict.Refuse(verdict.BudgetFrozen, "")
	case ledger.Insufficient:
		return verdict.Refuse(verdict.BudgetExhausted, "")
	case ledger.NotLive:
		return leaseExpiredRefusal()
	case ledger.FingerprintMismatch:
		return verdict.Refuse(verdict.IdempotencyKeyReused, "")
	case ledger.AlreadyOpen:
		return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.RequestInProgress}
	case ledger.AlreadyRan:
		return &verdict.Refusal{Verdict: verdict.Ran, Reason: verdict.RequestAlreadyRan}
	default:
		return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.Internal, Detail: string(reason)}
	}
}

func leaseExpiredRefusal() *verdict.Refusal { return verdict.Refuse(verdict.LeaseExpired, "") }

func unreachableRefusal() *verdict.Refusal { return verdict.Refuse(verdict.LedgerUnreachable, "") }

// contextRefusal returns the refusal of a request whose context ended before a record left the process.
func contextRefusal(ctx context.Context) *verdict.Refusal {
	reason := verdict.CallerDisconnected
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = verdict.DeadlineTooShort
	}
	return &verdict.Refusal{Verdict: verdict.NotRun, Reason: reason, Cause: context.Cause(ctx)}
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}
