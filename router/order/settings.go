package order

import "time"

// Settings are the settings of an Orderer.
type Settings struct {
	// Lease and LeaseMargin are the lease settings of the router. Other routers end the claims of a holder that has
	// appended nothing to the orders stream for the lease and its margin.
	Lease       time.Duration
	LeaseMargin time.Duration
	// SnapshotInterval is the mean time between two snapshots of the orders stream, whichever routers write them.
	SnapshotInterval time.Duration
}

const (
	// pollInterval is the delay between two steps, which check the configuration and read the orders stream.
	pollInterval = 250 * time.Millisecond
	// idleReadInterval is the minimum time between two reads of the orders stream while the router has no orders to give or
	// has not joined the ledger, and between two searches for a usable snapshot.
	idleReadInterval = 10 * time.Second
	// fleetAppendInterval is the intended mean time between two appends to the orders stream, counted over all routers of
	// the fleet. maximumAppendInterval limits the delay that a router computes from it between two of its own appends.
	fleetAppendInterval   = 20 * time.Millisecond
	maximumAppendInterval = time.Second
	// resendInterval is the time after which a record that has not been read back is appended again.
	resendInterval = time.Second
	// logTimeout bounds one call to the log, engineTimeout one call to an engine.
	logTimeout    = 2 * time.Second
	engineTimeout = 2 * time.Second
	// readLimit is the maximum number of entries that one read of the orders stream returns.
	readLimit = 256
	// snapshotReadLimit is the maximum number of snapshots that one read of the snapshot stream returns.
	snapshotReadLimit = 16
	// stateRequestInterval is the minimum time between two state queries to one endpoint.
	stateRequestInterval = time.Second
	// maximumReadingAge is the age at which a reading of an engine's state is discarded.
	maximumReadingAge = 5 * time.Second
	// unresponsiveTimeout is the time without a reading of an engine's state after which an unfinished order to the engine
	// counts as lost.
	unresponsiveTimeout = time.Minute
	// initialRetryBackoff and maximumRetryBackoff are the bounds of the delay after an order that did not lead to the
	// wanted state.
	initialRetryBackoff = 2 * time.Second
	maximumRetryBackoff = time.Minute
)

// leaseWithMargin is the maximum time after the end of a claim during which its former holder may still send orders.
func (s Settings) leaseWithMargin() time.Duration { return s.Lease + s.LeaseMargin }

// gapLimit is the maximum time between two reads of the orders stream that still counts as reading without a gap.
func (s Settings) gapLimit() time.Duration { return s.Lease / 2 }
