// Package blackboard holds the state that the controllers of one router share. A controller publishes its results on the
// blackboard and reads the results of the others from it; no controller calls another.
package blackboard

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Board is one router's view of the fleet. The zero value is ready for use once Metrics is set.
type Board struct {
	// Configuration is the configuration in force; nil until the configuration stream has been read to its end once.
	Configuration atomic.Pointer[operator.Configuration]
	// Entries holds the newest entries of the configuration stream. Routers that can't reach the log ask this router for them.
	Entries RecentEntries
	// Listing is the newest instance list; nil until the list has been read once.
	Listing atomic.Pointer[platform.Listing]
	// Orders is the order status of the endpoints that a change ticket declares or a router has claimed. It is nil until the
	// orders stream has been read to its end once, and while this router has no orders to give. Each update stores a new
	// slice; a stored slice is never modified.
	Orders atomic.Pointer[[]OrderStatus]
	// LedgerReady reports whether the ledger has been read to its end and this router's incarnation has joined.
	LedgerReady atomic.Bool
	// Leaving reports whether the router has told the load balancer to send no new requests.
	Leaving atomic.Bool
	// Draining reports whether the router refuses new requests.
	Draining atomic.Bool
	// Metrics is the registry of the router's metrics, such as counters of refusals, retries and state changes by reason.
	Metrics metrics.Registry
}

// CaughtUp reports whether a configuration is in force, the ledger has been read to its end and the router has joined it.
func (b *Board) CaughtUp() bool {
	return b.Configuration.Load() != nil && b.LedgerReady.Load()
}

// Ready reports whether the load balancer should send new requests to the router.
func (b *Board) Ready() bool {
	return b.CaughtUp() && !b.Leaving.Load() && !b.Draining.Load()
}

// Count adds 1 to the counter with the given name.
func (b *Board) Count(name string) {
	metrics.GetOrRegisterCounter(name, b.Metrics).Inc(1)
}

// RefusalPrefix is the prefix of the names of refusal counters; the reason of the refusal follows.
const RefusalPrefix = "refusal."

// CountRefusal adds 1 to the counter of refusals with the given reason.
func (b *Board) CountRefusal(reason verdict.Reason) {
	b.Count(RefusalPrefix + string(reason))
}
