package endpoint

import (
	"math"
	"strconv"
	"time"
)

const (
	// MaxPause bounds the pause that an endpoint may ask for.
	MaxPause = 10 * time.Minute
	// leavingGrace is how long a leaving endpoint gets requests that no other endpoint can serve. It is less than the time for
	// which endpoints serve on after they have said that they leave.
	leavingGrace = 1 * time.Second
	// maxPauseSpread bounds the time by which routers begin later than others after a pause; pauseSpreadDivisor sets it in
	// relation to the pause.
	maxPauseSpread     = 500 * time.Millisecond
	pauseSpreadDivisor = 10
	// maxTrialRequests is the number of requests in progress at which an endpoint counts as recovered from its pause.
	maxTrialRequests = 32
)

// Admission says whether an endpoint may get requests.
type Admission int

const (
	// AdmissionOpen lets requests through.
	AdmissionOpen Admission = iota
	// AdmissionLastResort lets requests through that no other endpoint can serve.
	AdmissionLastResort
	// AdmissionClosed lets none through.
	AdmissionClosed
)

// Notices are what a process of an endpoint has asked of this router in its answers: no new requests any more, since it leaves,
// or none for some time. They answer a load that many routers send to an endpoint which has none of the platform's help to be
// heard. After a pause the number of requests that may be in progress grows from one by one with each answer, so that what has waited for the end of
// the pause doesn't arrive at once. The zero value asks for nothing.
type Notices struct {
	leavingSince, pausedUntil time.Time
	// trialLimit is the number of requests that may be in progress after a pause; zero means any number.
	trialLimit int
}

// RecordLeaving records that the process leaves. It reports whether that is new.
func (n *Notices) RecordLeaving(now time.Time) bool {
	if !n.leavingSince.IsZero() {
		return false
	}
	n.leavingSince = now
	return true
}

// RecordPause records that the process wants no requests for a time. spread, from 0 to 1, differs between routers. It reports whether
// no pause was in force before.
func (n *Notices) RecordPause(now time.Time, pause time.Duration, spread float64) bool {
	if pause <= 0 {
		return false
	}
	isNew := !now.Before(n.pausedUntil)
	pause = min(pause, MaxPause)
	pause += time.Duration(spread * float64(min(maxPauseSpread, pause/pauseSpreadDivisor)))
	n.pausedUntil, n.trialLimit = later(n.pausedUntil, now.Add(pause)), 1
	return isNew
}

// RecordAccepted records that the process accepted a request that was sent at a time.
func (n *Notices) RecordAccepted(sentAt time.Time) {
	if n.trialLimit == 0 || sentAt.Before(n.pausedUntil) {
		return
	}
	n.trialLimit++
	if n.trialLimit > maxTrialRequests {
		n.trialLimit = 0
	}
}

// Admission says whether the endpoint may get a request beside those of this router in progress there.
func (n *Notices) Admission(now time.Time, inProgress int) Admission {
	switch {
	case now.Before(n.pausedUntil), n.trialLimit > 0 && inProgress >= n.trialLimit:
		return AdmissionClosed
	case n.leavingSince.IsZero():
		return AdmissionOpen
	case now.Sub(n.leavingSince) < leavingGrace:
		return AdmissionLastResort
	default:
		return AdmissionClosed
	}
}

// PauseLeft returns the time until the pause ends; zero if there is none.
func (n *Notices) PauseLeft(now time.Time) time.Duration { return max(0, n.pausedUntil.Sub(now)) }

// IsOnTrial reports whether the number of requests in progress is still bounded after a pause.
func (n *Notices) IsOnTrial() bool { return n.trialLimit > 0 }

// IsLeaving reports whether the process leaves.
func (n *Notices) IsLeaving() bool { return !n.leavingSince.IsZero() }

// ParsePause returns the pause that a Retry-After header asks for in seconds, at most MaxPause. It is zero for values that are
// missing, not above zero or no number. A date asks for no pause, since it would be compared with another machine's clock.
func ParsePause(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if isRangeError := err != nil && math.IsInf(seconds, 1); err != nil && !isRangeError || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	if seconds >= MaxPause.Seconds() {
		return MaxPause
	}
	return time.Duration(seconds * float64(time.Second))
}
