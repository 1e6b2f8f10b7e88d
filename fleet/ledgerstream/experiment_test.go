package ledgerstream

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Parameters of the experiment's load; experimentRate is in requests per second.
const (
	experimentRouters = 6
	experimentRate    = 40.0
	experimentSeed    = 20261203
)

// scenario is a sequence of faults within a run.
type scenario struct {
	Name   string
	Length time.Duration
	// OutageAt is the start and Outage the duration of the log's outage.
	OutageAt time.Duration
	Outage   time.Duration
	// Dead are the routers that stop at DeadAt.
	Dead   []int
	DeadAt time.Duration
	// CutOff are the routers of a region that reach neither the log nor the other routers during the outage. The
	// budgets are topped up halfway through the outage.
	CutOff []int
}

func scenarios() []scenario {
	return []scenario{
		{Name: "calm", Length: 3 * time.Minute},
		{Name: "outage of 10 min", Length: 13 * time.Minute, OutageAt: time.Minute, Outage: 10 * time.Minute},
		{Name: "region cut off for 10 min", Length: 13 * time.Minute, OutageAt: time.Minute, Outage: 10 * time.Minute, CutOff: []int{4, 5}},
		{Name: "one router dead", Length: 3 * time.Minute, Dead: []int{0}, DeadAt: time.Minute},
		{Name: "two routers dead", Length: 3 * time.Minute, Dead: []int{0, 1}, DeadAt: time.Minute},
	}
}

// measures are the results of one run.
type measures struct {
	Requests, Dispatched int
	// Refused counts refusals although the unspent tokens of the budget could have paid. RefusedFree counts refusals
	// although the unspent tokens that no running request had reserved could have paid.
	Refused, RefusedFree int
	Overspend            ledger.Tokens
	// Idle is the mean fraction of the budgets that is unreserved in routers' shares. Stranded is the highest fraction
	// that is unreserved in shares of dead routers, and Readmission the time from their stop until those tokens were
	// returned.
	Idle, Stranded float64
	Readmission    time.Duration
	Records, Bytes float64
	// Recall holds the times from a refused draw to the next return to the same budget.
	Recall []time.Duration
}

// experiment is one run of a policy in a scenario.
type experiment struct {
	policy   policy
	scenario scenario
	budgets  []ledger.Prepaid
	log      *fakeLog
	random   *rand.Rand
	calls    sync.WaitGroup

	mu         sync.Mutex
	dead       map[int]bool
	usage      map[string]ledger.Tokens
	samples    int
	isToppedUp bool
	stoppedAt  time.Time
	measures   measures
}

// experimentBudgets returns budgets that the load uses up before the scenario ends.
func experimentBudgets(length time.Duration) []ledger.Prepaid {
	minutes := ledger.Tokens(length / time.Minute)
	return []ledger.Prepaid{
		{Budget: "hot", Ticket: 1, Total: 270_000 * minutes},
		{Budget: "warm", Ticket: 2, Total: 50_000 * minutes},
		{Budget: "small", Ticket: 3, Total: 17_000 * minutes},
	}
}

// run sends the load to the policy's routers for the scenario's length.
func (e *experiment) run() {
	startedAt := time.Now()
	nextSample := startedAt
	for request := uint64(1); ; request++ {
		time.Sleep(time.Duration(e.random.ExpFloat64() / experimentRate * float64(time.Second)))
		elapsed := time.Since(startedAt)
		if elapsed > e.scenario.Length {
			break
		}
		e.injectFaults(elapsed)
		if !time.Now().Before(nextSample) {
			e.sample()
			nextSample = nextSample.Add(time.Second)
		}
		router, d := e.draw(request)
		usage := d.Amount * ledger.Tokens(10+e.random.IntN(50)) / 100
		duration := time.Duration(200+e.random.IntN(2800)) * time.Millisecond
		if !e.dead[router] {
			e.calls.Go(func() { e.runRequest(router, d, usage, duration) })
		}
	}
	e.calls.Wait()
	e.finish()
}

// injectFaults starts and ends the scenario's faults that are due after elapsed time.
func (e *experiment) injectFaults(elapsed time.Duration) {
	s := e.scenario
	down := s.Outage > 0 && elapsed >= s.OutageAt && elapsed < s.OutageAt+s.Outage
	if len(s.CutOff) == 0 {
		e.log.set(func() { e.log.down = down })
	}
	for _, router := range s.CutOff {
		e.policy.disconnect(router, down)
	}
	if len(s.CutOff) > 0 && !e.isToppedUp && elapsed >= s.OutageAt+s.Outage/2 {
		e.topUp()
	}
	if len(s.Dead) == 0 || elapsed < s.DeadAt || len(e.dead) > 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stoppedAt = time.Now()
	for _, router := range s.Dead {
		e.dead[router] = true
		e.policy.stop(router)
	}
}

// topUp raises the prepaid totals of all budgets by a fifth.
func (e *experiment) topUp() {
	e.isToppedUp = true
	for i := range e.budgets {
		e.budgets[i].Ticket += 100
		e.budgets[i].Total += e.budgets[i].Total / 5
	}
	e.policy.topUp(e.budgets)
}

// draw returns the next request and its router. Some routers receive more requests than others, as with a load
// balancer in front of long-lived caller connections.
func (e *experiment) draw(request uint64) (int, Demand) {
	router := []int{0, 0, 0, 1, 1, 2, 3, 4, 5}[e.random.IntN(9)]
	budget := []string{"hot", "hot", "hot", "hot", "hot", "hot", "hot", "hot", "warm", "warm", "small"}[e.random.IntN(11)]
	d := demand(request, ledger.Tokens(200+e.random.IntN(1000)), true)
	d.Budget = budget
	return router, d
}

// runRequest runs one request from its reservation to its bill.
func (e *experiment) runRequest(router int, d Demand, usage ledger.Tokens, duration time.Duration) {
	r, err := e.policy.reserve(router, d)
	all, unreserved := e.policy.unspent(d.Budget)
	e.mu.Lock()
	if e.dead[router] {
		e.mu.Unlock()
		return
	}
	e.measures.Requests++
	if err != nil {
		e.measures.Refused += countIf(all >= d.Amount)
		e.measures.RefusedFree += countIf(unreserved >= d.Amount)
		e.mu.Unlock()
		return
	}
	e.measures.Dispatched++
	e.usage[d.Budget] += usage
	e.mu.Unlock()
	time.Sleep(duration)
	if !e.isDead(router) {
		r.Bill(usage)
	}
}

func (e *experiment) isDead(router int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead[router]
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// sample adds the tokens that are currently unreserved in shares, of all routers and of dead ones, to the results.
func (e *experiment) sample() {
	total, idle, stranded := ledger.Tokens(0), ledger.Tokens(0), ledger.Tokens(0)
	for _, b := range e.budgets {
		total += b.Total
		for router := range experimentRouters {
			amount := e.policy.idle(router, b.Budget)
			idle += amount
			if e.dead[router] {
				stranded += amount
			}
		}
	}
	e.samples++
	e.measures.Idle += float64(idle) / float64(total)
	e.measures.Stranded = max(e.measures.Stranded, float64(stranded)/float64(total))
	if stranded > 0 {
		e.measures.Readmission = time.Since(e.stoppedAt)
	}
}

func (e *experiment) finish() {
	m := &e.measures
	for _, b := range e.budgets {
		m.Overspend += max(0, e.usage[b.Budget]-b.Total)
	}
	m.Idle /= float64(e.samples)
	records, bytes := e.policy.logSize()
	m.Records = float64(records) / float64(m.Requests)
	m.Bytes = float64(bytes) / float64(m.Requests)
	m.Recall = e.recallTimes()
}

// recallTimes returns, in ascending order, the times from each refused draw that other routers' free shares could
// have covered to the next return to its budget.
func (e *experiment) recallTimes() []time.Duration {
	stream := platform.LedgerStream(0)
	state, unmet, waits := ledger.State{}, map[string]time.Time{}, []time.Duration{}
	for _, entry := range e.log.entriesFrom(stream, 0, len(e.log.entries[stream])) {
		at := e.log.appendedAt[stream][entry.Offset]
		for _, event := range state.Apply(entry) {
			switch v := event.(type) {
			case *ledger.DrawRefused:
				if _, known := unmet[v.Draw.Budget]; !known && hasFreeElsewhere(&state, v) {
					unmet[v.Draw.Budget] = at
				}
			case *ledger.Returned:
				if startedAt, known := unmet[v.Budget]; known {
					waits = append(waits, at.Sub(startedAt))
				}
				delete(unmet, v.Budget)
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// hasFreeElsewhere reports whether other routers hold free tokens of the budget of a refused draw.
func hasFreeElsewhere(state *ledger.State, refused *ledger.DrawRefused) bool {
	view, _ := state.Budget(refused.Draw.Budget)
	return slices.ContainsFunc(view.Holders, func(h ledger.HolderView) bool {
		return h.Incarnation != refused.Incarnation && h.WorkingFree > 0
	})
}

// reserveParts returns the compared sizes of a router's reserve share, in thousandths of each budget.
func reserveParts() []ledger.Tokens { return []ledger.Tokens{0, 10, 40} }

// candidate is a policy with its parameters. Reserve is the size of a router's reserve share in thousandths of each
// budget. It applies only to this package's policy and is negative for the others.
type candidate struct {
	Name    string
	Reserve ledger.Tokens
}

func candidates() []candidate {
	all := []candidate{}
	for _, part := range reserveParts() {
		all = append(all, candidate{Name: fmt.Sprintf("clients, reserve %d%%", part/10), Reserve: part})
	}
	return append(all, candidate{Name: "equal quotas", Reserve: -1}, candidate{Name: "draw per request", Reserve: -1})
}

// measure runs a policy in a scenario on a paused clock of its own.
func measure(t *testing.T, p candidate, s scenario) measures {
	t.Helper()
	result := measures{}
	synctest.Test(t, func(t *testing.T) {
		budgets := experimentBudgets(s.Length)
		c := newCluster(t, 0, Settings{})
		defer c.stop()
		e := &experiment{
			scenario: s, budgets: budgets, log: c.log, dead: map[int]bool{}, usage: map[string]ledger.Tokens{},
			random: rand.New(rand.NewPCG(experimentSeed, 0)),
		}
		switch {
		case p.Reserve >= 0:
			e.policy = startClients(c, p.Reserve, budgets)
		case p.Name == "equal quotas":
			e.policy = newQuotas(experimentRouters, budgets)
		default:
			e.policy = newPerRequest(c, experimentRouters, budgets)
		}
		e.run()
		result = e.measures
	})
	return result
}

// startClients starts clients whose reserve shares are reserve thousandths of each budget.
func startClients(c *cluster, reserve ledger.Tokens, budgets []ledger.Prepaid) clients {
	relay := &fakeRelay{clients: map[string]*Client{}, disconnected: map[string]bool{}}
	for i := range budgets {
		budgets[i].Reserve.Share = budgets[i].Total * reserve / 1000
	}
	for i := range experimentRouters {
		relay.start(c, i, DefaultReserveTerm)
	}
	time.Sleep(2 * time.Second)
	c.members[0].DeclarePrepaid(budgets)
	time.Sleep(10 * time.Second)
	return clients{cluster: c, relay: relay}
}

// TestExperiment prints the results of each policy in each scenario and fails on overspending. Without -v it runs
// the scenario "calm" only.
func TestExperiment(t *testing.T) {
	t.Parallel()
	selected := scenarios()
	if !testing.Verbose() {
		selected = selected[:1]
	}
	text := &strings.Builder{}
	_, _ = fmt.Fprintln(text, "| Scenario | Policy | Requests | Dispatched | Overspend | Refused, unspent pays | Refused, unreserved pays "+
		"| Idle % | Stranded % | Readmission s | Records/request | Bytes/request | Recall median ms | Recall max ms |")
	_, _ = fmt.Fprintln(text, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	policies := candidates()
	results := make([]measures, len(selected)*len(policies))
	t.Run("run", func(t *testing.T) {
		for i := range results {
			s, p := selected[i/len(policies)], policies[i%len(policies)]
			t.Run(s.Name+", "+p.Name, func(t *testing.T) {
				t.Parallel()
				results[i] = measure(t, p, s)
				assertEqual(t, "overspend", 0, results[i].Overspend)
				if s.Name == "calm" && p.Reserve >= 0 {
					assertEqual(t, "false refusals", 0, results[i].RefusedFree)
				}
			})
		}
	})
	for i, m := range results {
		m.print(text, selected[i/len(policies)].Name, policies[i%len(policies)].Name)
	}
	t.Log("\n" + text.String())
}

// print writes the results as a row of the table.
func (m measures) print(w io.Writer, scenario, policy string) {
	median, highest := time.Duration(0), time.Duration(0)
	if n := len(m.Recall); n > 0 {
		median, highest = m.Recall[n/2], m.Recall[n-1]
	}
	_, _ = fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d | %d | %.1f | %.2f | %.0f | %.2f | %.0f | %d | %d |\n",
		scenario, policy, m.Requests, m.Dispatched, m.Overspend, m.Refused, m.RefusedFree, 100*m.Idle, 100*m.Stranded,
		m.Readmission.Seconds(), m.Records, m.Bytes, median.Milliseconds(), highest.Milliseconds())
}
