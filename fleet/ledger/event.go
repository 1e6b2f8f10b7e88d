package ledger

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// Event is an outcome of folding a record. The set of its implementations is closed: the types below.
// Every router gets the same events in the same order.
type Event interface{ isEvent() }

// Joined reports that an incarnation has become live. A process that wrote a join with the same incarnation but
// another nonce is not the incarnation that joined and must join again with a higher number.
type Joined struct {
	Incarnation Incarnation
	Nonce       uint64
}

// JoinRefused reports a join that was refused, because an incarnation of the same instance with an equal or
// higher number has ended.
type JoinRefused struct{ Incarnation Incarnation }

// Ended reports that an incarnation left or was fenced. After a fence of kind Working, the incarnation may
// still spend its reserve shares. Left is true if the incarnation ended itself by a Leave record.
type Ended struct {
	Incarnation Incarnation
	Kind        ShareKind
	Left        bool
}

// FenceRefused reports a fence whose target has already been fenced or has ended, has not yet had the fence
// of kind Working that must come first, or has written a group after LastSeen.
type FenceRefused struct {
	Target   Incarnation
	LastSeen platform.Offset
}

// PrepaidAccepted reports that the settings of a change ticket are in force for a budget.
type PrepaidAccepted struct {
	Budget string
	Ticket uint64
}

// PrepaidRefused reports a change ticket with a total below the tokens that are already spent or held in
// shares. The budget keeps its previous settings.
type PrepaidRefused struct {
	Budget string
	Ticket uint64
	// Needed is the lowest total that the fold would have accepted, in tokens.
	Needed Tokens
}

// Granted reports that a draw added Amount tokens to a share.
type Granted struct {
	Incarnation Incarnation
	Budget      string
	Kind        ShareKind
	Amount      Tokens
}

// DrawRefused reports a draw that was not granted. Other holders of the budget react to this unmet demand
// by returning tokens that they don't need.
type DrawRefused struct {
	Incarnation Incarnation
	Draw        *Draw
	// Available is the amount of tokens that the budget could have granted.
	Available Tokens
	Reason    RefusalReason
}

// Returned reports that Amount tokens of a share have moved back to the budget and are available again.
type Returned struct {
	Incarnation Incarnation
	Budget      string
	Kind        ShareKind
	Amount      Tokens
}

// Forfeited reports that the free tokens of a reserve share were charged to the budget, because a fence of
// kind Reserve ended the share and the budget's policy forfeits them.
type Forfeited struct {
	Incarnation Incarnation
	Budget      string
	Amount      Tokens
}

// Opened reports that the fold accepted an open and reserved its amount.
type Opened struct {
	Attempt AttemptIdentifier
	Open    *Open
	// AlreadyBilled is true if the request was billed before, in which case nothing is reserved or charged
	// for this attempt.
	AlreadyBilled bool
}

// OpenRefused reports an open that the fold refused.
type OpenRefused struct {
	Attempt AttemptIdentifier
	Open    *Open
	Reason  RefusalReason
}

// Billed reports that an open was closed, either by a bill or by settlement when its incarnation left or
// was fenced.
type Billed struct {
	Attempt AttemptIdentifier
	Request RequestIdentifier
	Budget  string
	// Charged is the amount of tokens that was added to the budget's spending; zero if the request was billed before.
	Charged Tokens
	// Settled is true if the open was closed by settlement, which charges the whole reservation, and not by a bill.
	Settled bool
}

// Released reports that an open was closed without a charge.
type Released struct {
	Attempt AttemptIdentifier
	Request RequestIdentifier
}

// Crashed reports an endpoint crash that a live incarnation has recorded.
type Crashed struct {
	Incarnation Incarnation
	Crash       *Crash
}

// RefusalReason is the reason for which the fold refused a draw or an open.
type RefusalReason string

// Reasons for refusing a draw or an open.
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
