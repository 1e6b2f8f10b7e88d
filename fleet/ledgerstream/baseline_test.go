package ledgerstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// policy is a way to share budgets among routers, as the experiment measures it.
type policy interface {
	reserve(router int, d Demand) (Reservation, error)
	// unspent returns what a budget has left, and what of it no running request has reserved.
	unspent(budget string) (all, unreserved ledger.Tokens)
	// idle returns the part of a budget that lies in the shares of the router and is not reserved.
	idle(router int, budget string) ledger.Tokens
	stop(router int)
	// cutOff takes a router's ways to the log and to the other routers away, or gives them back.
	cutOff(router int, down bool)
	// topUp raises the totals of the budgets.
	topUp(budgets []ledger.Prepaid)
	// written returns the records and bytes that went to the log.
	written() (records, bytes int)
}

// clients is the policy of this package.
type clients struct {
	*cluster
	relay *fakeRelay
}

func (c clients) reserve(router int, d Demand) (Reservation, error) {
	return c.members[router].Reserve(context.Background(), d)
}

func (c clients) unspent(budget string) (all, unreserved ledger.Tokens) {
	view := ledger.BudgetView{}
	c.audited(func(state *ledger.State) { view, _ = state.Budget(budget) })
	all = view.Prepaid - view.Spent
	unreserved = all
	for _, h := range view.Holders {
		unreserved -= h.WorkingReserved + h.ReserveReserved
	}
	return all, unreserved
}

func (c clients) idle(router int, budget string) ledger.Tokens {
	return c.held(budget, c.members[router].Incarnation())
}

func (c clients) stop(router int) { c.members[router].stop() }

func (c clients) cutOff(router int, down bool) {
	c.cut(router, down)
	c.relay.setCut(c.members[router].settings.Instance, down)
}

func (c clients) topUp(budgets []ledger.Prepaid) { c.members[0].DeclarePrepaid(budgets) }

func (c clients) written() (records, bytes int) {
	for _, entry := range c.unread(&ledger.State{}) {
		if g, err := ledger.Decode(entry.Payload); err == nil {
			records += len(g.Records)
			bytes += len(entry.Payload)
		}
	}
	return records, bytes
}

// audited calls a function with the state as of the log's newest entry.
func (c *cluster) audited(view func(*ledger.State)) {
	c.auditLock.Lock()
	defer c.auditLock.Unlock()
	for _, entry := range c.unread(&c.audit) {
		for _, event := range c.audit.Apply(entry) {
			if e, ok := event.(*ledger.Opened); ok {
				c.opened[e.Attempt] = true
			}
		}
	}
	view(&c.audit)
}

// held returns the free parts of an incarnation's shares.
func (c *cluster) held(budget string, incarnation ledger.Incarnation) ledger.Tokens {
	free := ledger.Tokens(0)
	c.audited(func(state *ledger.State) {
		h := state.Holder(budget, incarnation)
		free = h.WorkingFree + h.ReserveFree
	})
	return free
}

// quotas gives each router an equal part of each budget for good; only bills go to the log.
type quotas struct {
	mu       sync.Mutex
	left     []map[string]ledger.Tokens
	reserved map[string]ledger.Tokens
	totals   map[string]ledger.Tokens
	bills    int
	// cut are the routers that no top-up reaches.
	cut map[int]bool
}

// quotaReservation is a reservation within a quota.
type quotaReservation struct {
	*quotas
	router int
	demand Demand
}

func newQuotas(routers int, budgets []ledger.Prepaid) *quotas {
	q := &quotas{reserved: map[string]ledger.Tokens{}, cut: map[int]bool{}, totals: map[string]ledger.Tokens{}}
	for _, b := range budgets {
		q.totals[b.Budget] = b.Total
	}
	for range routers {
		left := map[string]ledger.Tokens{}
		for _, b := range budgets {
			left[b.Budget] = b.Total / ledger.Tokens(routers)
		}
		q.left = append(q.left, left)
	}
	return q
}

func (q *quotas) reserve(router int, d Demand) (Reservation, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.left[router][d.Budget] < d.Amount {
		return nil, verdict.Refuse(verdict.BudgetExhausted, "")
	}
	q.left[router][d.Budget] -= d.Amount
	q.reserved[d.Budget] += d.Amount
	return &quotaReservation{quotas: q, router: router, demand: d}, nil
}

func (q *quotas) unspent(budget string) (all, unreserved ledger.Tokens) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, left := range q.left {
		unreserved += left[budget]
	}
	return unreserved + q.reserved[budget], unreserved
}

func (q *quotas) idle(router int, budget string) ledger.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.left[router][budget]
}

func (q *quotas) stop(int) {}

func (q *quotas) cutOff(router int, down bool) { q.cut[router] = down }

func (q *quotas) topUp(budgets []ledger.Prepaid) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for router, left := range q.left {
		for _, b := range budgets {
			if !q.cut[router] {
				left[b.Budget] += (b.Total - q.totals[b.Budget]) / ledger.Tokens(len(q.left))
			}
		}
	}
}

func (q *quotas) written() (records, bytes int) {
	payload, _ := ledger.Encode(ledger.Group{First: 1, Records: []ledger.Record{&ledger.Bill{Attempt: 1, Usage: 1}}})
	return q.bills, q.bills * len(payload)
}

func (r *quotaReservation) CheckDispatch() error { return nil }

func (r *quotaReservation) Bill(usage ledger.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bills++
	r.left[r.router][r.demand.Budget] += r.demand.Amount - usage
	r.reserved[r.demand.Budget] -= r.demand.Amount
}

func (r *quotaReservation) Release(context.Context) error {
	r.Bill(0)
	return nil
}

// drawers draws a share for each request and returns the rest with its bill.
type drawers struct {
	*cluster
	writers []*drawer
}

// drawer is a router of the policy drawers: it appends each request's groups by itself.
type drawer struct {
	// turn is held for the time of an append; a mutex would keep the paused clock from advancing.
	turn        chan struct{}
	attempts    atomic.Uint64
	link        *fakeLink
	incarnation ledger.Incarnation
	sequence    uint64
}

// drawnReservation is a reservation in a share of its own.
type drawnReservation struct {
	*drawers
	writer  *drawer
	demand  Demand
	attempt uint64
}

func newDrawers(c *cluster, routers int, budgets []ledger.Prepaid) *drawers {
	d := &drawers{cluster: c}
	for i := range routers {
		w := &drawer{link: &fakeLink{log: c.log, delay: 2 * time.Millisecond}, sequence: 1, turn: make(chan struct{}, 1)}
		w.incarnation = ledger.Incarnation{Instance: string(rune('a' + i)), Number: 1}
		d.writers = append(d.writers, w)
		w.append(&ledger.Join{})
	}
	for _, b := range budgets {
		d.writers[0].append(&b)
	}
	return d
}

// append writes a group until its answer comes, as often as a caller would wait for, and reports success.
func (w *drawer) append(records ...ledger.Record) bool {
	w.turn <- struct{}{}
	defer func() { <-w.turn }()
	payload, err := ledger.Encode(ledger.Group{Writer: w.incarnation, First: w.sequence, Records: records})
	if err != nil {
		return false
	}
	if _, err := w.link.Append(context.Background(), platform.LedgerStream(0), payload); err != nil {
		return false
	}
	w.sequence += uint64(len(records))
	return true
}

func (d *drawers) reserve(router int, demand Demand) (Reservation, error) {
	w := d.writers[router]
	attempt := w.attempts.Add(1)
	draw := &ledger.Draw{Budget: demand.Budget, Wanted: demand.Amount, Minimum: demand.Amount}
	open := &ledger.Open{
		Request: demand.Request, Attempt: attempt, Budget: demand.Budget, Amount: demand.Amount, Idempotent: true,
	}
	if !w.append(draw, open) {
		return nil, verdict.Refuse(verdict.LedgerUnreachable, "")
	}
	accepted := false
	d.audited(func(*ledger.State) {
		accepted = d.opened[ledger.AttemptIdentifier{Incarnation: w.incarnation, Number: attempt}]
	})
	if !accepted {
		return nil, verdict.Refuse(verdict.BudgetExhausted, "")
	}
	return &drawnReservation{drawers: d, writer: w, demand: demand, attempt: attempt}, nil
}

func (d *drawers) unspent(budget string) (all, unreserved ledger.Tokens) {
	return clients{cluster: d.cluster}.unspent(budget)
}

func (d *drawers) idle(router int, budget string) ledger.Tokens {
	return d.held(budget, d.writers[router].incarnation)
}

func (d *drawers) stop(int) {}

func (d *drawers) cutOff(router int, down bool) {
	d.log.set(func() { d.writers[router].link.down = down })
}

func (d *drawers) topUp(budgets []ledger.Prepaid) {
	for _, b := range budgets {
		d.writers[0].append(&b)
	}
}

func (d *drawers) written() (records, bytes int) { return clients{cluster: d.cluster}.written() }

func (r *drawnReservation) CheckDispatch() error { return nil }

func (r *drawnReservation) Release(context.Context) error {
	r.Bill(0)
	return nil
}

func (r *drawnReservation) Bill(usage ledger.Tokens) {
	bill := &ledger.Bill{Request: r.demand.Request, Attempt: r.attempt, Usage: usage}
	rest := &ledger.Return{Budget: r.demand.Budget, Amount: r.demand.Amount - usage}
	for !r.writer.append(bill, rest) {
		time.Sleep(time.Second)
	}
}
