package ledgerstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// TestRecallDownToTheLastRequest guards against tokens that stay in shares of other routers, so that a budget
// cannot be spent completely.
func TestRecallDownToTheLastRequest(t *testing.T) {
	runWithClients(t, 3, 1000, func(c *cluster) {
		t := c.tb
		for i := range 200 {
			mustReserve(t, c.members[i%3], demand(uint64(i), 5, true)).Bill(5)
			time.Sleep(time.Duration(i%7) * 20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assertSpent(t, c, 1000)
		_, err := c.members[0].Reserve(context.Background(), demand(1000, 1, true))
		assertOutcome(t, outcome{"NotRun", verdict.BudgetExhausted}, err)
	})
}

// TestRecallOfIdleShares guards against a refusal while other routers hold the missing tokens in idle shares.
func TestRecallOfIdleShares(t *testing.T) {
	runWithClients(t, 3, 1000, func(c *cluster) {
		t := c.tb
		for i := range 30 {
			mustReserve(t, c.members[i%2], demand(uint64(i), 100, true)).Bill(1)
		}
		r := mustReserve(t, c.members[2], demand(100, 970, true))
		r.Bill(970)
		time.Sleep(time.Second)
		assertSpent(t, c, 1000)
	})
}

// TestContendedRemainder guards against late or wrong refusals when requests of all routers compete for a remainder
// that pays for only one of them while a router holds a part of it. The holder's requests begin at different times
// after the others' draws, because faults of the recall occur only in a short window.
func TestContendedRemainder(t *testing.T) {
	for _, routers := range []int{2, 3, 5, 6} {
		for delay := time.Duration(0); delay <= 40*time.Millisecond; delay += 4 * time.Millisecond {
			t.Run(fmt.Sprint(routers, " routers, ", delay), func(t *testing.T) {
				runWithClients(t, routers, 1000, func(c *cluster) {
					// Neither the share of 400 tokens nor the rest of the budget alone pays for any of the competing requests.
					mustReserve(t, c.members[0], demand(1, 400, true)).Bill(0)
					time.Sleep(100 * time.Millisecond)
					contention := &remainderRace{cluster: c, delay: delay}
					for i := range 5 * routers {
						contention.callers.Go(func() { contention.run(i) })
					}
					contention.callers.Wait()
					assertEqual(t, "requests granted", 1, contention.granted.Load())
					assertEqual(t, "answers later than twice the draw wait", 0, contention.lateAnswers.Load())
				})
			})
		}
	}
}

// remainderRace runs requests that compete for the remainder of a budget, and counts the granted requests and the
// late answers.
type remainderRace struct {
	cluster     *cluster
	delay       time.Duration
	callers     sync.WaitGroup
	granted     atomic.Int64
	lateAnswers atomic.Int64
}

// run repeats one caller's request until it is granted, up to 6 times, at a different router each time.
func (r *remainderRace) run(i int) {
	if i%len(r.cluster.members) == 0 {
		time.Sleep(r.delay)
	}
	for attempt := range 6 {
		startedAt := time.Now()
		m := r.cluster.members[(i+attempt)%len(r.cluster.members)]
		_, err := m.Reserve(context.Background(), demand(uint64(100+i), ledger.Tokens(700+7*i), true))
		if time.Since(startedAt) > 2*DefaultDrawWait {
			r.lateAnswers.Add(1)
		}
		if err == nil {
			r.granted.Add(1)
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// TestRefusalsSeeTheNewestBill guards against the refusal of a request that the budget can pay for, which occurs if
// another router's bill frees tokens shortly before the request's wait ends and this router has not read the bill
// yet.
func TestRefusalsSeeTheNewestBill(t *testing.T) {
	for lead := 50 * time.Millisecond; lead >= 0; lead -= 2 * time.Millisecond {
		t.Run(fmt.Sprint("bill ", lead, " before the end of the wait"), func(t *testing.T) {
			runWithClients(t, 2, 1000, func(c *cluster) {
				running := mustReserve(t, c.members[0], demand(1, 1000, true))
				time.Sleep(time.Second)
				time.AfterFunc(DefaultDrawWait-lead, func() { running.Bill(300) })
				_, err := c.members[1].Reserve(context.Background(), demand(2, 600, true))
				_, unreserved := clients{cluster: c}.unspent(testBudget)
				assertEqual(t, "refused although the budget could pay", false, err != nil && unreserved >= 600)
			})
		})
	}
}

// TestRequestsBeyondTheBudgetAreRefusedAtOnce guards against a wait for shares after a bill has left less in the
// budget than the request needs.
func TestRequestsBeyondTheBudgetAreRefusedAtOnce(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		running := mustReserve(c.tb, c.members[0], demand(1, 1000, true))
		time.Sleep(time.Second)
		time.AfterFunc(DefaultDrawWait/4, func() { running.Bill(500) })
		startedAt := time.Now()
		_, err := c.members[1].Reserve(context.Background(), demand(2, 600, true))
		assertOutcome(c.tb, outcome{"NotRun", verdict.BudgetExhausted}, err)
		assertEqual(c.tb, "refused late", false, time.Since(startedAt) > DefaultDrawWait/2)
	})
}

// TestSilentHolder guards against wrong waits for the share of a dead router: requests wait if a fence returns the
// share in time, and are otherwise refused early with the time after which a retry can succeed.
func TestSilentHolder(t *testing.T) {
	for deadFor, granted := range map[time.Duration]bool{0: false, time.Second: false, 5 * time.Second: false, 11 * time.Second: true} {
		t.Run(fmt.Sprint("dead for ", deadFor), func(t *testing.T) {
			runWithClients(t, 3, 1000, func(c *cluster) {
				mustReserve(t, c.members[0], demand(1, 400, true)).Bill(0)
				time.Sleep(100 * time.Millisecond)
				c.members[0].stop()
				time.Sleep(deadFor)
				startedAt := time.Now()
				_, err := c.members[1].Reserve(context.Background(), demand(2, 900, true))
				assertEqual(t, "granted", granted, err == nil)
				if granted {
					return
				}
				assertOutcome(t, outcome{"NotRun", verdict.BudgetExhausted}, err)
				assertEqual(t, "refused late", false, time.Since(startedAt) > 2*DefaultDrawWait)
				refusal := &verdict.Refusal{}
				assertEqual(t, "a refusal", true, errors.As(err, &refusal))
				time.Sleep(refusal.RetryAfter)
				mustReserve(t, c.members[1], demand(2, 900, true)).Bill(900)
			})
		})
	}
}

// TestRecallAfterALongRequest guards against a share that is never returned because its router deleted the account
// of the budget while a request ran for longer than the idle term.
func TestRecallAfterALongRequest(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		running := mustReserve(c.tb, c.members[0], demand(1, 600, true))
		time.Sleep(2 * DefaultIdleTerm)
		running.Bill(100)
		time.Sleep(time.Second)
		mustReserve(c.tb, c.members[1], demand(2, 900, true)).Bill(900)
	})
}
