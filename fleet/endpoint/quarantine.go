package endpoint

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Times and counts of the quarantine.
const (
	// crashLimit is the number of crashes after which a request that saw them all is quarantined.
	crashLimit = 2
	// quarantineTime is how long it is refused, suspicionTime how long a crash counts.
	quarantineTime = 10 * time.Minute
	suspicionTime  = 5 * time.Minute
	// suspectLimit bounds the requests that are remembered.
	suspectLimit = 4096
)

// suspect is a request that was in progress at a crash.
type suspect struct {
	crashes int
	until   time.Time
}

// Quarantine finds requests that crash endpoints: those that were in progress at two crashes and have
// completed nowhere in between. Its zero value is ready for use.
type Quarantine struct {
	suspects map[ledger.Fingerprint]suspect
}

// Crash takes in the requests that were in progress at an endpoint when it crashed and returns those
// that are quarantined by it.
func (q *Quarantine) Crash(now time.Time, inProgress []ledger.Fingerprint) []ledger.Fingerprint {
	if q.suspects == nil {
		q.suspects = make(map[ledger.Fingerprint]suspect)
	}
	q.expire(now)
	var caught []ledger.Fingerprint
	counted := make(map[ledger.Fingerprint]bool)
	for _, f := range inProgress {
		known, ok := q.suspects[f]
		if counted[f] || !ok && len(q.suspects) >= suspectLimit {
			continue
		}
		counted[f] = true
		known.crashes++
		known.until = now.Add(suspicionTime)
		if known.crashes == crashLimit {
			caught = append(caught, f)
		}
		if known.crashes >= crashLimit {
			known.until = now.Add(quarantineTime)
		}
		q.suspects[f] = known
	}
	return caught
}

// Complete clears a request that an endpoint has answered: it was not the cause.
func (q *Quarantine) Complete(f ledger.Fingerprint) { delete(q.suspects, f) }

// Hold quarantines a request that another router has found.
func (q *Quarantine) Hold(now time.Time, f ledger.Fingerprint) {
	if q.suspects == nil {
		q.suspects = make(map[ledger.Fingerprint]suspect)
	}
	q.suspects[f] = suspect{crashes: crashLimit, until: now.Add(quarantineTime)}
}

// Held returns for how long a request is still refused; zero if it is not quarantined.
func (q *Quarantine) Held(now time.Time, f ledger.Fingerprint) time.Duration {
	known, ok := q.suspects[f]
	if !ok || known.crashes < crashLimit {
		return 0
	}
	return max(0, known.until.Sub(now))
}

// Suspect reports whether a request was in progress at a crash and has completed nowhere since. Two
// suspects must not share an endpoint, or the innocent one would be there at the next crash.
func (q *Quarantine) Suspect(now time.Time, f ledger.Fingerprint) bool {
	known, ok := q.suspects[f]
	return ok && now.Before(known.until)
}

// expire forgets what has passed.
func (q *Quarantine) expire(now time.Time) {
	for f, known := range q.suspects {
		if !now.Before(known.until) {
			delete(q.suspects, f)
		}
	}
}
