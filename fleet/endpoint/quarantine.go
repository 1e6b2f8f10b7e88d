package endpoint

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Times and counts of the quarantine.
const (
	// quarantineTime is how long a request is refused, suspicionTime how long a crash counts.
	quarantineTime = 10 * time.Minute
	suspicionTime  = 5 * time.Minute
	// suspectLimit bounds the requests that are remembered, reporterLimit the routers of one crash.
	suspectLimit  = 4096
	reporterLimit = 64
)

// Crash is an endpoint's crash as one router saw it.
type Crash struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Router is the incarnation that saw the crash; zero for this router itself. A router names a request
	// once for each crash, so a request that it names again was in progress at a further one.
	Router ledger.Incarnation
	// InProgress are the requests whose exchanges broke.
	InProgress []ledger.Fingerprint
}

// suspect is a request that was in progress at a crash.
type suspect struct {
	until time.Time
	// held says that it was in progress at a second one.
	held bool
	// endpoint crashed, as the reporters saw.
	endpoint  string
	reporters []ledger.Incarnation
}

// Quarantine finds requests that crash endpoints: those that were in progress at two crashes and have
// completed at this router in between. Routers that see the same crash count as one. Its zero value
// is ready for use.
type Quarantine struct {
	suspects map[ledger.Fingerprint]*suspect
}

// Crash takes a crash in and returns the requests that are quarantined by it.
func (q *Quarantine) Crash(now time.Time, c Crash) []ledger.Fingerprint {
	if q.suspects == nil {
		q.suspects = make(map[ledger.Fingerprint]*suspect)
	}
	q.expire(now)
	reported := slices.Clone(c.InProgress)
	slices.Sort(reported)
	var caught []ledger.Fingerprint
	for _, f := range slices.Compact(reported) {
		if q.report(now, f, &c) {
			caught = append(caught, f)
		}
	}
	return caught
}

// report counts a crash for a request and tells whether it is quarantined by it.
func (q *Quarantine) report(now time.Time, f ledger.Fingerprint, c *Crash) bool {
	known, ok := q.suspects[f]
	if !ok {
		if len(q.suspects) < suspectLimit {
			q.suspects[f] = &suspect{
				until: now.Add(suspicionTime), endpoint: c.Endpoint, reporters: []ledger.Incarnation{c.Router},
			}
		}
		return false
	}
	if !known.held && c.Endpoint == known.endpoint && !slices.Contains(known.reporters, c.Router) {
		// Another router's view of the same crash.
		if len(known.reporters) < reporterLimit {
			known.reporters = append(known.reporters, c.Router)
		}
		return false
	}
	caught := !known.held
	known.held, known.until = true, now.Add(quarantineTime)
	return caught
}

// Complete clears a request that an endpoint has answered: it was not the cause.
func (q *Quarantine) Complete(f ledger.Fingerprint) { delete(q.suspects, f) }

// Held returns for how long a request is still refused; zero if it is not quarantined.
func (q *Quarantine) Held(now time.Time, f ledger.Fingerprint) time.Duration {
	known, ok := q.suspects[f]
	if !ok || !known.held {
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
