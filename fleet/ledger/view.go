package ledger

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// BudgetView is the state of a budget at an offset, with amounts in tokens. Spent + Shared never exceeds Prepaid.
type BudgetView struct {
	Budget  string
	Ticket  uint64
	Prepaid Tokens
	Spent   Tokens
	// Shared is the sum of the free and reserved tokens of all holders' shares.
	Shared  Tokens
	Frozen  bool
	Reserve ReservePolicy
	// OpenRequests is the number of reservations that are neither billed nor released.
	OpenRequests int
	Holders      []HolderView
}

// Available returns the amount of tokens that draws can still be granted from the budget.
func (b BudgetView) Available() Tokens { return b.Prepaid - b.Spent - b.Shared }

// HolderView is the part of a budget that one incarnation holds, in tokens. Lists of holders are sorted by incarnation.
type HolderView struct {
	Incarnation Incarnation
	// WorkingFree and ReserveFree are the tokens that no open reserves.
	WorkingFree Tokens
	ReserveFree Tokens
	// WorkingReserved and ReserveReserved are the tokens that opens reserve.
	WorkingReserved Tokens
	ReserveReserved Tokens
}

// IncarnationView is the state of a live or suspended incarnation at an offset.
type IncarnationView struct {
	Incarnation Incarnation
	Join        Join
	Heartbeat   Heartbeat
	// LastSeen is the offset of the newest group of the incarnation.
	LastSeen platform.Offset
	// Suspended is true after a fence of kind Working: the incarnation may spend only its reserve shares.
	Suspended bool
}
