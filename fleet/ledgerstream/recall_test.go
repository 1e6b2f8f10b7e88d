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

func TestRecallDownToTheLastRequest(t *testing.T) {
	inBubble(t, 3, 1000, func(c *cluster) {
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

func TestRecallOfIdleShares(t *testing.T) {
	inBubble(t, 3, 1000, func(c *cluster) {
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

// TestContendedRemainder races requests for a remainder that pays for one of them at a time, while a router
// holds a part of it: one of them must get all of it, and the others must be told in time. The holder is
// asked at different times after the draws of the others, since a fault of the recall shows in a short window.
func TestContendedRemainder(t *testing.T) {
	for _, routers := range []int{2, 3, 5, 6} {
		for delay := time.Duration(0); delay <= 40*time.Millisecond; delay += 4 * time.Millisecond {
			t.Run(fmt.Sprint(routers, " routers, ", delay), func(t *testing.T) {
				inBubble(t, routers, 1000, func(c *cluster) {
					// Neither this share nor the rest of the budget pays for a request alone.
					mustReserve(t, c.members[0], demand(1, 400, true)).Bill(0)
					time.Sleep(100 * time.Millisecond)
					race := &remainderRace{cluster: c, delay: delay}
					for i := range 5 * routers {
						race.callers.Go(func() { race.run(i) })
					}
					race.callers.Wait()
					assertEqual(t, "requests granted", 1, race.granted.Load())
					assertEqual(t, "answers later than twice the wait for a recall", 0, race.late.Load())
				})
			})
		}
	}
}

// remainderRace counts what its callers were told.
type remainderRace struct {
	cluster *cluster
	delay   time.Duration
	callers sync.WaitGroup
	granted atomic.Int64
	late    atomic.Int64
}

// run sends one caller's request again and again, each time to another router.
func (r *remainderRace) run(i int) {
	if i%len(r.cluster.members) == 0 {
		time.Sleep(r.delay)
	}
	for attempt := range 6 {
		begun := time.Now()
		m := r.cluster.members[(i+attempt)%len(r.cluster.members)]
		_, err := m.Reserve(context.Background(), demand(uint64(100+i), ledger.Tokens(700+7*i), true))
		if time.Since(begun) > 2*DefaultDrawWait {
			r.late.Add(1)
		}
		if err == nil {
			r.granted.Add(1)
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// TestRefusalsSeeTheNewestBill lets a bill free a part of the budget around the time at which the request of
// another router has waited long enough: it must not be refused for what this router has not read yet.
func TestRefusalsSeeTheNewestBill(t *testing.T) {
	for early := 50 * time.Millisecond; early >= 0; early -= 2 * time.Millisecond {
		t.Run(fmt.Sprint("bill ", early, " before the end of the wait"), func(t *testing.T) {
			inBubble(t, 2, 1000, func(c *cluster) {
				running := mustReserve(t, c.members[0], demand(1, 1000, true))
				time.Sleep(time.Second)
				time.AfterFunc(DefaultDrawWait-early, func() { running.Bill(300) })
				_, err := c.members[1].Reserve(context.Background(), demand(2, 600, true))
				_, unreserved := clients{cluster: c}.unspent(testBudget)
				assertEqual(t, "refused although the budget could pay", false, err != nil && unreserved >= 600)
			})
		})
	}
}

func TestRequestsBeyondTheBudgetAreRefusedAtOnce(t *testing.T) {
	inBubble(t, 2, 1000, func(c *cluster) {
		running := mustReserve(c.tb, c.members[0], demand(1, 1000, true))
		time.Sleep(time.Second)
		time.AfterFunc(DefaultDrawWait/4, func() { running.Bill(500) })
		begun := time.Now()
		_, err := c.members[1].Reserve(context.Background(), demand(2, 600, true))
		assertOutcome(c.tb, outcome{"NotRun", verdict.BudgetExhausted}, err)
		assertEqual(c.tb, "refused late", false, time.Since(begun) > DefaultDrawWait/2)
	})
}

// TestSilentHolder lets a router die with a part of the budget. What its fence returns in time is waited for; others are
// refused soon, with the time after which a retry is worthwhile.
func TestSilentHolder(t *testing.T) {
	for dead, granted := range map[time.Duration]bool{0: false, time.Second: false, 5 * time.Second: false, 11 * time.Second: true} {
		t.Run(fmt.Sprint("dead for ", dead), func(t *testing.T) {
			inBubble(t, 3, 1000, func(c *cluster) {
				mustReserve(t, c.members[0], demand(1, 400, true)).Bill(0)
				time.Sleep(100 * time.Millisecond)
				c.members[0].stop()
				time.Sleep(dead)
				begun := time.Now()
				_, err := c.members[1].Reserve(context.Background(), demand(2, 900, true))
				assertEqual(t, "granted", granted, err == nil)
				if granted {
					return
				}
				assertOutcome(t, outcome{"NotRun", verdict.BudgetExhausted}, err)
				assertEqual(t, "refused late", false, time.Since(begun) > 2*DefaultDrawWait)
				refusal := &verdict.Refusal{}
				assertEqual(t, "a refusal", true, errors.As(err, &refusal))
				time.Sleep(refusal.RetryAfter)
				mustReserve(t, c.members[1], demand(2, 900, true)).Bill(900)
			})
		})
	}
}

// TestRecallAfterALongRequest lets a request run for longer than its router keeps the account of an idle budget.
func TestRecallAfterALongRequest(t *testing.T) {
	inBubble(t, 2, 1000, func(c *cluster) {
		running := mustReserve(c.tb, c.members[0], demand(1, 600, true))
		time.Sleep(2 * DefaultIdleTerm)
		running.Bill(100)
		time.Sleep(time.Second)
		mustReserve(c.tb, c.members[1], demand(2, 900, true)).Bill(900)
	})
}
