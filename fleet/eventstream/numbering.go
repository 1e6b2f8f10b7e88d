package eventstream

import "sync"

const (
	// minSteps is the number of steps by one, without another between them, that show that an endpoint numbers events by one.
	minSteps = 32
	// minUneven is the number of runs with other steps that show that an endpoint doesn't number by one any more, if they are more than maxUnevenShare
	// of its runs: an endpoint may leave events out.
	minUneven      = 3
	maxUnevenShare = 0.25
	// maxRuns bounds the runs that count. Beyond it, the older half counts less.
	maxRuns = 512
)

// Numbering tells whether an endpoint's process numbers the events of its streams by one, so that a missing event shows. The format asks for no numbers at
// all. It learns from each event that passes. The zero value is of a process of which nothing is known. Its methods may be called concurrently.
type Numbering struct {
	mu sync.Mutex
	// steps counts the steps by one since the last other one, up to minSteps, from where on the process is known to number by one.
	steps int
	// first is the number with which the last stream by one began.
	first uint64
	// byOne and uneven count the runs since steps reached minSteps.
	byOne, uneven int
}

// isByOne reports whether the process is known to number events by one, and whether its streams begin with a number.
func (n *Numbering) isByOne(first uint64) (isKnown, beginsSo bool) {
	if n == nil {
		return false, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.steps >= minSteps, n.first == first
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
	n.countRunLocked(&n.byOne)
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

// recordUneven records the first other step of a run. hadStep reports whether the run had a step by one before.
func (n *Numbering) recordUneven(hadStep bool) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if hadStep && n.byOne > 0 {
		n.byOne--
	}
	n.countRunLocked(&n.uneven)
	if n.steps < minSteps || n.uneven >= minUneven && float64(n.uneven) > maxUnevenShare*float64(n.byOne+n.uneven) {
		n.steps, n.byOne, n.uneven = 0, 0, 0
	}
}

func (n *Numbering) countRunLocked(kind *int) {
	*kind++
	if n.byOne+n.uneven > maxRuns {
		n.byOne, n.uneven = n.byOne/2, n.uneven/2
	}
}
