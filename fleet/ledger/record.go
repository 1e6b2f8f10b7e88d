// Package ledger folds the records of a ledger partition into the state of its budgets.
//
// The fold is a pure function of the partition's records in log order: it reads no clock, no
// random source and no other stream, so that every router that has read the same offsets has the
// same state.
package ledger

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file record.go -o record_gen.go
//msgp:replace platform.Offset with:uint64
//msgp:tuple Incarnation Join Heartbeat Leave Prepaid ReservePolicy Draw Return Open Bill Release Fence Crash
//msgp:ignore Group AttemptIdentifier Unknown

// Tokens is an amount of a prepaid budget.
type Tokens int64

// Incarnation identifies one start of a router process.
type Incarnation struct {
	// Instance is the name of the router's instance.
	Instance string
	// Number grows from one process start of an instance to the next.
	Number uint64
}

// RequestIdentifier identifies a caller's request within its team: a truncated SHA-256 digest of
// the team's name and the request's Idempotency-Key.
type RequestIdentifier [16]byte

// Fingerprint identifies the contents of a request.
type Fingerprint uint64

// AttemptIdentifier identifies one reservation: the incarnation that made it and a number that the
// incarnation uses once.
type AttemptIdentifier struct {
	Incarnation Incarnation
	Number      uint64
}

// ShareKind tells the two kinds of a budget's shares apart.
type ShareKind uint8

const (
	// Working shares end with the lease of the incarnation that holds them.
	Working ShareKind = iota
	// Reserve shares outlive the lease for a long, stated time.
	Reserve
)

// Group is the unit of an append: records of one incarnation with consecutive sequence numbers.
// Once cut, a group never changes, so that any number of copies of it can be appended by any router.
type Group struct {
	Writer Incarnation
	// First is the sequence number of the first record; the first record of an incarnation has number 1.
	First   uint64
	Records []Record
}

// last returns the sequence number of the last record.
func (g *Group) last() uint64 { return g.First + uint64(len(g.Records)) - 1 }

// Record is one fact of the ledger; the types below are all there are.
type Record interface{ isRecord() }

// Join is the first record of an incarnation. It is refused if a later incarnation of the instance has ended.
type Join struct {
	AvailabilityZone string
	Region           string
	// Version is the program's version, for the operators.
	Version string
	// PeerAddress is where other routers reach this one, IP:port; empty if it takes no copies.
	PeerAddress string
	// Nonce is a random number by which a process tells its own join from that of another process that
	// took the same incarnation number.
	Nonce uint64
}

// Heartbeat renews the lease of an idle incarnation.
type Heartbeat struct {
	// ConfigurationOffset is the next offset of the configuration stream that the router will read.
	ConfigurationOffset platform.Offset
	// ConfigurationNumber is the highest ticket number in force at the router.
	ConfigurationNumber uint64
}

// Leave ends an incarnation by its own word: all of its shares return to their budgets. Opens that
// are still unbilled are settled like those of a fenced incarnation.
type Leave struct{}

// Prepaid copies the budget part of an accepted ticket into the ledger. The highest ticket number wins.
type Prepaid struct {
	Budget string
	// Ticket is the number of the change ticket.
	Ticket uint64
	// Total is everything that was ever prepaid.
	Total Tokens
	// Frozen budgets grant no draws and accept no opens.
	Frozen bool
	// Reserve is the policy for the time without the log.
	Reserve ReservePolicy
}

// ReservePolicy is a budget's rule for spending while the log can't be reached.
type ReservePolicy struct {
	// Share is the reserve share that each router tries to hold; zero for none.
	Share Tokens
	// ForfeitResidue bills what a reserve share still holds when its holder was lost for good; otherwise
	// the residue returns to the budget.
	ForfeitResidue bool
}

// Draw asks for a share of a budget. The fold grants min(Wanted, available) if that is at least
// Minimum, and otherwise records the unmet demand.
type Draw struct {
	Budget  string
	Kind    ShareKind
	Wanted  Tokens
	Minimum Tokens
}

// Return gives a part of a share back to its budget.
type Return struct {
	Budget string
	Kind   ShareKind
	Amount Tokens
}

// Open reserves the highest possible cost of one attempt of a request inside a share.
type Open struct {
	Request     RequestIdentifier
	Fingerprint Fingerprint
	// Attempt is unique within the incarnation that writes the record.
	Attempt uint64
	Budget  string
	Kind    ShareKind
	Amount  Tokens
	// Idempotent requests may be run again; of the others only the first open of the log may be run.
	Idempotent bool
}

// Bill closes an open with the usage of its attempt. The first bill of a request wins.
type Bill struct {
	Request RequestIdentifier
	Attempt uint64
	// Usage is what the attempt cost; the fold caps it at the reservation.
	Usage Tokens
}

// Release closes an open whose attempt was not run and frees its request identifier.
type Release struct {
	Request RequestIdentifier
	Attempt uint64
}

// Fence ends the lease of an incarnation that was silent. It is accepted only if LastSeen is the
// offset of the newest group of the target.
type Fence struct {
	Target   Incarnation
	LastSeen platform.Offset
	// Kind says how much ends: Working after a lease, Reserve after the long silence.
	Kind ShareKind
}

// Crash reports the requests that were in progress at an endpoint when it crashed, as the writer saw it. The
// state keeps nothing of it: every reader gets it as an event. A writer names a request once for each crash.
type Crash struct {
	// Endpoint is the endpoint's name.
	Endpoint   string
	InProgress []Fingerprint `msg:",limit=64"`
}

// Unknown stands for a record of a type that this version doesn't know. It takes its sequence number
// and changes nothing.
type Unknown struct {
	Type uint64
	// Body is the record as it was encoded.
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
