package eventstream

const (
	// minUneven is the number of streams numbered otherwise that show that a service doesn't number events by one, if they are more than
	// maxUnevenShare of its streams: endpoints may fail.
	minUneven      = 3
	maxUnevenShare = 0.25
	// maxStreams bounds the streams that count. Beyond it, the older half counts less.
	maxStreams = 512
)

// Numbering tells whether a service numbers the events of its streams by one, so that a missing event shows. The format asks for no numbers at
// all. The zero value, of a service of which nothing is known, says that it does.
type Numbering struct{ byOne, uneven int }

// Record records the numbering of a stream's events, those of a rejected run included.
func (n *Numbering) Record(byOne bool) {
	if byOne {
		n.byOne++
	} else {
		n.uneven++
	}
	if n.byOne+n.uneven > maxStreams {
		n.byOne, n.uneven = n.byOne/2, n.uneven/2
	}
}

// IsByOne reports whether the service numbers events by one.
func (n *Numbering) IsByOne() bool {
	return n.uneven < minUneven || float64(n.uneven) <= maxUnevenShare*float64(n.byOne+n.uneven)
}
