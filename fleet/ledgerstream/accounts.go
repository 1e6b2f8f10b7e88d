// Package ledgerstream speaks to the ledger's streams on the platform's log: it appends this
// incarnation's records in groups, reads them back, and holds its shares of the budgets.
package ledgerstream

import (
	"context"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Demand is what a request needs of a budget before it may be sent to an endpoint.
type Demand struct {
	Budget      string
	Request     ledger.RequestIdentifier
	Fingerprint ledger.Fingerprint
	// Unique says that this router made the request's identifier, so that no other request can have it.
	Unique bool
	// Amount is the highest possible cost of the request.
	Amount ledger.Tokens
	// Idempotent requests may be sent once their reservation is in the log; others only after it was
	// read back as the first of its request.
	Idempotent bool
}

// Accounts reserves the cost of requests. Its errors are *verdict.Refusal.
type Accounts interface {
	// Reserve returns once the demand's reservation is in the log. Each call is an attempt of its
	// own. If ctx ends first and the reservation may have left the process, the verdict is MayHaveRun.
	Reserve(ctx context.Context, demand Demand) (Reservation, error)
}

// Reservation is one attempt's reservation. Exactly one of Bill and Release is called in the end.
type Reservation interface {
	// CheckDispatch fails if the incarnation's lease has lapsed; it is called right before the request
	// is sent and again before each retry of it.
	CheckDispatch() error
	// Bill closes the reservation with its usage and returns at once; the record reaches the log later.
	Bill(usage ledger.Tokens)
	// Release frees a reservation whose request was not run. It returns nil once the release was
	// read back, and otherwise an error whose verdict is MayHaveRun.
	Release(ctx context.Context) error
}
