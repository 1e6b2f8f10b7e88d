package allowance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// testRouters is a fleet of holders that can call each other and share one in-memory log.
type testRouters struct {
	t       *testing.T
	log     *memory.KeyedLog
	team    *site.Team
	holders map[string]*Holder
	// holdersMutex guards holders in tests that restart routers.
	holdersMutex sync.RWMutex
	logs         map[string]*memory.Connection
	partitioned  atomic.Bool
	// shareHolders are the routers that hold shares of the team, in the order in which the other routers ask them. If
	// it is empty, every router holds a share.
	shareHolders []string
	// unreachableRouter names a router that does not answer loan calls; nil if all of them answer.
	unreachableRouter atomic.Pointer[string]
	// loanRequests counts the loan requests that reached a lender.
	loanRequests atomic.Int64
	// loseNextLoan makes the answer to the next loan request get lost.
	loseNextLoan atomic.Bool
}

// holder returns the holder of the router's current process.
func (r *testRouters) holder(name string) *Holder {
	r.holdersMutex.RLock()
	defer r.holdersMutex.RUnlock()
	return r.holders[name]
}

func (r *testRouters) unreachable(instance string) bool {
	name := r.unreachableRouter.Load()
	return r.partitioned.Load() || name != nil && *name == instance
}

var errPartitioned = errors.New("routers cannot reach each other")

// peerClient implements Lenders for one router by calling the other holders directly.
type peerClient struct {
	routers *testRouters
	from    string
}

func (c *peerClient) RequestTransfer(_ context.Context, instance, team string, wanted int64, cutOff bool) (int64, error) {
	if c.routers.partitioned.Load() {
		return 0, errPartitioned
	}
	return c.routers.holder(instance).TransferOut(c.from, team, wanted, cutOff), nil
}

func (c *peerClient) ShareHolders(string) []string {
	for i, name := range c.routers.shareHolders {
		if name == c.from {
			return c.routers.shareHolders[:i]
		}
	}
	return c.routers.shareHolders
}

func (c *peerClient) FallbackLenders(string) []string {
	var instances []string
	for i := range len(c.routers.holders) {
		if name := fmt.Sprintf("router-%d", i); name != c.from {
			instances = append(instances, name)
		}
	}
	return instances
}

func (c *peerClient) Borrow(ctx context.Context, instance string, r peer.LoanRequest) (peer.Loan, error) {
	if c.routers.unreachable(instance) {
		return peer.Loan{}, errPartitioned
	}
	c.routers.loanRequests.Add(1)
	loan, err := c.routers.holder(instance).Lend(ctx, c.from, r)
	if c.routers.loseNextLoan.CompareAndSwap(true, false) {
		return peer.Loan{}, errPartitioned
	}
	return loan, err
}

func (c *peerClient) Void(_ context.Context, instance, team string, identifier uint64) error {
	if c.routers.unreachable(instance) || !c.routers.holder(instance).Void(c.from, team, identifier) {
		return errPartitioned
	}
	return nil
}

func (c *peerClient) Repay(_ context.Context, instance, team string, tokens int64) error {
	if c.routers.unreachable(instance) || !c.routers.holder(instance).Repay(c.from, team, tokens) {
		return errPartitioned
	}
	return nil
}

func (c *peerClient) Transfer(_ context.Context, instance, team string, tokens int64) error {
	if c.routers.partitioned.Load() || !c.routers.holder(instance).AcceptTransfer(c.from, team, tokens) {
		return errPartitioned
	}
	return nil
}

// newRouters starts holders whose loops run until the context ends.
func newRouters(ctx context.Context, t *testing.T, prepaid int64, n int) *testRouters {
	t.Helper()
	r := newStoppedRouters(t, prepaid, n)
	r.start(ctx)
	return r
}

// newStoppedRouters returns holders whose loops are not running yet.
func newStoppedRouters(t *testing.T, prepaid int64, n int) *testRouters {
	t.Helper()
	r := &testRouters{t: t, log: &memory.KeyedLog{}, holders: make(map[string]*Holder), logs: make(map[string]*memory.Connection)}
	r.team = &site.Team{Name: "studio", Prepaid: prepaid, HasPrepaid: true}
	for i := range n {
		name := fmt.Sprintf("router-%d", i)
		r.logs[name] = &memory.Connection{KeyedLog: r.log}
		r.holders[name] = NewHolder(r.logs[name], Settings{
			Holder: name + "/1", Instance: name, Lenders: &peerClient{routers: r, from: name}, Partitions: 2,
			Now: func() ClockReading {
				return ClockReading{Uptime: time.Hour + time.Since(time.Unix(0, 0)), Wall: time.Now()}
			},
			Logger: &log.Logger{Handler: discard.New()},
		})
		r.configure(name, 1)
	}
	return r
}

// start runs the loops of all holders until the context ends.
func (r *testRouters) start(ctx context.Context) {
	for name := range r.holders {
		r.run(ctx, name)
	}
}

// free returns the tokens that a router can use for new requests.
func (r *testRouters) free(name string) int64 {
	h := r.holders[name]
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holdingLocked(r.team.Name).free(h.uptime())
}

func (r *testRouters) configure(name string, version int64) {
	c := &site.Configuration{Version: version, Teams: []site.Team{*r.team}}
	c.Index()
	r.holders[name].Configure(c)
}

func (r *testRouters) run(ctx context.Context, name string) {
	h := r.holder(name)
	go func() { _ = h.Run(ctx) }()
}

func (r *testRouters) account(t *testing.T) Account {
	t.Helper()
	state, err := r.log.Newest(t.Context(), Topic, r.holders["router-0"].partitionOf(r.team.Name).number)
	assert.Must(t, err)
	for _, record := range state.Records {
		if record.Key == r.team.Name {
			a, err := DecodeAccount(record.Value)
			assert.Must(t, err)
			return a
		}
	}
	return Account{}
}

// assertReserves fails the test if the router cannot pay for a request.
func (r *testRouters) assertReserves(name string, maxTokens int64) *Reservation {
	r.t.Helper()
	reservation, err := r.holders[name].Reserve(r.t.Context(), "id", r.team, maxTokens)
	if err != nil {
		h := r.holders[name]
		h.mu.Lock()
		teamHolding := *h.holdingLocked(r.team.Name)
		h.mu.Unlock()
		r.t.Fatalf("%s: reserve %d tokens: %v: %+v", name, maxTokens, err, teamHolding)
	}
	return reservation
}

func (r *testRouters) assertRefuses(name string, maxTokens int64, want error) {
	r.t.Helper()
	_, err := r.holders[name].Reserve(r.t.Context(), "id", r.team, maxTokens)
	assert.ErrorIs(r.t, err, want)
}

// runRouters runs a test body with started routers on the fake clock of synctest.
func runRouters(t *testing.T, prepaid int64, n int, body func(r *testRouters)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newRouters(ctx, t, prepaid, n)
		time.Sleep(3 * time.Second)
		body(r)
		cancel()
		synctest.Wait()
	})
}

func TestReserve(t *testing.T) {
	t.Run("draws tokens missing for a request", func(t *testing.T) {
		runRouters(t, 10_000, 3, func(r *testRouters) {
			r.assertReserves("router-0", 9_000).Settle(100)
			r.assertReserves("router-1", 9_000).Settle(100)
		})
	})
	t.Run("reports an exhausted budget", func(t *testing.T) {
		runRouters(t, 10_000, 2, func(r *testRouters) {
			r.assertReserves("router-0", 9_000).Settle(9_000)
			time.Sleep(3 * time.Second)
			r.assertRefuses("router-1", 1_001, ErrExhausted)
			r.assertRefuses("router-1", 1_000, ErrHeldElsewhere)
			time.Sleep(r.holders["router-1"].RetryAfter())
			r.assertReserves("router-1", 1_000).Settle(1_000)
		})
	})
	t.Run("reports tokens held by other routers", func(t *testing.T) {
		runRouters(t, 10_000, 2, func(r *testRouters) {
			open := r.assertReserves("router-0", 9_000)
			r.assertRefuses("router-1", 1_500, ErrHeldElsewhere)
			open.Settle(0)
			time.Sleep(3 * time.Second)
			r.assertReserves("router-1", 9_000)
		})
	})
	t.Run("reserves nothing for teams without a budget", func(t *testing.T) {
		runRouters(t, 0, 1, func(r *testRouters) {
			reservation, err := r.holders["router-0"].Reserve(r.t.Context(), "id", &site.Team{Name: "guest"}, 1_000)
			assert.NoError(r.t, err)
			reservation.Settle(5)
		})
	})
	t.Run("applies a raised total", func(t *testing.T) {
		runRouters(t, 1_000, 2, func(r *testRouters) {
			r.assertReserves("router-0", 1_000).Settle(1_000)
			r.assertRefuses("router-0", 1, ErrExhausted)
			r.team.Prepaid = 3_000
			r.configure("router-0", 2)
			r.assertReserves("router-0", 2_000)
		})
	})
}

func TestOutage(t *testing.T) {
	t.Run("routers pay from their shares", func(t *testing.T) {
		runRouters(t, 100_000, 2, func(r *testRouters) {
			for range 10 {
				r.assertReserves("router-0", 100).Settle(100)
				time.Sleep(300 * time.Millisecond)
			}
			r.log.SetOutage(true)
			for range 40 {
				r.assertReserves("router-0", 100).Settle(100)
				time.Sleep(250 * time.Millisecond)
			}
		})
	})
	t.Run("routers use tokens held by others", func(t *testing.T) {
		runRouters(t, 100_000, 2, func(r *testRouters) {
			r.assertReserves("router-1", 20_000).Settle(100)
			r.assertReserves("router-0", 1_000).Settle(1_000)
			time.Sleep(time.Second)
			r.log.SetOutage(true)
			time.Sleep(2 * boundLifetime)
			r.assertReserves("router-0", r.free("router-0")+r.free("router-1")/2)
		})
	})
	t.Run("a cut-off router lets another router draw", func(t *testing.T) {
		runRouters(t, 100_000, 2, func(r *testRouters) {
			r.logs["router-0"].Cut.Store(true)
			time.Sleep(3 * time.Second)
			for range 3 {
				if _, err := r.holders["router-0"].Reserve(r.t.Context(), "id", r.team, 60_000); err == nil {
					return
				}
			}
			r.t.Error("all three requests were refused")
		})
	})
	t.Run("cut-off routers borrow from connected ones", func(t *testing.T) {
		runRouters(t, 100_000, 4, func(r *testRouters) {
			// The router with the largest known balance is cut off as well.
			r.assertReserves("router-1", 1_000).Settle(1_000)
			time.Sleep(3 * time.Second)
			r.logs["router-0"].Cut.Store(true)
			r.logs["router-1"].Cut.Store(true)
			time.Sleep(3 * time.Second)
			var spent int64
			for spent < 80_000 {
				r.assertReserves("router-0", 2_000).Settle(2_000)
				spent += 2_000
				time.Sleep(100 * time.Millisecond)
			}
		})
	})
	t.Run("isolated routers refuse requests with the outage delay", func(t *testing.T) {
		runRouters(t, 100_000, 2, func(r *testRouters) {
			r.log.SetOutage(true)
			r.partitioned.Store(true)
			r.assertRefuses("router-0", 60_000, ErrHeldElsewhere)
			assert.Equal(r.t, recallDelay, r.holders["router-0"].RetryAfter())
			time.Sleep(10 * time.Second)
			assert.Equal(r.t, outageDelay, r.holders["router-0"].RetryAfter())
		})
	})
}

// TestRefusedComeAgain guards against drawing only for the latest refused request: a router must draw for all refused
// requests that callers are expected to retry, up to a limit.
func TestRefusedComeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder(&memory.KeyedLog{}, Settings{Holder: "router/1", Logger: &log.Logger{Handler: discard.New()}})
		c := &site.Configuration{Version: 1, Teams: []site.Team{{Name: "studio", Prepaid: 1_000_000, HasPrepaid: true}}}
		c.Index()
		h.Configure(c)
		teamHolding := h.holdingLocked("studio")
		demand := func() int64 { return h.positionLocked(teamHolding, &c.Teams[0], false).Demand }
		refuse := func(n int) {
			for range n {
				w, err := h.reserve("studio", 1_000)
				assert.Must(t, err)
				assert.Equal(t, true, h.cancelWait("studio", w))
				assert.ErrorIs(t, h.refuse("studio", 1_000), ErrHeldElsewhere)
			}
		}
		for range 10 * meanWindow {
			h.updateMeanRequest(1_000)
		}
		refuse(5)
		assert.Equal(t, int64(5_000), demand())
		refuse(2 * maxRetryRequests)
		assert.Equal(t, int64(maxRetryRequests*h.meanRequest), demand())
		time.Sleep(3 * recallDelay)
		assert.Equal(t, int64(0), demand())
	})
}

func TestReturn(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage bool
	}{{"to the account", false}, {"to another router in an outage", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				r := newRouters(ctx, t, 10_000, 2)
				time.Sleep(3 * time.Second)
				r.assertReserves("router-0", 1_000).Settle(400)
				time.Sleep(3 * time.Second)
				cancel()
				synctest.Wait()
				freeBefore, otherFreeBefore := r.free("router-0"), r.free("router-1")
				transferred := func() int64 { return r.holders["router-0"].holdingLocked("studio").transferred }
				r.log.SetOutage(c.outage)
				err := r.holders["router-0"].ReturnShares(t.Context())
				assert.Equal(t, c.outage, err != nil)
				assert.Equal(t, true, freeBefore > 0)
				assert.Equal(t, true, r.free("router-0") <= 0)
				if c.outage {
					assert.Equal(t, otherFreeBefore+transferred(), r.free("router-1"))
					assert.Equal(t, true, transferred() >= freeBefore)
					return
				}
				a := r.account(t)
				assert.Equal(t, int64(400), a.Settled)
				assert.Equal(t, 1, len(a.Shares))
			})
		})
	}
}

// TestReturnWithLostAnswer guards against tokens that are in the account and at another router after a stop: a router that has
// received more tokens than it used must not transfer what it returned by a write of which the answer was lost.
func TestReturnWithLostAnswer(t *testing.T) {
	const prepaid, received = 10_000, 2_000
	for _, c := range []struct {
		name       string
		isReturned bool
		transfers  func(r *testRouters)
	}{
		{"at the end", false, func(r *testRouters) { r.holders["router-0"].transferUnreturned(r.t.Context()) }},
		{"on request", false, func(r *testRouters) {
			tokens := r.holders["router-0"].TransferOut("router-1", "studio", received, true)
			r.holders["router-1"].AcceptTransfer("router-0", "studio", tokens)
		}},
		{"at the end, although the write was answered", true, func(r *testRouters) { r.holders["router-0"].transferUnreturned(r.t.Context()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newStoppedRouters(t, prepaid, 2)
				leaving, other := r.holders["router-0"], r.holders["router-1"]
				partition := leaving.partitionOf("studio")
				assert.Must(t, partition.update(t.Context(), false))
				assert.Must(t, other.partitionOf("studio").update(t.Context(), false))
				tokens := other.TransferOut("router-0", "studio", received, false)
				assert.Equal(t, true, tokens > 0)
				assert.Equal(t, true, leaving.AcceptTransfer("router-1", "studio", tokens))
				leaving.PrepareShutdown()
				if !c.isReturned {
					r.log.LoseResponses(1, 1)
				}
				assert.Equal(t, c.isReturned, partition.update(t.Context(), true) == nil)
				r.log.LoseResponses(0, 1)
				c.transfers(r)
				a := r.account(t)
				assert.Equal(t, 1, len(a.Shares))
				inHand := a.Available()
				for _, name := range []string{"router-0", "router-1"} {
					inHand += max(0, r.holders[name].holdingLocked("studio").unused())
				}
				assert.Equal(t, int64(prepaid), inHand)
			})
		})
	}
}

// TestPledgesOfUnknownWrites guards against overspending after a write with an unknown outcome: the router must keep
// every spending bound that may be stored in the account.
func TestPledgesOfUnknownWrites(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want int
	}{
		{"lost", platform.ErrUnavailable, 2},
		{"refused", platform.ErrRefused, 1},
		{"conflict", platform.ErrConflict, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			failing := &failingLog{KeyedLog: &memory.KeyedLog{}}
			uptime := time.Hour
			h := NewHolder(failing, Settings{
				Holder: "router/1", Instance: "router", Logger: &log.Logger{Handler: discard.New()},
				Now: func() ClockReading { return ClockReading{Uptime: uptime} },
			})
			configuration := &site.Configuration{Version: 1, Teams: []site.Team{{Name: "studio", Prepaid: 1_000, HasPrepaid: true}}}
			configuration.Index()
			h.Configure(configuration)
			assert.NoError(t, h.partitions[0].update(t.Context(), false))
			uptime += 2 * idleRenewalAge
			failing.err = c.err
			assert.ErrorIs(t, h.partitions[0].update(t.Context(), false), c.err)
			assert.Equal(t, c.want, len(h.holdingLocked("studio").spendingBounds))
		})
	}
}

// failingLog fails appends with the given error.
type failingLog struct {
	*memory.KeyedLog
	err error
}

func (l *failingLog) AppendAt(ctx context.Context, topic string, partition int, at int64, records []platform.KeyedRecord) (int64, error) {
	if l.err != nil {
		return 0, l.err
	}
	return l.KeyedLog.AppendAt(ctx, topic, partition, at, records)
}
