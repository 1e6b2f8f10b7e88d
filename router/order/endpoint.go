package order

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/order"
)

// endpointState is the router's local state of an endpoint, in addition to the state folded from the orders stream.
type endpointState struct {
	claimEndTimer order.ClaimEndTimer
	// isCallInFlight reports whether a state query or an order is in flight. An endpoint has at most one call at a time.
	isCallInFlight bool
	reading        order.Reading
	// readingStartedAt is the start of the state query that returned reading. stateRequestedAt is the start of the newest
	// state query.
	readingStartedAt time.Time
	stateRequestedAt time.Time
	// unresponsiveSince is the start of the first state query after the newest reading, or after a later pause of more than
	// maximumReadingAge between two queries; zero if no query has started since the newest reading.
	unresponsiveSince time.Time
	latestSend        order.SendStatus
	// sendEndedAt is when the newest send of an order ended, with an answer or without.
	sendEndedAt time.Time
	// consecutiveFailures counts the orders in a row that did not lead to the wanted state. No new order is appended before
	// retryAt.
	consecutiveFailures int
	retryAt             time.Time
	// waitReason is the reason of the newest decision for the endpoint if the decision was to wait; empty otherwise.
	waitReason order.WaitReason
}

// expireReading discards a reading that has reached maximumReadingAge. A reading that shows a busy engine is
// discarded after the shorter stateRequestInterval, so that the end of the engine's order is noticed early.
func (p *endpointState) expireReading(now time.Time) {
	age := now.Sub(p.readingStartedAt)
	if age >= maximumReadingAge || p.reading.Busy && age >= stateRequestInterval {
		p.reading = order.Reading{}
	}
}

// fillInput adds the router's local state of the endpoint to the input of a decision.
func (p *endpointState) fillInput(now time.Time, in *order.Input) {
	in.Reading = p.reading
	in.Reading.Age = now.Sub(p.readingStartedAt)
	if !p.unresponsiveSince.IsZero() {
		in.UnresponsiveFor = now.Sub(p.unresponsiveSince)
	}
	in.LatestSend = p.latestSend
	if p.latestSend.Progress == order.Lost {
		in.LatestSend.LostFor = now.Sub(p.sendEndedAt)
	}
}

// recordStateRequest records the start of a state query. An endpoint counts as unresponsive only while the router queries
// it: a pause of more than maximumReadingAge between two queries restarts the measurement.
func (p *endpointState) recordStateRequest(now time.Time) {
	if !p.unresponsiveSince.IsZero() && now.Sub(p.stateRequestedAt) > maximumReadingAge {
		p.unresponsiveSince = time.Time{}
	}
	if p.unresponsiveSince.IsZero() {
		p.unresponsiveSince = now
	}
	p.stateRequestedAt, p.isCallInFlight = now, true
}

// recordReading stores the answer to the state query that was started at startedAt.
func (p *endpointState) recordReading(startedAt time.Time, reading order.Reading) {
	p.reading, p.readingStartedAt, p.unresponsiveSince = reading, startedAt, time.Time{}
}

// recordSend records the start of sending an order. It discards the reading, which can't show the order's effect.
func (p *endpointState) recordSend(a *order.Send) {
	p.reading, p.isCallInFlight = order.Reading{}, true
	p.latestSend = order.SendStatus{FencingNumber: a.FencingNumber, Progress: order.InFlight}
}

// recordSendResult records whether the sending of an order ended with an answer, and discards the reading.
func (p *endpointState) recordSendResult(now time.Time, progress order.Progress) {
	p.reading, p.latestSend.Progress, p.sendEndedAt = order.Reading{}, progress, now
}

// recordOutcome sets the backoff after the end of an order. Each further order in a row that was not applied doubles the
// backoff, up to maximumRetryBackoff.
func (p *endpointState) recordOutcome(now time.Time, outcome order.Outcome) {
	if outcome == order.Applied {
		p.consecutiveFailures = 0
		return
	}
	p.retryAt = now.Add(min(initialRetryBackoff<<min(p.consecutiveFailures, 10), maximumRetryBackoff))
	p.consecutiveFailures++
}
