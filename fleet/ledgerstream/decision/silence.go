package decision

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// ReadContinuity adds up the time during which the router has read the log without gaps. Only time without gaps
// counts towards the fence of an unresponsive incarnation. The zero value has recorded no read.
type ReadContinuity struct {
	// GapLimit is the longest time between two complete reads that does not count as a gap.
	GapLimit   time.Duration
	lastReadAt time.Time
	// observedTotal is the sum of all gap-free periods. currentPeriod is the length of the newest one.
	observedTotal time.Duration
	currentPeriod time.Duration
}

// RecordRead records a read that reached the end of the stream; now is the time at which the read began.
func (c *ReadContinuity) RecordRead(now time.Time) {
	if !c.lastReadAt.IsZero() {
		elapsed := now.Sub(c.lastReadAt)
		if elapsed > c.GapLimit {
			c.currentPeriod = 0
		} else {
			c.observedTotal += elapsed
			c.currentPeriod += elapsed
		}
	}
	c.lastReadAt = now
}

// Interrupt ends the gap-free period. While the log is unreachable, missing records of an incarnation are no evidence
// that it stopped appending.
func (c *ReadContinuity) Interrupt() {
	c.currentPeriod = 0
	c.lastReadAt = time.Time{}
}

// Inactivity tracks for how long another incarnation has appended nothing. The zero value starts at the first Update.
type Inactivity struct {
	lastSeen  platform.Offset
	hasOffset bool
	// observedAtChange is the ReadContinuity's total at the time of the newest change of lastSeen.
	observedAtChange time.Duration
}

// Update records the offset of the incarnation's newest record as of the newest complete read.
func (i *Inactivity) Update(c *ReadContinuity, lastSeen platform.Offset) {
	if i.hasOffset && i.lastSeen == lastSeen {
		return
	}
	i.hasOffset = true
	i.lastSeen = lastSeen
	i.observedAtChange = c.observedTotal
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

// FenceDue reports whether the incarnation must be fenced now, and the kind of share that the fence ends. An
// incarnation whose working shares have been fenced already is suspended; only the longer reserve term then applies.
// Only time during which the log was read without a gap counts, and the current gap-free period alone must cover the
// lease, its margin and the jitter.
func FenceDue(c *ReadContinuity, i *Inactivity, suspended bool, t FenceTerms) (ledger.ShareKind, bool) {
	unresponsiveFor := c.observedTotal - i.observedAtChange
	if !i.hasOffset || c.currentPeriod < t.Working+t.Jitter {
		return ledger.Working, false
	}
	if suspended {
		return ledger.Reserve, unresponsiveFor >= t.Reserve+t.Jitter
	}
	return ledger.Working, unresponsiveFor >= t.Working+t.Jitter
}

// FenceDelay returns how much longer the log must be read without a gap until an incarnation that appends nothing can
// be fenced with a fence of kind Working, which ends its working shares.
func FenceDelay(c *ReadContinuity, i *Inactivity, t FenceTerms) time.Duration {
	term := t.Working + t.Jitter
	if !i.hasOffset {
		return term
	}
	return max(term-(c.observedTotal-i.observedAtChange), term-c.currentPeriod, 0)
}
