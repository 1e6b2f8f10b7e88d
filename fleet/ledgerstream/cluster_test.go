package ledgerstream

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"math"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	apex "github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

const (
	testBudget = "deposits"
	testSeed   = 1
	// testSnapshotInterval lets tests wait for snapshots without a long simulation.
	testSnapshotInterval = 20 * time.Second
)

// cluster is several clients on one fake log.
type cluster struct {
	tb      testing.TB
	log     *fakeLog
	members []*node
	loops   sync.WaitGroup
	// audit is the fold of all entries that a check has read; opened are the reservations it accepted.
	auditLock sync.Mutex
	audit     ledger.State
	opened    map[ledger.AttemptIdentifier]bool
}

// node is a client with its link.
type node struct {
	*Client
	link *fakeLink
	stop context.CancelFunc
	// crashed clients answer no callers.
	crashed atomic.Bool
}

func TestMain(m *testing.M) {
	apex.SetHandler(discard.New())
	flag.Parse()
	fixFlag("rapid.seed", "1")
	fixFlag("rapid.checks", "30")
	os.Exit(m.Run())
}

// fixFlag sets a flag that the command line leaves at its default.
func fixFlag(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// inBubble runs a test, beside others, with n ready clients and a prepaid budget on the paused clock.
func inBubble(t *testing.T, n int, prepaid ledger.Tokens, test func(c *cluster)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n, Settings{SnapshotInterval: testSnapshotInterval}, ledger.Prepaid{Budget: testBudget, Ticket: 1, Total: prepaid})
		defer c.stop()
		test(c)
	})
}

func newCluster(tb testing.TB, n int, s Settings, budgets ...ledger.Prepaid) *cluster {
	tb.Helper()
	c := &cluster{tb: tb, log: newFakeLog(testSeed), opened: map[ledger.AttemptIdentifier]bool{}}
	for range n {
		c.start(s)
	}
	for _, m := range c.members {
		m.DeclarePrepaid(budgets)
	}
	time.Sleep(2 * time.Second)
	return c
}

// start adds a client.
func (c *cluster) start(s Settings) *node {
	number := len(c.members)
	if s.Instance == "" {
		s.Instance = fmt.Sprintf("router-%d", number)
	}
	s.Seed = uint64(number + 1)
	m := &node{link: &fakeLink{log: c.log, delay: 2 * time.Millisecond}}
	m.Client = NewClient(m.link, s, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	c.members = append(c.members, m)
	c.loops.Go(func() { _ = m.Run(ctx) })
	return m
}

func (c *cluster) stop() {
	for _, m := range c.members {
		m.stop()
	}
	c.loops.Wait()
}

// fold returns the state that a new reader of the stream would have.
func (c *cluster) fold() *ledger.State {
	state := &ledger.State{}
	for _, entry := range c.unread(state) {
		state.Apply(entry)
	}
	return state
}

// unread returns the entries that a state has not folded yet.
func (c *cluster) unread(state *ledger.State) []platform.Entry {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return c.log.entriesFrom(platform.LedgerStream(0), state.Next(), math.MaxInt)
}

func (c *cluster) budget() ledger.BudgetView {
	view, _ := c.fold().Budget(testBudget)
	return view
}

// counter returns the sum of a counter over all clients.
func (c *cluster) counter(name string) int64 {
	sum := int64(0)
	for _, m := range c.members {
		sum += metrics.GetOrRegisterCounter(name, m.counters).Count()
	}
	return sum
}

// demand returns a demand on the test's budget.
func demand(request uint64, amount ledger.Tokens, idempotent bool) Demand {
	d := Demand{Budget: testBudget, Fingerprint: ledger.Fingerprint(request), Amount: amount, Idempotent: idempotent}
	binary.BigEndian.PutUint64(d.Request[:], request)
	return d
}

// mustReserve reserves and fails the test on a refusal.
func mustReserve(tb testing.TB, m *node, d Demand) Reservation {
	tb.Helper()
	r, err := m.Reserve(context.Background(), d)
	if err != nil {
		tb.Fatalf("Reserve: %v", err)
	}
	return r
}

// outcome is what a test compares of a refusal.
type outcome struct {
	Verdict string
	Reason  verdict.Reason
}

func outcomeOf(err error) outcome {
	refusal, ok := err.(*verdict.Refusal) //nolint:errorlint // the interface promises this type
	if !ok {
		return outcome{}
	}
	return outcome{Verdict: refusal.Verdict.String(), Reason: refusal.Reason}
}

func assertEqual[T any](tb testing.TB, what string, want, got T) {
	tb.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		tb.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func assertOutcome(tb testing.TB, want outcome, err error) {
	tb.Helper()
	assertEqual(tb, "outcome", want, outcomeOf(err))
}

func assertSpent(tb testing.TB, c *cluster, want ledger.Tokens) {
	tb.Helper()
	assertEqual(tb, "spent", want, c.budget().Spent)
}

// assertSettled checks what was spent and that no request is open any more.
func assertSettled(tb testing.TB, c *cluster, want ledger.Tokens) {
	tb.Helper()
	assertSpent(tb, c, want)
	assertEqual(tb, "open requests", 0, c.budget().OpenRequests)
}
