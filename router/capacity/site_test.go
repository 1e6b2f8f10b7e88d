package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// configuration returns a configuration with the given numbers of teams, budgets, routes and endpoints.
func configuration(teams, budgets, routes, endpoints int) *operator.Configuration {
	c := &operator.Configuration{
		Number: 1, Teams: make(map[string]operator.Team), Budgets: make(map[string]operator.NumberedBudget),
		Routes: make(map[string]operator.Route), InstanceSets: make(map[string]operator.InstanceSet),
		TeamByKeyDigest: make(map[string]string), TeamTickets: make(map[string]uint64),
		RouteTickets: make(map[string]uint64), InstanceSetTickets: map[string]uint64{"runners": 1},
	}
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		digest := operator.KeyDigest(name)
		c.Teams[name] = operator.Team{Name: name, KeyDigests: []string{digest}}
		c.TeamTickets[name], c.TeamByKeyDigest[digest] = 1, name
	}
	for i := range budgets {
		b := operator.Budget{Name: budgetName(i), Team: fmt.Sprintf("team-%05d", i%teams), Prepaid: ledger.Tokens(i)}
		c.Budgets[b.Name] = operator.NumberedBudget{Budget: b, Ticket: 1, Highest: b.Prepaid}
	}
	for i := range routes {
		name := fmt.Sprintf("route-%05d", i)
		c.Routes[name] = operator.Route{Name: name, Service: "brush-llm", Model: "model-" + name}
		c.RouteTickets[name] = 1
	}
	c.InstanceSets["runners"] = operator.InstanceSet{Name: "runners", Endpoints: runnerEndpoints(endpoints)}
	return c
}

func runnerEndpoints(count int) []operator.Endpoint {
	list := make([]operator.Endpoint, count)
	for i := range list {
		list[i] = operator.Endpoint{
			Name: fmt.Sprintf("runner-%05d", i), Service: "brush-llm", Kind: operator.EngineEndpoint,
			Address: fmt.Sprintf("127.0.%d.%d:9000", i/250, i%250+1), AvailabilityZone: fmt.Sprintf("luzon-a%d", i%14), Region: "luzon-a",
		}
	}
	return list
}

// topUpEntry returns a log entry with a change ticket that raises the prepaid total of one budget.
func topUpEntry() platform.Entry {
	return platform.Entry{Payload: fmt.Appendf(nil, "Number: 2\nBudgets: [{Name: %s, Team: team-00007, Prepaid: 1000}]\n", budgetName(7))}
}

// withIndex returns the configuration after applying a ticket, which also builds the indexes that a running router holds.
func withIndex(r *results, c *operator.Configuration) *operator.Configuration {
	next, outcome := c.Apply(topUpEntry())
	if _, ok := outcome.(*operator.Accepted); !ok {
		r.tb.Fatalf("outcome %T", outcome)
	}
	return next
}

// configurationSlopes measures the heap use of the configuration, applying tickets, and snapshots.
func configurationSlopes(t *testing.T, r *results) {
	t.Helper()
	r.measureHeap("declared budget", "budget", []int{132_500, 265_000, 530_000}, func(n int) any { return withIndex(r, configuration(requiredSize.Teams, n, 11, 1)) })
	r.measureHeap("team", "team", []int{2400, 4800, 9600}, func(n int) any { return withIndex(r, configuration(n, 100, 11, 1)) })
	r.measureHeap("route", "route", []int{250, 500, 1000}, func(n int) any { return withIndex(r, configuration(100, 100, n, 1)) })
	r.measureHeap("declared endpoint", "endpoint", []int{275, 550, 1100, 2200}, func(n int) any { return withIndex(r, configuration(100, 100, 1, n)) })
	for _, n := range []int{132_500, 265_000, 530_000} {
		c := withIndex(r, configuration(requiredSize.Teams, n, requiredSize.Models, requiredSize.Endpoints))
		ticket := platform.Entry{Offset: c.Next, Payload: []byte("Number: 3\n" + string(topUpEntry().Payload[len("Number: 2\n"):]))}
		r.measureCall("ticket: apply one top-up", n, func() error {
			if _, outcome := c.Apply(ticket); fmt.Sprintf("%T", outcome) != "*operator.Accepted" {
				return fmt.Errorf("outcome %T", outcome)
			}
			return nil
		})
		var chunks [][]byte
		r.measureCall("configuration snapshot: encode", n, func() (err error) { chunks, err = c.EncodeSnapshotChunks(0); return err })
		size := 0
		for _, chunk := range chunks {
			size += len(chunk)
		}
		r.addPoint("configuration snapshot: bytes", "B/budget", point{float64(n), float64(size)})
		r.measureCall("configuration snapshot: load", n, func() error {
			a := &operator.SnapshotAssembler{}
			for _, chunk := range chunks {
				if _, err := a.Add(chunk); err != nil {
					return err
				}
			}
			return nil
		})
	}
	for _, row := range [][2]string{
		{"budget", "  - {Name: atelier-budget-%06d, Team: team-00007, Prepaid: 20_000_000}\n"},
		{"endpoint", "  - {Name: runner-%05d, Service: brush-llm, Kind: Engine, Address: 127.0.0.1:9000, AvailabilityZone: luzon-a1, Region: luzon-a}\n"},
	} {
		r.measure("ticket bytes: "+row[0], "B/"+row[0], []int{1, 10, 100}, 1, func(n int) float64 {
			size := len("Number: 100000\nBudgets:\n")
			for i := range n {
				size += len(fmt.Sprintf(row[1], i))
			}
			return float64(size)
		})
	}
}

// endpointSlopes measures the heap use of a router's dispatcher per endpoint, without the declaration in the configuration.
func endpointSlopes(t *testing.T, r *results) {
	t.Helper()
	for _, n := range []int{275, 550, 1100, 2200} {
		board := &blackboard.Board{Metrics: metrics.NewRegistry()}
		board.Configuration.Store(configuration(1, 1, 1, n))
		r.measureHeap("endpoint at the router", "endpoint", []int{n}, func(int) any {
			d := endpoint.NewDispatcher(board, endpoint.Settings{TickInterval: time.Millisecond})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_ = d.Run(ctx)
			return d
		})
	}
}

// copySlopes measures the heap use of copies that a router holds for other routers, each a group of eight reservations.
func copySlopes(t *testing.T, r *results) {
	t.Helper()
	const reservations = 8
	r.measureHeap("relayed copy", "copy of eight opens", []int{500, 1000, 2000, 4000}, func(n int) any {
		c := ledgerstream.NewClient(&memory.Log{}, ledgerstream.Settings{Logger: discardLogger()}, metrics.NewRegistry())
		w := joinRouter(&ledger.State{}, 1)
		w.budgets = backgroundBudgets
		for i := range n {
			g := ledger.Group{Writer: w.incarnation, First: uint64(2 + i*reservations), Records: w.records("Open", reservations, uint64(1+i*reservations))}
			payload, err := ledger.Encode(g)
			r.requireNoError(err)
			r.requireNoError(c.AcceptCopy(w.incarnation.Instance, peer.Copy{Payload: payload}))
		}
		return c
	})
}

func discardLogger() log.Interface { return &log.Logger{Handler: discard.Default} }

// testClient is a running ledger client on an in-memory log, after it has joined.
type testClient struct {
	*ledgerstream.Client
	counters metrics.Registry
	stop     func()
}

// startClient starts a client on a ledger with a number of budgets, each with a reserve policy of the given share, and waits
// until it is ready.
func startClient(t *testing.T, r *results, budgets int, share ledger.Tokens) *testClient {
	t.Helper()
	stream := &memory.Log{}
	w := joinRouter(&ledger.State{}, 1)
	records := []ledger.Record{&ledger.Join{AvailabilityZone: "luzon-a1"}}
	for n := range budgets {
		records = append(records, &ledger.Prepaid{Budget: budgetName(n), Ticket: 1, Total: ampleTokens, Reserve: ledger.ReservePolicy{Share: share}})
	}
	w.sequence = 0
	for _, g := range w.splitIntoGroups(records) {
		payload, err := ledger.Encode(g)
		r.requireNoError(err)
		_, err = stream.Append(t.Context(), platform.LedgerStream(0), payload)
		r.requireNoError(err)
	}
	counters := metrics.NewRegistry()
	c := ledgerstream.NewClient(stream, ledgerstream.Settings{
		Instance: "router-0", AvailabilityZone: "luzon-a1", Region: "luzon-a", Logger: discardLogger(), FleetAppendsPerSecond: 2000, ReadLimit: 1024,
	}, counters)
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { _ = c.Run(ctx) })
	for !c.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return &testClient{Client: c, counters: counters, stop: func() { cancel(); loops.Wait() }}
}

func (c *testClient) count(name string) float64 {
	return float64(metrics.GetOrRegisterCounter(name, c.counters).Count())
}

// reserveAndBill sends count requests from concurrent callers. Each caller waits for its reservation, bills it, and goes on
// with its next request.
func (c *testClient) reserveAndBill(r *results, count, callers int, lastRequest *atomic.Uint64) {
	var waiting sync.WaitGroup
	for range callers {
		waiting.Go(func() {
			for range count / callers {
				id := lastRequest.Add(1)
				reservation, err := c.Reserve(context.Background(), ledgerstream.Demand{
					Budget: budgetName(int(id % 100)), Request: requestID(id), Amount: 700, Idempotent: true,
				})
				if err != nil {
					r.tb.Error(err)
					return
				}
				reservation.Bill(500)
			}
		})
	}
	waiting.Wait()
}

// clientSlopes measures the CPU time of the ledger client per request, per append, per declared total, and while it is idle.
func clientSlopes(t *testing.T, r *results) {
	t.Helper()
	var lastRequest atomic.Uint64
	c := startClient(t, r, backgroundBudgets, 0)
	run := func(n, callers int) (micros, appends float64) {
		before := c.count("ledger.append.entries")
		micros = processorTime(func() { c.reserveAndBill(r, n, callers, &lastRequest) }).Seconds() * 1e6
		return micros, c.count("ledger.append.entries") - before
	}
	run(2000, 64)
	r.measure("client: Reserve and Bill, 64 callers", "µs/request", []int{6400, 12_800, 25_600}, measurementRuns, func(n int) float64 { used, _ := run(n, 64); return used })
	for _, callers := range []int{2, 4, 8, 32, 128} {
		const requests = 3072
		used, appends := run(requests, callers)
		r.addPoint("client: one more append for 3,072 requests", "µs/append", point{appends, used})
	}
	c.stop()
	const window = 2 * time.Second
	r.measure("idle client, by budgets with a reserve share", "µs/(s·budget)", []int{10_000, 20_000, 40_000}, 1, func(n int) float64 {
		c := startClient(t, r, n, 1000)
		defer c.stop()
		return processorTime(func() { time.Sleep(window) }).Seconds() * 1e6 / window.Seconds()
	})
	r.measure("ticket: declare the totals to the ledger client", "µs/budget", []int{25_000, 50_000, 100_000}, measurementRuns, func(n int) float64 {
		c := startClient(t, r, n, 0)
		defer c.stop()
		declared := make([]ledger.Prepaid, n)
		for i := range declared {
			declared[i] = ledger.Prepaid{Budget: budgetName(i), Ticket: 1, Total: ampleTokens}
		}
		return processorTime(func() { c.DeclarePrepaid(declared) }).Seconds() * 1e6
	})
}
