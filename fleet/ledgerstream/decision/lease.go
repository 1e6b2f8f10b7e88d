package decision

import "time"

// Lease is the right of an incarnation to spend its working shares. It is counted from before the
// send of the newest own record that is known to be in the log, so that it never ends later than
// another router's count of the same record. The zero value is a lapsed lease.
type Lease struct {
	Term time.Duration
	// Margin is kept free at the end for the time between the check and the dispatch.
	Margin    time.Duration
	renewedAt time.Time
}

// Renew extends the lease from the time before the send of a record that is in the log.
func (l *Lease) Renew(sentAt time.Time) {
	if sentAt.After(l.renewedAt) {
		l.renewedAt = sentAt
	}
}

// Left returns the time for which the lease still allows a dispatch; it is negative once it has lapsed.
func (l *Lease) Left(now time.Time) time.Duration {
	if l.renewedAt.IsZero() {
		return 0
	}
	return l.Term - l.Margin - now.Sub(l.renewedAt)
}

// Valid says whether a request may be dispatched now.
func (l *Lease) Valid(now time.Time) bool { return l.Left(now) > 0 }
