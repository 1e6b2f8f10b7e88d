package allowance

import (
	"context"
	"errors"
	"fmt"
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

// routers are holders that can ask each other.
type routers struct {
	t       *testing.T
	log     *memory.KeyedLog
	team    *site.Team
	holders map[string]*Holder
	logs    map[string]*memory.Way
	apart   atomic.Bool
	// lending are the routers that hold shares of the team, in the order in which the others ask them; if there are none,
	// every router holds a share.
	lending []string
	// dead is a router that the others can't reach.
	dead atomic.Pointer[string]
	// loans counts those that were asked for.
	loans atomic.Int64
	// lost says that the next loan gets lost on its way.
	lost atomic.Bool
}

func (r *routers) unreachable(instance string) bool {
	dead := r.dead.Load()
	return r.apart.Load() || dead != nil && *dead == instance
}

var errApart = errors.New("routers are parted")

// caller is a router's way to the others.
type caller struct {
	routers *routers
	from    string
}

func (c *caller) Ask(_ context.Context, instance, team string, wanted int64, cutOff bool) (int64, error) {
	if c.routers.apart.Load() {
		return 0, errApart
	}
	return c.routers.holders[instance].Give(c.from, team, wanted, cutOff), nil
}

func (c *caller) Holders(string) []string {
	for i, name := range c.routers.lending {
		if name == c.from {
			return c.routers.lending[:i]
		}
	}
	return c.routers.lending
}

func (c *caller) Others(string) []string {
	var others []string
	for i := range len(c.routers.holders) {
		if name := fmt.Sprintf("router-%d", i); name != c.from {
			others = append(others, name)
		}
	}
	return others
}

func (c *caller) Borrow(ctx context.Context, instance string, r peer.LoanRequest) (peer.Loan, error) {
	if c.routers.unreachable(instance) {
		return peer.Loan{}, errApart
	}
	c.routers.loans.Add(1)
	loan, err := c.routers.holders[instance].Lend(ctx, c.from, r)
	if c.routers.lost.CompareAndSwap(true, false) {
		return peer.Loan{}, errApart
	}
	return loan, err
}

func (c *caller) Void(_ context.Context, instance, team string, identifier uint64) error {
	if c.routers.unreachable(instance) || !c.routers.holders[instance].Void(c.from, team, identifier) {
		return errApart
	}
	return nil
}

func (c *caller) Repay(_ context.Context, instance, team string, tokens int64) error {
	if c.routers.unreachable(instance) || !c.routers.holders[instance].Repay(c.from, team, tokens) {
		return errApart
	}
	return nil
}

func (c *caller) Hand(_ context.Context, instance, team string, tokens int64) error {
	if c.routers.apart.Load() || !c.routers.holders[instance].Take(c.from, team, tokens) {
		return errApart
	}
	return nil
}

// newRouters starts holders whose loops run until the test's context ends.
func newRouters(ctx context.Context, t *testing.T, prepaid int64, n int) *routers {
	t.Helper()
	r := makeRouters(t, prepaid, n)
	r.start(ctx)
	return r
}

// makeRouters returns holders whose loops do not run yet.
func makeRouters(t *testing.T, prepaid int64, n int) *routers {
	t.Helper()
	r := &routers{t: t, log: &memory.KeyedLog{}, holders: make(map[string]*Holder), logs: make(map[string]*memory.Way)}
	r.team = &site.Team{Name: "studio", Prepaid: prepaid, HasPrepaid: true}
	for i := range n {
		name := fmt.Sprintf("router-%d", i)
		r.logs[name] = &memory.Way{KeyedLog: r.log}
		r.holders[name] = NewHolder(r.logs[name], Settings{
			Holder: name + "/1", Instance: name, Lenders: &caller{routers: r, from: name}, Partitions: 2,
			Now:    func() Moment { return Moment{Uptime: time.Hour + time.Since(time.Unix(0, 0)), Wall: time.Now()} },
			Logger: &log.Logger{Handler: discard.New()},
		})
		r.configure(name, 1)
	}
	return r
}

// start runs the holders' loops until the context ends.
func (r *routers) start(ctx context.Context) {
	for name := range r.holders {
		r.run(ctx, name)
	}
}

// free returns what a router may use for new requests.
func (r *routers) free(name string) int64 {
	h := r.holders[name]
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holdingLocked(r.team.Name).free(h.uptime())
}

func (r *routers) configure(name string, version int64) {
	c := &site.Configuration{Version: version, Teams: []site.Team{*r.team}}
	c.Index()
	r.holders[name].Configure(c)
}

func (r *routers) run(ctx context.Context, name string) {
	go func() { _ = r.holders[name].Run(ctx) }()
}

func (r *routers) account(t *testing.T) Account {
	t.Helper()
	state, err := r.log.Newest(t.Context(), Topic, r.holders["router-0"].bookOf(r.team.Name).partition)
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

// assertReserves fails the test unless the router can pay for a request.
func (r *routers) assertReserves(name string, most int64) *Reservation {
	r.t.Helper()
	reservation, err := r.holders[name].Reserve(r.t.Context(), "id", r.team, most)
	if err != nil {
		h := r.holders[name]
		h.mu.Lock()
		held := *h.holdingLocked(r.team.Name)
		h.mu.Unlock()
		r.t.Fatalf("%s: reserving %d: %v: %+v", name, most, err, held)
	}
	return reservation
}

func (r *routers) assertRefuses(name string, most int64, want error) {
	r.t.Helper()
	_, err := r.holders[name].Reserve(r.t.Context(), "id", r.team, most)
	assert.ErrorIs(r.t, err, want)
}

// play runs a test on paused time.
func play(t *testing.T, prepaid int64, n int, body func(r *routers)) {
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
	t.Run("draws what a request lacks", func(t *testing.T) {
		play(t, 10_000, 3, func(r *routers) {
			r.assertReserves("router-0", 9_000).Settle(100)
			r.assertReserves("router-1", 9_000).Settle(100)
		})
	})
	t.Run("says that nothing is left", func(t *testing.T) {
		play(t, 10_000, 2, func(r *routers) {
			r.assertReserves("router-0", 9_000).Settle(9_000)
			time.Sleep(3 * time.Second)
			r.assertRefuses("router-1", 1_001, ErrSpent)
			r.assertRefuses("router-1", 1_000, ErrElsewhere)
			time.Sleep(r.holders["router-1"].ReturnAfter())
			r.assertReserves("router-1", 1_000).Settle(1_000)
		})
	})
	t.Run("says that others hold what is left", func(t *testing.T) {
		play(t, 10_000, 2, func(r *routers) {
			open := r.assertReserves("router-0", 9_000)
			r.assertRefuses("router-1", 1_500, ErrElsewhere)
			open.Settle(0)
			time.Sleep(3 * time.Second)
			r.assertReserves("router-1", 9_000)
		})
	})
	t.Run("pays nothing for teams without a total", func(t *testing.T) {
		play(t, 0, 1, func(r *routers) {
			reservation, err := r.holders["router-0"].Reserve(r.t.Context(), "id", &site.Team{Name: "guest"}, 1_000)
			assert.NoError(r.t, err)
			reservation.Settle(5)
		})
	})
	t.Run("takes a top-up in", func(t *testing.T) {
		play(t, 1_000, 2, func(r *routers) {
			r.assertReserves("router-0", 1_000).Settle(1_000)
			r.assertRefuses("router-0", 1, ErrSpent)
			r.team.Prepaid = 3_000
			r.configure("router-0", 2)
			r.assertReserves("router-0", 2_000)
		})
	})
}

func TestOutage(t *testing.T) {
	t.Run("routers pay from their shares", func(t *testing.T) {
		play(t, 100_000, 2, func(r *routers) {
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
	t.Run("routers use what others hold", func(t *testing.T) {
		play(t, 100_000, 2, func(r *routers) {
			r.assertReserves("router-1", 20_000).Settle(100)
			r.assertReserves("router-0", 1_000).Settle(1_000)
			time.Sleep(time.Second)
			r.log.SetOutage(true)
			time.Sleep(2 * pledgeSilence)
			r.assertReserves("router-0", r.free("router-0")+r.free("router-1")/2)
		})
	})
	t.Run("a router that is cut off lets another one draw", func(t *testing.T) {
		play(t, 100_000, 2, func(r *routers) {
			r.logs["router-0"].Cut.Store(true)
			time.Sleep(3 * time.Second)
			for range 3 {
				if _, err := r.holders["router-0"].Reserve(r.t.Context(), "id", r.team, 60_000); err == nil {
					return
				}
			}
			r.t.Error("three requests were refused")
		})
	})
	t.Run("routers that are cut off borrow from those that are not", func(t *testing.T) {
		play(t, 100_000, 4, func(r *routers) {
			// The one that seems to hold most is cut off too.
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
	t.Run("parted routers refuse and promise nothing", func(t *testing.T) {
		play(t, 100_000, 2, func(r *routers) {
			r.log.SetOutage(true)
			r.apart.Store(true)
			r.assertRefuses("router-0", 60_000, ErrElsewhere)
			assert.Equal(r.t, recallTime, r.holders["router-0"].ReturnAfter())
			time.Sleep(10 * time.Second)
			assert.Equal(r.t, outageTime, r.holders["router-0"].ReturnAfter())
		})
	})
}

// TestRefusedComeAgain checks that a router draws for all requests that were refused and come again, within a bound.
func TestRefusedComeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder(&memory.KeyedLog{}, Settings{Holder: "router/1", Logger: &log.Logger{Handler: discard.New()}})
		c := &site.Configuration{Version: 1, Teams: []site.Team{{Name: "studio", Prepaid: 1_000_000, HasPrepaid: true}}}
		c.Index()
		h.Configure(c)
		held := h.holdingLocked("studio")
		wanted := func() int64 { return h.positionLocked(held, &c.Teams[0], false).Wanted }
		refuse := func(n int) {
			for range n {
				w, err := h.reserve("studio", 1_000)
				assert.Must(t, err)
				assert.Equal(t, true, h.giveUp("studio", w))
				assert.ErrorIs(t, h.refuse("studio", 1_000), ErrElsewhere)
			}
		}
		for range 10 * meanRequests {
			h.noteMean(1_000)
		}
		refuse(5)
		assert.Equal(t, int64(5_000), wanted())
		refuse(2 * refusedRequests)
		assert.Equal(t, int64(refusedRequests*h.mean), wanted())
		time.Sleep(3 * recallTime)
		assert.Equal(t, int64(0), wanted())
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
				before, taken := r.free("router-0"), r.free("router-1")
				given := func() int64 { return r.holders["router-0"].holdingLocked("studio").given }
				r.log.SetOutage(c.outage)
				err := r.holders["router-0"].Return(t.Context())
				assert.Equal(t, c.outage, err != nil)
				assert.Equal(t, true, before > 0)
				assert.Equal(t, true, r.free("router-0") <= 0)
				if c.outage {
					assert.Equal(t, taken+given(), r.free("router-1"))
					assert.Equal(t, true, given() >= before)
					return
				}
				a := r.account(t)
				assert.Equal(t, int64(400), a.Settled)
				assert.Equal(t, 1, len(a.Shares))
			})
		})
	}
}

// TestPledgesOfUnknownWrites checks that a router keeps every pledge that may stand in the account.
func TestPledgesOfUnknownWrites(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want int
	}{
		{"lost", platform.ErrUnavailable, 2},
		{"refused", platform.ErrRefused, 1},
		{"conflict", platform.ErrMoved, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			failing := &failingLog{KeyedLog: &memory.KeyedLog{}}
			uptime := time.Hour
			h := NewHolder(failing, Settings{
				Holder: "router/1", Instance: "router", Logger: &log.Logger{Handler: discard.New()},
				Now: func() Moment { return Moment{Uptime: uptime} },
			})
			configuration := &site.Configuration{Version: 1, Teams: []site.Team{{Name: "studio", Prepaid: 1_000, HasPrepaid: true}}}
			configuration.Index()
			h.Configure(configuration)
			assert.NoError(t, h.books[0].update(t.Context(), false))
			uptime += 2 * pledgeAge
			failing.err = c.err
			assert.ErrorIs(t, h.books[0].update(t.Context(), false), c.err)
			assert.Equal(t, c.want, len(h.holdingLocked("studio").pledges))
		})
	}
}

// failingLog fails appends with an error.
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
