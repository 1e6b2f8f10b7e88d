package operator

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// TestMain pins the seed of the property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func payload(t *Ticket) []byte {
	data, err := yaml.Marshal(t)
	if err != nil {
		panic(err)
	}
	return data
}

func streamOf(payloads ...[]byte) []platform.Entry {
	var entries []platform.Entry
	for i, p := range payloads {
		entries = append(entries, platform.Entry{Offset: platform.Offset(i), Payload: p})
	}
	return entries
}

func someName(kind string, n int) *rapid.Generator[string] {
	return rapid.Map(rapid.IntRange(1, n), func(i int) string { return fmt.Sprintf("%s-%d", kind, i) })
}

func drawTeam(t *rapid.T) Team {
	team := Team{Name: someName("team", 3).Draw(t, "team"), Removed: rapid.IntRange(0, 5).Draw(t, "removed") == 0}
	for _, key := range rapid.SliceOfNDistinct(someName("key", 5), 1, 2, rapid.ID).Draw(t, "keys") {
		team.KeyDigests = append(team.KeyDigests, KeyDigest(key))
	}
	return team
}

func drawBudget(t *rapid.T) Budget {
	prepaid := ledger.Tokens(rapid.IntRange(0, 5).Draw(t, "prepaid") * 100)
	return Budget{Name: someName("budget", 3).Draw(t, "budget"), Team: someName("team", 3).Draw(t, "owner"), Prepaid: prepaid}
}

func drawRoute(t *rapid.T) Route {
	route := Route{Name: someName("route", 3).Draw(t, "route"), Service: someName("service", 2).Draw(t, "service")}
	route.Removed = rapid.IntRange(0, 3).Draw(t, "removed") == 0
	if rapid.Bool().Draw(t, "plain") {
		route.PathPrefix = "/" + someName("path", 2).Draw(t, "path")
	} else {
		route.Model = someName("model", 2).Draw(t, "model")
	}
	if fallback := someName("route", 3).Draw(t, "fallback"); fallback != route.Name && rapid.Bool().Draw(t, "falls back") {
		route.Fallbacks = []string{fallback}
	}
	return route
}

func drawInstanceSet(t *rapid.T) InstanceSet {
	set := InstanceSet{Name: someName("set", 2).Draw(t, "set"), Retired: []string{"sketch"}, LoadLimit: 3}
	if rapid.Bool().Draw(t, "wants") {
		set.Wanted, set.Role = []Artifact{{Model: someName("model", 2).Draw(t, "wanted"), Version: "1"}}, "Decode"
	}
	for _, name := range rapid.SliceOfNDistinct(someName("endpoint", 4), 0, 2, rapid.ID).Draw(t, "endpoints") {
		set.Endpoints = append(set.Endpoints, Endpoint{
			Name: name, Service: someName("service", 2).Draw(t, "service"), Address: "10.0.0.1:8000",
			Kind:             rapid.SampledFrom([]EndpointKind{EngineEndpoint, EngineEndpoint, PlainEndpoint}).Draw(t, "kind"),
			AvailabilityZone: "luzon-a1", Region: "luzon-a",
		})
	}
	return set
}

// drawTicket draws a ticket of a few objects, so that tickets race for the same numbers and objects.
func drawTicket(t *rapid.T) *Ticket {
	ticket := &Ticket{Number: rapid.Uint64Range(1, 12).Draw(t, "number")}
	for _, kind := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 3, rapid.ID).Draw(t, "kinds") {
		switch kind {
		case 0:
			ticket.Teams = append(ticket.Teams, drawTeam(t))
		case 1:
			ticket.Budgets = append(ticket.Budgets, drawBudget(t))
		case 2:
			ticket.Routes = append(ticket.Routes, drawRoute(t))
		default:
			ticket.InstanceSets = append(ticket.InstanceSets, drawInstanceSet(t))
		}
	}
	return ticket
}

// foundation returns a ticket on which many of the drawn ones can build.
func foundation() *Ticket {
	t := &Ticket{Number: 1}
	for i := range 3 {
		name := fmt.Sprintf("team-%d", i+1)
		t.Teams = append(t.Teams, Team{Name: name, KeyDigests: []string{KeyDigest(name)}})
		t.Budgets = append(t.Budgets, Budget{Name: fmt.Sprintf("budget-%d", i+1), Team: name, Prepaid: 250})
	}
	t.InstanceSets = []InstanceSet{{Name: "set-0", Endpoints: []Endpoint{
		{Name: "endpoint-0", Service: "service-1", Kind: EngineEndpoint, Address: "10.0.0.1:8000", AvailabilityZone: "luzon-a1", Region: "luzon-a"},
		{Name: "endpoint-9", Service: "service-2", Kind: PlainEndpoint, Address: "10.0.0.1:8001", AvailabilityZone: "luzon-a1", Region: "luzon-a"},
	}}}
	return t
}

// drawStream draws racing tickets, copies of earlier ones and garbage.
func drawStream(t *rapid.T) []platform.Entry {
	var payloads [][]byte
	if rapid.Bool().Draw(t, "founded") {
		payloads = append(payloads, payload(foundation()))
	}
	for range rapid.IntRange(1, 25).Draw(t, "entries") {
		switch {
		case len(payloads) > 0 && rapid.IntRange(0, 3).Draw(t, "copy") == 0:
			payloads = append(payloads, rapid.SampledFrom(payloads).Draw(t, "copied"))
		case rapid.IntRange(0, 9).Draw(t, "garbage") == 0:
			payloads = append(payloads, rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes"))
		default:
			payloads = append(payloads, payload(drawTicket(t)))
		}
	}
	return streamOf(payloads...)
}

func snapshotOf(t assertion, c *Configuration) []byte {
	t.Helper()
	data, err := c.EncodeSnapshot()
	if err != nil {
		t.Fatalf("encoding: %v", err)
	}
	return data
}

// contentsOf returns everything that a configuration holds but its index.
func contentsOf(t assertion, c *Configuration) string {
	t.Helper()
	if c == nil {
		c = &Configuration{}
	}
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatalf("encoding: %v", err)
	}
	return string(data)
}

// assertion is what the shared assertions need of *testing.T and *rapid.T.
type assertion interface {
	Helper()
	Errorf(format string, arguments ...any)
	Fatalf(format string, arguments ...any)
}

func assertSame(t assertion, what string, want, got any, options ...cmp.Option) {
	t.Helper()
	if diff := cmp.Diff(want, got, options...); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// TestRoutersAgree lets a router read a stream entry by entry, and another one in batches with restarts from
// snapshots, restarts from the start and entries that it has read before.
func TestRoutersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		var steady *Configuration
		for _, e := range stream {
			steady, _ = steady.Apply(e)
		}
		var restarted *Configuration
		for restarted == nil || int(restarted.Next) < len(stream) {
			next := 0
			if restarted != nil {
				next = int(restarted.Next)
			}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				decoded, err := DecodeSnapshot(snapshotOf(t, restarted))
				assertSame(t, "decoding", nil, err)
				restarted = Newer(restarted, decoded)
			case 1:
				again, _ := (*Configuration)(nil).ApplyAll(stream[:next])
				assertSame(t, "from the start", contentsOf(t, restarted), contentsOf(t, again))
				restarted = again
			case 2:
				before := contentsOf(t, restarted)
				restarted, _ = restarted.ApplyAll(stream[:next])
				assertSame(t, "read again", before, contentsOf(t, restarted))
			default:
				batch := stream[next:rapid.IntRange(next, len(stream)).Draw(t, "end")]
				restarted, _ = restarted.ApplyAll(batch)
			}
		}
		assertSame(t, "routers differ", contentsOf(t, steady), contentsOf(t, restarted))
		assertIndexed(t, steady)
		assertIndexed(t, restarted)
	})
}

func assertIndexed(t assertion, c *Configuration) {
	t.Helper()
	fresh := newIndex(c)
	assertSame(t, "index", *fresh, *c.index, cmp.AllowUnexported(index{}), equateEmpty())
}

// equateEmpty takes a nil and an empty map or slice for the same.
func equateEmpty() cmp.Option {
	return cmp.FilterValues(func(x, y []NumberedBudget) bool { return len(x) == 0 && len(y) == 0 }, cmp.Ignore())
}

// TestFoldRules checks each rule of the fold at each entry of a stream.
func TestFoldRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c *Configuration
		h := &history{accepted: make(map[uint64]string), refused: make(map[string]bool), highest: make(map[string]ledger.Tokens)}
		for _, e := range drawStream(t) {
			before := contentsOf(t, c)
			next, outcome := c.Apply(e)
			assertSame(t, "the receiver changed", before, contentsOf(t, c))
			if c == nil {
				c = &Configuration{}
			}
			h.check(t, c, next, outcome, e)
			assertValid(t, next)
			c = next
		}
	})
}

// history is what the test remembers of a stream in its own way.
type history struct {
	accepted map[uint64]string
	refused  map[string]bool
	// highest holds the highest total of each budget.
	highest map[string]ledger.Tokens
}

func (h *history) check(t assertion, before, after *Configuration, outcome Outcome, e platform.Entry) {
	text := string(e.Payload)
	ticket, err := DecodeTicket("", e.Payload)
	if _, malformed := outcome.(*Malformed); malformed || err != nil {
		assertSame(t, "malformed", true, malformed && err != nil)
		assertUnchanged(t, before, after)
		return
	}
	switch outcome.(type) {
	case *Accepted:
		assertSame(t, "a number was accepted twice", "", h.accepted[ticket.Number])
		assertSame(t, "a refused ticket was accepted", false, h.refused[text])
		h.accepted[ticket.Number] = text
		for _, o := range ticket.objects() {
			assertSame(t, "not newer", true, before.ticketOf(o) < ticket.Number)
			assertSame(t, "not in force", ticket.Number, after.ticketOf(o))
		}
		h.checkBudgets(t, before, ticket)
	case *Duplicate:
		assertSame(t, "a copy of another ticket", h.accepted[ticket.Number], text)
		assertUnchanged(t, before, after)
	case *Refused:
		assertSame(t, "a copy of an accepted ticket was refused", false, h.accepted[ticket.Number] == text)
		h.refused[text] = true
		assertUnchanged(t, before, after)
	default:
		t.Errorf("unexpected outcome %v", outcome)
	}
}

func (h *history) checkBudgets(t assertion, before *Configuration, ticket *Ticket) {
	t.Helper()
	for _, budget := range ticket.Budgets {
		former, exists := before.Budgets[budget.Name]
		assertSame(t, "a budget moved", true, !exists || former.Team == budget.Team)
		assertSame(t, "lowered with others", true, budget.Prepaid >= h.highest[budget.Name] || len(ticket.objects()) == 1)
		h.highest[budget.Name] = max(h.highest[budget.Name], budget.Prepaid)
	}
}

// assertUnchanged compares all objects; a refusal is only remembered and counted.
func assertUnchanged(t assertion, before, after *Configuration) {
	t.Helper()
	objects := func(c *Configuration) []any {
		return []any{c.Number, c.Teams, c.Budgets, c.Routes, c.InstanceSets, c.TeamByKeyDigest, c.Accepted}
	}
	assertSame(t, "objects changed", objects(before), objects(after))
}

// assertValid checks what holds in every configuration.
func assertValid(t assertion, c *Configuration) {
	t.Helper()
	owners := make(map[string]string)
	for name, team := range c.Teams {
		for _, digest := range team.KeyDigests {
			if !team.Removed {
				assertSame(t, "two teams with a key", "", owners[digest])
				owners[digest] = name
			}
		}
	}
	assertSame(t, "owners of keys", len(owners), len(c.TeamByKeyDigest))
	for digest, name := range c.TeamByKeyDigest {
		assertSame(t, "owner of a key", owners[digest], name)
	}
	for _, budget := range c.Budgets {
		_, found := c.Teams[budget.Team]
		assertSame(t, "team of a budget", true, found)
	}
	assertValidRoutes(t, c)
}

func assertValidRoutes(t assertion, c *Configuration) {
	t.Helper()
	seen, endpoints := make(map[string]bool), make(map[string]bool)
	for _, route := range c.Routes {
		if route.Removed {
			continue
		}
		assertSame(t, "model or path twice", false, seen[route.Model+route.PathPrefix])
		seen[route.Model+route.PathPrefix] = true
		assertSame(t, "service without endpoint", true, len(c.EndpointsOf(route.Service)) > 0)
		for _, endpoint := range c.EndpointsOf(route.Service) {
			assertSame(t, "kind of endpoint", route.endpointKind(), endpoint.Kind)
		}
		for _, name := range route.Fallbacks {
			fallback, found := c.Routes[name]
			assertSame(t, "fallback", true, found && !fallback.Removed && fallback.endpointKind() == route.endpointKind())
		}
	}
	for _, set := range c.InstanceSets {
		for _, endpoint := range set.Endpoints {
			assertSame(t, "endpoint twice", false, endpoints[endpoint.Name])
			endpoints[endpoint.Name] = true
		}
	}
}

// TestHighestNumberWins submits tickets of one team each in an arbitrary order with copies.
func TestHighestNumberWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var payloads [][]byte
		highest := make(map[string]uint64)
		for number := range rapid.Uint64Range(1, 10).Draw(t, "tickets") {
			name := someName("team", 3).Draw(t, "team")
			ticket := &Ticket{Number: number + 1, Teams: []Team{{Name: name, KeyDigests: []string{KeyDigest(name)}}}}
			highest[name] = ticket.Number
			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				payloads = append(payloads, payload(ticket))
			}
		}
		c, _ := (*Configuration)(nil).ApplyAll(streamOf(rapid.Permutation(payloads).Draw(t, "order")...))
		assertSame(t, "tickets in force", highest, c.TeamTickets)
	})
}
