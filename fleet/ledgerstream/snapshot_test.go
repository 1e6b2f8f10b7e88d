package ledgerstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// retainedEntries is the number of entries per stream that the log of these tests keeps.
const retainedEntries = 40

// startClient starts a client on a log and stops it at the end of the test.
func startClient(t *testing.T, log platform.Log, instance string, s Settings) *Client {
	t.Helper()
	s.Instance = instance
	c := NewClient(log, s, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return c
}

// newRetainingLog returns a log that keeps the newest retainedEntries entries of each stream.
func newRetainingLog() *memory.Log {
	log := &memory.Log{}
	log.SetRetention(memory.Retention{Entries: retainedEntries})
	return log
}

// spend reserves and bills an amount in tokens.
func spend(t *testing.T, c *Client, key string, amount ledger.Tokens) {
	t.Helper()
	r, err := c.Reserve(context.Background(), Demand{
		Budget: testBudget, Request: ledger.NewRequestIdentifier("team", key), Amount: amount, Idempotent: true,
	})
	if err != nil {
		t.Fatalf("reserving for %s: %v", key, err)
	}
	r.Bill(amount)
}

func spent(c *Client) ledger.Tokens {
	var view ledger.BudgetView
	c.View(func(s *ledger.State) { view, _ = s.Budget(testBudget) })
	return view.Spent
}

// TestSnapshots guards against wrong balances and routers that cannot continue after the log has dropped old
// entries.
func TestSnapshots(t *testing.T) {
	t.Run("a new router starts after the log has dropped the beginning of the stream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := newRetainingLog()
			first := startClient(t, log, "first", Settings{SnapshotInterval: 20 * time.Second})
			time.Sleep(time.Second)
			first.DeclarePrepaid([]ledger.Prepaid{{Budget: testBudget, Ticket: 1, Total: 1000}})
			time.Sleep(time.Second)
			spend(t, first, "a", 300)
			time.Sleep(10 * time.Minute)
			_, err := log.Read(context.Background(), platform.LedgerStream(0), 0, 1)
			assertEqual(t, "the log dropped the beginning", true, err != nil)

			second := startClient(t, log, "second", Settings{})
			time.Sleep(time.Second)
			assertEqual(t, "second is ready", true, second.Ready())
			assertEqual(t, "spent as second sees it", ledger.Tokens(300), spent(second))
			spend(t, second, "b", 700)
			time.Sleep(time.Second)
			assertEqual(t, "spent as first sees it", 1000, spent(first))
		})
	})
	t.Run("a router that starts from a snapshot draws its reserve shares", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := newRetainingLog()
			first := startClient(t, log, "first", Settings{SnapshotInterval: 20 * time.Second})
			reserve := ledger.ReservePolicy{Share: 10}
			first.DeclarePrepaid([]ledger.Prepaid{{Budget: testBudget, Ticket: 1, Total: 1000, Reserve: reserve}})
			time.Sleep(10 * time.Minute)
			second := startClient(t, log, "second", Settings{})
			time.Sleep(10 * time.Second)
			second.View(func(s *ledger.State) {
				assertEqual(t, "reserve share", 10, s.Holder(testBudget, second.current.incarnation).ReserveFree)
			})
		})
	})
	t.Run("a new router does not become ready without a snapshot", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := newRetainingLog()
			startClient(t, log, "first", Settings{SnapshotInterval: 24 * time.Hour})
			time.Sleep(10 * time.Minute)
			second := startClient(t, log, "second", Settings{})
			time.Sleep(time.Minute)
			assertEqual(t, "second is ready", false, second.Ready())
			assertEqual(t, "second is truncated", true, second.Status().Truncated)
		})
	})
	t.Run("a router whose next offset was dropped loads a snapshot and rejoins", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := newFakeLog(testSeed)
			shared := newRetainingLog()
			first := startClient(t, shared, "first", Settings{SnapshotInterval: 20 * time.Second})
			link := &disconnectableLog{Log: shared, gate: log}
			second := startClient(t, link, "second", Settings{SnapshotInterval: 24 * time.Hour})
			time.Sleep(time.Second)
			first.DeclarePrepaid([]ledger.Prepaid{{Budget: testBudget, Ticket: 1, Total: 1000}})
			time.Sleep(time.Second)
			spend(t, second, "a", 100)
			former := second.Incarnation()
			log.set(func() { log.down = true })
			time.Sleep(10 * time.Minute)
			assertEqual(t, "lease is left", false, second.Status().LeaseLeft > 0)
			log.set(func() { log.down = false })
			time.Sleep(time.Minute)
			assertEqual(t, "second is ready", true, second.Ready())
			assertEqual(t, "the incarnation is the earlier one", false, former == second.Incarnation())
			spend(t, second, "b", 900)
			time.Sleep(time.Second)
			assertEqual(t, "spent as first sees it", 1000, spent(first))
		})
	})
	t.Run("malformed chunks in the snapshot stream are counted and skipped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := &memory.Log{}
			for _, payload := range []string{"", "garbage"} {
				if _, err := log.Append(context.Background(), platform.LedgerSnapshotStream(0), []byte(payload)); err != nil {
					t.Fatal(err)
				}
			}
			c := startClient(t, log, "first", Settings{})
			time.Sleep(time.Second)
			assertEqual(t, "the client is ready", true, c.Ready())
			assertEqual(t, "malformed chunks", int64(2), metrics.GetOrRegisterCounter(snapshotMalformed, c.counters).Count())
		})
	})
}

// disconnectableLog is one client's connection to a log; the test can interrupt it.
type disconnectableLog struct {
	platform.Log
	gate *fakeLog
}

func (l *disconnectableLog) isDisconnected() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.gate.down
}

func (l *disconnectableLog) Append(ctx context.Context, stream string, payload []byte) (platform.Offset, error) {
	if l.isDisconnected() {
		return 0, platform.ErrUnavailable
	}
	return l.Log.Append(ctx, stream, payload)
}

func (l *disconnectableLog) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if l.isDisconnected() {
		return nil, platform.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, from, limit)
}

// TestHalfAndCorruptSnapshots guards against a router that becomes ready from an incomplete or corrupt snapshot.
func TestHalfAndCorruptSnapshots(t *testing.T) {
	runWithClients(t, 1, 1000, func(c *cluster) {
		stream := platform.LedgerSnapshotStream(0)
		c.members[0].View(func(state *ledger.State) {
			incomplete, _ := state.EncodeSnapshot(ledger.Incarnation{Instance: "half", Number: 1}, 64)
			corrupt, _ := state.EncodeSnapshot(ledger.Incarnation{Instance: "corrupt", Number: 1}, 0)
			corrupt[0][len(corrupt[0])/2]++
			c.log.set(func() {
				c.log.append(stream, incomplete[0])
				c.log.append(stream, corrupt[0])
				c.log.firstOffset = state.Next()
			})
		})
		started := c.start(Settings{})
		time.Sleep(5 * time.Second)
		assertEqual(c.tb, "ready", false, started.Ready())
		assertEqual(c.tb, "truncated", true, started.Status().Truncated)
		_, err := started.Reserve(context.Background(), demand(1, 1, true))
		assertOutcome(c.tb, outcome{"NotRun", verdict.NotReady}, err)
	})
}

// TestReleaseAfterSkippedRecords guards against a release reported as successful although the decision on its open
// was in records that a snapshot skipped.
func TestReleaseAfterSkippedRecords(t *testing.T) {
	runWithClients(t, 3, 1000, func(c *cluster) {
		slow := c.members[0]
		mustReserve(c.tb, slow, demand(1, 100, true)).Bill(1)
		time.Sleep(100 * time.Millisecond)
		c.log.set(func() { slow.link.failsReads = true })
		r := mustReserve(c.tb, slow, demand(2, 50, true))
		c.log.set(func() { slow.link.down = true })
		time.Sleep(3 * testSnapshotInterval * time.Duration(len(c.members)))
		c.log.set(func() {
			c.log.firstOffset = slow.Status().Next + 3
			slow.link.down, slow.link.failsReads = false, false
		})
		time.Sleep(10 * time.Second)
		assertSpent(c.tb, c, 51)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assertOutcome(c.tb, outcome{"MayHaveRun", verdict.OutcomeUnknown}, r.Release(ctx))
	})
}

// TestAnswersCutByTheirBytes guards against taking a read for the end of the stream because it returned fewer
// entries than requested, which also occurs when the answer's size limit is reached.
func TestAnswersCutByTheirBytes(t *testing.T) {
	log := &memory.Log{}
	for range 100 {
		_, err := log.Append(t.Context(), platform.LedgerStream(0), make([]byte, platform.MaxPayloadBytes))
		assertEqual(t, "append", nil, err)
	}
	c := NewClient(log, Settings{}, metrics.NewRegistry())
	for complete := false; !complete; {
		entries, err := log.Read(t.Context(), platform.LedgerStream(0), c.state.Next(), c.settings.ReadLimit)
		assertEqual(t, "read", nil, err)
		complete = c.apply(entries, time.Now(), 1)
	}
	assertEqual(t, "next offset at the end", platform.Offset(100), c.state.Next())
}
