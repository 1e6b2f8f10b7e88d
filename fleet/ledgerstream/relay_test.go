package ledgerstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// reserveShare is the reserve share of each router in tokens.
const reserveShare = 1000

// errDisconnected is the error of sends to or from a disconnected router.
var errDisconnected = errors.New("peer is disconnected")

// fakeRelay passes copies of groups between the clients of a cluster. Disconnected instances neither send nor receive
// copies.
type fakeRelay struct {
	mu           sync.Mutex
	clients      map[string]*Client
	disconnected map[string]bool
}

// fakeRelayClient is one client's connection to the relay.
type fakeRelayClient struct {
	relay *fakeRelay
	from  string
}

func (e *fakeRelayClient) SendCopy(ctx context.Context, to peer.Address, p peer.Copy) error {
	waitForSignal(ctx, nil, time.Millisecond)
	e.relay.mu.Lock()
	target, isDisconnected := e.relay.clients[to.Instance], e.relay.disconnected[to.Instance] || e.relay.disconnected[e.from]
	e.relay.mu.Unlock()
	if isDisconnected || target == nil || ctx.Err() != nil {
		return errDisconnected
	}
	return target.AcceptCopy(e.from, p)
}

func (r *fakeRelay) setDisconnected(instance string, isDisconnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected[instance] = isDisconnected
}

// start adds a client that is connected to the others by the relay. Every two clients share a region.
func (r *fakeRelay) start(c *cluster, i int, reserveTerm time.Duration) {
	name := fmt.Sprintf("router-%d", i)
	m := c.start(Settings{
		Instance:         name,
		Region:           fmt.Sprintf("region-%d", i/2),
		AvailabilityZone: fmt.Sprintf("zone-%d", i),
		PeerAddress:      "127.0.0.1:1",
		ReserveTerm:      reserveTerm,
		Relay:            &fakeRelayClient{relay: r, from: name},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients[name] = m.Client
}

// runWithRelay runs a parallel test on the paused clock, with four ready clients in two regions of two availability
// zones each.
func runWithRelay(t *testing.T, prepaid ledger.Tokens, test func(c *cluster, r *fakeRelay)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRelay{clients: map[string]*Client{}, disconnected: map[string]bool{}}
		c := &cluster{tb: t, log: newFakeLog(testSeed + 1)}
		defer c.stop()
		for i := range 4 {
			r.start(c, i, 15*time.Minute)
		}
		time.Sleep(time.Second)
		budget := ledger.Prepaid{Budget: testBudget, Ticket: 1, Total: prepaid, Reserve: ledger.ReservePolicy{Share: reserveShare}}
		for _, m := range c.members {
			m.DeclarePrepaid([]ledger.Prepaid{budget})
		}
		time.Sleep(10 * time.Second)
		test(c, r)
	})
}

// runInOutage runs a test with four clients one minute after the start of an outage of the log.
func runInOutage(t *testing.T, test func(c *cluster, r *fakeRelay)) {
	t.Helper()
	runWithRelay(t, 100_000, func(c *cluster, r *fakeRelay) {
		c.setOutage(true)
		time.Sleep(time.Minute)
		test(c, r)
	})
}

// setHanging makes the log calls of all clients time out, or ends these time-outs.
func (c *cluster) setHanging(hanging bool) {
	c.log.set(func() {
		for _, m := range c.members {
			m.link.hangs = hanging
		}
	})
}

// setOutage makes the log unavailable to all clients, or ends the outage.
func (c *cluster) setOutage(down bool) { c.log.set(func() { c.log.down = down }) }

// setLinkDown disconnects a client from the log, or reconnects it. The relay is not affected.
func (c *cluster) setLinkDown(i int, down bool) { c.log.set(func() { c.members[i].link.down = down }) }

// TestSpendingWithoutLog guards against wrong charges, lost bills and stopped requests while reserve shares are
// spent without the log.
func TestSpendingWithoutLog(t *testing.T) {
	t.Run("requests in an outage are charged exactly to the reserve shares", func(t *testing.T) {
		runInOutage(t, func(c *cluster, _ *fakeRelay) {
			for i := range uint64(6) {
				mustReserve(t, c.members[0], demand(i, 500, true)).Bill(90)
			}
			time.Sleep(9 * time.Minute)
			c.setOutage(false)
			time.Sleep(time.Minute)
			assertSettled(t, c, 540)
			assertEqual(t, "opens refused by the ledger", int64(0), c.counter(openRefused))
		})
	})
	t.Run("requests above the reserve share are not run", func(t *testing.T) {
		runInOutage(t, func(c *cluster, _ *fakeRelay) {
			mustReserve(t, c.members[0], demand(1, 600, true))
			_, err := c.members[0].Reserve(context.Background(), demand(2, 600, true))
			assertOutcome(t, outcome{"NotRun", verdict.LedgerUnreachable}, err)
		})
	})
	t.Run("non-idempotent requests are not run", func(t *testing.T) {
		runInOutage(t, func(c *cluster, _ *fakeRelay) {
			_, err := c.members[0].Reserve(context.Background(), demand(1, 10, false))
			assertOutcome(t, outcome{"NotRun", verdict.LedgerUnreachable}, err)
		})
	})
	t.Run("without the log and other routers no request is paid for", func(t *testing.T) {
		runWithRelay(t, 100_000, func(c *cluster, r *fakeRelay) {
			c.setOutage(true)
			r.setDisconnected("router-0", true)
			time.Sleep(time.Minute)
			_, err := c.members[0].Reserve(context.Background(), demand(1, 10, true))
			assertEqual(t, "reason", verdict.LedgerUnreachable, outcomeOf(err).Reason)
			c.setOutage(false)
			time.Sleep(time.Minute)
			assertSettled(t, c, 0)
		})
	})
	t.Run("bills of a router that dies in an outage reach the log", func(t *testing.T) {
		runInOutage(t, func(c *cluster, r *fakeRelay) {
			mustReserve(t, c.members[0], demand(1, 300, true)).Bill(90)
			time.Sleep(time.Second)
			mustReserve(t, c.members[0], demand(2, 300, true))
			c.members[0].stop()
			r.setDisconnected("router-0", true)
			time.Sleep(time.Minute)
			c.setOutage(false)
			time.Sleep(20 * time.Minute)
			// The second request's bill is lost with its router, so the request is charged its full reservation.
			assertSettled(t, c, 90+300)
		})
	})
	t.Run("a disconnected and fenced router bills its requests and rejoins", func(t *testing.T) {
		runWithRelay(t, 100_000, func(c *cluster, _ *fakeRelay) {
			former := c.members[0].Incarnation()
			c.setLinkDown(0, true)
			time.Sleep(time.Minute)
			running := mustReserve(t, c.members[0], demand(1, 300, true))
			mustReserve(t, c.members[0], demand(2, 300, true)).Bill(50)
			c.members[1].DeclarePrepaid([]ledger.Prepaid{{Budget: testBudget, Ticket: 2, Total: 200_000, Reserve: ledger.ReservePolicy{Share: reserveShare}}})
			time.Sleep(9 * time.Minute)
			c.setLinkDown(0, false)
			time.Sleep(5 * time.Second)
			assertEqual(t, "dispatch of a running request", nil, running.CheckDispatch())
			running.Bill(70)
			time.Sleep(time.Minute)
			assertSpent(t, c, 120)
			assertEqual(t, "prepaid", ledger.Tokens(200_000), c.budget().Prepaid)
			assertEqual(t, "the earlier incarnation is in use", false, c.members[0].Incarnation() == former)
			assertEqual(t, "incarnations", 4, len(c.foldLog().Incarnations()))
			mustReserve(t, c.members[0], demand(3, 300, true)).Bill(1)
		})
	})
	t.Run("idempotent requests continue while calls of the log time out", func(t *testing.T) {
		runWithRelay(t, 100_000, func(c *cluster, _ *fakeRelay) {
			c.setHanging(true)
			mustReserve(t, c.members[0], demand(1, 300, true)).Bill(40)
			time.Sleep(time.Minute)
			c.setHanging(false)
			time.Sleep(time.Minute)
			assertSettled(t, c, 40)
		})
	})
}

// TestExhaustedAfterOutage guards against a late refusal because the reserve shares of an earlier outage are still
// waited for.
func TestExhaustedAfterOutage(t *testing.T) {
	runWithRelay(t, 100_000, func(c *cluster, _ *fakeRelay) {
		c.setOutage(true)
		for i := range uint64(4) {
			mustReserve(t, c.members[0], demand(i, 300, true)).Bill(200)
		}
		time.Sleep(10 * time.Second)
		c.setOutage(false)
		time.Sleep(5 * time.Second)
		mustReserve(t, c.members[1], demand(10, 80_000, true))
		startedAt := time.Now()
		_, err := c.members[0].Reserve(context.Background(), demand(11, 50_000, true))
		assertOutcome(t, outcome{"NotRun", verdict.BudgetExhausted}, err)
		assertEqual(t, "refused within twice the wait for a recall", true, time.Since(startedAt) <= 2*DefaultDrawWait)
	})
}

// TestCopies checks the validation and the memory bound of copies of other routers' groups.
func TestCopies(t *testing.T) {
	t.Run("groups that are not the sender's own are refused", func(t *testing.T) {
		runWithRelay(t, 1000, func(c *cluster, _ *fakeRelay) {
			payload, err := ledger.Encode(ledger.Group{Writer: c.members[1].Incarnation(), First: 99, Records: []ledger.Record{&ledger.Leave{}}})
			assert.Must(t, err)
			err = c.members[0].AcceptCopy("router-2", peer.Copy{Payload: payload})
			assertEqual(t, "foreign writer", true, errors.Is(err, peer.ErrForeignWriter))
			err = c.members[0].AcceptCopy("router-1", peer.Copy{Payload: payload[1:]})
			assertEqual(t, "malformed", true, errors.Is(err, peer.ErrMalformed))
			err = c.members[0].AcceptCopy("router-1", peer.Copy{Payload: payload, Partition: 1})
			assertEqual(t, "other partition", true, errors.Is(err, peer.ErrMalformed))
		})
	})
	t.Run("memory is bounded", func(t *testing.T) {
		const limit = 1000
		c := NewClient(&fakeLink{log: newFakeLog(testSeed)}, Settings{CopyBytes: limit}, metrics.NewRegistry())
		heldBytes := 0
		for i := range uint64(100) {
			payload, err := ledger.Encode(ledger.Group{
				Writer: ledger.Incarnation{Instance: "x", Number: i + 1}, First: 1, Records: []ledger.Record{&ledger.Leave{}},
			})
			assert.Must(t, err)
			if err := c.AcceptCopy("x", peer.Copy{Payload: payload}); err == nil {
				heldBytes += len(payload)
				continue
			} else if !errors.Is(err, peer.ErrQueueFull) {
				t.Fatal(err)
			}
		}
		assertEqual(t, "held within the bound", true, heldBytes > limit/2 && heldBytes <= limit)
	})
}

// TestReserveOfADeadRouterIsNotWaitedFor guards against a wait for the reserve share of a dead router, which
// returns only after the reserve term.
func TestReserveOfADeadRouterIsNotWaitedFor(t *testing.T) {
	runWithRelay(t, 100_000, func(c *cluster, _ *fakeRelay) {
		c.members[0].stop()
		time.Sleep(30 * time.Second)
		startedAt := time.Now()
		_, err := c.members[1].Reserve(context.Background(), demand(1, 100_000-reserveShare+1, true))
		assertOutcome(c.tb, outcome{"NotRun", verdict.BudgetExhausted}, err)
		assertEqual(c.tb, "refused late", false, time.Since(startedAt) > 2*DefaultDrawWait)
		mustReserve(c.tb, c.members[1], demand(2, 100_000-reserveShare, true)).Bill(1)
	})
}

// TestQueuedBillsSurviveAFence guards against the loss of bills that are queued when a disconnected router reads
// its own fence. Reservations in its reserve share, and their bills, stay valid after the fence.
func TestQueuedBillsSurviveAFence(t *testing.T) {
	runWithRelay(t, 100_000, func(c *cluster, r *fakeRelay) {
		m := c.members[0]
		c.log.set(func() { m.link.hangsAppends = true })
		running := []Reservation{}
		for i := range uint64(60) {
			running = append(running, mustReserve(c.tb, m, demand(i, 10, true)))
		}
		time.Sleep(DefaultLease)
		r.setDisconnected("router-0", true)
		time.Sleep(DefaultLease)
		queued := 0
		for _, reservation := range running {
			time.Sleep(100 * time.Millisecond)
			if c.counter(leaseFenced) == 0 {
				queued++
			}
			reservation.Bill(3)
		}
		assertEqual(c.tb, "some bills before the fence and some after it", true, queued > 0 && queued < len(running))
		c.log.set(func() { m.link.hangsAppends = false })
		time.Sleep(time.Minute)
		assertSettled(c.tb, c, 60*3)
	})
}

// drainWithin drains a router with a timeout and then stops it.
func drainWithin(m *clusterMember, limit time.Duration) (DrainResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	defer m.stop()
	return m.Drain(ctx)
}

// TestDrainWithoutLog guards against the loss of records, or a drain without end, when a router stops during an
// outage of the log.
func TestDrainWithoutLog(t *testing.T) {
	t.Run("other routers append the last records", func(t *testing.T) {
		runWithRelay(t, 100_000, func(c *cluster, r *fakeRelay) {
			opened := mustReserve(t, c.members[0], demand(1, 300, false))
			c.setOutage(true)
			time.Sleep(time.Minute)
			reserved := mustReserve(t, c.members[0], demand(2, 300, true))
			time.AfterFunc(2*time.Second, func() { opened.Bill(70); reserved.Bill(20) })
			startedAt := time.Now()
			result, err := drainWithin(c.members[0], time.Hour)
			assertEqual(t, "error", nil, err)
			assertEqual(t, "records handed over", true, result.HandedOver > 0)
			assertEqual(t, "waited for the log", false, time.Since(startedAt) > 5*time.Second)
			r.setDisconnected("router-0", true)
			_, err = drainWithin(c.members[1], time.Minute)
			assertEqual(t, "the holder of the only copies of the last records has not drained", true, errors.Is(err, ErrDrainIncomplete))
			c.setOutage(false)
			time.Sleep(10 * time.Second)
			assertSettled(t, c, 90)
			for _, v := range c.foldLog().Incarnations() {
				assertEqual(t, "the drained router has left", false, v.Incarnation.Instance == "router-0")
			}
		})
	})
	t.Run("a drain without reachable routers waits for the log", func(t *testing.T) {
		runWithRelay(t, 100_000, func(c *cluster, r *fakeRelay) {
			r.setDisconnected("router-0", true)
			c.setOutage(true)
			_, err := drainWithin(c.members[0], time.Minute)
			assertEqual(t, "incomplete", true, errors.Is(err, ErrDrainIncomplete))
		})
	})
}

// TestOpenInFlightAtAnOutage guards against wrong verdicts for requests whose opens were being appended at the
// start of an outage, so that it is unknown whether they are in the log.
func TestOpenInFlightAtAnOutage(t *testing.T) {
	for _, row := range []struct {
		Name   string
		Demand Demand
		Want   outcome
		Limit  time.Duration
	}{
		{"falls back to the reserve share", demand(2, 300, true), outcome{}, DefaultReserveAfter},
		{"exceeds the reserve share", demand(2, 2*reserveShare, true), outcome{"MayHaveRun", verdict.LedgerUnreachable}, 3 * time.Second},
		{"must not run twice", demand(2, 300, false), outcome{"MayHaveRun", verdict.LedgerUnreachable}, 3 * time.Second},
	} {
		t.Run(row.Name, func(t *testing.T) {
			runWithRelay(t, 100_000, func(c *cluster, _ *fakeRelay) {
				mustReserve(t, c.members[0], demand(1, 3000, true)).Bill(1)
				time.Sleep(100 * time.Millisecond)
				c.setOutage(true)
				startedAt := time.Now()
				r, err := c.members[0].Reserve(context.Background(), row.Demand)
				assertOutcome(t, row.Want, err)
				assertEqual(t, "answered late", false, time.Since(startedAt) > row.Limit)
				want := ledger.Tokens(1)
				if err == nil {
					r.Bill(40)
					want += 40
				}
				time.Sleep(time.Minute)
				c.setOutage(false)
				time.Sleep(time.Minute)
				assertSettled(t, c, want)
			})
		})
	}
}
