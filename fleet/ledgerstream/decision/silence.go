package decision

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Observation measures for how long the log was read without a gap. The zero value has observed nothing.
type Observation struct {
	// GapLimit is the longest time between two complete reads that counts as reading without a gap.
	GapLimit time.Duration
	lastRead time.Time
	// total is the sum of all stretches without a gap, stretch the newest of them.
	total   time.Duration
	stretch time.Duration
}

// Read notes that the stream was read to its end; now is the time at which that read began.
func (o *Observation) Read(now time.Time) {
	if !o.lastRead.IsZero() {
		passed := now.Sub(o.lastRead)
		if passed > o.GapLimit {
			o.stretch = 0
		} else {
			o.total += passed
			o.stretch += passed
		}
	}
	o.lastRead = now
}

// Break ends the stretch: the log was unreachable, so the silence of others says nothing.
func (o *Observation) Break() {
	o.stretch = 0
	o.lastRead = time.Time{}
}

// Silence is what this router knows of another incarnation's silence. The zero value starts
// with the first look at it.
type Silence struct {
	lastSeen platform.Offset
	known    bool
	// seenAt is the total of the observation when the last-seen offset changed.
	seenAt time.Duration
}

// Update notes the last-seen offset of the incarnation as of the newest complete read.
func (s *Silence) Update(o *Observation, lastSeen platform.Offset) {
	if s.known && s.lastSeen == lastSeen {
		return
	}
	s.known = true
	s.lastSeen = lastSeen
	s.seenAt = o.total
}

// FenceTerms are the times of silence after which an incarnation is fenced.
type FenceTerms struct {
	// Working is the lease with its margin, Reserve the long term of reserve shares.
	Working time.Duration
	Reserve time.Duration
	// Jitter is this router's delay, so that not all routers fence at once.
	Jitter time.Duration
}

// FenceDue says whether the incarnation is to be fenced and which of its shares end. Only the time
// of reading without a gap counts, and the newest stretch alone must cover a whole lease.
func FenceDue(o *Observation, s *Silence, suspended bool, t FenceTerms) (ledger.ShareKind, bool) {
	silent := o.total - s.seenAt
	if !s.known || o.stretch < t.Working+t.Jitter {
		return ledger.Working, false
	}
	if suspended {
		return ledger.Reserve, silent >= t.Reserve+t.Jitter
	}
	return ledger.Working, silent >= t.Working+t.Jitter
}

// FenceIn returns how long the log has to be read without a gap until a working share of a silent incarnation can be
// fenced.
func FenceIn(o *Observation, s *Silence, t FenceTerms) time.Duration {
	term := t.Working + t.Jitter
	if !s.known {
		return term
	}
	return max(term-(o.total-s.seenAt), term-o.stretch, 0)
}
