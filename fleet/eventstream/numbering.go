package eventstream

const (
	// minStreams is the number of streams from which on the numbering of a service is known.
	minStreams = 3
	// maxUnevenShare is the share of streams numbered otherwise up to which a service numbers events by one: endpoints may fail.
	maxUnevenShare = 0.25
	// maxStreams bounds the streams that count. Beyond it, the older half counts less.
	maxStreams = 512
)

// Scheme is how a service numbers the events of its streams. The format asks for no numbers at all.
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

// Numbering knows how a service has numbered the events of its streams. The zero value has seen none.
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

// Scheme returns how the service numbers events.
func (n *Numbering) Scheme() Scheme {
	isMixed := float64(n.uneven) > maxUnevenShare*float64(n.byOne+n.uneven)
	switch {
	case isMixed && n.uneven >= minStreams:
		return SchemeOther
	case !isMixed && n.byOne >= minStreams:
		return SchemeByOne
	default:
		return SchemeUnknown
	}
}
