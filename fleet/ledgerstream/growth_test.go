package ledgerstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// TestAvoidedInstancesAreForgotten guards against unbounded growth of avoidedUntil when failed instances are
// replaced by instances with new names.
func TestAvoidedInstancesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(&memory.Log{}, Settings{Lease: time.Second}, metrics.NewRegistry())
		r := c.copySenders[0]
		for n := range 1000 {
			r.target = peer.Address{Instance: fmt.Sprintf("router-%d", n)}
			r.avoidTarget(time.Now())
			time.Sleep(time.Second)
		}
		if remembered := len(c.avoidedUntil); remembered > copiesPerGroup {
			t.Errorf("%d instances are kept in avoidedUntil after their exclusion has ended", remembered)
		}
	})
}

// TestIdleBudgetsCostNoTicks guards against periodic work, in every tick, for budgets in which a client holds a
// complete reserve share but that no request uses.
func TestIdleBudgetsCostNoTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budgets := make([]ledger.Prepaid, 200)
		for n := range budgets {
			budgets[n] = ledger.Prepaid{Budget: fmt.Sprintf("budget-%d", n), Ticket: 1, Total: 1000, Reserve: ledger.ReservePolicy{Share: 10}}
		}
		c := newCluster(t, 1, Settings{}, budgets...)
		defer c.stop()
		time.Sleep(time.Duration(len(budgets)/DefaultReserveDrawsPerTick+1)*DefaultTickInterval + DefaultIdleTerm)
		m, completeShares := c.members[0], 0
		m.View(func(s *ledger.State) {
			for _, b := range s.Budgets() {
				completeShares += countIf(b.Shared == 10)
			}
			assertEqual(t, "accounts", 0, len(m.accounts))
			assertEqual(t, "budgets in the reserve queue", 0, len(m.reserveQueue))
		})
		assertEqual(t, "reserve shares held", len(budgets), completeShares)
	})
}
