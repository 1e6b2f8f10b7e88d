// Package ledger defines the records of a ledger partition and the fold that turns them into the
// state of the partition's budgets.
//
// The fold is a pure function of the partition's records in log order. It uses no clock, no random
// numbers and no other stream, so all routers that have read the log up to the same offset have the
// same state.
package ledger

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file record.go -o record_gen.go
//msgp:replace platform.Offset with:uint64
//msgp:tuple Incarnation Join Heartbeat Leave Prepaid ReservePolicy Draw Return Open Bill Release Fence Crash
//msgp:ignore Group AttemptIdentifier Unknown

// Tokens is an amount of tokens of a prepaid budget.
type Tokens int64

// Incarnation identifies one run of a router process, from its start to its end.
type Incarnation struct {
	// Instance is the name of the instance that the router runs on.
	Instance string
	// Number increases with every start of the router process on the instance.
	Number uint64
}

// RequestIdentifier identifies a request of a team across retries. It is a truncated SHA-256 digest
// of the team's name and the request's Idempotency-Key.
type RequestIdentifier [16]byte

// Fingerprint is a hash of a request's contents. It detects that an Idempotency-Key is reused for
// another request.
type Fingerprint uint64

// AttemptIdentifier identifies one attempt of a request, and thereby its reservation, by the
// incarnation that made it and a number that is unique within the incarnation.
type AttemptIdentifier struct {
	Incarnation Incarnation
	Number      uint64
}

// ShareKind is the kind of a share of a budget: Working or Reserve.
type ShareKind uint8

const (
	// Working shares end when the lease of the incarnation that holds them ends.
	Working ShareKind = iota
	// Reserve shares stay valid after the lease has ended, until the incarnation leaves or a fence of kind Reserve,
	// which is written only after a much longer timeout, ends them.
	Reserve
)

// Group is a batch of records of one incarnation, with consecutive sequence numbers, that is appended
// to the log as a unit. A group never changes after its creation, so any router may append copies of it
// any number of times.
type Group struct {
	Writer Incarnation
	// First is the sequence number of the group's first record. Each incarnation numbers its records from 1.
	First   uint64
	Records []Record
}

// lastSequence returns the sequence number of the group's last record, or First - 1 if the group is empty.
func (g *Group) lastSequence() uint64 { return g.First + uint64(len(g.Records)) - 1 }

// Record is a record of the ledger. The set of its implementations is closed: the types below.
type Record interface{ isRecord() }

// Join is the first record of an incarnation. The fold refuses it if this or a later incarnation of the
// instance has ended.
type Join struct {
	AvailabilityZone string
	Region           string
	// Version is the router's software version. Only operators use it.
	Version string
	// PeerAddress is the IP:port at which other routers reach this router; empty if it accepts no
	// copies of their groups.
	PeerAddress string
	// Nonce is a random number by which a process distinguishes its own join from the join of another
	// process that chose the same incarnation number.
	Nonce uint64
}

// Heartbeat renews the lease of an incarnation that has no other records to write.
type Heartbeat struct {
	// ConfigurationOffset is the offset of the next entry of the configuration stream that the router will read.
	ConfigurationOffset platform.Offset
	// ConfigurationNumber is the highest number of a change ticket that the router has put in force.
	ConfigurationNumber uint64
}

// Leave ends the incarnation that writes it and returns all of its shares to their budgets. Its opens
// that are neither billed nor released are settled like the opens of a fenced incarnation.
type Leave struct{}

// Prepaid copies the budget settings of an accepted change ticket into the ledger. The settings with the
// highest ticket number are in force.
type Prepaid struct {
	Budget string
	// Ticket is the number of the change ticket.
	Ticket uint64
	// Total is the cumulative amount that has been prepaid for the budget, spent tokens included.
	Total Tokens
	// Frozen is true if the budget must grant no draws and accept no opens.
	Frozen bool
	// Reserve is the policy for spending while the log is unreachable.
	Reserve ReservePolicy
}

// ReservePolicy defines how a budget may be spent while the log is unreachable.
type ReservePolicy struct {
	// Share is the size of the reserve share that each router tries to hold; zero if routers hold none.
	Share Tokens
	// ForfeitResidue is true if the free tokens of a reserve share are charged to the budget when a fence of
	// kind Reserve ends the share; otherwise they return to the budget.
	ForfeitResidue bool
}

// Draw requests tokens of a budget for the writer's share. The fold grants min(Wanted, available) if that
// is at least Minimum, which must be positive, and otherwise reports the unmet demand as DrawRefused.
type Draw struct {
	Budget  string
	Kind    ShareKind
	Wanted  Tokens
	Minimum Tokens
}

// Return moves free tokens of the writer's share back to the budget.
type Return struct {
	Budget string
	Kind   ShareKind
	Amount Tokens
}

// Open reserves the maximum cost of one attempt of a request in the writer's share.
type Open struct {
	Request     RequestIdentifier
	Fingerprint Fingerprint
	// Attempt is the number of the attempt, unique within the incarnation that writes the record.
	Attempt uint64
	Budget  string
	Kind    ShareKind
	Amount  Tokens
	// Idempotent is true if the request may run more than once. For any other request, only the first open
	// in the log is accepted, until it is released.
	Idempotent bool
}

// Bill closes an open and charges the usage of its attempt. Only the first bill of a request is charged.
type Bill struct {
	Request RequestIdentifier
	Attempt uint64
	// Usage is the cost of the attempt in tokens. The fold charges at most the reserved amount.
	Usage Tokens
}

// Release closes, without a charge, an open whose attempt did not run. The request identifier can then be
// used again, unless the request has another open or a bill.
type Release struct {
	Request RequestIdentifier
	Attempt uint64
}

// Fence ends the lease of an unresponsive incarnation. The fold accepts it only if LastSeen is the offset
// of the target's newest group, so that a target that has written since keeps its lease.
type Fence struct {
	Target   Incarnation
	LastSeen platform.Offset
	// Kind is the kind of the shares that end: Working once the lease has expired, Reserve after a much longer
	// time without a group of the target.
	Kind ShareKind
}

// Crash reports the requests that the writer had in progress at an endpoint when the endpoint crashed. The
// fold doesn't store it: readers receive it as a Crashed event. A writer lists a request once per crash.
type Crash struct {
	// Endpoint is the name of the endpoint that crashed.
	Endpoint   string
	InProgress []Fingerprint `msg:",limit=64"`
}

// Unknown holds a record of a type that this version doesn't support. It uses up a sequence number and
// doesn't change the state.
type Unknown struct {
	Type uint64
	// Body is the encoded record without its type number.
	Body []byte
}

func (*Join) isRecord()      {}
func (*Heartbeat) isRecord() {}
func (*Leave) isRecord()     {}
func (*Prepaid) isRecord()   {}
func (*Draw) isRecord()      {}
func (*Return) isRecord()    {}
func (*Open) isRecord()      {}
func (*Bill) isRecord()      {}
func (*Release) isRecord()   {}
func (*Fence) isRecord()     {}
func (*Crash) isRecord()     {}
func (*Unknown) isRecord()   {}
