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

// policy is a method of dividing budgets among routers. The experiment compares its implementations.
type policy interface {
	reserve(router int, d Demand) (Reservation, error)
	// unspent returns the tokens that a budget has left, and the part of them that no running request has reserved.
	unspent(budget string) (all, unreserved ledger.Tokens)
	// idle returns the unreserved tokens of a budget in the router's shares.
	idle(router int, budget string) ledger.Tokens
	stop(router int)
	// disconnect disconnects a router from the log and the other routers if down is true, and reconnects it
	// otherwise.
	disconnect(router int, down bool)
	// topUp sets higher prepaid totals of the budgets.
	topUp(budgets []ledger.Prepaid)
	// logSize returns the numbers of records and bytes appended to the log.
	logSize() (records, bytes int)
}

// clients is the policy that this package implements.
type clients struct {
	*cluster
	relay *fakeRelay
}

func (c clients) reserve(router int, d Demand) (Reservation, error) {
	return c.members[router].Reserve(context.Background(), d)
}

func (c clients) unspent(budget string) (all, unreserved ledger.Tokens) {
	view := ledger.BudgetView{}
	c.withAudit(func(state *ledger.State) { view, _ = state.Budget(budget) })
	all = view.Prepaid - view.Spent
	unreserved = all
	for _, h := range view.Holders {
		unreserved -= h.WorkingReserved + h.ReserveReserved
	}
	return all, unreserved
}

func (c clients) idle(router int, budget string) ledger.Tokens {
	return c.freeShares(budget, c.members[router].Incarnation())
}

func (c clients) stop(router int) { c.members[router].stop() }

func (c clients) disconnect(router int, down bool) {
	c.setLinkDown(router, down)
	c.relay.setDisconnected(c.members[router].settings.Instance, down)
}

func (c clients) topUp(budgets []ledger.Prepaid) { c.members[0].DeclarePrepaid(budgets) }

func (c clients) logSize() (records, bytes int) {
	for _, entry := range c.unreadEntries(&ledger.State{}) {
		if g, err := ledger.Decode(entry.Payload); err == nil {
			records += len(g.Records)
			bytes += len(entry.Payload)
		}
	}
	return records, bytes
}

// withAudit calls view with the state folded up to the log's newest entry.
func (c *cluster) withAudit(view func(*ledger.State)) {
	c.auditLock.Lock()
	defer c.auditLock.Unlock()
	for _, entry := range c.unreadEntries(&c.audit) {
		for _, event := range c.audit.Apply(entry) {
			if e, ok := event.(*ledger.Opened); ok {
				c.opened[e.Attempt] = true
			}
		}
	}
	view(&c.audit)
}

// freeShares returns the unreserved tokens in an incarnation's shares of a budget.
func (c *cluster) freeShares(budget string, incarnation ledger.Incarnation) ledger.Tokens {
	free := ledger.Tokens(0)
	c.withAudit(func(state *ledger.State) {
		h := state.Holder(budget, incarnation)
		free = h.WorkingFree + h.ReserveFree
	})
	return free
}

// quotas is a policy that gives each router a fixed, equal part of each budget. Only bills are written to the log.
type quotas struct {
	mu        sync.Mutex
	remaining []map[string]ledger.Tokens
	reserved  map[string]ledger.Tokens
	totals    map[string]ledger.Tokens
	bills     int
	// disconnected holds the routers that receive no top-ups.
	disconnected map[int]bool
}

// quotaReservation is a reservation in a router's quota.
type quotaReservation struct {
	*quotas
	router int
	demand Demand
}

func newQuotas(routers int, budgets []ledger.Prepaid) *quotas {
	q := &quotas{reserved: map[string]ledger.Tokens{}, disconnected: map[int]bool{}, totals: map[string]ledger.Tokens{}}
	for _, b := range budgets {
		q.totals[b.Budget] = b.Total
	}
	for range routers {
		remaining := map[string]ledger.Tokens{}
		for _, b := range budgets {
			remaining[b.Budget] = b.Total / ledger.Tokens(routers)
		}
		q.remaining = append(q.remaining, remaining)
	}
	return q
}

func (q *quotas) reserve(router int, d Demand) (Reservation, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.remaining[router][d.Budget] < d.Amount {
		return nil, verdict.Refuse(verdict.BudgetExhausted, "")
	}
	q.remaining[router][d.Budget] -= d.Amount
	q.reserved[d.Budget] += d.Amount
	return &quotaReservation{quotas: q, router: router, demand: d}, nil
}

func (q *quotas) unspent(budget string) (all, unreserved ledger.Tokens) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, remaining := range q.remaining {
		unreserved += remaining[budget]
	}
	return unreserved + q.reserved[budget], unreserved
}

func (q *quotas) idle(router int, budget string) ledger.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remaining[router][budget]
}

func (q *quotas) stop(int) {}

func (q *quotas) disconnect(router int, down bool) { q.disconnected[router] = down }

func (q *quotas) topUp(budgets []ledger.Prepaid) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for router, remaining := range q.remaining {
		for _, b := range budgets {
			if !q.disconnected[router] {
				remaining[b.Budget] += (b.Total - q.totals[b.Budget]) / ledger.Tokens(len(q.remaining))
			}
		}
	}
}

func (q *quotas) logSize() (records, bytes int) {
	payload, _ := ledger.Encode(ledger.Group{First: 1, Records: []ledger.Record{&ledger.Bill{Attempt: 1, Usage: 1}}})
	return q.bills, q.bills * len(payload)
}

func (r *quotaReservation) CheckDispatch() error { return nil }

func (r *quotaReservation) Bill(usage ledger.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bills++
	r.remaining[r.router][r.demand.Budget] += r.demand.Amount - usage
	r.reserved[r.demand.Budget] -= r.demand.Amount
}

func (r *quotaReservation) Release(context.Context) error {
	r.Bill(0)
	return nil
}

// perRequest is a policy that draws a share for each request and returns the unused part with the bill.
type perRequest struct {
	*cluster
	writers []*drawingRouter
}

// drawingRouter is a router of the policy perRequest. It appends the groups of its requests one at a time.
type drawingRouter struct {
	// appendLock is held during an append. It is a channel because a goroutine that waits for a mutex would keep
	// the paused clock from advancing.
	appendLock  chan struct{}
	attempts    atomic.Uint64
	link        *fakeLink
	incarnation ledger.Incarnation
	sequence    uint64
}

// drawReservation is a reservation in a share that was drawn for one request.
type drawReservation struct {
	*perRequest
	writer  *drawingRouter
	demand  Demand
	attempt uint64
}

func newPerRequest(c *cluster, routers int, budgets []ledger.Prepaid) *perRequest {
	d := &perRequest{cluster: c}
	for i := range routers {
		w := &drawingRouter{link: &fakeLink{log: c.log, delay: 2 * time.Millisecond}, sequence: 1, appendLock: make(chan struct{}, 1)}
		w.incarnation = ledger.Incarnation{Instance: string(rune('a' + i)), Number: 1}
		d.writers = append(d.writers, w)
		w.append(&ledger.Join{})
	}
	for _, b := range budgets {
		d.writers[0].append(&b)
	}
	return d
}

// append appends records as one group, waits for the answer and reports success.
func (w *drawingRouter) append(records ...ledger.Record) bool {
	w.appendLock <- struct{}{}
	defer func() { <-w.appendLock }()
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

func (d *perRequest) reserve(router int, demand Demand) (Reservation, error) {
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
	d.withAudit(func(*ledger.State) {
		accepted = d.opened[ledger.AttemptIdentifier{Incarnation: w.incarnation, Number: attempt}]
	})
	if !accepted {
		return nil, verdict.Refuse(verdict.BudgetExhausted, "")
	}
	return &drawReservation{perRequest: d, writer: w, demand: demand, attempt: attempt}, nil
}

func (d *perRequest) unspent(budget string) (all, unreserved ledger.Tokens) {
	return clients{cluster: d.cluster}.unspent(budget)
}

func (d *perRequest) idle(router int, budget string) ledger.Tokens {
	return d.freeShares(budget, d.writers[router].incarnation)
}

func (d *perRequest) stop(int) {}

func (d *perRequest) disconnect(router int, down bool) {
	d.log.set(func() { d.writers[router].link.down = down })
}

func (d *perRequest) topUp(budgets []ledger.Prepaid) {
	for _, b := range budgets {
		d.writers[0].append(&b)
	}
}

func (d *perRequest) logSize() (records, bytes int) { return clients{cluster: d.cluster}.logSize() }

func (r *drawReservation) CheckDispatch() error { return nil }

func (r *drawReservation) Release(context.Context) error {
	r.Bill(0)
	return nil
}

func (r *drawReservation) Bill(usage ledger.Tokens) {
	bill := &ledger.Bill{Request: r.demand.Request, Attempt: r.attempt, Usage: usage}
	unusedReturn := &ledger.Return{Budget: r.demand.Budget, Amount: r.demand.Amount - usage}
	for !r.writer.append(bill, unusedReturn) {
		time.Sleep(time.Second)
	}
}
