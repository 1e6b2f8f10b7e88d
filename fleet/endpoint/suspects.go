package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

const (
	// probationDuration is how long a request is blocked at first. Other requests with the same fingerprint may be harmless, so
	// the fingerprint is let through afterwards; a further crash may block it for quarantineDuration.
	probationDuration = 15 * time.Second
	// crashLimit is the number of crashes that block a request if at most maxTiedRequests have as many; ambiguousCrashLimit crashes
	// block any. ambiguousQuarantineLimit crashes block it for quarantineDuration whatever else was in flight, one more if its answer
	// was under way at one of them.
	crashLimit               = 2
	ambiguousCrashLimit      = 3
	ambiguousQuarantineLimit = 5
	maxTiedRequests          = 4
	// maxRequestExposures bounds the exposures that are remembered of a request.
	maxRequestExposures = 16
	// maxExpectedByChance is the highest expected number of sound requests with as many crashes at which a request is blocked
	// for quarantineDuration.
	maxExpectedByChance = 0.05
	// reportTime is the time in which all routers have usually reported a crash. Until then a request that had others beside it is
	// held for probationDuration at most, as their reports may show that it is not singled out.
	reportTime = 3 * time.Second
)

// exposure is one exchange of a request with an endpoint that crashed.
type exposure struct {
	// crash is the name of the crash.
	crash                 string
	sentAt, interruptedAt time.Time
}

// exposedRequest is a request that was in flight at one or more crashes and has not completed since.
type exposedRequest struct {
	// expiresAt is when the record is deleted; blockedUntil is when the request may be sent again.
	expiresAt, blockedUntil time.Time
	// exposures are in the order in which the exchanges broke off, one for each crash.
	exposures []exposure
	// crashes is the number of exposures, one after the other.
	crashes int
	// wasAnswering is true if the request's answer was under way for SoundAnswerTime at one of the crashes. A request that
	// crashes each endpoint that begins to run it gets no such answer.
	wasAnswering bool
	// blockedAt is when the request was blocked last, and blockedCrashes how many crashes it had had.
	blockedAt      time.Time
	blockedCrashes int
	// hadOthers is true if other requests were in flight at the crash that blocked the request.
	hadOthers bool
}

// wasAt reports whether the request was in flight at a crash.
func (r *exposedRequest) wasAt(crash string) bool {
	return slices.ContainsFunc(r.exposures, func(x exposure) bool { return x.crash == crash })
}

// add adds an exposure, in whatever order routers report them, and counts those that began after the one before had ended.
func (r *exposedRequest) add(added exposure) {
	i, _ := slices.BinarySearchFunc(r.exposures, added.interruptedAt, func(x exposure, t time.Time) int { return x.interruptedAt.Compare(t) })
	r.exposures = slices.Insert(r.exposures, i, added)
	r.exposures = r.exposures[max(0, len(r.exposures)-maxRequestExposures):]
	crashes := 0
	var last time.Time
	for _, x := range r.exposures {
		if !x.sentAt.Before(last) {
			crashes, last = crashes+1, x.interruptedAt
		}
	}
	r.crashes = max(r.crashes, crashes)
}

// interruptedAt returns when the request's newest exchange broke off.
func (r *exposedRequest) interruptedAt() time.Time {
	return r.exposures[len(r.exposures)-1].interruptedAt
}

// Suspects detects requests that crash endpoints: those that were sent to an endpoint that crashed, then to another
// that crashed too, and did not complete in between. Requests with the same fingerprint in flight at several
// endpoints at once count once, because a request that crashes endpoints is at one endpoint at a time. With many
// requests in flight, sound ones are at several crashes by chance. How many there are of these decides how many crashes block a
// request, and for how long. Each report of a crash decides anew about the requests that were in flight, so that the order of the reports
// doesn't matter. The zero value is ready for use.
type Suspects struct {
	requests map[ledger.Fingerprint]*exposedRequest
}

// RecordCrash records a crash, identified by a unique name, and returns the exposed requests that are blocked because
// of it.
func (s *Suspects) RecordCrash(now time.Time, crash string, exposures []InterruptedExchange) []ledger.Fingerprint {
	if s.requests == nil {
		s.requests = make(map[ledger.Fingerprint]*exposedRequest)
	}
	for f, request := range s.requests {
		if !now.Before(request.expiresAt) {
			delete(s.requests, f)
		}
	}
	for _, e := range exposures {
		if e.Fingerprint != 0 {
			s.recordExposure(now, crash, e)
		}
	}
	blocked := s.block(now, crash)
	s.removeExcess()
	return blocked
}

// recordExposure counts a crash for one request.
func (s *Suspects) recordExposure(now time.Time, crash string, e InterruptedExchange) {
	request, ok := s.requests[e.Fingerprint]
	if !ok {
		request = &exposedRequest{}
		s.requests[e.Fingerprint] = request
	}
	if request.wasAt(crash) {
		return
	}
	request.add(exposure{crash: crash, sentAt: e.SentAt, interruptedAt: e.InterruptedAt})
	request.wasAnswering = request.wasAnswering || e.IsAnswering
	request.expiresAt = later(request.expiresAt, now.Add(suspicionDuration))
}

// block blocks the requests that the reports of a crash make likely causes, and returns those that were not blocked because of it
// before.
func (s *Suspects) block(now time.Time, crash string) []ledger.Fingerprint {
	evidence := s.evidence(crash)
	var blocked []ledger.Fingerprint
	for f, request := range s.requests {
		if !request.wasAt(crash) {
			continue
		}
		blockTime := evidence.blockTime(request)
		switch {
		case request.crashes > request.blockedCrashes && blockTime > 0:
			request.blockedAt, request.blockedCrashes = now, request.crashes
			blocked = append(blocked, f)
		case request.crashes > request.blockedCrashes || request.exposures[len(request.exposures)-1].crash != crash:
			continue
		}
		request.hadOthers = evidence.total > 1
		request.blockedUntil = request.blockedAt.Add(blockTime)
		request.expiresAt = request.blockedUntil.Add(suspicionDuration)
	}
	slices.Sort(blocked)
	return blocked
}

// crashEvidence counts the requests that were in flight at a crash by the crashes that they have had. Requests whose answers
// were under way are left out.
type crashEvidence struct {
	total, repeated int
	// most is the most crashes of a request, tied the number of requests with as many.
	most, tied int
}

func (s *Suspects) evidence(crash string) crashEvidence {
	var v crashEvidence
	for _, request := range s.requests {
		if !request.wasAt(crash) || request.wasAnswering {
			continue
		}
		v.total++
		if request.crashes >= crashLimit {
			v.repeated++
		}
		switch {
		case request.crashes > v.most:
			v.most, v.tied = request.crashes, 1
		case request.crashes == v.most:
			v.tied++
		}
	}
	return v
}

// blockTime returns for how long a request that was in flight at the crash is blocked.
func (v *crashEvidence) blockTime(request *exposedRequest) time.Duration {
	ambiguousQuarantine := ambiguousQuarantineLimit
	if request.wasAnswering {
		ambiguousQuarantine++
	}
	isSingledOut := !request.wasAnswering && request.crashes == v.most && v.tied <= maxTiedRequests
	switch {
	case request.crashes >= ambiguousQuarantine:
		return quarantineDuration
	case request.crashes > crashLimit && isSingledOut && v.tied == 1 && v.expectedByChance(request.crashes) <= maxExpectedByChance:
		return quarantineDuration
	case request.crashes >= ambiguousCrashLimit, request.crashes >= crashLimit && isSingledOut:
		return probationDuration
	default:
		return 0
	}
}

// expectedByChance estimates how many sound requests have had that many crashes: the fraction of the other requests in flight that were at
// a crash before is the probability of each further crash.
func (v *crashEvidence) expectedByChance(crashes int) float64 {
	others := float64(v.total - 1)
	if others <= 0 {
		return 0
	}
	return others * math.Pow(float64(v.repeated-1)/others, float64(crashes-1))
}

// removeExcess removes the requests above maxSuspects, those with the fewest crashes first, then the oldest.
func (s *Suspects) removeExcess() {
	removeFirst(s.requests, len(s.requests)-maxSuspects, func(a, b *exposedRequest) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.expiresAt.Compare(b.expiresAt))
	})
}

// Contains reports whether a request is under suspicion.
func (s *Suspects) Contains(f ledger.Fingerprint) bool {
	_, ok := s.requests[f]
	return ok
}

// RecordCompletion clears a request that an endpoint answered after the request's last crash, and reports whether there
// was a record to clear.
func (s *Suspects) RecordCompletion(f ledger.Fingerprint, at time.Time) bool {
	request, ok := s.requests[f]
	if !ok || at.Before(request.interruptedAt()) {
		return false
	}
	delete(s.requests, f)
	return true
}

// BlockTimeLeft returns for how long a request must not be sent; zero if it may be sent now.
func (s *Suspects) BlockTimeLeft(now time.Time, f ledger.Fingerprint) time.Duration {
	request, ok := s.requests[f]
	if !ok || request.blockedUntil.IsZero() {
		return 0
	}
	wait := max(0, request.blockedUntil.Sub(now))
	if request.hadOthers && now.Sub(request.blockedAt) < reportTime {
		return min(wait, probationDuration)
	}
	return wait
}

// Len returns the number of requests under suspicion.
func (s *Suspects) Len() int { return len(s.requests) }
