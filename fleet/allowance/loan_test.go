package allowance

import (
	"context"
	"fmt"
	"sync"
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

// largeFleet is the size of a large fleet: if each router held a share of a small total, no share would cover a
// request.
const largeFleet = 40

// runRoutersWithLoans runs a test body with started routers of which only the first ones hold shares.
func runRoutersWithLoans(t *testing.T, prepaid int64, n, shareHolders int, body func(r *testRouters)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newStoppedRouters(t, prepaid, n)
		for i := range shareHolders {
			r.shareHolders = append(r.shareHolders, fmt.Sprintf("router-%d", i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		r.start(ctx)
		time.Sleep(3 * time.Second)
		body(r)
		cancel()
		synctest.Wait()
	})
}

func TestLoans(t *testing.T) {
	t.Run("a small total serves all routers of a large fleet concurrently", func(t *testing.T) {
		runRoutersWithLoans(t, 100_000, largeFleet, 1, func(r *testRouters) {
			var group sync.WaitGroup
			for i := range largeFleet {
				group.Go(func() {
					reservation, err := r.holders[fmt.Sprintf("router-%d", i)].Reserve(r.t.Context(), "id", r.team, 2_400)
					assert.NoError(r.t, err)
					reservation.Settle(2_400)
				})
			}
			group.Wait()
			time.Sleep(5 * time.Second)
			a := r.account(r.t)
			assert.Equal(r.t, int64(largeFleet*2_400), a.Reported())
			assert.Equal(r.t, 1, len(a.Shares))
		})
	})
	t.Run("unused tokens of a loan are repaid", func(t *testing.T) {
		runRoutersWithLoans(t, 10_000, 3, 1, func(r *testRouters) {
			r.assertReserves("router-1", 9_000).Settle(1_000)
			time.Sleep(repayInterval + repayIdleTime + 2*time.Second)
			r.assertReserves("router-2", 9_000).Settle(9_000)
			time.Sleep(5 * time.Second)
			assert.Equal(r.t, int64(10_000), reported(r))
			r.assertRefuses("router-1", 1, ErrExhausted)
		})
	})
	t.Run("a lender reports an exhausted budget", func(t *testing.T) {
		runRoutersWithLoans(t, 10_000, 2, 1, func(r *testRouters) {
			r.assertReserves("router-1", 10_000).Settle(10_000)
			r.assertRefuses("router-1", 1, ErrExhausted)
		})
	})
	t.Run("the second lender lends if the first is unresponsive", func(t *testing.T) {
		runRoutersWithLoans(t, 10_000, 3, 2, func(r *testRouters) {
			r.unreachableRouter.Store(&r.shareHolders[0])
			r.assertReserves("router-2", 4_000).Settle(4_000)
		})
	})
	t.Run("a router without a responsive lender draws itself and returns unused tokens", func(t *testing.T) {
		runRoutersWithLoans(t, 10_000, 2, 1, func(r *testRouters) {
			r.unreachableRouter.Store(&r.shareHolders[0])
			r.assertReserves("router-1", 4_000).Settle(1_000)
			r.unreachableRouter.Store(nil)
			time.Sleep(directDrawTime + lenderBackoff + 3*time.Second)
			r.assertReserves("router-1", 9_000).Settle(9_000)
			time.Sleep(5 * time.Second)
			assert.Equal(r.t, int64(10_000), reported(r))
		})
	})
	t.Run("a lost loan is voided", func(t *testing.T) {
		runRoutersWithLoans(t, 10_000, 2, 1, func(r *testRouters) {
			// The request must be refused between two runs of the void loop.
			time.Sleep(repayInterval / 4)
			r.loseNextLoan.Store(true)
			r.assertRefuses("router-1", 9_000, ErrHeldElsewhere)
			time.Sleep(directDrawTime + lenderBackoff + 2*time.Second)
			r.assertReserves("router-1", 10_000).Settle(10_000)
		})
	})
	t.Run("a loan voided before its request is not granted", func(t *testing.T) {
		runRoutersWithLoans(t, 10_000, 2, 1, func(r *testRouters) {
			lender := r.holders["router-0"]
			assert.Equal(r.t, true, lender.Void("router-1", "studio", 7))
			loan, err := lender.Lend(r.t.Context(), "router-1", peer.LoanRequest{Team: "studio", Minimum: 5, Maximum: 5, Identifier: 7})
			assert.NoError(r.t, err)
			assert.Equal(r.t, int64(0), loan.Tokens)
		})
	})
	t.Run("lenders lend during an outage", func(t *testing.T) {
		runRoutersWithLoans(t, 100_000, 3, 1, func(r *testRouters) {
			for range 10 {
				r.assertReserves("router-1", 300).Settle(300)
				time.Sleep(300 * time.Millisecond)
			}
			r.log.SetOutage(true)
			for range 20 {
				r.assertReserves("router-2", 300).Settle(300)
				time.Sleep(300 * time.Millisecond)
			}
		})
	})
	t.Run("a request waits for the lender's spending bound in an outage", func(t *testing.T) {
		runRoutersWithLoans(t, 1_000_000, 3, 1, func(r *testRouters) {
			r.log.SetOutage(true)
			time.Sleep(2 * watchInterval)
			r.assertReserves("router-2", 4_000).Settle(4_000)
			r.assertReserves("router-1", 1_000).Settle(1_000)
			r.assertRefuses("router-1", 50_000, ErrHeldElsewhere)
		})
	})
	t.Run("a leaving router lends until it returns its shares", func(t *testing.T) {
		runRoutersWithLoans(t, 10_000, 3, 2, func(r *testRouters) {
			r.assertReserves("router-2", 9_000).Settle(1_000)
			r.holders["router-2"].PrepareShutdown()
			assert.Must(r.t, r.holders["router-2"].ReturnShares(r.t.Context()))
			lender := r.holders["router-0"]
			lender.PrepareShutdown()
			r.assertReserves("router-1", 8_000).Settle(8_000)
			assert.Must(r.t, lender.ReturnShares(r.t.Context()))
			_, err := lender.Lend(r.t.Context(), "router-1", peer.LoanRequest{Team: "studio", Minimum: 1, Maximum: 1})
			assert.ErrorIs(r.t, err, errClosed)
			assert.Equal(r.t, false, lender.Repay("router-1", "studio", 1))
		})
	})
}

// reported returns the use in tokens that the account reports.
func reported(r *testRouters) int64 {
	a := r.account(r.t)
	return a.Reported()
}

// TestBorrowAhead guards against a loan for each request of a busy team, and against loans in advance that leave other
// routers without tokens.
func TestBorrowAhead(t *testing.T) {
	runRoutersWithLoans(t, 1_000_000, 2, 1, func(r *testRouters) {
		for range 200 {
			r.assertReserves("router-1", 100).Settle(100)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(r.t, true, r.loanRequests.Load() < 50)
		r.assertReserves("router-0", r.free("router-0")).Settle(0)
		time.Sleep(repayInterval + repayIdleTime + 5*time.Second)
		assert.Equal(r.t, int64(20_000), reported(r))
	})
}

// TestReturnAfterConflict guards against a surplus share that stays in the account: a router that no longer needs its
// share must retry the return after a write conflict.
func TestReturnAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failing := &failingLog{KeyedLog: &memory.KeyedLog{}}
		uptime := time.Hour
		h := NewHolder(failing, Settings{
			Holder: "router/1", Instance: "router", Logger: &log.Logger{Handler: discard.New()},
			Now: func() ClockReading { return ClockReading{Uptime: uptime} },
		})
		configuration := &site.Configuration{Version: 1, Teams: []site.Team{{Name: "studio", Prepaid: 1_000, HasPrepaid: true}}}
		configuration.Index()
		h.Configure(configuration)
		assert.Must(t, h.partitions[0].update(t.Context(), false))
		assert.Equal(t, true, h.holdingLocked("studio").account.Shares["router/1"].Granted > 0)
		// From here on another router holds the team's shares.
		h.settings.Lenders = &stubLenders{}
		failing.err = platform.ErrConflict
		assert.ErrorIs(t, h.partitions[0].update(t.Context(), false), platform.ErrConflict)
		failing.err = nil
		time.Sleep(2 * DefaultInterval)
		assert.Equal(t, true, h.partitions[0].needsUpdate())
		assert.Must(t, h.partitions[0].update(t.Context(), false))
		assert.Equal(t, int64(0), h.holdingLocked("studio").account.Shares["router/1"].Granted)
		time.Sleep(2 * DefaultInterval)
		assert.Equal(t, false, h.partitions[0].needsUpdate())
	})
}

// TestLoansAreForgotten guards against unbounded growth of a lender's loan records: they must expire.
func TestLoansAreForgotten(t *testing.T) {
	runRoutersWithLoans(t, 1_000_000, 2, 1, func(r *testRouters) {
		for range 20 {
			r.assertReserves("router-1", 1_000).Settle(1_000)
			time.Sleep(100 * time.Millisecond)
		}
		lender := r.holders["router-0"]
		recordCount := func() int {
			lender.mu.Lock()
			defer lender.mu.Unlock()
			return len(lender.loanRecords)
		}
		assert.Equal(r.t, true, recordCount() > 0)
		time.Sleep(loanRecordLifetime + 2*repayInterval)
		assert.Equal(r.t, 0, recordCount())
	})
}

// TestOnlyHoldersNeedTheTimeOfDay guards against comparisons of clocks by each router of a large fleet.
func TestOnlyHoldersNeedTheTimeOfDay(t *testing.T) {
	runRoutersWithLoans(t, 100_000, largeFleet, 1, func(r *testRouters) {
		for name, h := range r.holders {
			assert.Equal(r.t, name == "router-0", h.NeedsTimeOfDay())
		}
	})
}
