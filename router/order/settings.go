package order

import "time"

// Settings of the orderer.
type Settings struct {
	// Lease and LeaseMargin are those of the router; claims end by the silence of their holder on the orders stream.
	Lease       time.Duration
	LeaseMargin time.Duration
	// SnapshotInterval is the mean time between two snapshots of the stream by the whole fleet.
	SnapshotInterval time.Duration
}

const (
	// pollInterval is the time between two looks at the wanted state and the stream.
	pollInterval = 250 * time.Millisecond
	// idleReadInterval is the time between two reads of the stream while no ticket wants anything.
	idleReadInterval = 10 * time.Second
	// fleetAppendInterval is the time between two appends of the whole fleet to the stream, longestAppendInterval
	// that between two of one router at the most.
	fleetAppendInterval   = 20 * time.Millisecond
	maximumAppendInterval = time.Second
	// resendInterval is the time after which a record that was not read back is appended again.
	resendInterval = time.Second
	// logTimeout bounds one call of the log, engineTimeout one of an engine.
	logTimeout    = 2 * time.Second
	engineTimeout = 2 * time.Second
	// readLimit bounds the entries of one read.
	readLimit = 256
	// snapshotReadLimit bounds the snapshots of one read.
	snapshotReadLimit = 16
	// stateRequestInterval is the time between two questions for an endpoint's state.
	stateRequestInterval = time.Second
	// maximumReadingAge is the age from which on a reading is asked for anew.
	maximumReadingAge = 5 * time.Second
	// unresponsiveTimeout is the time without a reading after which an unfinished order counts as lost.
	unresponsiveTimeout = time.Minute
	// initialRetryBackoff and retryLimit bound the wait after an order that did not lead to the wanted state.
	initialRetryBackoff = 2 * time.Second
	maximumRetryBackoff = time.Minute
)

// leaseWithMargin is the time after which an orderer whose claim has ended sends nothing more.
func (s Settings) leaseWithMargin() time.Duration { return s.Lease + s.LeaseMargin }

// gapLimit is the longest time between two reads that counts as reading without a gap.
func (s Settings) gapLimit() time.Duration { return s.Lease / 2 }
