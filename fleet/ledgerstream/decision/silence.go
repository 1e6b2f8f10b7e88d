package decision

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Observation adds up the time during which the router has read the log without gaps. Only that time counts towards
// the fence of an unresponsive incarnation. The zero value has observed nothing.
type Observation struct {
	// GapLimit is the longest time between two complete reads that does not count as a gap.
	GapLimit   time.Duration
	lastReadAt time.Time
	// observedTotal is the sum of all gap-free periods. currentPeriod is the length of the newest one.
	observedTotal time.Duration
	currentPeriod time.Duration
}

// Read records a read that reached the end of the stream; now is the time at which the read began.
func (o *Observation) Read(now time.Time) {
	if !o.lastReadAt.IsZero() {
		elapsed := now.Sub(o.lastReadAt)
		if elapsed > o.GapLimit {
			o.currentPeriod = 0
		} else {
			o.observedTotal += elapsed
			o.currentPeriod += elapsed
		}
	}
	o.lastReadAt = now
}

// Break ends the gap-free period. While the log is unreachable, missing records of an incarnation are no evidence
// that it stopped appending.
func (o *Observation) Break() {
	o.currentPeriod = 0
	o.lastReadAt = time.Time{}
}

// Silence tracks for how long another incarnation has appended nothing. The zero value starts at the first Update.
type Silence struct {
	lastSeen  platform.Offset
	hasOffset bool
	// observedAtChange is the Observation's total at the time of the newest change of lastSeen.
	observedAtChange time.Duration
}

// Update records the offset of the incarnation's newest record as of the newest complete read.
func (s *Silence) Update(o *Observation, lastSeen platform.Offset) {
	if s.hasOffset && s.lastSeen == lastSeen {
		return
	}
	s.hasOffset = true
	s.lastSeen = lastSeen
	s.observedAtChange = o.observedTotal
}

// FenceTerms are the durations without a new record after which an incarnation is fenced.
type FenceTerms struct {
	// Working is the lease plus its margin and applies to working shares. Reserve is the longer term of reserve
	// shares.
	Working time.Duration
	Reserve time.Duration
	// Jitter is this router's extra delay, so that the routers do not all append a fence at the same time.
	Jitter time.Duration
}

// FenceDue reports whether the incarnation must be fenced now, and the kind of share that the fence ends. Only
// gap-free reading time counts, and the current gap-free period alone must cover the lease, its margin and the
// jitter.
func FenceDue(o *Observation, s *Silence, suspended bool, t FenceTerms) (ledger.ShareKind, bool) {
	unresponsiveFor := o.observedTotal - s.observedAtChange
	if !s.hasOffset || o.currentPeriod < t.Working+t.Jitter {
		return ledger.Working, false
	}
	if suspended {
		return ledger.Reserve, unresponsiveFor >= t.Reserve+t.Jitter
	}
	return ledger.Working, unresponsiveFor >= t.Working+t.Jitter
}

// FenceDelay returns how much longer the log must be read without a gap until an incarnation that appends nothing
// can be fenced from its working shares.
func FenceDelay(o *Observation, s *Silence, t FenceTerms) time.Duration {
	term := t.Working + t.Jitter
	if !s.hasOffset {
		return term
	}
	return max(term-(o.observedTotal-s.observedAtChange), term-o.currentPeriod, 0)
}
