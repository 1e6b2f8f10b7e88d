package ledgerstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

func TestAnswersDontRenewALapsedLease(t *testing.T) {
	inBubble(t, 2, 1000, func(c *cluster) {
		m := c.members[0]
		c.log.set(func() { m.link.silent = true })
		time.Sleep(30 * time.Second)
		c.log.set(func() { m.link.silent, m.link.blind = false, true })
		assertEqual(c.tb, "lease was renewed", false, longestLease(m, 10*time.Second) > 0)
		assertEqual(c.tb, "incarnations", 1, len(c.fold().Incarnations()))
	})
}

func TestLeaseCountsFromTheSend(t *testing.T) {
	inBubble(t, 1, 1000, func(c *cluster) {
		m := c.members[0]
		delay := DefaultCallTimeout - 100*time.Millisecond
		c.log.set(func() { m.link.delay = delay })
		time.Sleep(DefaultLease)
		longest := longestLease(m, DefaultLease)
		assertEqual(c.tb, "lease renewed", true, longest > 0)
		assertEqual(c.tb, "lease beyond the send's", false, longest > DefaultLease-DefaultLeaseMargin-delay)
	})
}

// longestLease returns the most that was left of a lease at any time within a period.
func longestLease(m *node, period time.Duration) time.Duration {
	longest := time.Duration(0)
	for begun := time.Now(); time.Since(begun) < period; time.Sleep(50 * time.Millisecond) {
		longest = max(longest, m.Status().LeaseLeft)
	}
	return longest
}

func TestNonIdempotentRequestsAreReadBack(t *testing.T) {
	inBubble(t, 2, 1000, func(c *cluster) {
		m := c.members[0]
		mustReserve(c.tb, m, demand(1, 100, true)).Bill(1)
		time.Sleep(100 * time.Millisecond)
		c.log.set(func() { m.link.blind = true })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := m.Reserve(ctx, demand(2, 50, false))
		assertEqual(c.tb, "verdict", "MayHaveRun", outcomeOf(err).Verdict)
		c.log.set(func() { m.link.blind = false })
		time.Sleep(5 * time.Second)
		assertEqual(c.tb, "open requests", 0, c.budget().OpenRequests)
	})
}

func TestIncarnationAboveEarlierOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{tb: t, log: newFakeLog(testSeed)}
		defer c.stop()
		future := ledger.Incarnation{Instance: "router-0", Number: uint64(time.Now().Add(time.Hour).UnixNano())}
		payload, err := ledger.Encode(ledger.Group{Writer: future, First: 1, Records: []ledger.Record{&ledger.Join{}, &ledger.Leave{}}})
		assertEqual(t, "encoding", nil, err)
		c.log.append(platform.LedgerStream(0), payload)
		m := c.start(Settings{})
		time.Sleep(2 * time.Second)
		assertEqual(t, "ready", true, m.Ready())
		assertEqual(t, "number", future.Number+1, m.Incarnation().Number)
	})
}

func TestRetentionPassesARunningRouter(t *testing.T) {
	inBubble(t, 1, 1000, func(c *cluster) {
		c.log.set(func() { c.log.first = 1_000_000 })
		time.Sleep(time.Second)
		_, err := c.members[0].Reserve(context.Background(), demand(1, 1, true))
		assertOutcome(c.tb, outcome{"NotRun", verdict.NotReady}, err)
	})
}

func TestPrepaidIsCopiedAgainAfterAFence(t *testing.T) {
	inBubble(t, 2, 1000, func(c *cluster) {
		m := c.members[0]
		c.log.set(func() { m.link.silent = true })
		m.DeclarePrepaid([]ledger.Prepaid{{Budget: testBudget, Ticket: 2, Total: 2000}})
		time.Sleep(30 * time.Second)
		c.log.set(func() { m.link.silent = false })
		time.Sleep(15 * time.Second)
		assertEqual(c.tb, "prepaid", 2000, c.budget().Prepaid)
	})
}

func TestUnsentOpensEndWithTheLog(t *testing.T) {
	inBubble(t, 1, 1000, func(c *cluster) {
		m := c.members[0]
		mustReserve(c.tb, m, demand(1, 100, true)).Bill(1)
		time.Sleep(100 * time.Millisecond)
		c.log.set(func() { c.log.down = true })
		c.loops.Go(func() { _, _ = m.Reserve(context.Background(), demand(2, 40, true)) })
		time.Sleep(10 * time.Millisecond)
		begun := time.Now()
		_, err := m.Reserve(context.Background(), demand(3, 40, true))
		assertOutcome(c.tb, outcome{"NotRun", verdict.LedgerUnreachable}, err)
		assertEqual(c.tb, "waited for the log", false, time.Since(begun) >= DefaultOpenWait)
		assertEqual(c.tb, "withdrawn", true, c.counter(openWithdrawn) > 0)
		time.Sleep(2 * DefaultOpenWait)
	})
}

func TestIdleRoutersKeepShortLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, Settings{Lease: time.Second, LeaseMargin: 500 * time.Millisecond})
		defer c.stop()
		for range 300 {
			for _, m := range c.members {
				assertEqual(t, "lease is left", true, m.Status().LeaseLeft > 0)
			}
			time.Sleep(101 * time.Millisecond)
		}
		assertEqual(t, "fences", int64(0), c.counter(leaseFenced))
	})
}
