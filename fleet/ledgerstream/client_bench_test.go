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

// benchmarkBudgets is the number of budgets of which the client holds a reserve share.
const benchmarkBudgets = 100_000

// settledClient returns a client whose loops don't run, with budgets whose reserve shares it holds.
func settledClient(b *testing.B) *Client {
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

// flush appends what the client has queued and reads it back.
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

// BenchmarkTick measures a look at what is due by time.
func BenchmarkTick(b *testing.B) {
	c := settledClient(b)
	for b.Loop() {
		c.tick(time.Now())
	}
}

// BenchmarkLockDuringSnapshots measures how long requests wait for the client's lock while it writes snapshots.
func BenchmarkLockDuringSnapshots(b *testing.B) {
	c := settledClient(b)
	ctx, cancel := context.WithCancel(context.Background())
	writing, longest := sync.WaitGroup{}, time.Duration(0)
	writing.Go(func() {
		for ctx.Err() == nil {
			c.writeSnapshot(ctx)
		}
	})
	for b.Loop() {
		begun := time.Now()
		c.Ready()
		longest = max(longest, time.Since(begun))
	}
	cancel()
	writing.Wait()
	b.ReportMetric(float64(longest.Microseconds()), "µs-longest")
}
