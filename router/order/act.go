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

// actAll takes one step for each endpoint.
func (o *Orderer) actAll(ctx context.Context) {
	names := o.names()
	o.turn++
	for i := range names {
		o.act(ctx, names[(i+o.turn)%len(names)])
	}
}

// act asks for the next action for an endpoint and performs it.
func (o *Orderer) act(ctx context.Context, name string) {
	p, now := o.endpoint(name), time.Now()
	if p.calling {
		return
	}
	p.expire(now)
	p.waits = ""
	switch a := order.Next(o.input(name, p, now)).(type) {
	case *order.Append:
		o.append(ctx, p, a.Record)
	case *order.Send:
		o.send(ctx, name, p, a)
	case *order.Read:
		if now.Sub(p.askedAt) >= askInterval {
			p.asked(now)
			o.start(ctx, &call{endpoint: name, deadline: now.Add(engineTimeout)})
		}
	case *order.Wait:
		p.waits = a.Reason
	}
}

// input gathers what the decision for an endpoint depends on.
func (o *Orderer) input(name string, p *endpoint, now time.Time) *order.Input {
	t, leaving := o.targets[name], o.board.Leaving.Load()
	t.Endpoint = name
	// A router that is leaving wants nothing any more: it closes its open orders and yields its claims.
	t.Declared = t.Declared && !leaving
	in := &order.Input{
		Self: o.journal.self, State: &o.journal.state, Target: t.Target, Preferred: !leaving && o.isPreferred(name),
		LeaseLeft:  o.journal.lease.Left(now),
		EndSeenFor: p.ends.SeenFor(now, o.journal.state.Endpoint(name).FormerEnd),
		Alive:      o.healthy,
		Terms:      order.Terms{Lapse: o.settings.lapse(), GiveUp: giveUp, LoadLimit: t.loadLimit},
	}
	p.describe(now, in)
	return in
}

// append writes a record. An order after one that did not lead to the wanted state waits for its time.
func (o *Orderer) append(ctx context.Context, p *endpoint, record order.Record) {
	now := time.Now()
	if _, isOrder := record.(*order.Order); isOrder && now.Before(p.retryAt) {
		return
	}
	if !o.journal.append(ctx, record) {
		return
	}
	if d, isDone := record.(*order.Done); isDone {
		p.closed(now, d.Outcome)
		o.board.Count(outcomeCounter(d.Outcome))
		o.logger.WithFields(log.Fields{"Endpoint": d.Endpoint, "FencingNumber": d.Order}).Info("order closed")
	}
}

// send sends an order for as long as the own lease lasts.
func (o *Orderer) send(ctx context.Context, name string, p *endpoint, a *order.Send) {
	now := time.Now()
	if p.sent.FencingNumber == a.FencingNumber && p.sent.Progress != order.NotSent {
		o.board.Count(orderSentAgain)
	}
	o.board.Count(orderSent)
	o.logger.WithFields(log.Fields{"Endpoint": name, "FencingNumber": a.FencingNumber}).Info("order sent")
	p.sending(a)
	o.start(ctx, &call{endpoint: name, send: a, deadline: now.Add(min(engineTimeout, o.journal.lease.Left(now)))})
}

func (o *Orderer) start(ctx context.Context, c *call) {
	c.orderer, c.owner, c.address, c.began = o, o.endpoint(c.endpoint), o.targets[c.endpoint].address, time.Now()
	c.from = o.journal.state.Next()
	o.running.Go(func() { c.run(ctx) })
}

// publish puts the endpoints of the tickets, and those that are still claimed, on the blackboard if anything changed.
func (o *Orderer) publish() {
	all := []blackboard.Orders{}
	for _, name := range o.names() {
		v := o.journal.state.Endpoint(name)
		if !o.targets[name].Declared && !v.Held {
			continue
		}
		entry := blackboard.Orders{
			Endpoint: name, Holder: v.Holder, Serves: v.Serves, Loaded: v.Loaded, Role: v.Role,
			Reported: v.Reported, Offers: v.Offers(),
			Waits: o.endpoint(name).waits,
		}
		if v.Current != nil {
			entry.FencingNumber = &v.Current.Offset
		}
		all = append(all, entry)
	}
	if former := o.board.Orders.Load(); former == nil || !slices.EqualFunc(*former, all, blackboard.Orders.Equal) {
		o.board.Orders.Store(&all)
	}
}

// takeBack takes the end of a call in.
func (o *Orderer) takeBack(c *call) {
	p := o.endpoint(c.endpoint)
	if c.owner != p {
		// The endpoint was declared with another address meanwhile.
		return
	}
	p.calling = false
	switch {
	case c.send == nil && c.err != nil:
		o.board.Count(stateFailed)
	case c.send == nil:
		c.reading.Read, c.reading.From = true, c.from
		p.read(c.began, c.reading)
	case c.err == nil:
		p.answered(time.Now(), order.Answered)
	case errors.Is(c.err, ErrRefused):
		o.board.Count(orderRefused)
		p.answered(time.Now(), order.Answered)
	default:
		o.board.Count(orderLost)
		p.answered(time.Now(), order.Lost)
	}
}
