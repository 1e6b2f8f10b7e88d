package order

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/order"
)

// endpoint is what this router knows of an endpoint beside the log.
type endpoint struct {
	ends order.EndWatch
	// calling is set while a question or an order is on its way; there is one at a time.
	calling bool
	reading order.Reading
	// readAt is when the reading was asked for, askedAt the newest question.
	readAt  time.Time
	askedAt time.Time
	// silentSince is the first question without an answer since the last reading; zero if there is none.
	silentSince time.Time
	sent        order.Sent
	lostAt      time.Time
	// failures counts the orders in a row that did not lead to the wanted state; the next one waits until retryAt.
	failures int
	retryAt  time.Time
	// waits is the reason of the newest decision to wait.
	waits order.WaitReason
}

// expire forgets a reading that is too old. A busy endpoint is asked again soon.
func (p *endpoint) expire(now time.Time) {
	age := now.Sub(p.readAt)
	if age >= readingAge || p.reading.Busy && age >= askInterval {
		p.reading = order.Reading{}
	}
}

// describe adds what is known of the endpoint to a decision's input.
func (p *endpoint) describe(now time.Time, in *order.Input) {
	in.Reading = p.reading
	in.Reading.Age = now.Sub(p.readAt)
	if !p.silentSince.IsZero() {
		in.SilentFor = now.Sub(p.silentSince)
	}
	in.Sent = p.sent
	if p.sent.Progress == order.Lost {
		in.Sent.LostFor = now.Sub(p.lostAt)
	}
}

// asked notes a question. Silence counts only while questions are asked.
func (p *endpoint) asked(now time.Time) {
	if !p.silentSince.IsZero() && now.Sub(p.askedAt) > readingAge {
		p.silentSince = time.Time{}
	}
	if p.silentSince.IsZero() {
		p.silentSince = now
	}
	p.askedAt, p.calling = now, true
}

// read takes the answer to a question in.
func (p *endpoint) read(began time.Time, reading order.Reading) {
	p.reading, p.readAt, p.silentSince = reading, began, time.Time{}
}

// sending notes an order on its way. Readings from before say nothing any more.
func (p *endpoint) sending(a *order.Send) {
	p.reading, p.calling = order.Reading{}, true
	p.sent = order.Sent{FencingNumber: a.FencingNumber, Progress: order.InFlight}
}

// answered notes how the sending of an order ended.
func (p *endpoint) answered(now time.Time, progress order.Progress) {
	p.reading, p.sent.Progress, p.lostAt = order.Reading{}, progress, now
}

// closed notes the end of an order.
func (p *endpoint) closed(now time.Time, outcome order.Outcome) {
	if outcome == order.Applied {
		p.failures = 0
		return
	}
	p.retryAt = now.Add(min(retryFirst<<min(p.failures, 10), retryLimit))
	p.failures++
}
