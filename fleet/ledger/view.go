package ledger

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// BudgetView is the state of a budget at an offset. Spent + Shared never exceeds Prepaid.
type BudgetView struct {
	Budget  string
	Ticket  uint64
	Prepaid Tokens
	Spent   Tokens
	// Shared is what all holders' shares and reservations hold together.
	Shared  Tokens
	Frozen  bool
	Reserve ReservePolicy
	// OpenRequests counts the reservations that are neither billed nor released.
	OpenRequests int
	Holders      []HolderView
}

// Available returns what a draw could be granted.
func (b BudgetView) Available() Tokens { return b.Prepaid - b.Spent - b.Shared }

// HolderView is what one incarnation holds of a budget, in the order of incarnations.
type HolderView struct {
	Incarnation Incarnation
	// WorkingFree and ReserveFree are held and not reserved by an open request.
	WorkingFree Tokens
	ReserveFree Tokens
	// WorkingReserved and ReserveReserved are held by open requests.
	WorkingReserved Tokens
	ReserveReserved Tokens
}

// IncarnationView is the state of an incarnation at an offset.
type IncarnationView struct {
	Incarnation Incarnation
	Join        Join
	Heartbeat   Heartbeat
	// LastSeen is the offset of its newest group.
	LastSeen platform.Offset
	// Suspended incarnations lost their lease and may spend only reserve shares.
	Suspended bool
}
