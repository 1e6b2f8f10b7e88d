package ledger

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// Event is the outcome of a record, as the fold decided it; the types below are all there are.
// Every router sees the same events in the same order.
type Event interface{ isEvent() }

// Joined reports that an incarnation is live. A process whose own join has another nonce is not this
// incarnation and has to take a higher number.
type Joined struct {
	Incarnation Incarnation
	Nonce       uint64
}

// JoinRefused reports that an incarnation may not join: its number is not above that of one that ended.
type JoinRefused struct{ Incarnation Incarnation }

// Ended reports that an incarnation left or was fenced. After a fence of kind Working it may
// still spend its reserve shares.
type Ended struct {
	Incarnation Incarnation
	Kind        ShareKind
	Left        bool
}

// FenceRefused reports a fence that came too late or named another offset.
type FenceRefused struct {
	Target   Incarnation
	LastSeen platform.Offset
}

// PrepaidAccepted reports that a ticket's total is in force for its budget.
type PrepaidAccepted struct {
	Budget string
	Ticket uint64
}

// PrepaidRefused reports a total below what is spent and held in shares; the former total stays in force.
type PrepaidRefused struct {
	Budget string
	Ticket uint64
	// Needed is the lowest total that would have been accepted.
	Needed Tokens
}

// Granted reports that a share grew.
type Granted struct {
	Incarnation Incarnation
	Budget      string
	Kind        ShareKind
	Amount      Tokens
}

// DrawRefused reports unmet demand: other holders return what they can spare.
type DrawRefused struct {
	Incarnation Incarnation
	Draw        *Draw
	// Available is what the budget could have granted.
	Available Tokens
	Reason    RefusalReason
}

// Returned reports that a share, or a part of it, is available again.
type Returned struct {
	Incarnation Incarnation
	Budget      string
	Kind        ShareKind
	Amount      Tokens
}

// Forfeited reports that the residue of a reserve share was charged, because its holder was lost for good.
type Forfeited struct {
	Incarnation Incarnation
	Budget      string
	Amount      Tokens
}

// Opened reports an accepted reservation.
type Opened struct {
	Attempt AttemptIdentifier
	Open    *Open
	// AlreadyBilled says that the request has been billed before, so that this attempt costs nothing.
	AlreadyBilled bool
}

// OpenRefused reports a reservation that the fold did not accept.
type OpenRefused struct {
	Attempt AttemptIdentifier
	Open    *Open
	Reason  RefusalReason
}

// Billed reports that an open was closed by a bill or by the settlement of its incarnation.
type Billed struct {
	Attempt AttemptIdentifier
	Request RequestIdentifier
	Budget  string
	// Charged is what was added to the budget's spend; zero if the request had been billed before.
	Charged Tokens
	// Settled says that the charge follows from the rule for lost incarnations and not from a bill.
	Settled bool
}

// Released reports that an open was closed without a charge.
type Released struct {
	Attempt AttemptIdentifier
	Request RequestIdentifier
}

// Crashed reports an endpoint's crash that a live incarnation saw.
type Crashed struct {
	Incarnation Incarnation
	Crash       *Crash
}

// RefusalReason says why the fold refused a record.
type RefusalReason string

// The reasons for which the fold refuses draws and opens.
const (
	UnknownBudget       RefusalReason = "UnknownBudget"
	FrozenBudget        RefusalReason = "FrozenBudget"
	Insufficient        RefusalReason = "Insufficient"
	NotLive             RefusalReason = "NotLive"
	FingerprintMismatch RefusalReason = "FingerprintMismatch"
	AlreadyOpen         RefusalReason = "AlreadyOpen"
	AlreadyRan          RefusalReason = "AlreadyRan"
	DuplicateAttempt    RefusalReason = "DuplicateAttempt"
)

func (*Joined) isEvent()          {}
func (*JoinRefused) isEvent()     {}
func (*Ended) isEvent()           {}
func (*FenceRefused) isEvent()    {}
func (*PrepaidAccepted) isEvent() {}
func (*PrepaidRefused) isEvent()  {}
func (*Granted) isEvent()         {}
func (*DrawRefused) isEvent()     {}
func (*Returned) isEvent()        {}
func (*Forfeited) isEvent()       {}
func (*Opened) isEvent()          {}
func (*OpenRefused) isEvent()     {}
func (*Billed) isEvent()          {}
func (*Released) isEvent()        {}
func (*Crashed) isEvent()         {}
