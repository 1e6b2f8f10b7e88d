package allowance

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pledgeSilence is how long after a pledge it binds: longer than a process takes to be started again after its last
	// write, shorter than an outage of the platform that a share should outlast.
	pledgeSilence = 5 * time.Second
	// pledgeBurst is the use, at the current rate, that a pledge allows at once, pledgePace the part of the rate at which
	// it allows more. Together they cover pledgeSilence.
	pledgeBurst = 2 * time.Second
	pledgePace  = 1.5
	// pledgeFreeBurst is the part of a share that a pledge allows at once, pledgeFreePace the part a second, for teams whose
	// use is a multiple of their rate before.
	pledgeFreeBurst = 0.25
	pledgeFreePace  = 0.1
	// pledgeAge is the age at which a pledge is renewed, so that it still binds when its process is started again.
	pledgeAge = 2 * time.Second
	// clockTolerance is how far the time of day and the uptime may drift apart between two starts on one machine.
	clockTolerance = 500 * time.Millisecond
	// leastUptime is the uptime from which on the two clocks tell a start of the machine from a start of the process.
	leastUptime = 1 * time.Minute
)

// Pledge bounds what a holder uses after a write: no more than Base + Burst + Pace x (uptime - Uptime) until
// pledgeSilence after Uptime, whatever it was granted. A process that is started again on the same machine settles the
// former one's share by it in place of all that was granted.
type Pledge struct {
	// Base is the holder's net use, with requests in progress at their most, in tokens.
	Base int64
	// Burst is in tokens, Pace in tokens a second.
	Burst int64
	Pace  float64
	// Uptime is the time since the machine's start, suspensions included; WallMilliseconds the time of day.
	Uptime           time.Duration
	WallMilliseconds int64
}

// Bound returns the most that the holder may have used in all at an uptime; false if the pledge bounds nothing then.
func (p *Pledge) Bound(uptime time.Duration) (int64, bool) {
	since := uptime - p.Uptime
	if since < 0 || since >= pledgeSilence {
		return 0, false
	}
	return p.Base + p.Burst + int64(p.Pace*since.Seconds()), true
}

// Moment is a point of time on a machine's clocks.
type Moment struct {
	Uptime time.Duration
	Wall   time.Time
}

// Now returns the present moment on this machine.
func Now() Moment {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without an uptime no pledge is ever settled for less than what was granted.
		return Moment{Wall: time.Now()}
	}
	return Moment{Uptime: time.Duration(t.Nano()), Wall: time.Now()}
}

// settlement returns the most that a former holder on this machine may have used: what was granted to it, unless both
// clocks show that the machine has not been started since the pledge and the pledge still binds.
func (s *Share) settlement(now Moment) int64 {
	elapsed := now.Uptime - s.Pledge.Uptime
	drift := now.Wall.Sub(time.UnixMilli(s.Pledge.WallMilliseconds)) - elapsed
	if s.Pledge.Uptime < leastUptime || drift.Abs() > clockTolerance {
		return s.Granted
	}
	bound, ok := s.Pledge.Bound(now.Uptime)
	if !ok {
		return s.Granted
	}
	return min(s.Granted, bound)
}
