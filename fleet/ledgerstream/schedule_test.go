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

// schedulePoll is a long poll interval that limits the number of reads in long schedules.
const schedulePoll = 100 * time.Millisecond

// scheduleStep is one event of a random schedule.
type scheduleStep struct {
	Kind   string
	Router int
	// Request is the identifier of the caller's request. A later step with the same identifier is a retry of the
	// request.
	Request uint64
	Amount  ledger.Tokens
	Hold    time.Duration
	// Refused reports whether the endpoint rejects the request without running it.
	Refused bool
	Sleep   time.Duration
}

func generateStep(t *rapid.T) scheduleStep {
	return scheduleStep{
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

// requestHistory counts the dispatches, answers and charges of one request identifier.
type requestHistory struct {
	dispatched int
	// answers holds the number of answers by verdict, and pending the number of attempts without an answer.
	answers map[verdict.Verdict]int
	pending int
	// charges is the number of charged bills in the ledger.
	charges int
}

// scheduleRun runs a schedule and checks its results.
type scheduleRun struct {
	*cluster
	// relay connects the routers if the schedule spends reserve shares; nil otherwise.
	relay     *fakeRelay
	stopped   int
	mu        sync.Mutex
	requests  map[uint64]*requestHistory
	callers   sync.WaitGroup
	ticket    uint64
	prepaid   ledger.Tokens
	violation error
}

func (r *scheduleRun) recordViolation(format string, values ...any) {
	if r.violation == nil {
		r.violation = fmt.Errorf(format, values...)
	}
}

func (r *scheduleRun) history(request uint64) *requestHistory {
	h := r.requests[request]
	if h == nil {
		h = &requestHistory{answers: map[verdict.Verdict]int{}}
		r.requests[request] = h
	}
	return h
}

func (r *scheduleRun) update(request uint64, change func(*requestHistory)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.history(request))
}

// runRequest runs a caller's request through one router, up to its bill or release.
func (r *scheduleRun) runRequest(m *clusterMember, s scheduleStep) {
	idempotent := s.Request%2 == 0
	r.update(s.Request, func(h *requestHistory) { h.pending++ })
	answer := r.call(m, s, idempotent)
	if m.crashed.Load() {
		return
	}
	r.update(s.Request, func(h *requestHistory) { h.pending--; h.answers[answer]++ })
}

func (r *scheduleRun) call(m *clusterMember, s scheduleStep, idempotent bool) verdict.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	// The amount depends on the request's identifier only, so that retries have the same amount.
	reservation, err := m.Reserve(ctx, demand(s.Request, ledger.Tokens(s.Request*10), idempotent))
	if err != nil {
		return verdict.FromError(err)
	}
	if s.Refused || reservation.CheckDispatch() != nil {
		return verdictOfRelease(reservation)
	}
	if m.crashed.Load() {
		return verdict.MayHaveRun
	}
	r.update(s.Request, func(h *requestHistory) { h.dispatched++ })
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

// perform executes one step.
func (r *scheduleRun) perform(s scheduleStep) {
	index := s.Router % len(r.members)
	m := r.members[index]
	switch s.Kind {
	case "request":
		r.callers.Go(func() { r.runRequest(m, s) })
	case "cut":
		r.log.set(func() { m.link.down = true })
	case "silence":
		r.log.set(func() { m.link.hangs = true })
	case "lose":
		r.log.set(func() { m.link.lostAnswerRate, m.link.duplicateRate = 0.4, 0.4 })
	case "outage":
		r.log.set(func() { r.log.down = true })
	case "heal":
		r.heal()
	case "part":
		if r.relay != nil {
			r.relay.setDisconnected(m.settings.Instance, true)
		}
	case "crash":
		if !r.canStop(m) {
			return
		}
		m.crashed.Store(true)
		m.stop()
		r.restart(index)
	case "drain":
		if !r.canStop(m) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		_, _ = m.Drain(ctx)
		cancel()
		m.stop()
		r.restart(index)
	case "topup":
		r.ticket++
		r.prepaid += 500
		m.DeclarePrepaid([]ledger.Prepaid{r.newestPrepaid()})
	}
	time.Sleep(s.Sleep)
}

// restart starts a new process on the instance of a stopped member.
func (r *scheduleRun) restart(index int) {
	var m *clusterMember
	if r.relay != nil {
		m = r.startWithRelay(index)
	} else {
		m = r.start(Settings{Instance: r.members[index].settings.Instance, PollInterval: schedulePoll})
	}
	r.members = r.members[:len(r.members)-1]
	r.members[index] = m
	m.DeclarePrepaid([]ledger.Prepaid{r.newestPrepaid()})
}

// newestPrepaid returns the newest prepaid total of the test budget.
func (r *scheduleRun) newestPrepaid() ledger.Prepaid {
	p := ledger.Prepaid{Budget: testBudget, Ticket: r.ticket, Total: r.prepaid}
	if r.relay != nil {
		p.Reserve.Share = scheduleReserveShare
	}
	return p
}

func (r *scheduleRun) heal() {
	if r.relay != nil {
		r.relay.mu.Lock()
		clear(r.relay.disconnected)
		r.relay.mu.Unlock()
	}
	r.log.set(func() {
		r.log.down = false
		for _, m := range r.members {
			m.link.down, m.link.hangs, m.link.lostAnswerRate, m.link.duplicateRate = false, false, 0, 0
		}
	})
}

// check folds the new entries of the log and checks the invariants that hold at all times.
func (r *scheduleRun) check() {
	for _, entry := range r.unreadEntries(&r.audit) {
		for _, event := range r.audit.Apply(entry) {
			if b, ok := event.(*ledger.Billed); ok && b.Charged > 0 {
				r.countCharge(b)
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
			r.recordViolation("non-idempotent request %d was dispatched %d times", request, h.dispatched)
		}
	}
}

func (r *scheduleRun) checkBudget(state *ledger.State) {
	if b, ok := state.Budget(testBudget); ok && b.Spent+b.Shared > b.Prepaid {
		r.recordViolation("overspend: %+v", b)
	}
}

func (r *scheduleRun) countCharge(b *ledger.Billed) {
	for request := range uint64(31) {
		if demand(request, 0, false).Request == b.Request {
			r.update(request, func(h *requestHistory) { h.charges++ })
		}
	}
}

// checkEnd checks the invariants that hold after all faults have ended.
func (r *scheduleRun) checkEnd() {
	r.check()
	if b, _ := r.audit.Budget(testBudget); b.OpenRequests > 0 {
		r.recordViolation("%d requests are still open", b.OpenRequests)
	}
	for request, h := range r.requests {
		notRun := h.pending == 0 && h.answers[verdict.MayHaveRun] == 0 && h.answers[verdict.Ran] == 0
		switch {
		case h.charges > 1:
			r.recordViolation("request %d was billed %d times", request, h.charges)
		case h.dispatched > 0 && h.charges == 0:
			r.recordViolation("request %d ran and was not billed", request)
		case notRun && (h.dispatched > 0 || h.charges > 0):
			r.recordViolation("request %d was reported as not run: %+v", request, *h)
		}
	}
}

// run executes all steps, ends the faults and checks the final state.
func (r *scheduleRun) run(steps []scheduleStep) {
	for _, s := range steps {
		r.perform(s)
		r.check()
	}
	r.heal()
	r.callers.Wait()
	time.Sleep(time.Minute)
	for startedAt := time.Now(); r.relay != nil && time.Since(startedAt) < 2*scheduleReserveTerm && !r.isSettled(); {
		time.Sleep(10 * time.Second)
	}
	r.checkEnd()
}

// TestSchedules guards against overspending, double runs, lost bills and wrong verdicts under random faults.
func TestSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(3, 6).Draw(rt, "routers")
		steps := rapid.SliceOfN(rapid.Custom(generateStep), 10, 60).Draw(rt, "steps")
		violation := error(nil)
		synctest.Test(t, func(t *testing.T) {
			r := &scheduleRun{requests: map[uint64]*requestHistory{}, ticket: 1, prepaid: 1500}
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
