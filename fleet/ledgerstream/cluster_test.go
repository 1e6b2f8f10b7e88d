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
	// testSnapshotInterval is short, so that tests that wait for snapshots simulate less time.
	testSnapshotInterval = 20 * time.Second
)

// cluster is a set of clients on one fake log.
type cluster struct {
	tb      testing.TB
	log     *fakeLog
	members []*clusterMember
	runs    sync.WaitGroup
	// audit is the state folded from all entries that a check has read so far, and opened holds the reservations that
	// were accepted in these entries.
	auditLock sync.Mutex
	audit     ledger.State
	opened    map[ledger.AttemptIdentifier]bool
}

// clusterMember is a client with its connection to the log.
type clusterMember struct {
	*Client
	link *fakeLink
	stop context.CancelFunc
	// crashed is true once the process has crashed: its callers receive no answers.
	crashed atomic.Bool
}

func TestMain(m *testing.M) {
	apex.SetHandler(discard.New())
	flag.Parse()
	setFlagDefault("rapid.seed", "1")
	setFlagDefault("rapid.checks", "30")
	os.Exit(m.Run())
}

// setFlagDefault sets a flag unless the command line has set it to another value than its default.
func setFlagDefault(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// runWithClients runs a parallel test on the paused clock, with n ready clients and a budget whose prepaid total is
// prepaid.
func runWithClients(t *testing.T, n int, prepaid ledger.Tokens, test func(c *cluster)) {
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

// start starts a client and adds it to the cluster.
func (c *cluster) start(s Settings) *clusterMember {
	number := len(c.members)
	if s.Instance == "" {
		s.Instance = fmt.Sprintf("router-%d", number)
	}
	s.Seed = uint64(number + 1)
	m := &clusterMember{link: &fakeLink{log: c.log, delay: 2 * time.Millisecond}}
	m.Client = NewClient(m.link, s, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	c.members = append(c.members, m)
	c.runs.Go(func() { _ = m.Run(ctx) })
	return m
}

func (c *cluster) stop() {
	for _, m := range c.members {
		m.stop()
	}
	c.runs.Wait()
}

// foldLog returns the state that a new reader computes from the whole stream.
func (c *cluster) foldLog() *ledger.State {
	state := &ledger.State{}
	for _, entry := range c.unreadEntries(state) {
		state.Apply(entry)
	}
	return state
}

// unreadEntries returns the entries after the last one that the state has folded.
func (c *cluster) unreadEntries(state *ledger.State) []platform.Entry {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return c.log.entriesFrom(platform.LedgerStream(0), state.Next(), math.MaxInt)
}

func (c *cluster) budget() ledger.BudgetView {
	view, _ := c.foldLog().Budget(testBudget)
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

// demand returns a demand on the test budget.
func demand(request uint64, amount ledger.Tokens, idempotent bool) Demand {
	d := Demand{Budget: testBudget, Fingerprint: ledger.Fingerprint(request), Amount: amount, Idempotent: idempotent}
	binary.BigEndian.PutUint64(d.Request[:], request)
	return d
}

// mustReserve reserves d and fails the test if the reservation is refused.
func mustReserve(tb testing.TB, m *clusterMember, d Demand) Reservation {
	tb.Helper()
	r, err := m.Reserve(context.Background(), d)
	if err != nil {
		tb.Fatalf("Reserve: %v", err)
	}
	return r
}

// outcome is the part of a refusal that tests compare.
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

func assertEqual[T any](tb testing.TB, description string, want, got T) {
	tb.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		tb.Errorf("%s (-want +got):\n%s", description, diff)
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

// assertSettled checks that want tokens were spent and that no request is open.
func assertSettled(tb testing.TB, c *cluster, want ledger.Tokens) {
	tb.Helper()
	assertSpent(tb, c, want)
	assertEqual(tb, "open requests", 0, c.budget().OpenRequests)
}
