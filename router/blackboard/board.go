// Package blackboard is the shared state of a router: controllers write what they know and read
// what they need. No controller calls another.
package blackboard

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Board holds one router's view of the fleet. Its zero value is ready for use once Metrics is set.
type Board struct {
	// Configuration is the configuration in force; nil until the stream was read to its end once.
	Configuration atomic.Pointer[operator.Configuration]
	// Entries are the newest entries of the configuration stream, for routers that can't reach the log.
	Entries RecentEntries
	// Listing is the newest instance list; nil until one was read.
	Listing atomic.Pointer[platform.Listing]
	// Orders are the endpoints of which tickets want something; nil while none does, and until the orders stream
	// was read to its end once. A new state is a new value: it is never changed in place.
	Orders atomic.Pointer[[]Orders]
	// LedgerReady says that the ledger has been read to its end and the incarnation has joined.
	LedgerReady atomic.Bool
	// Leaving says that the router has told the balancer to send no new work.
	Leaving atomic.Bool
	// Draining says that the router refuses new work.
	Draining atomic.Bool
	// Metrics counts refusals, retries and state changes by reason.
	Metrics metrics.Registry
}

// CaughtUp reports whether the router has read the configuration and the ledger to their ends.
func (b *Board) CaughtUp() bool {
	return b.Configuration.Load() != nil && b.LedgerReady.Load()
}

// Ready reports whether the balancer should send new work.
func (b *Board) Ready() bool {
	return b.CaughtUp() && !b.Leaving.Load() && !b.Draining.Load()
}

// Count adds one to the counter of the given name.
func (b *Board) Count(name string) {
	metrics.GetOrRegisterCounter(name, b.Metrics).Inc(1)
}

// RefusalPrefix begins the names of the counters of refusals; the reason follows.
const RefusalPrefix = "refusal."

// CountRefusal counts a refusal under its reason.
func (b *Board) CountRefusal(reason verdict.Reason) {
	b.Count(RefusalPrefix + string(reason))
}
