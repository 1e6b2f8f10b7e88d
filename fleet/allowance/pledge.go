package allowance

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// boundLifetime is how long a spending bound applies after it was written. It must be longer than the time from a
	// process's last write until its restart, and shorter than the platform outages that a share is meant to cover.
	boundLifetime = 5 * time.Second
	// boundBurstTime and boundRateFactor set a spending bound from the holder's current rate of use: the bound allows
	// at once what this rate uses in boundBurstTime, and afterwards boundRateFactor times the rate. Together they cover
	// the use during boundLifetime.
	boundBurstTime  = 2 * time.Second
	boundRateFactor = 1.5
	// boundFreeBurst is the fraction of a share's free tokens that a spending bound allows at once, boundFreeRate the
	// fraction per second that it allows afterwards. They leave room for teams whose use jumps to a multiple of its
	// previous rate.
	boundFreeBurst = 0.25
	boundFreeRate  = 0.1
	// boundRenewalAge is the age at which a spending bound is rewritten, so that the stored bound still applies if the
	// process restarts.
	boundRenewalAge = 2 * time.Second
	// clockTolerance is the maximum drift between the wall clock and the uptime across process restarts on one machine.
	clockTolerance = 500 * time.Millisecond
	// minUptime is the uptime from which the two clocks can distinguish a reboot of the machine from a restart of the
	// process.
	minUptime = 1 * time.Minute
)

// SpendingBound limits a holder's use after a write to Base + Burst + Rate x (uptime - Uptime) tokens until
// boundLifetime after Uptime, even if more was granted. When a process restarts on the same machine, it settles the
// share of its predecessor at this bound instead of the full granted amount.
type SpendingBound struct {
	// Base is the holder's net use in tokens at the time of the write, with each request in progress counted at its
	// maximum.
	Base int64
	// Burst is the additional use in tokens that is allowed at once; Rate is the further use allowed, in tokens per
	// second.
	Burst int64
	Rate  float64 `json:"Pace"`
	// Uptime is the time since the machine booted, including time in suspend. WallMilliseconds is the wall clock in
	// milliseconds since the Unix epoch.
	Uptime           time.Duration
	WallMilliseconds int64
}

// MaxUsed returns the upper bound on the holder's total use in tokens at the given uptime, or false if the spending
// bound does not apply at that time.
func (b *SpendingBound) MaxUsed(uptime time.Duration) (int64, bool) {
	elapsed := uptime - b.Uptime
	if elapsed < 0 || elapsed >= boundLifetime {
		return 0, false
	}
	return b.Base + b.Burst + int64(b.Rate*elapsed.Seconds()), true
}

// ClockReading is a simultaneous reading of a machine's uptime and wall clock.
type ClockReading struct {
	Uptime time.Duration
	Wall   time.Time
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

// settlement returns an upper bound on the tokens that a former holder on this machine used. The result is the granted
// amount, or the spending bound if that is lower, still applies, and both clocks show that the machine has not rebooted
// since the bound was written.
func (s *Share) settlement(now ClockReading) int64 {
	elapsed := now.Uptime - s.SpendingBound.Uptime
	drift := now.Wall.Sub(time.UnixMilli(s.SpendingBound.WallMilliseconds)) - elapsed
	if s.SpendingBound.Uptime < minUptime || drift.Abs() > clockTolerance {
		return s.Granted
	}
	bound, ok := s.SpendingBound.MaxUsed(now.Uptime)
	if !ok {
		return s.Granted
	}
	return min(s.Granted, bound)
}
