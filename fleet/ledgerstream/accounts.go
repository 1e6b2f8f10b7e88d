// Package ledgerstream is the client of a ledger partition's stream on the platform's log. It appends the records
// of this router's incarnation in groups, reads the stream back, and keeps the router's shares of the budgets and
// its lease.
package ledgerstream

import (
	"context"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Demand is the reservation that a request needs in a budget before it may be sent to an endpoint.
type Demand struct {
	Budget      string
	Request     ledger.RequestIdentifier
	Fingerprint ledger.Fingerprint
	// Unique reports whether this router generated the request's identifier, so that no other request can have it.
	Unique bool
	// Amount is the maximum cost of the request in tokens.
	Amount ledger.Tokens
	// Idempotent requests may be sent once their reservation is in the log. Other requests may be sent only after
	// the reservation was read back as the first one of the request.
	Idempotent bool
}

// Accounts reserves the cost of requests. Its errors are of type *verdict.Refusal.
type Accounts interface {
	// Reserve returns once the demand's reservation is in the log. Each call is a separate attempt. If ctx ends
	// first and the reservation may have left the process, the verdict is MayHaveRun.
	Reserve(ctx context.Context, demand Demand) (Reservation, error)
}

// Reservation is the reservation of one attempt. The caller must end it with exactly one call of Bill or Release.
type Reservation interface {
	// CheckDispatch returns an error if the request must not be sent: the lease of the reservation's share has lapsed,
	// or the ledger has refused or already charged the reservation. The caller must call it immediately before each send
	// of the request, retries included.
	CheckDispatch() error
	// Bill closes the reservation with its usage in tokens. It returns before the record is in the log.
	Bill(usage ledger.Tokens)
	// Release frees a reservation whose request was not run. It returns nil once the release was read back, and
	// otherwise an error whose verdict is MayHaveRun.
	Release(ctx context.Context) error
}
