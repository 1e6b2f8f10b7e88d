package ledgerstream

import (
	"cmp"
	"time"

	apex "github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
)

// Default values of the settings, and limits of the work per tick.
const (
	DefaultLease                 = 10 * time.Second
	DefaultLeaseMargin           = 2 * time.Second
	DefaultReserveTerm           = 1 * time.Hour
	DefaultDrawWait              = 1 * time.Second
	DefaultDrawHorizon           = 2 * time.Second
	DefaultDrawInterval          = 250 * time.Millisecond
	DefaultOpenWait              = 5 * time.Second
	DefaultReadBackWait          = 100 * time.Millisecond
	DefaultBillDelay             = 20 * time.Millisecond
	DefaultHeartbeatInterval     = 2 * time.Second
	DefaultPollInterval          = 20 * time.Millisecond
	DefaultTickInterval          = 250 * time.Millisecond
	DefaultIdleTerm              = 30 * time.Second
	DefaultPrepaidJitter         = 500 * time.Millisecond
	DefaultCallTimeout           = 3 * time.Second
	DefaultRetryFirst            = 50 * time.Millisecond
	DefaultRetryLimit            = 500 * time.Millisecond
	DefaultFleetAppendsPerSecond = 240.0
	DefaultOutboxLimit           = 20_000
	DefaultGroupBytes            = 64 * 1024
	DefaultReadLimit             = 256
	DefaultSnapshotInterval      = 10 * time.Minute
	DefaultReserveAfter          = 1 * time.Second
	DefaultCopyWait              = 1 * time.Second
	DefaultCopyDelay             = 2 * time.Second
	DefaultCopyBytes             = 16 << 20
	DefaultUnreachableFailures   = 3
	DefaultReserveDrawsPerTick   = 16
	DefaultReserveChecksPerTick  = 256
	DefaultPrepaidCopiesPerTick  = 256
)

// heartbeatsPerLease is the number of heartbeats that an idle router sends in the usable time of a lease. With more
// than one the loss of a heartbeat does not end the lease.
const heartbeatsPerLease = 4

// Settings configures a client. Fields that are zero take their defaults.
type Settings struct {
	Instance         string
	AvailabilityZone string
	Region           string
	Version          string
	// PeerAddress is the address at which other routers deliver copies of their groups; empty means that this
	// router accepts none.
	PeerAddress string
	Partition   int
	// Lease is the time for which an incarnation may spend after its newest record. Other routers wait LeaseMargin
	// longer before they fence, and the holder stops LeaseMargin before the end.
	Lease       time.Duration
	LeaseMargin time.Duration
	// ReserveTerm is the time without a new record after which a reserve share ends.
	ReserveTerm time.Duration
	// DrawWait is the minimum time for which a request waits for other routers to return their shares. On a slow log the
	// wait is longer, up to OpenWait. DrawWait also bounds the wait for the release of an abandoned reservation.
	DrawWait time.Duration
	// DrawHorizon is the period whose expected demand is drawn in advance.
	DrawHorizon time.Duration
	// DrawInterval is the minimum time between two draws of one budget for the same demand.
	DrawInterval time.Duration
	// OpenWait is the maximum time for which a request waits for a share, and then again for its reservation to be in
	// the log.
	OpenWait time.Duration
	// ReadBackWait is the time for which an idempotent request waits for its reservation to be read back after the
	// append was acknowledged.
	ReadBackWait time.Duration
	// BillDelay is the time for which bills wait for a more urgent record, so that both share an append.
	BillDelay time.Duration
	// HeartbeatInterval is the time after which an idle router appends a heartbeat. The default is shorter for short
	// leases. It is also the maximum jitter of this router's fences.
	HeartbeatInterval time.Duration
	PollInterval      time.Duration
	// TickInterval is the interval of the periodic work, such as the checks for idle shares and unresponsive
	// incarnations.
	TickInterval time.Duration
	// IdleTerm is the time without demand after which a share is returned to the budget.
	IdleTerm time.Duration
	// PrepaidJitter is the maximum delay before a budget of the configuration is copied into the ledger.
	PrepaidJitter time.Duration
	// CallTimeout is the timeout of each call of the log.
	CallTimeout time.Duration
	// RetryFirst and RetryLimit are the first and the maximum delay between retries of failed calls of the log.
	RetryFirst time.Duration
	RetryLimit time.Duration
	// FleetAppendsPerSecond is the limit of appends per second to the partition's stream by all routers together.
	FleetAppendsPerSecond float64
	// OutboxLimit is the number of own records not yet read back at which new reservations are refused.
	OutboxLimit int
	// GroupBytes is the estimated size in bytes at which a group is sealed, and the maximum size of an append that
	// carries several groups.
	GroupBytes int
	// ReadLimit is the maximum number of entries per read.
	ReadLimit int
	// UnreachableFailures is the number of consecutive failed calls after which the log is considered unreachable.
	UnreachableFailures int
	// SnapshotInterval is the mean time between two snapshots of the ledger. On average, each router writes one per
	// SnapshotInterval × number of routers.
	SnapshotInterval time.Duration
	// Logger receives the log messages; nil selects the standard logger.
	Logger apex.Interface
	// Relay sends copies of groups to other routers while the log is unreachable. If it is nil, no copies are sent,
	// and nothing is spent from reserve shares.
	Relay Relay
	// ReserveAfter is the time for which a request waits for the log before a reserve share pays for it. CopyWait is the
	// maximum time for which the request then waits until another router holds a copy of its reservation, and the
	// timeout of each call that sends a copy.
	ReserveAfter time.Duration
	CopyWait     time.Duration
	// CopyDelay is the minimum time for which a copy is held before this router appends it in place of the writer. A
	// jitter of up to CopyDelay is added.
	CopyDelay time.Duration
	// CopyBytes is the maximum total size of the copies held for other routers in bytes.
	CopyBytes int
	// Seed is the seed of the jitter; zero selects a random one.
	Seed uint64
}

// withDefaults returns the settings with each zero field replaced by its default.
func (s Settings) withDefaults() Settings {
	s.Lease = cmp.Or(s.Lease, DefaultLease)
	s.LeaseMargin = cmp.Or(s.LeaseMargin, DefaultLeaseMargin)
	s.ReserveTerm = cmp.Or(s.ReserveTerm, DefaultReserveTerm)
	s.DrawWait = cmp.Or(s.DrawWait, DefaultDrawWait)
	s.DrawHorizon = cmp.Or(s.DrawHorizon, DefaultDrawHorizon)
	s.DrawInterval = cmp.Or(s.DrawInterval, DefaultDrawInterval)
	s.OpenWait = cmp.Or(s.OpenWait, DefaultOpenWait)
	s.ReadBackWait = cmp.Or(s.ReadBackWait, DefaultReadBackWait)
	s.BillDelay = cmp.Or(s.BillDelay, DefaultBillDelay)
	s.HeartbeatInterval = cmp.Or(s.HeartbeatInterval, min(DefaultHeartbeatInterval, (s.Lease-s.LeaseMargin)/heartbeatsPerLease))
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.TickInterval = cmp.Or(s.TickInterval, DefaultTickInterval)
	s.IdleTerm = cmp.Or(s.IdleTerm, DefaultIdleTerm)
	s.PrepaidJitter = cmp.Or(s.PrepaidJitter, DefaultPrepaidJitter)
	s.CallTimeout = cmp.Or(s.CallTimeout, DefaultCallTimeout)
	s.RetryFirst = cmp.Or(s.RetryFirst, DefaultRetryFirst)
	s.RetryLimit = cmp.Or(s.RetryLimit, DefaultRetryLimit)
	s.FleetAppendsPerSecond = cmp.Or(s.FleetAppendsPerSecond, DefaultFleetAppendsPerSecond)
	s.OutboxLimit = cmp.Or(s.OutboxLimit, DefaultOutboxLimit)
	s.GroupBytes = cmp.Or(s.GroupBytes, DefaultGroupBytes)
	s.ReadLimit = cmp.Or(s.ReadLimit, DefaultReadLimit)
	s.SnapshotInterval = cmp.Or(s.SnapshotInterval, DefaultSnapshotInterval)
	s.ReserveAfter = cmp.Or(s.ReserveAfter, DefaultReserveAfter)
	s.CopyWait = cmp.Or(s.CopyWait, DefaultCopyWait)
	s.CopyDelay = cmp.Or(s.CopyDelay, DefaultCopyDelay)
	s.CopyBytes = cmp.Or(s.CopyBytes, DefaultCopyBytes)
	if s.Logger == nil {
		s.Logger = apex.Log
	}
	s.UnreachableFailures = cmp.Or(s.UnreachableFailures, DefaultUnreachableFailures)
	return s
}

// gapLimit returns the longest time between two reads that does not count as a gap.
func (s Settings) gapLimit() time.Duration { return s.Lease / 2 }

// fenceTerms returns the times without a new record after which another incarnation is fenced, with this router's
// jitter.
func (s Settings) fenceTerms(jitter time.Duration) decision.FenceTerms {
	return decision.FenceTerms{
		Working: s.Lease + s.LeaseMargin,
		Reserve: s.ReserveTerm + s.LeaseMargin,
		Jitter:  jitter,
	}
}

// backoff returns the delays between retries of failed calls of the log.
func (s Settings) backoff() decision.Backoff {
	return decision.Backoff{First: s.RetryFirst, Limit: s.RetryLimit}
}
