package endpoint

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Times and counts of the ejection of endpoints.
const (
	// failureLimit is the number of failures in a row that eject an endpoint whose probes are answered.
	failureLimit = 5
	// firstEjection is the time until an ejected endpoint is probed; it doubles up to longEjection.
	firstEjection = 250 * time.Millisecond
	longEjection  = 10 * time.Second
	// slowStart is the time in which an admitted endpoint comes to its full share.
	slowStart = 10 * time.Second
	// coldWarmth is the share at its begin.
	coldWarmth = 0.1
)

// FailureKind says how an endpoint failed.
type FailureKind string

// The kinds of failures; they are the endings of the counters of ejections.
const (
	// Unreachable means that no connection was had.
	Unreachable FailureKind = "unreachable"
	// Broken means that an exchange was broken off.
	Broken FailureKind = "broken"
	// Silent means that nothing came in time.
	Silent FailureKind = "silent"
	// Erring means that all answers were errors of the endpoint itself.
	Erring FailureKind = "erring"
)

// Observation is what a router sees of an endpoint; the types below are all there are.
type Observation interface{ isObservation() }

// Answered reports a complete answer or a refusal by the endpoint itself.
type Answered struct{}

// Failed reports a failed attempt.
type Failed struct {
	Kind FailureKind
	// Begun is when the attempt began. Attempts older than the newest answered probe don't count: their
	// connections may have been lost in the same incident.
	Begun time.Time
}

// Errored reports a complete answer that is an error of the endpoint itself. The connection works, so no probe
// would tell more.
type Errored struct {
	// Request counts once in a row: what one request meets everywhere is not the endpoint's fault.
	Request ledger.Fingerprint
}

// Probed reports the end of a probe on a new connection.
type Probed struct{ Alive bool }

func (*Answered) isObservation() {}
func (*Failed) isObservation()   {}
func (*Errored) isObservation()  {}
func (*Probed) isObservation()   {}

// Action is what follows from an observation; the types below are all there are.
type Action interface{ isAction() }

// Probe asks for a probe on a new connection.
type Probe struct{}

// Eject reports that the endpoint gets no work until a probe was answered.
type Eject struct{ Kind FailureKind }

// Admit reports that the endpoint gets work again.
type Admit struct {
	// Ejected says that it was ejected before, and not merely suspected.
	Ejected bool
}

func (*Probe) isAction() {}
func (*Eject) isAction() {}
func (*Admit) isAction() {}

// state is a state of the health.
type state uint8

const (
	healthy state = iota
	// suspected endpoints get no new work until their probe has ended.
	suspected
	ejected
)

// Health is a router's opinion of one endpoint. A failure alone blames nobody: something between the
// two ends may have lost the connection. So the endpoint is probed on a new one first, and ejected if
// the probe fails or the failures go on. Its zero value is healthy.
type Health struct {
	state    state
	kind     FailureKind
	failures int
	// errored are the requests that got errors since the last other answer.
	errored []ledger.Fingerprint
	// ejections counts the ejections since the last answer.
	ejections int
	probeAt   time.Time
	probing   bool
	// cleared is when a probe was last answered, admitted when that ended an ejection.
	cleared  time.Time
	admitted time.Time
}

// Available reports whether the endpoint may get new work.
func (h *Health) Available() bool { return h.state == healthy }

// Ejected reports whether the endpoint is ejected.
func (h *Health) Ejected() bool { return h.state == ejected }

// Observe takes an observation in and returns what follows, or nil.
func (h *Health) Observe(now time.Time, observation Observation) Action {
	switch o := observation.(type) {
	case *Answered:
		h.answered()
	case *Failed:
		return h.failed(now, o)
	case *Errored:
		return h.erred(now, o.Request)
	case *Probed:
		return h.probed(now, o.Alive)
	}
	return nil
}

// answered clears the failures. An ejected endpoint stays so: the answer may have been under way
// since before.
func (h *Health) answered() {
	if h.state == healthy {
		h.failures, h.ejections, h.errored = 0, 0, h.errored[:0]
	}
}

func (h *Health) failed(now time.Time, f *Failed) Action {
	if h.state != healthy || f.Begun.Before(h.cleared) {
		return nil
	}
	h.failures++
	h.kind = f.Kind
	if h.failures >= failureLimit {
		return h.eject(now)
	}
	h.state, h.probing = suspected, true
	return &Probe{}
}

// erred ejects the endpoint once failureLimit requests in a row got errors.
func (h *Health) erred(now time.Time, request ledger.Fingerprint) Action {
	if h.state != healthy || slices.Contains(h.errored, request) {
		return nil
	}
	h.errored = append(h.errored, request)
	if len(h.errored) < failureLimit {
		return nil
	}
	h.kind = Erring
	return h.eject(now)
}

func (h *Health) probed(now time.Time, alive bool) Action {
	h.probing = false
	switch {
	case !alive:
		return h.eject(now)
	case h.state == suspected:
		h.state, h.cleared = healthy, now
		return &Admit{}
	case h.state == ejected && !now.Before(h.probeAt):
		h.state, h.cleared, h.admitted = healthy, now, now
		// One more failure ejects it again, unless an answer comes first.
		h.failures = failureLimit - 1
		return &Admit{Ejected: true}
	default:
		return nil
	}
}

func (h *Health) eject(now time.Time) Action {
	again := h.state == ejected
	wait := firstEjection
	for range h.ejections {
		wait = min(2*wait, longEjection)
	}
	h.ejections = min(h.ejections+1, failureLimit*2)
	h.state, h.probeAt, h.probing, h.errored = ejected, now.Add(wait), false, h.errored[:0]
	if again {
		return nil
	}
	return &Eject{Kind: h.kind}
}

// ProbeDue reports whether an ejected endpoint is to be probed now; the caller then does so.
func (h *Health) ProbeDue(now time.Time) bool {
	if h.state != ejected || h.probing || now.Before(h.probeAt) {
		return false
	}
	h.probing = true
	return true
}

// NextProbe returns the time until an ejected endpoint is probed; zero if it is not ejected.
func (h *Health) NextProbe(now time.Time) time.Duration {
	if h.state != ejected {
		return 0
	}
	return max(0, h.probeAt.Sub(now))
}

// Warmth returns the share of its load that the endpoint gets during its slow start.
func (h *Health) Warmth(now time.Time) float64 {
	if h.admitted.IsZero() {
		return 1
	}
	part := float64(now.Sub(h.admitted)) / float64(slowStart)
	return min(1, max(coldWarmth, part))
}
