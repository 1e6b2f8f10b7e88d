package endpoint

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// probationTime is how long a request is held after two crashes: others that look like it may be innocent, so that one is sent
// then. After a further crash it is held for quarantineTime.
const probationTime = 15 * time.Second

// Exposure is a request whose exchange with an endpoint broke off in the endpoint's crash.
type Exposure struct {
	Fingerprint ledger.Fingerprint
	// Begun is when the request was sent, Broke when its exchange broke off.
	Begun, Broke time.Time
}

// exposed is a request that was in progress at crashes and has completed nowhere since.
type exposed struct {
	// until is when it is forgotten, held until when it is not sent.
	until, held time.Time
	crashes     int
	// crash names the newest crash, broke is when the exchange broke off in it.
	crash string
	broke time.Time
}

// Suspects finds requests that crash endpoints: those that were sent to an endpoint that crashed, then to another that crashed
// too, and completed nowhere in between. Requests with one fingerprint that were in progress at several endpoints at once
// count once, since a request that crashes endpoints is at one at a time. Its zero value is ready for use.
type Suspects struct {
	requests map[ledger.Fingerprint]*exposed
}

// Crash takes a crash in, by a name that no other crash has, and returns the requests that are held by it.
func (s *Suspects) Crash(now time.Time, crash string, exposures []Exposure) []ledger.Fingerprint {
	if s.requests == nil {
		s.requests = make(map[ledger.Fingerprint]*exposed)
	}
	for f, known := range s.requests {
		if !now.Before(known.until) {
			delete(s.requests, f)
		}
	}
	var held []ledger.Fingerprint
	for _, e := range exposures {
		if s.expose(now, crash, e) {
			held = append(held, e.Fingerprint)
		}
	}
	return held
}

// expose counts a crash for a request and reports whether the request is held by it.
func (s *Suspects) expose(now time.Time, crash string, e Exposure) bool {
	known, ok := s.requests[e.Fingerprint]
	if !ok {
		if len(s.requests) < suspectLimit {
			s.requests[e.Fingerprint] = &exposed{until: now.Add(suspicionTime), crashes: 1, crash: crash, broke: e.Broke}
		}
		return false
	}
	if known.crash == crash || e.Begun.Before(known.broke) {
		return false
	}
	hold := probationTime
	if known.crashes > 1 {
		hold = quarantineTime
	}
	*known = exposed{
		until: now.Add(hold + suspicionTime), held: now.Add(hold), crashes: known.crashes + 1, crash: crash, broke: e.Broke,
	}
	return true
}

// Complete clears a request that an endpoint answered after its crashes. It reports whether there was something to clear.
func (s *Suspects) Complete(f ledger.Fingerprint, at time.Time) bool {
	known, ok := s.requests[f]
	if !ok || at.Before(known.broke) {
		return false
	}
	delete(s.requests, f)
	return true
}

// Held returns for how long a request is not to be sent; zero if it may be.
func (s *Suspects) Held(now time.Time, f ledger.Fingerprint) time.Duration {
	known, ok := s.requests[f]
	if !ok || known.held.IsZero() {
		return 0
	}
	return max(0, known.held.Sub(now))
}

// Len returns the number of requests under suspicion.
func (s *Suspects) Len() int { return len(s.requests) }
