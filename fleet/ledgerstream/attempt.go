package ledgerstream

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// attempt is one reservation from its demand to its bill or release. Its fields are guarded by the
// client's lock; its channels are closed under it.
type attempt struct {
	client *Client
	demand Demand
	// outbox and number are set once the open is queued.
	outbox *outbox
	number uint64
	// kind is the share that pays.
	kind ledger.ShareKind
	// sealed says that the open may have left the process.
	sealed bool
	// accepted and refusal are the ledger's decision, of which neither is set at first.
	accepted bool
	refusal  *verdict.Refusal
	// settled says that the open was charged because its incarnation was fenced.
	settled  bool
	released bool
	// closeQueued says that the bill or the release was queued.
	closeQueued bool
	// startedAt is when it began to wait for a share.
	startedAt time.Time
	// refusedDraws counts the refused draws that this attempt waited through.
	refusedDraws int
	// recalledAt is when the first of them was read, recalledNext the offset behind it: what holders append from there
	// on may answer it.
	recalledAt   time.Time
	recallEnd platform.Offset
	// expired says that the attempt has waited long enough for a share: the next read decides.
	expired bool

	queuedSignal       chan struct{}
	acknowledgedSignal chan struct{}
	decidedSignal      chan struct{}
	releaseSignal      chan struct{}
	// copiedSignal is closed once another availability zone holds a copy of the open.
	copiedSignal chan struct{}
}

// newAttempt returns the attempt of a demand.
func (c *Client) newAttempt(demand Demand) *attempt {
	return &attempt{
		client:             c,
		demand:             demand,
		startedAt:            time.Now(),
		queuedSignal:       make(chan struct{}),
		acknowledgedSignal: make(chan struct{}),
		decidedSignal:      make(chan struct{}),
		releaseSignal:      make(chan struct{}),
		copiedSignal:       make(chan struct{}),
	}
}

// queue puts the attempt's open into the outbox of the incarnation in use.
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

// accept notes that the open was read back as accepted.
func (a *attempt) accept() {
	if a.isDecided() {
		return
	}
	a.accepted = true
	close(a.decidedSignal)
}

// refuse ends an attempt that holds no reservation.
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

// refuseUndecided ends an attempt whose open was applied without a decision.
func (a *attempt) refuseUndecided() {
	a.refuse(&verdict.Refusal{Reason: verdict.Internal, Detail: "the ledger did not decide on the reservation"})
}

// acknowledge notes that the open is in the log within a valid lease.
func (a *attempt) acknowledge() {
	if !isClosed(a.acknowledgedSignal) {
		close(a.acknowledgedSignal)
	}
}

// completeRelease notes that the release was read back or can't change anything any more.
func (a *attempt) completeRelease() {
	if !isClosed(a.releaseSignal) {
		close(a.releaseSignal)
	}
}

// wasNotRun says whether the ledger holds nothing against the request: it was released or never accepted.
func (a *attempt) wasNotRun() bool {
	return a.released || a.refusal != nil && a.refusal.Verdict == verdict.NotRun
}

// CheckDispatch fails if the incarnation's lease has lapsed. The reservation is in the log, so that
// only a release can show that the request was not run.
func (a *attempt) CheckDispatch() error {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.refusal != nil {
		return a.refusal
	}
	if a.settled || !a.outbox.maySpend(time.Now(), a.kind) {
		c.count(dispatchRefused, 1)
		return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.LeaseLapsed}
	}
	return nil
}

// Bill closes the reservation with its usage.
func (a *attempt) Bill(usage ledger.Tokens) {
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	a.queueClose(&ledger.Bill{Request: a.demand.Request, Attempt: a.number, Usage: max(usage, 0)})
}

// Release frees the reservation of a request that was not run.
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

// queueClose queues the record that closes the reservation, once. A reservation that the ledger refused
// after its acknowledgement has nothing to close.
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

// refusalOf returns the refusal that a caller sees for the ledger's refusal of an open.
func refusalOf(reason ledger.RefusalReason) *verdict.Refusal {
	switch reason {
	case ledger.UnknownBudget:
		return verdict.Refuse(verdict.BudgetNotYetInLedger, "")
	case ledger.FrozenBudget:
		return verdict.Refuse(verdict.BudgetFrozen, "")
	case ledger.Insufficient:
		return verdict.Refuse(verdict.BudgetExhausted, "")
	case ledger.NotLive:
		return leaseLapsedRefusal()
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

func leaseLapsedRefusal() *verdict.Refusal { return verdict.Refuse(verdict.LeaseLapsed, "") }

func unreachableRefusal() *verdict.Refusal { return verdict.Refuse(verdict.LedgerUnreachable, "") }

// contextRefusal returns the refusal of a request whose context ended before anything left the process.
func contextRefusal(ctx context.Context) *verdict.Refusal {
	reason := verdict.CallerWentAway
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
