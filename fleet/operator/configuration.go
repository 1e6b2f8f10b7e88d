package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Configuration is the state that results from applying the configuration stream up to an offset. It is immutable:
// Apply and ApplyAll return a new configuration.
type Configuration struct {
	// Next is the offset of the first stream entry that has not been applied.
	Next platform.Offset
	// Number is the highest number of an accepted ticket.
	Number       uint64
	Teams        map[string]Team
	Budgets      map[string]NumberedBudget
	Routes       map[string]Route
	InstanceSets map[string]InstanceSet
	// EvacuatedZones are the availability zones whose endpoints get no new calls, sorted. EvacuationTicket is the number of the last ticket
	// that set them.
	EvacuatedZones   []string `json:",omitempty"`
	EvacuationTicket uint64   `json:",omitempty"`
	// TeamByKeyDigest maps the hexadecimal SHA-256 digest of each accepted bearer key to the name of its team. Keys of
	// removed teams are left out.
	TeamByKeyDigest map[string]string

	// TeamTickets, RouteTickets and InstanceSetTickets map the name of an object to the number of the last ticket
	// that set it.
	TeamTickets        map[string]uint64
	RouteTickets       map[string]uint64
	InstanceSetTickets map[string]uint64
	// Accepted contains up to MaxAcceptedTickets accepted tickets with the highest numbers, sorted by number.
	Accepted []DecidedTicket
	// Floor is the highest ticket number evicted from Accepted; tickets with this or a lower number are refused.
	Floor uint64
	// Refused contains the most recently refused tickets, oldest first and up to MaxRefusedTickets of them. Tickets
	// refused for NotNewer or because of their number are not recorded.
	Refused []RefusedTicket
	Counts  Counts

	// index is nil in a configuration built without Apply, ApplyAll or a snapshot; lookups then build a temporary
	// index.
	index *index
}

// Maximum lengths of Configuration.Accepted and Configuration.Refused.
const (
	MaxAcceptedTickets = 1 << 16
	MaxRefusedTickets  = 1 << 10
)

// NumberedBudget is a budget with the number of the last ticket that set it.
type NumberedBudget struct {
	Budget
	Ticket uint64
	// Highest is the highest Prepaid, in tokens, of all tickets accepted for the budget. The ledger may refuse a
	// ticket that lowers the total, so the total in force there may still be as high as Highest, and only a total
	// of at least Highest is certain to be accepted.
	Highest ledger.Tokens
}

// Digest is a SHA-256 digest whose text form is hexadecimal.
type Digest [sha256.Size]byte

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a hexadecimal digest and returns an error if the text has another length or other characters.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has an invalid length of %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// DecidedTicket identifies a ticket that was accepted or refused: its number, its stream offset and the digest of its
// bytes.
type DecidedTicket struct {
	Number uint64
	Offset platform.Offset
	Digest Digest
}

// RefusedTicket records a ticket that was refused because it conflicts with the configuration. A copy that is
// appended later is refused too, even if the conflict no longer exists.
type RefusedTicket struct {
	DecidedTicket
	Reason RefusalReason
	Detail string
}

// Counts contains the number of stream entries by outcome.
type Counts struct {
	Accepted  uint64
	Refused   uint64
	Duplicate uint64
	Malformed uint64
}

// SelectNewer returns the configuration that covers more of the stream, or current if both cover the same entries. A
// process that adopts snapshots only through SelectNewer never goes back to an older configuration.
func SelectNewer(current, offered *Configuration) *Configuration {
	if current == nil || (offered != nil && offered.Next > current.Next) {
		return offered
	}
	return current
}
