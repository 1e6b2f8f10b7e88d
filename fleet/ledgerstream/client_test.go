package ledgerstream

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// TestReserveAndBill checks that reservations on all routers are charged their usage and leave nothing open.
func TestReserveAndBill(t *testing.T) {
	runWithClients(t, 3, 1000, func(c *cluster) {
		t := c.tb
		for i, m := range c.members {
			r := mustReserve(t, m, demand(uint64(i), 100, i != 0))
			assertEqual(t, "dispatch", nil, r.CheckDispatch())
			r.Bill(30)
		}
		time.Sleep(time.Second)
		assertSettled(t, c, 90)
		assertEqual(t, "outbox", 0, c.members[0].Status().Outbox)
	})
}

// TestBillsShareTheAppendOfTheNextOpen guards against a separate append for each bill, which would occur if bills
// were not delayed by BillDelay.
func TestBillsShareTheAppendOfTheNextOpen(t *testing.T) {
	runWithClients(t, 1, 100_000, func(c *cluster) {
		t := c.tb
		mustReserve(t, c.members[0], demand(0, 100, true)).Bill(30)
		time.Sleep(time.Second)
		groups, draws := c.counter(appendGroups), c.counter(drawSent)
		for i := range uint64(10) {
			mustReserve(t, c.members[0], demand(1+i, 100, true)).Bill(30)
			time.Sleep(DefaultBillDelay / 2)
		}
		time.Sleep(DefaultBillDelay + 100*time.Millisecond)
		groups, draws = c.counter(appendGroups)-groups, c.counter(drawSent)-draws
		if maximum := 10 + 1 + draws; groups > maximum {
			t.Errorf("%d groups, want at most %d: those of ten opens, the last bill and the draws", groups, maximum)
		}
		assertSpent(t, c, 11*30)
	})
}

// TestRefusals checks the verdict and reason of each kind of refusal of the ledger.
func TestRefusals(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		t := c.tb
		frozen := ledger.Prepaid{Budget: "frozen", Ticket: 2, Total: 100, Frozen: true}
		c.members[0].DeclarePrepaid([]ledger.Prepaid{frozen})
		time.Sleep(time.Second)
		running := mustReserve(t, c.members[0], demand(1, 10, false))
		mustReserve(t, c.members[0], demand(2, 10, false)).Bill(5)
		mustReserve(t, c.members[0], demand(3, 10, true)).Bill(5)
		time.Sleep(time.Second)
		withChange := func(d Demand, change func(*Demand)) Demand { change(&d); return d }
		for _, row := range []struct {
			Name   string
			Demand Demand
			Want   outcome
		}{
			{"open elsewhere", demand(1, 10, false), outcome{"MayHaveRun", verdict.RequestInProgress}},
			{"ran", demand(2, 10, false), outcome{"Ran", verdict.RequestAlreadyRan}},
			{"other contents", withChange(demand(3, 10, true), func(d *Demand) { d.Fingerprint++ }), outcome{"NotRun", verdict.IdempotencyKeyReused}},
			{"unknown budget", withChange(demand(4, 10, true), func(d *Demand) { d.Budget = "none" }), outcome{"NotRun", verdict.BudgetNotYetInLedger}},
			{"frozen budget", withChange(demand(5, 10, true), func(d *Demand) { d.Budget = "frozen" }), outcome{"NotRun", verdict.BudgetFrozen}},
			{"more than is left", demand(6, 991, true), outcome{"NotRun", verdict.BudgetExhausted}},
			{"more than is not reserved", demand(7, 985, true), outcome{"NotRun", verdict.BudgetExhausted}},
		} {
			_, err := c.members[1].Reserve(context.Background(), row.Demand)
			assertEqual(t, row.Name, row.Want, outcomeOf(err))
		}
		running.Bill(10)
	})
}

// TestBudgetReadLate guards against a request that is refused because its router reads a budget's prepaid total from the log a
// moment after the operators were told that the budget is in force.
func TestBudgetReadLate(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		t := c.tb
		time.AfterFunc(DefaultDrawWait/4, func() { c.members[0].DeclarePrepaid([]ledger.Prepaid{{Budget: "new", Ticket: 2, Total: 100}}) })
		late := demand(1, 10, true)
		late.Budget = "new"
		r, err := c.members[1].Reserve(context.Background(), late)
		assertEqual(t, "refusal", outcome{}, outcomeOf(err))
		if err == nil {
			r.Bill(10)
		}
	})
}

// TestReleaseFreesTheRequest guards against a released request that cannot be reserved again on another router.
func TestReleaseFreesTheRequest(t *testing.T) {
	runWithClients(t, 2, 100, func(c *cluster) {
		t := c.tb
		r := mustReserve(t, c.members[0], demand(1, 100, false))
		assertEqual(t, "release", nil, r.Release(context.Background()))
		mustReserve(t, c.members[1], demand(1, 100, false)).Bill(100)
		time.Sleep(time.Second)
		assertSpent(t, c, 100)
	})
}

// TestNonIdempotentRequestsRunOnce guards against a second dispatch of a non-idempotent request that reaches all
// routers at the same time.
func TestNonIdempotentRequestsRunOnce(t *testing.T) {
	runWithClients(t, 6, 100_000, func(c *cluster) {
		t := c.tb
		for request := range uint64(20) {
			dispatched := atomic.Int64{}
			callers := sync.WaitGroup{}
			for _, m := range c.members {
				callers.Go(func() {
					r, err := m.Reserve(context.Background(), demand(request, 10, false))
					if err == nil && r.CheckDispatch() == nil {
						dispatched.Add(1)
						r.Bill(10)
					}
				})
			}
			callers.Wait()
			assertEqual(t, "dispatches", 1, dispatched.Load())
		}
		time.Sleep(time.Second)
		assertSpent(t, c, 200)
	})
}

// TestLostAnswersAndCopies guards against lost or double charges when appends take effect without an answer or more
// than once.
func TestLostAnswersAndCopies(t *testing.T) {
	runWithClients(t, 3, 1_000_000, func(c *cluster) {
		t := c.tb
		c.log.set(func() {
			for _, m := range c.members {
				m.link.lostAnswerRate, m.link.duplicateRate = 0.3, 0.3
			}
		})
		callers := sync.WaitGroup{}
		for i := range 300 {
			callers.Go(func() { mustReserve(t, c.members[i%3], demand(uint64(i), 50, i%2 == 0)).Bill(7) })
			time.Sleep(10 * time.Millisecond)
		}
		callers.Wait()
		time.Sleep(5 * time.Second)
		assertSettled(t, c, 300*7)
		if c.counter(appendFailed) == 0 {
			t.Error("no answer was lost")
		}
	})
}

// TestOutage guards against late refusals, fences and lost bills during an outage of the log.
func TestOutage(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		t := c.tb
		running := mustReserve(t, c.members[0], demand(1, 100, true))
		c.log.set(func() { c.log.down = true })
		_, err := c.members[0].Reserve(context.Background(), demand(2, 100, false))
		assertEqual(t, "reason", verdict.LedgerUnreachable, outcomeOf(err).Reason)
		time.Sleep(time.Second)
		startedAt := time.Now()
		_, err = c.members[1].Reserve(context.Background(), demand(3, 100, true))
		assertOutcome(t, outcome{"NotRun", verdict.LedgerUnreachable}, err)
		assertEqual(t, "time of the refusal", 0, time.Since(startedAt))
		running.Bill(40)
		time.Sleep(10 * time.Minute)
		c.log.set(func() { c.log.down = false })
		time.Sleep(5 * time.Second)
		assertSpent(t, c, 40)
		assertEqual(t, "fences", 0, c.counter(leaseFenced))
		mustReserve(t, c.members[0], demand(2, 100, false)).Bill(100)
		mustReserve(t, c.members[1], demand(3, 100, true)).Bill(100)
		time.Sleep(time.Second)
		assertSpent(t, c, 240)
	})
}

// TestNotRunAfterLostOpen guards against the verdict "not run", and a reservation that stays open, when it is
// unknown whether an open is in the log.
func TestNotRunAfterLostOpen(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		t := c.tb
		c.log.set(func() { c.members[0].link.lostAnswerRate = 1 })
		mustReserve(t, c.members[0], demand(1, 10, true)).Bill(1)
		time.Sleep(time.Second)
		c.log.set(func() { c.members[0].link.hangs = true })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.members[0].Reserve(ctx, demand(2, 5, true))
		assertOutcome(t, outcome{"MayHaveRun", verdict.DeadlineTooShort}, err)
		_, err = c.members[0].Reserve(context.Background(), demand(3, 10, true))
		assertEqual(t, "reason", verdict.LedgerUnreachable, outcomeOf(err).Reason)
		c.log.set(func() { c.members[0].link.hangs, c.members[0].link.lostAnswerRate = false, 0 })
		time.Sleep(time.Minute)
		assertSettled(t, c, 1)
	})
}

// TestPauseBetweenCheckAndDispatch guards against a dispatch by a router that was fenced while it was paused, and
// against a second run elsewhere.
func TestPauseBetweenCheckAndDispatch(t *testing.T) {
	runWithClients(t, 3, 1000, func(c *cluster) {
		t := c.tb
		paused := c.members[0]
		r := mustReserve(t, paused, demand(1, 100, false))
		assertEqual(t, "dispatch before the pause", nil, r.CheckDispatch())
		former := paused.Incarnation()
		c.log.set(func() { paused.link.hangs = true })
		time.Sleep(30 * time.Second)
		assertOutcome(t, outcome{"MayHaveRun", verdict.LeaseExpired}, r.CheckDispatch())
		_, err := c.members[1].Reserve(context.Background(), demand(1, 100, false))
		assertOutcome(t, outcome{"Ran", verdict.RequestAlreadyRan}, err)
		c.log.set(func() { paused.link.hangs = false })
		time.Sleep(10 * time.Second)
		assertOutcome(t, outcome{"MayHaveRun", verdict.LeaseExpired}, r.CheckDispatch())
		assertOutcome(t, outcome{"MayHaveRun", verdict.OutcomeUnknown}, r.Release(context.Background()))
		if former == paused.Incarnation() || !paused.Ready() {
			t.Error("the fenced router did not rejoin as a new incarnation")
		}
		mustReserve(t, paused, demand(2, 900, true)).Bill(900)
		time.Sleep(time.Second)
		assertSpent(t, c, 1000)
	})
}

// TestFenceWhileStreaming checks that a request of a disconnected router is charged its full reservation when the
// router is fenced.
func TestFenceWhileStreaming(t *testing.T) {
	runWithClients(t, 3, 1000, func(c *cluster) {
		t := c.tb
		disconnected := c.members[0]
		r := mustReserve(t, disconnected, demand(1, 100, true))
		c.log.set(func() { disconnected.link.down = true })
		time.Sleep(30 * time.Second)
		r.Bill(20)
		c.log.set(func() { disconnected.link.down = false })
		time.Sleep(10 * time.Second)
		assertSpent(t, c, 100)
		assertEqual(t, "fenced", 1, c.counter(leaseFenced))
		assertEqual(t, "outbox", 0, disconnected.Status().Outbox)
		assertEqual(t, "shares after the fence", 0, len(c.budget().Holders))
	})
}

// TestDrain guards against reservations during a drain and against shares or records that are left after it.
func TestDrain(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		t := c.tb
		leaving := c.members[0]
		r := mustReserve(t, leaving, demand(1, 100, true))
		done := make(chan error)
		go func() {
			_, err := leaving.Drain(context.Background())
			done <- err
		}()
		time.Sleep(time.Second)
		_, err := leaving.Reserve(context.Background(), demand(2, 100, true))
		assertOutcome(t, outcome{"NotRun", verdict.ShuttingDown}, err)
		r.Bill(60)
		assertEqual(t, "drain", nil, <-done)
		assertSpent(t, c, 60)
		assertEqual(t, "holders", 0, len(c.budget().Holders))
		assertEqual(t, "incarnations", 1, len(c.foldLog().Incarnations()))
		assertEqual(t, "ready", false, leaving.Ready())
	})
}

// TestUniqueRequestsGoAtTheAcknowledgement guards against a needless wait for the read of an open whose identifier
// this router generated.
func TestUniqueRequestsGoAtTheAcknowledgement(t *testing.T) {
	runWithClients(t, 1, 1000, func(c *cluster) {
		m := c.members[0]
		mustReserve(t, m, demand(1, 100, true)).Bill(1)
		time.Sleep(time.Second)
		c.log.set(func() { m.link.failsReads = true })
		wait := func(request uint64, unique bool) bool {
			d := demand(request, 40, true)
			d.Unique = unique
			startedAt := time.Now()
			mustReserve(t, m, d).Bill(1)
			return time.Since(startedAt) >= DefaultReadBackWait
		}
		assertEqual(t, "waits for the read of an open with a caller's identifier", true, wait(2, false))
		assertEqual(t, "waits for the read of an open with a generated identifier", false, wait(3, true))
	})
}

// TestEarlierAttempts guards against the verdict "not run" for a request of which another router has an open or
// billed attempt.
func TestEarlierAttempts(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		first, second := c.members[0], c.members[1]
		running := mustReserve(t, first, demand(1, 900, false))
		time.Sleep(time.Second)
		c.log.set(func() { c.log.down = true })
		time.Sleep(time.Minute)
		_, err := second.Reserve(context.Background(), demand(1, 900, false))
		assertOutcome(t, outcome{"MayHaveRun", verdict.LedgerUnreachable}, err)
		c.log.set(func() { c.log.down = false })
		time.Sleep(time.Minute)
		running.Bill(900)
		time.Sleep(time.Second)
		_, err = second.Reserve(context.Background(), demand(1, 900, false))
		assertEqual(t, "verdict", "Ran", outcomeOf(err).Verdict)
	})
}

// TestRetryOfABilledRequestOnAnExhaustedBudget guards against the refusal of the retry of a billed request after
// its bill has exhausted the budget.
func TestRetryOfABilledRequestOnAnExhaustedBudget(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		mustReserve(t, c.members[0], demand(1, 1000, true)).Bill(1000)
		time.Sleep(time.Second)
		mustReserve(t, c.members[1], demand(1, 1000, true)).Bill(1000)
		time.Sleep(time.Second)
		assertSpent(t, c, 1000)
	})
}

// TestTwoProcessesWithOneNumber guards against two processes that use the same incarnation because they chose the
// same number.
func TestTwoProcessesWithOneNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{tb: t, log: newFakeLog(testSeed + 2)}
		defer c.stop()
		// On the paused clock both processes choose the same nanosecond as their incarnation number.
		for range 2 {
			c.start(Settings{Instance: "router-x"})
		}
		time.Sleep(10 * time.Second)
		assertEqual(t, "both processes use one incarnation", false, c.members[0].Incarnation() == c.members[1].Incarnation())
		assertEqual(t, "live incarnations", 2, len(c.foldLog().Incarnations()))
	})
}

// TestBusyRouterReportsItsConfiguration guards against an outdated configuration position of a router that is never
// idle and thus needs no heartbeat.
func TestBusyRouterReportsItsConfiguration(t *testing.T) {
	runWithClients(t, 2, 100_000, func(c *cluster) {
		c.members[0].SetConfigurationPosition(7, 3)
		for i := range uint64(200) {
			mustReserve(t, c.members[0], demand(i, 10, true)).Bill(1)
			time.Sleep(10 * time.Millisecond)
		}
		reported := ledger.Heartbeat{}
		for _, v := range c.foldLog().Incarnations() {
			if v.Incarnation == c.members[0].Incarnation() {
				reported = v.Heartbeat
			}
		}
		assertEqual(t, "position", ledger.Heartbeat{ConfigurationOffset: 7, ConfigurationNumber: 3}, reported)
	})
}
