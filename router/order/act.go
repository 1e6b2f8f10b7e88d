package order

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// performAllActions performs the next action on each endpoint, and starts with a different endpoint each time.
func (o *Orderer) performAllActions(ctx context.Context) {
	names := o.names()
	o.rotation++
	for i := range names {
		o.performNextAction(ctx, names[(i+o.rotation)%len(names)])
	}
}

// performNextAction asks package fleet/order for the next action on an endpoint and performs it. An endpoint with a call
// in flight is left alone.
func (o *Orderer) performNextAction(ctx context.Context, name string) {
	p, now := o.endpoint(name), time.Now()
	if p.isCallInFlight {
		return
	}
	p.expireReading(now)
	p.waitReason = ""
	switch a := order.Next(o.decisionInput(name, p, now)).(type) {
	case *order.Append:
		o.appendRecord(ctx, p, a.Record)
	case *order.Send:
		o.sendOrder(ctx, name, p, a)
	case *order.Read:
		if now.Sub(p.stateRequestedAt) >= stateRequestInterval {
			p.recordStateRequest(now)
			o.startCall(ctx, &call{endpoint: name, deadline: now.Add(engineTimeout)})
		}
	case *order.Wait:
		p.waitReason = a.Reason
	}
}

// decisionInput collects the input of order.Next for an endpoint.
func (o *Orderer) decisionInput(name string, p *endpointState, now time.Time) *order.Input {
	t, leaving := o.targets[name], o.board.Leaving.Load()
	t.Endpoint = name
	// For a leaving router every endpoint counts as undeclared, so that it closes its open orders and yields its claims.
	t.Declared = t.Declared && !leaving
	in := &order.Input{
		Self: o.journal.self, State: &o.journal.state, Target: t.Target, Preferred: !leaving && o.isPreferred(name),
		LeaseRemaining: o.journal.lease.Left(now),
		EndObservedFor: p.claimEndTimer.ObservedFor(now, o.journal.state.Endpoint(name).FormerEnd),
		Healthy:        o.healthy,
		Limits:         order.Limits{LeaseExpiry: o.settings.leaseWithMargin(), UnresponsiveTimeout: unresponsiveTimeout, LoadLimit: t.loadLimit},
	}
	p.fillInput(now, in)
	return in
}

// appendRecord appends a record to the orders stream. After an order that did not lead to the wanted state, a new order
// for the endpoint is appended only once the backoff has passed.
func (o *Orderer) appendRecord(ctx context.Context, p *endpointState, record order.Record) {
	now := time.Now()
	if _, isOrder := record.(*order.Order); isOrder && now.Before(p.retryAt) {
		return
	}
	if !o.journal.append(ctx, record) {
		return
	}
	if d, isDone := record.(*order.Done); isDone {
		p.recordOutcome(now, d.Outcome)
		o.board.Count(outcomeCounter(d.Outcome))
		o.logger.WithFields(log.Fields{"Endpoint": d.Endpoint, "FencingNumber": d.Order}).Info("order closed")
	}
}

// sendOrder starts sending an order to an engine. The call ends at the latest with this router's lease, because other
// routers may fence the claim after that.
func (o *Orderer) sendOrder(ctx context.Context, name string, p *endpointState, a *order.Send) {
	now := time.Now()
	if p.latestSend.FencingNumber == a.FencingNumber && p.latestSend.Progress != order.NotSent {
		o.board.Count(orderSentAgain)
	}
	o.board.Count(orderSent)
	o.logger.WithFields(log.Fields{"Endpoint": name, "FencingNumber": a.FencingNumber}).Info("order sent")
	p.recordSend(a)
	o.startCall(ctx, &call{endpoint: name, send: a, deadline: now.Add(min(engineTimeout, o.journal.lease.Left(now)))})
}

// startCall runs a call to an engine in a goroutine of its own.
func (o *Orderer) startCall(ctx context.Context, c *call) {
	c.orderer, c.startedFor, c.address, c.startedAt = o, o.endpoint(c.endpoint), o.targets[c.endpoint].address, time.Now()
	c.nextOffset = o.journal.state.Next()
	o.runningCalls.Go(func() { c.run(ctx) })
}

// publish updates the blackboard if the order status of a declared or claimed endpoint has changed.
func (o *Orderer) publish() {
	entries := []blackboard.OrderStatus{}
	for _, name := range o.names() {
		v := o.journal.state.Endpoint(name)
		if !o.targets[name].Declared && !v.Held {
			continue
		}
		entry := blackboard.OrderStatus{
			Endpoint: name, Holder: v.Holder, Serves: v.Serves, Loaded: v.Loaded, Role: v.Role,
			Reported: v.Reported, Offers: v.AvailableNames(),
			Waits: o.endpoint(name).waitReason,
		}
		if v.Current != nil {
			entry.FencingNumber = &v.Current.Offset
		}
		entries = append(entries, entry)
	}
	if previous := o.board.Orders.Load(); previous == nil || !slices.EqualFunc(*previous, entries, blackboard.OrderStatus.Equal) {
		o.board.Orders.Store(&entries)
	}
}

// completeCall applies the result of a call to the local state of its endpoint.
func (o *Orderer) completeCall(c *call) {
	p := o.endpoint(c.endpoint)
	if c.startedFor != p {
		// The endpoint's address has changed since the call started, so the result comes from another machine.
		return
	}
	p.isCallInFlight = false
	switch {
	case c.send == nil && c.err != nil:
		o.board.Count(stateFailed)
	case c.send == nil:
		c.reading.Valid, c.reading.FromOffset = true, c.nextOffset
		p.recordReading(c.startedAt, c.reading)
	case c.err == nil:
		p.recordSendResult(time.Now(), order.Answered)
	case errors.Is(c.err, ErrRefused):
		o.board.Count(orderRefused)
		p.recordSendResult(time.Now(), order.Answered)
	default:
		o.board.Count(orderLost)
		p.recordSendResult(time.Now(), order.Lost)
	}
}
