package endpoint

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Thresholds and durations of endpoint ejection and slow start.
const (
	// ejectionThreshold is the number of consecutive failures that eject an endpoint even if it answers its probes.
	ejectionThreshold = 5
	// minEjectionTime is the time from an endpoint's first ejection to the next probe. The time doubles, up to
	// maxEjectionTime, with each further ejection or failed probe before the endpoint answers a request.
	minEjectionTime = 250 * time.Millisecond
	maxEjectionTime = 10 * time.Second
	// slowStartTime is how long an endpoint takes after an ejection to reach its full share of requests.
	slowStartTime = 10 * time.Second
	// minSlowStartShare is the share of requests that an endpoint gets at the beginning of slow start.
	minSlowStartShare = 0.1
)

// FailureKind classifies the failure of an endpoint.
type FailureKind string

// The failure kinds; their values are suffixes of the names of the ejection counters.
const (
	// Unreachable means that no connection to the endpoint could be established.
	Unreachable FailureKind = "unreachable"
	// Interrupted means that the connection to the endpoint was lost during an exchange.
	Interrupted FailureKind = "broken"
	// Unresponsive means that the endpoint sent nothing before the timeout.
	Unresponsive FailureKind = "silent"
	// ErrorResponses means that the endpoint answered several different requests in a row with errors of its own.
	ErrorResponses FailureKind = "erring"
)

// Observation is the result of an attempt or a probe at an endpoint: Answered, Failed, Errored or Probed.
type Observation interface{ isObservation() }

// Answered reports a complete response by an endpoint, or a refusal by the endpoint itself.
type Answered struct{}

// Failed reports an attempt that got no complete response from an endpoint.
type Failed struct {
	Kind FailureKind
	// StartedAt is when the attempt started. Attempts older than the last answered probe are ignored, because their
	// connections may have been lost in the same incident.
	StartedAt time.Time
}

// Errored reports a complete response that is an error of the endpoint itself. The response shows that the connection
// works, so a probe would add no information.
type Errored struct {
	// Request identifies the failed request. A request counts only once in a series of errors: if it fails at every
	// endpoint, the endpoint is not at fault.
	Request ledger.Fingerprint
}

// Probed reports the end of a probe of an endpoint on a new connection.
type Probed struct{ IsAlive bool }

func (*Answered) isObservation() {}
func (*Failed) isObservation()   {}
func (*Errored) isObservation()  {}
func (*Probed) isObservation()   {}

// Action is what the caller of Health.Observe has to do: Probe, Eject or Admit.
type Action interface{ isAction() }

// Probe asks the caller of Health.Observe to probe the endpoint on a new connection.
type Probe struct{}

// Eject reports that the endpoint gets no requests until it answers a probe.
type Eject struct{ Kind FailureKind }

// Admit reports that the endpoint may get requests again.
type Admit struct {
	// WasEjected reports whether the endpoint had been ejected; if false, it was only suspected.
	WasEjected bool
}

func (*Probe) isAction() {}
func (*Eject) isAction() {}
func (*Admit) isAction() {}

// healthState is the state of an endpoint's health.
type healthState uint8

const (
	healthy healthState = iota
	// suspected endpoints get no new requests until their probe has ended.
	suspected
	ejected
)

// Health tracks the health of one endpoint as seen by one router. A single failure does not eject the endpoint,
// because the network between router and endpoint may have dropped the connection: the router first probes the
// endpoint on a new connection and ejects it if the probe fails or failures continue. The zero value is healthy.
type Health struct {
	state               healthState
	lastFailure         FailureKind
	consecutiveFailures int
	// failedRequests are the requests that the endpoint answered with its own errors since its last other response.
	failedRequests []ledger.Fingerprint
	// consecutiveEjections is the number of ejections and failed probes since the endpoint last answered a request; it
	// stops at twice ejectionThreshold.
	consecutiveEjections int
	nextProbeAt          time.Time
	isProbing            bool
	// probeAnsweredAt is when the endpoint last answered a probe; admittedAt is when an answered probe last ended an
	// ejection.
	probeAnsweredAt time.Time
	admittedAt      time.Time
}

// Available reports whether the endpoint may get new requests.
func (h *Health) Available() bool { return h.state == healthy }

// Ejected reports whether the endpoint is ejected, as opposed to healthy or suspected.
func (h *Health) Ejected() bool { return h.state == ejected }

// Observe applies an observation and returns the action that the caller has to take, or nil.
func (h *Health) Observe(now time.Time, observation Observation) Action {
	switch o := observation.(type) {
	case *Answered:
		h.handleAnswer()
	case *Failed:
		return h.handleFailure(now, o)
	case *Errored:
		return h.handleError(now, o.Request)
	case *Probed:
		return h.handleProbe(now, o.IsAlive)
	}
	return nil
}

// handleAnswer resets the failure counts of a healthy endpoint. An ejected or suspected endpoint keeps its state,
// because the response may have been in transit since before the failure.
func (h *Health) handleAnswer() {
	if h.state == healthy {
		h.consecutiveFailures, h.consecutiveEjections, h.failedRequests = 0, 0, h.failedRequests[:0]
	}
}

func (h *Health) handleFailure(now time.Time, f *Failed) Action {
	if h.state != healthy || f.StartedAt.Before(h.probeAnsweredAt) {
		return nil
	}
	h.consecutiveFailures++
	h.lastFailure = f.Kind
	if h.consecutiveFailures >= ejectionThreshold {
		return h.eject(now)
	}
	h.state, h.isProbing = suspected, true
	return &Probe{}
}

// handleError ejects the endpoint once ejectionThreshold different requests in a row got errors from it.
func (h *Health) handleError(now time.Time, request ledger.Fingerprint) Action {
	if h.state != healthy || slices.Contains(h.failedRequests, request) {
		return nil
	}
	h.failedRequests = append(h.failedRequests, request)
	if len(h.failedRequests) < ejectionThreshold {
		return nil
	}
	h.lastFailure = ErrorResponses
	return h.eject(now)
}

func (h *Health) handleProbe(now time.Time, alive bool) Action {
	h.isProbing = false
	switch {
	case !alive:
		return h.eject(now)
	case h.state == suspected:
		h.state, h.probeAnsweredAt = healthy, now
		return &Admit{}
	case h.state == ejected && !now.Before(h.nextProbeAt):
		h.state, h.probeAnsweredAt, h.admittedAt = healthy, now, now
		// One more failure ejects the endpoint again, unless it answers a request first.
		h.consecutiveFailures = ejectionThreshold - 1
		return &Admit{WasEjected: true}
	default:
		return nil
	}
}

func (h *Health) eject(now time.Time) Action {
	wasEjected := h.state == ejected
	ejectionTime := minEjectionTime
	for range h.consecutiveEjections {
		ejectionTime = min(2*ejectionTime, maxEjectionTime)
	}
	h.consecutiveEjections = min(h.consecutiveEjections+1, ejectionThreshold*2)
	h.state, h.nextProbeAt, h.isProbing, h.failedRequests = ejected, now.Add(ejectionTime), false, h.failedRequests[:0]
	if wasEjected {
		return nil
	}
	return &Eject{Kind: h.lastFailure}
}

// StartDueProbe reports whether the caller has to probe an ejected endpoint now; if so, it marks the probe in flight.
func (h *Health) StartDueProbe(now time.Time) bool {
	if h.state != ejected || h.isProbing || now.Before(h.nextProbeAt) {
		return false
	}
	h.isProbing = true
	return true
}

// TimeToNextProbe returns the time until an ejected endpoint is due for a probe; zero if the endpoint is not ejected.
func (h *Health) TimeToNextProbe(now time.Time) time.Duration {
	if h.state != ejected {
		return 0
	}
	return max(0, h.nextProbeAt.Sub(now))
}

// SlowStartShare returns the fraction of its normal load that the endpoint gets during slow start; 1 outside slow
// start.
func (h *Health) SlowStartShare(now time.Time) float64 {
	if h.admittedAt.IsZero() {
		return 1
	}
	elapsedShare := float64(now.Sub(h.admittedAt)) / float64(slowStartTime)
	return min(1, max(minSlowStartShare, elapsedShare))
}
