package allowance

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pledgeSilence is how long after a pledge it binds: longer than a process takes to be started again after its last
	// write, shorter than an outage of the platform that a share should outlast.
	boundLifetime = 5 * time.Second
	// pledgeBurst is the use, at the current rate, that a pledge allows at once, pledgePace the part of the rate at which
	// it allows more. Together they cover pledgeSilence.
	boundBurstTime  = 2 * time.Second
	boundRateFactor = 1.5
	// pledgeFreeBurst is the part of a share that a pledge allows at once, pledgeFreePace the part a second, for teams whose
	// use is a multiple of their rate before.
	boundFreeBurst = 0.25
	boundFreeRate  = 0.1
	// pledgeAge is the age at which a pledge is renewed, so that it still binds when its process is started again.
	boundRenewalAge = 2 * time.Second
	// clockTolerance is how far the time of day and the uptime may drift apart between two starts on one machine.
	clockTolerance = 500 * time.Millisecond
	// leastUptime is the uptime from which on the two clocks tell a start of the machine from a start of the process.
	minUptime = 1 * time.Minute
)

// Pledge bounds what a holder uses after a write: no more than Base + Burst + Pace x (uptime - Uptime) until
// pledgeSilence after Uptime, whatever it was granted. A process that is started again on the same machine settles the
// former one's share by it in place of all that was granted.
type SpendingBound struct {
	// Base is the holder's net use, with requests in progress at their most, in tokens.
	Base int64
	// Burst is in tokens, Pace in tokens a second.
	Burst int64
	Rate  float64 `json:"Pace"`
	// Uptime is the time since the machine's start, suspensions included; WallMilliseconds the time of day.
	Uptime           time.Duration
	WallMilliseconds int64
}

// Bound returns the most that the holder may have used in all at an uptime; false if the pledge bounds nothing then.
func (b *SpendingBound) MaxUsed(uptime time.Duration) (int64, bool) {
	elapsed := uptime - b.Uptime
	if elapsed < 0 || elapsed >= boundLifetime {
		return 0, false
	}
	return b.Base + b.Burst + int64(b.Rate*elapsed.Seconds()), true
}

// Moment is a point of time on a machine's clocks.
type ClockReading struct {
	Uptime time.Duration
	Wall   time.Time
}

// Now returns the present moment on this machine.
func Now() ClockReading {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without an uptime no pledge is ever settled for less than what was granted.
		return ClockReading{Wall: time.Now()}
	}
	return ClockReading{Uptime: time.Duration(t.Nano()), Wall: time.Now()}
}

// settlement returns the most that a former holder on this machine may have used: what was granted to it, unless both
// clocks show that the machine has not been started since the pledge and the pledge still binds.
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
