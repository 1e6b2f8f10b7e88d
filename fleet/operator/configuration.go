package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Configuration is the fold of the configuration stream up to an offset. A configuration that
// was handed out is never changed; each accepted ticket makes a new one.
type Configuration struct {
	// Next is the offset of the first entry that is not folded in.
	Next platform.Offset
	// Number is the highest ticket number accepted.
	Number       uint64
	Teams        map[string]Team
	Budgets      map[string]NumberedBudget
	Routes       map[string]Route
	InstanceSets map[string]InstanceSet
	// TeamByKeyDigest finds a team by the hexadecimal SHA-256 digest of a bearer key.
	TeamByKeyDigest map[string]string

	// TeamTickets, RouteTickets and InstanceSetTickets hold the number of the ticket that set an object.
	TeamTickets        map[string]uint64
	RouteTickets       map[string]uint64
	InstanceSetTickets map[string]uint64
	// Accepted holds the tickets accepted so far in the order of their numbers, RememberedTickets at most.
	Accepted []DecidedTicket
	// Floor is the highest number dropped from Accepted; no ticket up to it is accepted any more.
	Floor uint64
	// Refused holds the newest tickets that a cross check refused, RememberedRefusals at most, oldest first.
	Refused []RefusedTicket
	Counts  Counts

	// index is nil in a configuration that was put together by hand; the lookups then build it each time.
	index *index
}

// Bounds of what a configuration remembers about tickets that were decided.
const (
	RememberedTickets  = 1 << 16
	RememberedRefusals = 1 << 10
)

// NumberedBudget is a budget with the number of the ticket that set it.
type NumberedBudget struct {
	Budget
	Ticket uint64
	// Highest is the highest total that was ever accepted. The ledger may have refused a lower one, so
	// only a total that reaches it is certain to be accepted there.
	Highest ledger.Tokens
}

// Digest is a SHA-256 digest, written in hexadecimal.
type Digest [sha256.Size]byte

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads a hexadecimal digest.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest of %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// DecidedTicket is a ticket that was accepted at an offset.
type DecidedTicket struct {
	Number uint64
	Offset platform.Offset
	Digest Digest
}

// RefusedTicket is a ticket that a cross check refused. A copy of it, appended later, stays refused.
type RefusedTicket struct {
	DecidedTicket
	Reason RefusalReason
	Detail string
}

// Counts tells how many entries of the stream had each outcome.
type Counts struct {
	Accepted  uint64
	Refused   uint64
	Duplicate uint64
	Malformed uint64
}

// Newer returns the configuration that has read more of the stream, the first one if they are equal. A
// router that is offered a copy of the configuration adopts it only by this choice.
func Newer(current, offered *Configuration) *Configuration {
	if current == nil || (offered != nil && offered.Next > current.Next) {
		return offered
	}
	return current
}
