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

// TestAnswersDontRenewALapsedLease guards against a lease that is renewed by an acknowledgement although a fence
// may precede the record in the log.
func TestAnswersDontRenewALapsedLease(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		m := c.members[0]
		c.log.set(func() { m.link.hangs = true })
		time.Sleep(30 * time.Second)
		c.log.set(func() { m.link.hangs, m.link.failsReads = false, true })
		assertEqual(c.tb, "lease was renewed", false, maximumLeaseLeft(m, 10*time.Second) > 0)
		assertEqual(c.tb, "incarnations", 1, len(c.foldLog().Incarnations()))
	})
}

// TestLeaseCountsFromTheSend guards against a lease that lasts longer than other routers compute because it starts
// at the append's answer.
func TestLeaseCountsFromTheSend(t *testing.T) {
	runWithClients(t, 1, 1000, func(c *cluster) {
		m := c.members[0]
		delay := DefaultCallTimeout - 100*time.Millisecond
		c.log.set(func() { m.link.delay = delay })
		time.Sleep(DefaultLease)
		longest := maximumLeaseLeft(m, DefaultLease)
		assertEqual(c.tb, "lease renewed", true, longest > 0)
		assertEqual(c.tb, "lease beyond the send's", false, longest > DefaultLease-DefaultLeaseMargin-delay)
	})
}

// maximumLeaseLeft returns the highest LeaseLeft of a client within a period.
func maximumLeaseLeft(m *clusterMember, period time.Duration) time.Duration {
	longest := time.Duration(0)
	for startedAt := time.Now(); time.Since(startedAt) < period; time.Sleep(50 * time.Millisecond) {
		longest = max(longest, m.Status().LeaseLeft)
	}
	return longest
}

// TestNonIdempotentRequestsAreReadBack guards against the dispatch of a non-idempotent request whose open is
// acknowledged but not read back.
func TestNonIdempotentRequestsAreReadBack(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		m := c.members[0]
		mustReserve(c.tb, m, demand(1, 100, true)).Bill(1)
		time.Sleep(100 * time.Millisecond)
		c.log.set(func() { m.link.failsReads = true })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := m.Reserve(ctx, demand(2, 50, false))
		assertEqual(c.tb, "verdict", "MayHaveRun", outcomeOf(err).Verdict)
		c.log.set(func() { m.link.failsReads = false })
		time.Sleep(5 * time.Second)
		assertEqual(c.tb, "open requests", 0, c.budget().OpenRequests)
	})
}

// TestIncarnationAboveEarlierOnes guards against a Join that is refused because an earlier incarnation has a number
// from a clock that was ahead.
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

// TestRetentionPassesARunningRouter guards against reservations by a router whose next offset the log no longer
// has.
func TestRetentionPassesARunningRouter(t *testing.T) {
	runWithClients(t, 1, 1000, func(c *cluster) {
		c.log.set(func() { c.log.firstOffset = 1_000_000 })
		time.Sleep(time.Second)
		_, err := c.members[0].Reserve(context.Background(), demand(1, 1, true))
		assertOutcome(c.tb, outcome{"NotRun", verdict.NotReady}, err)
	})
}

// TestPrepaidIsCopiedAgainAfterAFence guards against the loss of a prepaid total that was queued when its router
// was fenced.
func TestPrepaidIsCopiedAgainAfterAFence(t *testing.T) {
	runWithClients(t, 2, 1000, func(c *cluster) {
		m := c.members[0]
		c.log.set(func() { m.link.hangs = true })
		m.DeclarePrepaid([]ledger.Prepaid{{Budget: testBudget, Ticket: 2, Total: 2000}})
		time.Sleep(30 * time.Second)
		c.log.set(func() { m.link.hangs = false })
		time.Sleep(15 * time.Second)
		assertEqual(c.tb, "prepaid", 2000, c.budget().Prepaid)
	})
}

// TestUnsentOpensEndWithTheLog guards against requests that wait for OpenWait although their opens were never sent
// and the log is unreachable.
func TestUnsentOpensEndWithTheLog(t *testing.T) {
	runWithClients(t, 1, 1000, func(c *cluster) {
		m := c.members[0]
		mustReserve(c.tb, m, demand(1, 100, true)).Bill(1)
		time.Sleep(100 * time.Millisecond)
		c.log.set(func() { c.log.down = true })
		c.runs.Go(func() { _, _ = m.Reserve(context.Background(), demand(2, 40, true)) })
		time.Sleep(10 * time.Millisecond)
		startedAt := time.Now()
		_, err := m.Reserve(context.Background(), demand(3, 40, true))
		assertOutcome(c.tb, outcome{"NotRun", verdict.LedgerUnreachable}, err)
		assertEqual(c.tb, "waited for the log", false, time.Since(startedAt) >= DefaultOpenWait)
		assertEqual(c.tb, "withdrawn", true, c.counter(openWithdrawn) > 0)
		time.Sleep(2 * DefaultOpenWait)
	})
}

// TestIdleRoutersKeepShortLeases guards against lapsed leases of idle routers when the lease is shorter than the
// default heartbeat interval.
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
