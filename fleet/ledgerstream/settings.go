package ledgerstream

import (
	"cmp"
	"time"

	apex "github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
)

// Defaults of the settings.
const (
	DefaultLease                = 10 * time.Second
	DefaultLeaseMargin          = 2 * time.Second
	DefaultReserveTerm          = 1 * time.Hour
	DefaultDrawWait             = 1 * time.Second
	DefaultDrawHorizon          = 2 * time.Second
	DefaultDrawInterval         = 250 * time.Millisecond
	DefaultOpenWait             = 5 * time.Second
	DefaultReadBackWait         = 100 * time.Millisecond
	DefaultBillDelay            = 20 * time.Millisecond
	DefaultHeartbeatInterval    = 2 * time.Second
	DefaultPollInterval         = 20 * time.Millisecond
	DefaultTickInterval         = 250 * time.Millisecond
	DefaultIdleTerm             = 30 * time.Second
	DefaultPrepaidJitter        = 500 * time.Millisecond
	DefaultCallTimeout          = 3 * time.Second
	DefaultRetryFirst           = 50 * time.Millisecond
	DefaultRetryLimit           = 500 * time.Millisecond
	DefaultFleetAppendsPerSec   = 240.0
	DefaultOutboxLimit          = 20_000
	DefaultGroupBytes           = 64 * 1024
	DefaultReadLimit            = 256
	DefaultSnapshotInterval     = 10 * time.Minute
	DefaultReserveAfter         = 1 * time.Second
	DefaultCopyWait             = 1 * time.Second
	DefaultCopyDelay            = 2 * time.Second
	DefaultCopyBytes            = 16 << 20
	DefaultUnreachableFailures  = 3
	DefaultReserveDrawsPerTick  = 16
	DefaultReserveChecksPerTick  = 256
	DefaultPrepaidCopiesPerTick = 256
)

// heartbeatsPerLease is how many heartbeats an idle router sends in the time that a lease may be used: a lost one
// must not end the lease.
const heartbeatsPerLease = 4

// Settings of a client. A field that is zero takes its default.
type Settings struct {
	Instance         string
	AvailabilityZone string
	Region           string
	Version          string
	// PeerAddress is where other routers hand over copies of their groups; empty takes none.
	PeerAddress string
	Partition   int
	// Lease is how long an incarnation may spend after its newest record; LeaseMargin is what other
	// routers wait beyond it and what the holder keeps free before its end.
	Lease       time.Duration
	LeaseMargin time.Duration
	// ReserveTerm is the silence after which a reserve share ends.
	ReserveTerm time.Duration
	// DrawWait is how long a request waits for a share that other holders have to return first.
	DrawWait time.Duration
	// DrawHorizon is the time for whose measured demand a share is drawn in advance.
	DrawHorizon time.Duration
	// DrawInterval is the least time between two draws of one budget that announce the same demand.
	DrawInterval time.Duration
	// OpenWait is how long a request waits for its reservation to be in the log.
	OpenWait time.Duration
	// ReadBackWait is how long an idempotent request waits for its reservation to be read back once
	// the append was acknowledged.
	ReadBackWait time.Duration
	// BillDelay is how long bills wait for a record that somebody waits for, to share its append.
	BillDelay time.Duration
	// HeartbeatInterval is the time after which an idle router shows a sign of life; its default shrinks with
	// the lease.
	HeartbeatInterval time.Duration
	PollInterval      time.Duration
	// TickInterval is the time between two looks at idle shares, silent incarnations and the like.
	TickInterval time.Duration
	// IdleTerm is the time without demand after which a share goes home.
	IdleTerm time.Duration
	// PrepaidJitter is the longest wait before a declared budget is copied into the ledger.
	PrepaidJitter time.Duration
	// CallTimeout bounds each call of the log.
	CallTimeout time.Duration
	// RetryFirst and RetryLimit bound the waits after failed calls of the log.
	RetryFirst time.Duration
	RetryLimit time.Duration
	// FleetAppendsPerSecond is what all routers together may append to the partition's stream.
	FleetAppendsPerSecond float64
	// OutboxLimit is the number of records that may wait before new reservations are refused.
	OutboxLimit int
	// GroupBytes is the size at which a group is cut.
	GroupBytes int
	// ReadLimit is the number of entries that one read asks for.
	ReadLimit int
	// UnreachableFailures is the number of failed calls in a row after which the log counts as unreachable.
	UnreachableFailures int
	// SnapshotInterval is the mean time between two snapshots of the whole fleet.
	SnapshotInterval time.Duration
	// Logger takes the changes of state; nil takes the standard logger.
	Logger apex.Interface
	// Relay hands copies of groups to other routers while the log can't be reached; nil does without, and
	// then nothing is spent from reserve shares.
	Relay Relay
	// ReserveAfter is the wait for the log after which a request is paid from a reserve share, CopyWait the
	// wait for another router to hold a copy of its reservation.
	ReserveAfter time.Duration
	CopyWait     time.Duration
	// CopyDelay is how long a copy is held before it is appended in its writer's place.
	CopyDelay time.Duration
	// CopyBytes bounds the copies held for other routers.
	CopyBytes int
	// Seed fixes the jitter; zero takes a random one.
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
	s.FleetAppendsPerSecond = cmp.Or(s.FleetAppendsPerSecond, DefaultFleetAppendsPerSec)
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

// gapLimit is the longest time between two reads that counts as reading without a gap.
func (s Settings) gapLimit() time.Duration { return s.Lease / 2 }

// fenceTerms returns the silences after which others are fenced, with this router's jitter.
func (s Settings) fenceTerms(jitter time.Duration) decision.FenceTerms {
	return decision.FenceTerms{
		Working: s.Lease + s.LeaseMargin,
		Reserve: s.ReserveTerm + s.LeaseMargin,
		Jitter:  jitter,
	}
}

// backoff returns the waits after failed calls of the log.
func (s Settings) backoff() decision.Backoff {
	return decision.Backoff{First: s.RetryFirst, Limit: s.RetryLimit}
}
