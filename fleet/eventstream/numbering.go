package eventstream

import (
	"math/bits"
	"sync"
)

const (
	// minSteps is the number of steps by one, without another between them, that show that an endpoint numbers events by one.
	minSteps = 32
	// minUneven is the number of runs with other steps that show that an endpoint doesn't number by one, if they are more than half of the newest
	// recentRuns: an endpoint may leave events out.
	minUneven  = 3
	recentRuns = 16
)

// numberingKind is what is known of how a process numbers events.
type numberingKind int

const (
	// numberedUnknown: only the steps of a stream itself show what is missing there.
	numberedUnknown numberingKind = iota
	// numberedByOne: a larger step is a missing event.
	numberedByOne
	// numberedOtherwise: steps show nothing.
	numberedOtherwise
)

// Numbering tells whether an endpoint's process numbers the events of its streams by one, so that a missing event shows. The format asks for no numbers at
// all. It learns from each event that passes. The zero value is of a process of which nothing is known. Its methods may be called concurrently.
type Numbering struct {
	mu sync.Mutex
	// steps counts the steps by one, up to minSteps. Until then, another step sets it back.
	steps int
	// first is the number with which the last stream by one began.
	first uint64
	// runs is the number of runs in recent, whose bits are set for those with other steps, the newest lowest.
	runs   int
	recent uint16
}

// kind returns what is known, and whether streams by one begin with a number.
func (n *Numbering) kind(first uint64) (kind numberingKind, beginsSo bool) {
	if n == nil {
		return numberedOtherwise, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kindLocked(), n.first == first
}

func (n *Numbering) kindLocked() numberingKind {
	uneven := bits.OnesCount16(n.recent)
	switch {
	case uneven >= minUneven && 2*uneven > n.runs:
		return numberedOtherwise
	case n.steps >= minSteps:
		return numberedByOne
	default:
		return numberedUnknown
	}
}

// recordStep records a step by one.
func (n *Numbering) recordStep() {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.steps = min(n.steps+1, minSteps)
}

// recordRun records a run whose first step is by one.
func (n *Numbering) recordRun() {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addLocked(0)
}

// recordFirst records the number with which a stream by one began.
func (n *Numbering) recordFirst(number uint64) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.first = number
}

// recordUneven records the first other step of a run. wasByOne reports whether recordRun was called for the run.
func (n *Numbering) recordUneven(wasByOne bool) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	newestByOne := bits.TrailingZeros16(^n.recent)
	if wasByOne && newestByOne < n.runs {
		n.recent |= 1 << newestByOne
	} else {
		n.addLocked(1)
	}
	if n.steps < minSteps || n.kindLocked() == numberedOtherwise {
		n.steps = 0
	}
}

func (n *Numbering) addLocked(bit uint16) {
	n.recent = n.recent<<1 | bit
	n.runs = min(n.runs+1, recentRuns)
}
