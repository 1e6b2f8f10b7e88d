package order

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/order"
)

// endpointState is what this router knows of an endpointState beside the log.
type endpointState struct {
	endWatch order.EndWatch
	// isCallInFlight is set while a question or an order is on its way; there is one at a time.
	isCallInFlight bool
	reading        order.Reading
	// readingStartedAt is when the reading was asked for, askedAt the newest question.
	readingStartedAt time.Time
	stateRequestedAt time.Time
	// unresponsiveSince is the first question without an answer since the last reading; zero if there is none.
	unresponsiveSince time.Time
	lastSent          order.Sent
	sendEndedAt       time.Time
	// consecutiveFailures counts the orders in a row that did not lead to the wanted state; the next one waits until retryAt.
	consecutiveFailures int
	retryAt             time.Time
	// waitReason is the reason of the newest decision to wait.
	waitReason order.WaitReason
}

// expireReading forgets a reading that is too old. A busy endpoint is asked again soon.
func (p *endpointState) expireReading(now time.Time) {
	age := now.Sub(p.readingStartedAt)
	if age >= maximumReadingAge || p.reading.Busy && age >= stateRequestInterval {
		p.reading = order.Reading{}
	}
}

// fillInput adds what is known of the endpoint to a decision's input.
func (p *endpointState) fillInput(now time.Time, in *order.Input) {
	in.Reading = p.reading
	in.Reading.Age = now.Sub(p.readingStartedAt)
	if !p.unresponsiveSince.IsZero() {
		in.SilentFor = now.Sub(p.unresponsiveSince)
	}
	in.Sent = p.lastSent
	if p.lastSent.Progress == order.Lost {
		in.Sent.LostFor = now.Sub(p.sendEndedAt)
	}
}

// recordStateRequest notes a question. Silence counts only while questions are recordStateRequest.
func (p *endpointState) recordStateRequest(now time.Time) {
	if !p.unresponsiveSince.IsZero() && now.Sub(p.stateRequestedAt) > maximumReadingAge {
		p.unresponsiveSince = time.Time{}
	}
	if p.unresponsiveSince.IsZero() {
		p.unresponsiveSince = now
	}
	p.stateRequestedAt, p.isCallInFlight = now, true
}

// recordReading takes the answer to a question in.
func (p *endpointState) recordReading(startedAt time.Time, reading order.Reading) {
	p.reading, p.readingStartedAt, p.unresponsiveSince = reading, startedAt, time.Time{}
}

// recordSend notes an order on its way. Readings from before say nothing any more.
func (p *endpointState) recordSend(a *order.Send) {
	p.reading, p.isCallInFlight = order.Reading{}, true
	p.lastSent = order.Sent{FencingNumber: a.FencingNumber, Progress: order.InFlight}
}

// recordSendResult notes how the sending of an order ended.
func (p *endpointState) recordSendResult(now time.Time, progress order.Progress) {
	p.reading, p.lastSent.Progress, p.sendEndedAt = order.Reading{}, progress, now
}

// recordOutcome notes the end of an order.
func (p *endpointState) recordOutcome(now time.Time, outcome order.Outcome) {
	if outcome == order.Applied {
		p.consecutiveFailures = 0
		return
	}
	p.retryAt = now.Add(min(initialRetryBackoff<<min(p.consecutiveFailures, 10), maximumRetryBackoff))
	p.consecutiveFailures++
}
