package check

import (
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

const (
	team   = "studio-luzon"
	budget = "portraits"
	key    = "key-1"
)

func TestPromises(t *testing.T) {
	var (
		identifier = ledger.NewRequestIdentifier(team, key)
		open       = &ledger.Open{Request: identifier, Attempt: 1, Budget: budget, Amount: 50}
		bill       = &ledger.Bill{Request: identifier, Attempt: 1, Usage: 30}
		ran        = map[string]int{key: 1}
		completed  = load.Request{Outcome: load.Completed, Usage: 30, Attempts: []load.Attempt{{Status: 200, Verdict: "Ran"}}}
		notRun     = load.Request{Outcome: load.Refused, Attempts: []load.Attempt{{Status: 429, Verdict: "NotRun"}}}
		unknown    = load.Request{Outcome: load.Refused, Attempts: []load.Attempt{{}, {Status: 429, Verdict: "NotRun"}}}
		billed     = []ledger.Record{open, bill}
	)
	for name, c := range map[string]struct {
		request load.Request
		records []ledger.Record
		runs    map[string]int
		broken  []string
	}{
		"kept":                            {completed, billed, ran, nil},
		"never billed":                    {completed, nil, ran, []string{"completed and never billed"}},
		"open and never billed":           {completed, []ledger.Record{open}, ran, []string{"completed and never billed"}},
		"settled":                         {completed, []ledger.Record{open, &ledger.Leave{}}, ran, nil},
		"billed other than the usage":     {withUsage(completed, 31), billed, ran, []string{"billed other than the usage reported"}},
		"never ran":                       {completed, billed, map[string]int{}, []string{"completed and never ran"}},
		"run counters not queried":        {completed, billed, nil, nil},
		"not run":                         {notRun, nil, nil, nil},
		"not run but billed":              {notRun, billed, nil, []string{"billed although reported as not run"}},
		"not run but ran":                 {notRun, nil, ran, []string{"ran although reported as not run"}},
		"an earlier attempt may have run": {unknown, billed, ran, nil},
		"ran twice":                       {ofKind(load.NonIdempotent), nil, map[string]int{key: 2}, []string{"non-idempotent and ran twice"}},
		"idempotent ran twice":            {ofKind(load.Plain), nil, map[string]int{key: 2}, nil},
		"wrong answer":                    {withOutcome(load.WrongAnswer), nil, nil, []string{"answer of another caller"}},
		"cut answer":                      {withOutcome(load.CutAnswer), nil, nil, []string{"answer cut"}},
	} {
		t.Run(name, func(t *testing.T) {
			c.request.Key, c.request.Team = key, team
			evidence := &Evidence{Ledgers: followLog(t, c.records), Requests: []load.Request{c.request}, Runs: c.runs}
			var broken []string
			for _, promise := range evidence.CheckPromises() {
				if len(promise.Broken) > 0 {
					broken = append(broken, promise.Name)
				}
			}
			assert.Equal(t, c.broken, broken)
			assertTable(t, evidence, c.broken)
		})
	}
}

// TestOverspentIsSeen guards against a check that misses overspending. The fold rejects records that overspend a budget, so
// the test sets the violation directly.
func TestOverspentIsSeen(t *testing.T) {
	ledgers := followLog(t, nil)
	ledgers[0].overspends = []string{"portraits at offset 1 of partition 0"}
	promises := (&Evidence{Ledgers: ledgers}).CheckPromises()
	assert.Equal(t, Promise{Name: "spent or shared out more than prepaid", Broken: ledgers[0].overspends}, promises[0])
}

func TestBilledTwiceIsSeen(t *testing.T) {
	ledgers := followLog(t, nil)
	for range 2 {
		ledgers[0].addCharge(&ledger.Billed{Request: ledger.NewRequestIdentifier(team, key), Charged: 1})
	}
	evidence := &Evidence{Ledgers: ledgers, Requests: []load.Request{{Key: key, Team: team}}}
	assert.Equal(t, Promise{Name: "billed twice", Broken: []string{key + ": 2 bills"}}, evidence.CheckPromises()[1])
}

func TestUnsettled(t *testing.T) {
	open := &ledger.Open{Request: ledger.NewRequestIdentifier(team, key), Attempt: 1, Budget: budget, Amount: 50}
	evidence := &Evidence{Ledgers: followLog(t, []ledger.Record{open})}
	assert.Equal(t, 1, evidence.Unsettled())
	assert.Equal(t, 1, evidence.Ledgers.LiveIncarnations())
	evidence.Requests = []load.Request{{Key: key, Team: team, Outcome: load.Completed}}
	assert.Equal(t, 2, evidence.Unsettled())
}

func TestFalseRefusals(t *testing.T) {
	refused := func(budget, code string, bound int) load.Request {
		return load.Request{Outcome: load.Refused, Budget: budget, Code: code, CostBound: bound}
	}
	evidence := &Evidence{Ledgers: followLog(t, nil), Requests: []load.Request{
		refused(budget, "budget_exhausted", 100), refused(budget, "budget_exhausted", 101),
		refused(budget, "overloaded", 100), refused(budget, "overloaded", 101),
		refused("", "overloaded", 1), refused("", "budget_exhausted", 1),
		{Outcome: load.Completed, Budget: budget},
	}}
	assert.Equal(t, map[string]int{"budget_exhausted": 1, "overloaded": 2}, evidence.FalseRefusals())
}

func withUsage(r load.Request, usage int) load.Request {
	r.Usage = usage
	return r
}

func ofKind(kind load.Kind) load.Request { return load.Request{Kind: kind} }

func withOutcome(outcome load.Outcome) load.Request { return load.Request{Outcome: outcome} }

// followLog returns the ledger of a log with one router, a budget of 100 tokens, a share of 80 tokens and the given records.
func followLog(t *testing.T, records []ledger.Record) Ledgers {
	t.Helper()
	log := &memory.Log{}
	payload, err := ledger.Encode(ledger.Group{
		Writer: ledger.Incarnation{Instance: "router-1", Number: 1},
		First:  1,
		Records: append([]ledger.Record{
			&ledger.Join{},
			&ledger.Prepaid{Budget: budget, Ticket: 1, Total: 100},
			&ledger.Draw{Budget: budget, Wanted: 80, Minimum: 1},
		}, records...),
	})
	assert.Must(t, err)
	if _, err := log.Append(t.Context(), platform.LedgerStream(0), payload); err != nil {
		t.Fatal(err)
	}
	ledgers := NewLedgers(1)
	assert.Must(t, ledgers.CatchUp(t.Context(), log))
	return ledgers
}

func assertTable(t *testing.T, evidence *Evidence, broken []string) {
	t.Helper()
	var table strings.Builder
	assert.Must(t, evidence.WriteTable(&table))
	for _, name := range broken {
		if !strings.Contains(table.String(), name+": "+key) {
			t.Errorf("%q has no example in\n%s", name, table.String())
		}
	}
}
