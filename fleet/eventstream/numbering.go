package eventstream

import "fmt"

const (
	// minStreams is the number of streams from which on the numbering of a version is known, manyStreams that from which on their shares alone tell it.
	minStreams, manyStreams = 3, 24
	// maxUnevenShare is the share of streams numbered otherwise up to which a version numbers events by one: endpoints may fail.
	maxUnevenShare = 0.25
	// largerStepWeight is the number of steps by one that weigh as much as a larger one: where events are missing larger steps are rarer than that, where
	// steps vary they are more frequent. otherWeight and byOneWeight are the weights from which on steps alone tell that.
	largerStepWeight, otherWeight, byOneWeight = 25, 60, -40
	// maxStreams bounds the streams that count. Beyond it, the older half counts less.
	maxStreams = 512
	// maxCount bounds what another router tells, so that sums don't overflow.
	maxCount = 1 << 30
)

// Scheme is how a version numbers the events of its streams. The format asks for no numbers at all.
type Scheme int

const (
	// SchemeUnknown means that too few streams have been seen.
	SchemeUnknown Scheme = iota
	// SchemeByOne means that each number is the one before and one, so that a missing event shows.
	SchemeByOne
	// SchemeOther means that numbers increase in other steps.
	SchemeOther
)

// String implements fmt.Stringer.
func (s Scheme) String() string {
	switch s {
	case SchemeByOne:
		return "by one"
	case SchemeOther:
		return "otherwise"
	default:
		return "unknown"
	}
}

// Numbering is what has been seen of how a version numbers the events of its streams. The zero value has seen none.
type Numbering struct {
	// ByOne and Uneven are the numbers of streams that were numbered by one until their end, and that had a larger step.
	ByOne, Uneven int
	// Certain is the number of uneven streams whose own events show that they aren't numbered by one: several larger steps, or a
	// larger one before any other in a stream that begins above one.
	Certain int
	// InProgress is the number of streams in progress, OpenByOne that of those that have been numbered by one so far.
	InProgress, OpenByOne int
	// StepsByOne and LargerSteps are the numbers of steps between events, those of streams in progress included.
	StepsByOne, LargerSteps int
}

// count counts a stream, those of a rejected run included.
func (n *Numbering) count(byOne bool) {
	if byOne {
		n.ByOne++
	} else {
		n.Uneven++
	}
	if n.ByOne+n.Uneven > maxStreams {
		n.ByOne, n.Uneven, n.Certain = n.ByOne/2, n.Uneven/2, n.Certain/2
		n.StepsByOne, n.LargerSteps = n.StepsByOne/2, n.LargerSteps/2
	}
}

// isEmpty reports whether no stream has shown anything.
func (n *Numbering) isEmpty() bool { return n.StepsByOne+n.LargerSteps+n.ByOne+n.Uneven == 0 }

// add adds what another router has seen.
func (n *Numbering) add(other Numbering) {
	n.ByOne, n.Uneven, n.Certain = n.ByOne+other.ByOne, n.Uneven+other.Uneven, n.Certain+other.Certain
	n.InProgress, n.OpenByOne = n.InProgress+other.InProgress, n.OpenByOne+other.OpenByOne
	n.StepsByOne, n.LargerSteps = n.StepsByOne+other.StepsByOne, n.LargerSteps+other.LargerSteps
}

// isValid reports whether the numbers are such as streams can show.
func (n *Numbering) isValid() bool {
	least := min(n.ByOne, n.Uneven, n.Certain, n.InProgress, n.OpenByOne, n.StepsByOne, n.LargerSteps)
	most := max(n.ByOne, n.Uneven, n.Certain, n.InProgress, n.OpenByOne, n.StepsByOne, n.LargerSteps)
	return least >= 0 && most <= maxCount && n.ByOne+n.Uneven <= maxStreams && n.Certain <= n.Uneven && n.OpenByOne <= n.InProgress
}

// weight returns how much the steps show that steps vary, in steps by one; below zero if they show that the version numbers by one.
func (n *Numbering) weight() int { return largerStepWeight*n.LargerSteps - n.StepsByOne }

// Scheme returns how the version numbers events. Endpoints rarely leave events out, so that frequent larger steps show that steps vary.
func (n *Numbering) Scheme() Scheme {
	total := n.ByOne + n.Uneven + n.OpenByOne
	isMixed := float64(n.Uneven) > maxUnevenShare*float64(total)
	isFrequent := n.Certain >= minStreams || total >= manyStreams || n.weight() > otherWeight
	switch {
	case isMixed && isFrequent && n.Uneven >= minStreams:
		return SchemeOther
	case !isMixed && n.ByOne >= minStreams:
		return SchemeByOne
	default:
		return SchemeUnknown
	}
}

// LeansByOne reports whether a version of which too few streams have been seen has rather shown that it numbers by one, with a larger step that is in doubt.
func (n *Numbering) LeansByOne() bool { return n.weight() < 0 }

// IsSettled reports whether further streams in progress will hardly show another scheme.
func (n *Numbering) IsSettled() bool {
	switch n.Scheme() {
	case SchemeOther:
		return true
	case SchemeByOne:
		return n.weight() < byOneWeight
	default:
		return false
	}
}

// String returns the scheme and what it rests on.
func (n *Numbering) String() string {
	return fmt.Sprintf("%s: %d streams by one, %d otherwise, %d in progress, %d of them by one, %d steps by one and %d larger ones",
		n.Scheme(), n.ByOne, n.Uneven, n.InProgress, n.OpenByOne, n.StepsByOne, n.LargerSteps)
}
