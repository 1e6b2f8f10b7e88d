package ledgerstream

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// benchmarkBudgets is the number of budgets in which the client holds a reserve share.
const benchmarkBudgets = 100_000

// newIdleClient returns a client that holds the reserve shares of benchmarkBudgets budgets. Its loops do not run.
func newIdleClient(b *testing.B) *Client {
	b.Helper()
	log := &memory.Log{}
	c := NewClient(log, Settings{Instance: "router", Lease: time.Hour, FleetAppendsPerSecond: 1e6}, metrics.NewRegistry())
	c.apply(nil, time.Now(), 1)
	flush(b, c, log)
	for n := range benchmarkBudgets {
		name := fmt.Sprintf("budget-%d", n)
		c.enqueue(&ledger.Prepaid{Budget: name, Ticket: uint64(n + 1), Total: 1000, Reserve: ledger.ReservePolicy{Share: 10}})
		c.enqueue(&ledger.Draw{Budget: name, Kind: ledger.Reserve, Wanted: 10, Minimum: 10})
	}
	flush(b, c, log)
	for range benchmarkBudgets / DefaultReserveChecksPerTick {
		c.tick(time.Now())
	}
	return c
}

// flush appends the queued records of the client and folds them into its state.
func flush(b *testing.B, c *Client, log *memory.Log) {
	b.Helper()
	for {
		g := c.sealGroup(time.Now(), c.current)
		if g == nil {
			return
		}
		g.firstSentAt = time.Now()
		offset, err := log.Append(context.Background(), c.stream, g.payload)
		assert.Must(b, err)
		c.apply([]platform.Entry{{Offset: offset, Payload: g.payload}}, time.Now(), 1)
	}
}

// BenchmarkTick measures the periodic work of a client with many idle budgets.
func BenchmarkTick(b *testing.B) {
	c := newIdleClient(b)
	for b.Loop() {
		c.tick(time.Now())
	}
}

// BenchmarkLockDuringSnapshots measures the longest wait for the client's lock while the client writes snapshots.
func BenchmarkLockDuringSnapshots(b *testing.B) {
	c := newIdleClient(b)
	ctx, cancel := context.WithCancel(context.Background())
	writing, longest := sync.WaitGroup{}, time.Duration(0)
	writing.Go(func() {
		for ctx.Err() == nil {
			c.writeSnapshot(ctx)
		}
	})
	for b.Loop() {
		startedAt := time.Now()
		c.Ready()
		longest = max(longest, time.Since(startedAt))
	}
	cancel()
	writing.Wait()
	b.ReportMetric(float64(longest.Microseconds()), "µs-longest")
}
