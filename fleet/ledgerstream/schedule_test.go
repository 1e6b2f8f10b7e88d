package ledgerstream

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// schedulePoll keeps the number of reads in long schedules low.
const schedulePoll = 100 * time.Millisecond

// step is one event of a schedule.
type step struct {
	Kind   string
	Router int
	// Request is the identifier of the caller's request; a later step with the same one is its retry.
	Request uint64
	Amount  ledger.Tokens
	Hold    time.Duration
	// Refused says that the endpoint turned the request down without running it.
	Refused bool
	Sleep   time.Duration
}

func drawStep(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{
			"request", "request", "request", "request", "request", "request", "cut", "silence", "heal",
			"outage", "lose", "crash", "drain", "topup", "part",
		}).Draw(t, "kind"),
		Router:  rapid.IntRange(0, 5).Draw(t, "router"),
		Request: rapid.Uint64Range(1, 30).Draw(t, "request"),
		Amount:  ledger.Tokens(rapid.IntRange(1, 300).Draw(t, "amount")),
		Hold:    time.Duration(rapid.SampledFrom([]int{0, 10, 200, 5000, 25000}).Draw(t, "hold")) * time.Millisecond,
		Refused: rapid.IntRange(0, 9).Draw(t, "refused") == 0,
		Sleep:   time.Duration(rapid.SampledFrom([]int{0, 0, 1, 50, 1000, 16000}).Draw(t, "sleep")) * time.Millisecond,
	}
}

// history is what happened to one request identifier.
type history struct {
	dispatched int
	// told counts the answers by verdict, open the attempts without an answer.
	told map[verdict.Verdict]int
	open int
	// ledger's side: bills that were charged.
	charges int
}

// trial runs a schedule and gathers what it sees.
type trial struct {
	*cluster
	// relay joins the routers if reserve shares are spent.
	relay     *fakeRelay
	losses    int
	mu        sync.Mutex
	requests  map[uint64]*history
	callers   sync.WaitGroup
	ticket    uint64
	prepaid   ledger.Tokens
	violation error
}

func (r *trial) violate(format string, values ...any) {
	if r.violation == nil {
		r.violation = fmt.Errorf(format, values...)
	}
}

func (r *trial) history(request uint64) *history {
	h := r.requests[request]
	if h == nil {
		h = &history{told: map[verdict.Verdict]int{}}
		r.requests[request] = h
	}
	return h
}

func (r *trial) update(request uint64, change func(*history)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.history(request))
}

// runCall is a caller's request through one router, up to its bill or release.
func (r *trial) runCall(m *node, s step) {
	idempotent := s.Request%2 == 0
	r.update(s.Request, func(h *history) { h.open++ })
	told := r.call(m, s, idempotent)
	if m.crashed.Load() {
		return
	}
	r.update(s.Request, func(h *history) { h.open--; h.told[told]++ })
}

func (r *trial) call(m *node, s step, idempotent bool) verdict.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	// The amount follows from the request, as it would for a caller that repeats it.
	reservation, err := m.Reserve(ctx, demand(s.Request, ledger.Tokens(s.Request*10), idempotent))
	if err != nil {
		return verdict.Of(err)
	}
	if s.Refused || reservation.CheckDispatch() != nil {
		return verdictOfRelease(reservation)
	}
	if m.crashed.Load() {
		return verdict.MayHaveRun
	}
	r.update(s.Request, func(h *history) { h.dispatched++ })
	time.Sleep(s.Hold)
	reservation.Bill(max(1, min(s.Amount, ledger.Tokens(s.Request*10))))
	return verdict.Ran
}

func verdictOfRelease(reservation Reservation) verdict.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if reservation.Release(ctx) == nil {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// do performs a step.
func (r *trial) do(s step) {
	at := s.Router % len(r.members)
	m := r.members[at]
	switch s.Kind {
	case "request":
		r.callers.Go(func() { r.runCall(m, s) })
	case "cut":
		r.log.set(func() { m.link.down = true })
	case "silence":
		r.log.set(func() { m.link.silent = true })
	case "lose":
		r.log.set(func() { m.link.lostAnswers, m.link.copies = 0.4, 0.4 })
	case "outage":
		r.log.set(func() { r.log.down = true })
	case "heal":
		r.heal()
	case "part":
		if r.relay != nil {
			r.relay.setCut(m.settings.Instance, true)
		}
	case "crash":
		if !r.mayLose(m) {
			return
		}
		m.crashed.Store(true)
		m.stop()
		r.replace(at)
	case "drain":
		if !r.mayLose(m) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		_, _ = m.Drain(ctx)
		cancel()
		m.stop()
		r.replace(at)
	case "topup":
		r.ticket++
		r.prepaid += 500
		m.DeclarePrepaid([]ledger.Prepaid{r.total()})
	}
	time.Sleep(s.Sleep)
}

// replace starts a new process on a member's instance.
func (r *trial) replace(at int) {
	var m *node
	if r.relay != nil {
		m = r.startRelayed(at)
	} else {
		m = r.start(Settings{Instance: r.members[at].settings.Instance, PollInterval: schedulePoll})
	}
	r.members = r.members[:len(r.members)-1]
	r.members[at] = m
	m.DeclarePrepaid([]ledger.Prepaid{r.total()})
}

// total is the newest prepaid total.
func (r *trial) total() ledger.Prepaid {
	p := ledger.Prepaid{Budget: testBudget, Ticket: r.ticket, Total: r.prepaid}
	if r.relay != nil {
		p.Reserve.Share = scheduleReserve
	}
	return p
}

func (r *trial) heal() {
	if r.relay != nil {
		r.relay.mu.Lock()
		clear(r.relay.cut)
		r.relay.mu.Unlock()
	}
	r.log.set(func() {
		r.log.down = false
		for _, m := range r.members {
			m.link.down, m.link.silent, m.link.lostAnswers, m.link.copies = false, false, 0, 0
		}
	})
}

// check folds what is new in the log and checks what must always hold.
func (r *trial) check() {
	for _, entry := range r.unread(&r.audit) {
		for _, event := range r.audit.Apply(entry) {
			if b, ok := event.(*ledger.Billed); ok && b.Charged > 0 {
				r.count(b)
			}
		}
		r.checkBudget(&r.audit)
	}
	for _, m := range r.members {
		m.View(r.checkBudget)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for request, h := range r.requests {
		if request%2 == 1 && h.dispatched > 1 {
			r.violate("non-idempotent request %d was dispatched %d times", request, h.dispatched)
		}
	}
}

func (r *trial) checkBudget(state *ledger.State) {
	if b, ok := state.Budget(testBudget); ok && b.Spent+b.Shared > b.Prepaid {
		r.violate("overspend: %+v", b)
	}
}

func (r *trial) count(b *ledger.Billed) {
	for request := range uint64(31) {
		if demand(request, 0, false).Request == b.Request {
			r.update(request, func(h *history) { h.charges++ })
		}
	}
}

// checkEnd checks what must hold once everything is healed.
func (r *trial) checkEnd() {
	r.check()
	if b, _ := r.audit.Budget(testBudget); b.OpenRequests > 0 {
		r.violate("%d requests are still open", b.OpenRequests)
	}
	for request, h := range r.requests {
		notRun := h.open == 0 && h.told[verdict.MayHaveRun] == 0 && h.told[verdict.Ran] == 0
		switch {
		case h.charges > 1:
			r.violate("request %d was billed %d times", request, h.charges)
		case h.dispatched > 0 && h.charges == 0:
			r.violate("request %d ran and was not billed", request)
		case notRun && (h.dispatched > 0 || h.charges > 0):
			r.violate("request %d was told not to have run: %+v", request, *h)
		}
	}
}

// run runs a schedule to its end.
func (r *trial) run(steps []step) {
	for _, s := range steps {
		r.do(s)
		r.check()
	}
	r.heal()
	r.callers.Wait()
	time.Sleep(time.Minute)
	for begun := time.Now(); r.relay != nil && time.Since(begun) < 2*scheduleReserveTerm && !r.settled(); {
		time.Sleep(10 * time.Second)
	}
	r.checkEnd()
}

func TestSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(3, 6).Draw(rt, "routers")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 60).Draw(rt, "steps")
		violation := error(nil)
		synctest.Test(t, func(t *testing.T) {
			r := &trial{requests: map[uint64]*history{}, ticket: 1, prepaid: 1500}
			r.cluster = newCluster(t, routers, Settings{PollInterval: schedulePoll}, ledger.Prepaid{Budget: testBudget, Ticket: 1, Total: 1500})
			defer r.stop()
			r.run(steps)
			violation = r.violation
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}
