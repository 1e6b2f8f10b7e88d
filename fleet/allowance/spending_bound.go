package allowance

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/timeofday"
)

const (
	// boundLifetime is how long a spending bound applies after it was written. It covers the time from a process's last
	// write until its restart, also if an outage of the platform ends with a loss of power.
	boundLifetime = 15 * time.Second
	// maxAgreedDifference is the maximum difference between the agreed times of two processes. Each is wrong by no more
	// than the tolerance.
	maxAgreedDifference = 2 * timeofday.Tolerance
	// boundBurstTime and boundRateFactor set a spending bound from the holder's current rate of use: the bound allows
	// at once what this rate uses in boundBurstTime, and from boundDelay on boundRateFactor times the rate. While the
	// platform answers, the bound is rewritten before the delay is over.
	boundBurstTime  = 600 * time.Millisecond
	boundDelay      = 1400 * time.Millisecond
	boundRateFactor = 1.6
	// boundRemainingBurst is the fraction of the team's remaining tokens that the spending bounds of all holders together
	// allow at once. It makes writes rare for totals that last long.
	boundRemainingBurst = 0.003
	// boundRestartTime covers the time from the last write of a process that is killed until its successor starts. Until
	// then, the spending bounds of all holders together allow little more than a restart may write off.
	boundRestartTime = 3 * time.Second
	// boundFreeRate is the fraction of a share's free tokens per second that a spending bound allows from boundRestartTime
	// on, and before if the limit has room for it. It leaves room for teams whose use jumps to a multiple of its previous rate, or begins, in an outage.
	boundFreeRate = 0.1
	// boundCatchUpTime is the time from boundRestartTime on within which a spending bound allows what the limit
	// until then withheld from the current rate of use.
	boundCatchUpTime = 1 * time.Second
	// acceptedLossFraction is the fraction of a team's total that operators accept as lost in a day. restartLossFraction is
	// the fraction of what is left of it that one restart of all holders may write off, so that the sum over a day's
	// restarts stays within it. minLossFraction is the fraction of the accepted loss that counts as left in any case: with
	// less, every request would need a write.
	acceptedLossFraction = 0.03
	restartLossFraction  = 0.5
	minLossFraction      = 0.0625
	// boundRenewalAge is the age at which a spending bound of which a part was used is rewritten, idleRenewalAge that at
	// which any bound is rewritten, so that the stored bound still applies if the process restarts.
	boundRenewalAge = 400 * time.Millisecond
	idleRenewalAge  = 2 * time.Second
	// clockTolerance is the maximum drift between the wall clock and the uptime across process restarts on one machine.
	clockTolerance = 500 * time.Millisecond
	// minUptime is the uptime from which the two clocks can distinguish a reboot of the machine from a restart of the
	// process.
	minUptime = 1 * time.Minute
	// agreementWait is how long after its start a process waits for the agreed time of day before it settles the share
	// of a former process at the full granted amount. It covers the start of many routers at once.
	agreementWait = 4 * time.Second
)

// SpendingBound limits a holder's use after a write to Base + Burst tokens, and from Delay and SurgeDelay after Uptime on
// to more with time, until boundLifetime after Uptime, even if more was granted. When a process restarts on the same
// machine, it settles the share of its predecessor at this bound instead of the full granted amount.
//
// The bound answers two loads: a loss of power everywhere while a team's total runs low, for which it must be tight, and an
// outage of the platform, in which it cannot be rewritten and must leave room for the team's use.
type SpendingBound struct {
	// Base is the holder's net use in tokens at the time of the write, with each request in progress counted at its
	// maximum.
	Base int64
	// Burst is the additional use in tokens that is allowed at once. Rate is the further use allowed, in tokens per second,
	// from Delay after the write on, except for the part SurgeRate of it, which is allowed from SurgeDelay on. A reader that
	// doesn't know SurgeRate applies a higher bound.
	Burst      int64
	Rate       float64       `json:"Pace"`
	Delay      time.Duration `json:",omitempty"`
	SurgeRate  float64       `json:",omitempty"`
	SurgeDelay time.Duration `json:",omitempty"`
	// Uptime is the time since the machine booted, including time in suspend. WallMilliseconds is the wall clock in
	// milliseconds since the Unix epoch.
	Uptime           time.Duration
	WallMilliseconds int64
	// AgreedMilliseconds is the agreed time of day in milliseconds since the Unix epoch, or the earliest that clocks allow which don't agree; zero if it is
	// unknown.
	AgreedMilliseconds int64 `json:",omitempty"`
}

// MaxUsed returns the upper bound on the holder's total use in tokens at the given uptime, or false if the spending
// bound does not apply at that time.
func (b *SpendingBound) MaxUsed(uptime time.Duration) (int64, bool) {
	return b.maxUsedAfter(uptime - b.Uptime)
}

// allowsAfter returns how long after the given uptime the spending bound allows a total use in tokens; zero if it does
// already.
func (b *SpendingBound) allowsAfter(uptime time.Duration, used int64) time.Duration {
	limit, applies := b.MaxUsed(uptime)
	if !applies || limit >= used {
		return 0
	}
	return b.Uptime + b.allowedAt(float64(used-b.Base-b.Burst)) - uptime
}

// allowedAt returns the time after the write at which the spending bound allows the given tokens beyond Base and Burst, at
// most boundLifetime.
func (b *SpendingBound) allowedAt(growth float64) time.Duration {
	slowRate := b.Rate - b.SurgeRate
	surgeDelay := max(b.Delay, b.SurgeDelay)
	slowGrowth := slowRate * (surgeDelay - b.Delay).Seconds()
	at := boundLifetime.Seconds()
	switch {
	case growth <= slowGrowth && slowRate > 0:
		at = min(at, b.Delay.Seconds()+growth/slowRate)
	case b.Rate > 0:
		at = min(at, surgeDelay.Seconds()+max(0, growth-slowGrowth)/b.Rate)
	}
	return time.Duration(at * float64(time.Second))
}

// maxUsedAfter returns the upper bound on the holder's total use in tokens at the given time after the write, or false if
// the spending bound does not apply at that time.
func (b *SpendingBound) maxUsedAfter(elapsed time.Duration) (int64, bool) {
	if elapsed < 0 || elapsed >= boundLifetime {
		return 0, false
	}
	slow := (b.Rate - b.SurgeRate) * max(0, elapsed-b.Delay).Seconds()
	surge := b.SurgeRate * max(0, elapsed-max(b.Delay, b.SurgeDelay)).Seconds()
	return b.Base + b.Burst + int64(slow+surge), true
}

// ClockReading is a simultaneous reading of a machine's uptime and wall clock.
type ClockReading struct {
	Uptime time.Duration
	Wall   time.Time
	// BootTime is the time of day at which the uptime was zero, by comparison with other machines; zero if unknown. BootSpread is how much earlier it may
	// have been, if the clocks of the machines don't agree.
	BootTime   time.Time
	BootSpread time.Duration
}

// latestMilliseconds returns the latest time of day that the machines' clocks allow, in milliseconds since the Unix epoch, or zero if it is unknown.
func (r *ClockReading) latestMilliseconds() int64 {
	if r.BootTime.IsZero() {
		return 0
	}
	return r.BootTime.Add(r.Uptime).UnixMilli()
}

// earliestMilliseconds returns the earliest time of day that the machines' clocks allow, in milliseconds since the Unix epoch, or zero if it is unknown.
func (r *ClockReading) earliestMilliseconds() int64 {
	if r.BootTime.IsZero() {
		return 0
	}
	return r.BootTime.Add(r.Uptime - r.BootSpread).UnixMilli()
}

// withoutSpan returns the reading without a boot time on which the clocks don't agree.
func (r ClockReading) withoutSpan() ClockReading {
	if r.BootSpread > 0 {
		r.BootTime, r.BootSpread = time.Time{}, 0
	}
	return r
}

// Now reads the clocks of this machine.
func Now() ClockReading {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// An uptime of zero makes settlement return the full granted amount of every share.
		return ClockReading{Wall: time.Now()}
	}
	return ClockReading{Uptime: time.Duration(t.Nano()), Wall: time.Now()}
}

// settlement returns an upper bound on the tokens that a former holder on this machine used. start is the reading of the
// clocks at the start of the process that settles the share, which is after the end of the former one. The result is the
// granted amount, or the spending bound if that is lower and applied until then. isTimed is false if the clocks cannot
// tell how long after the last write the former process ended.
func (s *Share) settlement(start ClockReading) (tokens int64, isTimed bool) {
	elapsed, isTimed := s.SpendingBound.elapsedUntil(start)
	if bound, ok := s.SpendingBound.maxUsedAfter(elapsed); isTimed && ok {
		return min(s.Granted, bound), true
	}
	return s.Granted, isTimed
}

// elapsedUntil returns an upper bound on the time from the write of the spending bound to the start of a later process on
// the same machine. If both clocks of the machine show that it has not rebooted, the uptime gives the result, and
// otherwise the time of day: the latest at the start that the clocks of several machines allow, less the earliest at the write.
func (b *SpendingBound) elapsedUntil(start ClockReading) (time.Duration, bool) {
	elapsed := start.Uptime - b.Uptime
	drift := start.Wall.Sub(time.UnixMilli(b.WallMilliseconds)) - elapsed
	if b.Uptime >= minUptime && drift.Abs() <= clockTolerance {
		return elapsed, elapsed >= 0
	}
	latest := start.latestMilliseconds()
	if latest == 0 || b.AgreedMilliseconds == 0 {
		return 0, false
	}
	elapsed = time.Duration(latest-b.AgreedMilliseconds)*time.Millisecond + maxAgreedDifference
	return elapsed, elapsed >= 0
}
