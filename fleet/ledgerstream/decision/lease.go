package decision

import "time"

// Lease is the time for which an incarnation may spend its shares of one kind: working or reserve. The term starts
// before the append of the newest own record that is known to be in the log, so that the lease never ends later than
// another router computes from the same record. A Lease that was never renewed is lapsed.
type Lease struct {
	Term time.Duration
	// Margin shortens the term to leave time between the lease check and the dispatch of the request.
	Margin      time.Duration
	renewedFrom time.Time
}

// Renew restarts the term at sentAt, the time before the append of a record that is in the log, unless the term
// already starts later.
func (l *Lease) Renew(sentAt time.Time) {
	if sentAt.After(l.renewedFrom) {
		l.renewedFrom = sentAt
	}
}

// Left returns the time for which requests may still be dispatched, which excludes the margin. It is 0 for a lease
// that was never renewed and negative after the end of the term.
func (l *Lease) Left(now time.Time) time.Duration {
	if l.renewedFrom.IsZero() {
		return 0
	}
	return l.Term - l.Margin - now.Sub(l.renewedFrom)
}

// Valid reports whether a request may be dispatched at now.
func (l *Lease) Valid(now time.Time) bool { return l.Left(now) > 0 }
