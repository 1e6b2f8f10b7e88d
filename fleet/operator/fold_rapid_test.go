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

// TestMain fixes the seed of the property tests, so that runs are reproducible; -rapid.seed on the command line
// overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// encodeTicket returns the YAML encoding of a ticket.
func encodeTicket(t *Ticket) []byte {
	data, err := yaml.Marshal(t)
	if err != nil {
		panic(err)
	}
	return data
}

// streamEntries returns stream entries with consecutive offsets from 0.
func streamEntries(payloads ...[]byte) []platform.Entry {
	var entries []platform.Entry
	for i, p := range payloads {
		entries = append(entries, platform.Entry{Offset: platform.Offset(i), Payload: p})
	}
	return entries
}

// drawnName generates one of n names, such as team-1 to team-3; few names make tickets conflict.
func drawnName(kind string, n int) *rapid.Generator[string] {
	return rapid.Map(rapid.IntRange(1, n), func(i int) string { return fmt.Sprintf("%s-%d", kind, i) })
}

func drawTeam(t *rapid.T) Team {
	team := Team{Name: drawnName("team", 3).Draw(t, "team"), Removed: rapid.IntRange(0, 5).Draw(t, "removed") == 0}
	for _, key := range rapid.SliceOfNDistinct(drawnName("key", 5), 1, 2, rapid.ID).Draw(t, "keys") {
		team.KeyDigests = append(team.KeyDigests, KeyDigest(key))
	}
	team.Regions = drawRegions(t)
	return team
}

// drawRegions draws allowed regions, of which one has no endpoint in most configurations.
func drawRegions(t *rapid.T) []string {
	regions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"luzon-a", "visayas-a"}), 0, 2, rapid.ID).Draw(t, "regions")
	if len(regions) == 0 {
		return nil
	}
	return regions
}

func drawBudget(t *rapid.T) Budget {
	prepaid := ledger.Tokens(rapid.IntRange(0, 5).Draw(t, "prepaid") * 100)
	return Budget{Name: drawnName("budget", 3).Draw(t, "budget"), Team: drawnName("team", 3).Draw(t, "owner"), Prepaid: prepaid}
}

func drawRoute(t *rapid.T) Route {
	route := Route{Name: drawnName("route", 3).Draw(t, "route"), Service: drawnName("service", 2).Draw(t, "service")}
	route.Removed = rapid.IntRange(0, 3).Draw(t, "removed") == 0
	if rapid.Bool().Draw(t, "plain") {
		route.PathPrefix = "/" + drawnName("path", 2).Draw(t, "path")
	} else {
		route.Model = drawnName("model", 2).Draw(t, "model")
	}
	if fallback := drawnName("route", 3).Draw(t, "fallback"); fallback != route.Name && rapid.Bool().Draw(t, "falls back") {
		route.Fallbacks = []string{fallback}
	}
	route.Regions = drawRegions(t)
	return route
}

func drawInstanceSet(t *rapid.T) InstanceSet {
	set := InstanceSet{Name: drawnName("set", 2).Draw(t, "set"), Retired: []string{"sketch"}, LoadLimit: 3}
	if rapid.Bool().Draw(t, "wants") {
		set.Wanted, set.Role = []Artifact{{Model: drawnName("model", 2).Draw(t, "wanted"), Version: "1"}}, "Decode"
	}
	for _, name := range rapid.SliceOfNDistinct(drawnName("endpoint", 4), 0, 2, rapid.ID).Draw(t, "endpoints") {
		set.Endpoints = append(set.Endpoints, Endpoint{
			Name: name, Service: drawnName("service", 2).Draw(t, "service"), Address: "10.0.0.1:8000",
			Kind:             rapid.SampledFrom([]EndpointKind{EngineEndpoint, EngineEndpoint, PlainEndpoint}).Draw(t, "kind"),
			AvailabilityZone: drawnName("luzon-a", 2).Draw(t, "zone"), Region: "luzon-a",
		})
	}
	return set
}

// drawTicket draws a ticket with one to three objects of different kinds. Numbers and names are drawn from small
// ranges, so that tickets conflict.
func drawTicket(t *rapid.T) *Ticket {
	ticket := &Ticket{Number: rapid.Uint64Range(1, 12).Draw(t, "number")}
	for _, kind := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 1, 3, rapid.ID).Draw(t, "kinds") {
		switch kind {
		case 0:
			ticket.Teams = append(ticket.Teams, drawTeam(t))
		case 1:
			ticket.Budgets = append(ticket.Budgets, drawBudget(t))
		case 2:
			ticket.Routes = append(ticket.Routes, drawRoute(t))
		case 3:
			ticket.EvacuatedZones = []string{drawnName("luzon-a", 2).Draw(t, "evacuated")}
		default:
			ticket.InstanceSets = append(ticket.InstanceSets, drawInstanceSet(t))
		}
	}
	return ticket
}

// baseTicket returns a ticket with the teams and services to which drawn tickets refer, so that more of them are
// accepted.
func baseTicket() *Ticket {
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

// drawStream draws a stream of conflicting tickets, copies of earlier tickets and malformed entries.
func drawStream(t *rapid.T) []platform.Entry {
	var payloads [][]byte
	if rapid.Bool().Draw(t, "founded") {
		payloads = append(payloads, encodeTicket(baseTicket()))
	}
	for range rapid.IntRange(1, 25).Draw(t, "entries") {
		switch {
		case len(payloads) > 0 && rapid.IntRange(0, 3).Draw(t, "copy") == 0:
			payloads = append(payloads, rapid.SampledFrom(payloads).Draw(t, "copied"))
		case rapid.IntRange(0, 9).Draw(t, "garbage") == 0:
			payloads = append(payloads, rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes"))
		default:
			payloads = append(payloads, encodeTicket(drawTicket(t)))
		}
	}
	return streamEntries(payloads...)
}

// encodeSnapshot returns the configuration as a single snapshot entry.
func encodeSnapshot(t testReporter, c *Configuration) []byte {
	t.Helper()
	data, err := c.EncodeSnapshot()
	if err != nil {
		t.Fatalf("encoding: %v", err)
	}
	return data
}

// encodedContents returns the JSON encoding of a configuration, which leaves out the lookup index.
func encodedContents(t testReporter, c *Configuration) string {
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

// testReporter contains the methods of *testing.T and *rapid.T that the shared assertions use.
type testReporter interface {
	Helper()
	Errorf(format string, arguments ...any)
	Fatalf(format string, arguments ...any)
}

// assertSame aborts the test and prints the label and the difference if want and got differ.
func assertSame(t testReporter, label string, want, got any, options ...cmp.Option) {
	t.Helper()
	if diff := cmp.Diff(want, got, options...); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", label, diff)
	}
}

// TestRoutersAgree guards against routers that derive different configurations from the same stream. One router reads
// entry by entry; the other one reads batches, restarts from snapshots or from the start of the stream, and reads
// entries again.
func TestRoutersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		var incremental *Configuration
		for _, e := range stream {
			incremental, _ = incremental.Apply(e)
		}
		var restarted *Configuration
		for restarted == nil || int(restarted.Next) < len(stream) {
			next := 0
			if restarted != nil {
				next = int(restarted.Next)
			}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				decoded, err := DecodeSnapshot(encodeSnapshot(t, restarted))
				assertSame(t, "decoding", nil, err)
				restarted = SelectNewer(restarted, decoded)
			case 1:
				replayed, _ := (*Configuration)(nil).ApplyAll(stream[:next])
				assertSame(t, "from the start", encodedContents(t, restarted), encodedContents(t, replayed))
				restarted = replayed
			case 2:
				before := encodedContents(t, restarted)
				restarted, _ = restarted.ApplyAll(stream[:next])
				assertSame(t, "read again", before, encodedContents(t, restarted))
			default:
				batch := stream[next:rapid.IntRange(next, len(stream)).Draw(t, "end")]
				restarted, _ = restarted.ApplyAll(batch)
			}
		}
		assertSame(t, "routers differ", encodedContents(t, incremental), encodedContents(t, restarted))
		assertIndexUpToDate(t, incremental)
		assertIndexUpToDate(t, restarted)
	})
}

// assertIndexUpToDate compares the incrementally updated index of a configuration with a newly built one.
func assertIndexUpToDate(t testReporter, c *Configuration) {
	t.Helper()
	rebuilt := newIndex(c)
	assertSame(t, "index", *rebuilt, *c.index, cmp.AllowUnexported(index{}), equateEmptyBudgetLists())
}

// equateEmptyBudgetLists treats nil and empty budget lists as equal.
func equateEmptyBudgetLists() cmp.Option {
	return cmp.FilterValues(func(x, y []NumberedBudget) bool { return len(x) == 0 && len(y) == 0 }, cmp.Ignore())
}

// TestFoldRules checks the outcome of each entry of a stream against foldModel, that Apply leaves its receiver
// unchanged, and that each resulting configuration satisfies the invariants.
func TestFoldRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c *Configuration
		m := &foldModel{accepted: make(map[uint64]string), refused: make(map[string]bool), highest: make(map[string]ledger.Tokens)}
		for _, e := range drawStream(t) {
			before := encodedContents(t, c)
			next, outcome := c.Apply(e)
			assertSame(t, "the receiver changed", before, encodedContents(t, c))
			if c == nil {
				c = &Configuration{}
			}
			m.check(t, c, next, outcome, e)
			assertInvariants(t, next)
			c = next
		}
	})
}

// foldModel records the tickets of a stream independently of the fold: accepted ones by number and refused ones by
// text.
type foldModel struct {
	accepted map[uint64]string
	refused  map[string]bool
	// highest maps each budget to its highest accepted prepaid total in tokens.
	highest map[string]ledger.Tokens
}

func (m *foldModel) check(t testReporter, before, after *Configuration, outcome Outcome, e platform.Entry) {
	text := string(e.Payload)
	ticket, err := DecodeTicket("", e.Payload)
	if _, malformed := outcome.(*Malformed); malformed || err != nil {
		assertSame(t, "malformed", true, malformed && err != nil)
		assertObjectsUnchanged(t, before, after)
		return
	}
	switch outcome.(type) {
	case *Accepted:
		assertSame(t, "a number was accepted twice", "", m.accepted[ticket.Number])
		assertSame(t, "a refused ticket was accepted", false, m.refused[text])
		m.accepted[ticket.Number] = text
		for _, o := range ticket.objects() {
			assertSame(t, "not newer", true, before.ticketNumberOf(o) < ticket.Number)
			assertSame(t, "not in force", ticket.Number, after.ticketNumberOf(o))
		}
		m.checkBudgets(t, before, ticket)
	case *Duplicate:
		assertSame(t, "a copy of another ticket", m.accepted[ticket.Number], text)
		assertObjectsUnchanged(t, before, after)
	case *Refused:
		assertSame(t, "a copy of an accepted ticket was refused", false, m.accepted[ticket.Number] == text)
		m.refused[text] = true
		assertObjectsUnchanged(t, before, after)
	default:
		t.Errorf("unexpected outcome %v", outcome)
	}
}

func (m *foldModel) checkBudgets(t testReporter, before *Configuration, ticket *Ticket) {
	t.Helper()
	for _, budget := range ticket.Budgets {
		former, exists := before.Budgets[budget.Name]
		assertSame(t, "a budget moved", true, !exists || former.Team == budget.Team)
		assertSame(t, "lowered with others", true, budget.Prepaid >= m.highest[budget.Name] || len(ticket.objects()) == 1)
		m.highest[budget.Name] = max(m.highest[budget.Name], budget.Prepaid)
	}
}

// assertObjectsUnchanged checks that an entry which isn't accepted changes no object; it may change Refused and Counts.
func assertObjectsUnchanged(t testReporter, before, after *Configuration) {
	t.Helper()
	objects := func(c *Configuration) []any {
		return []any{c.Number, c.Teams, c.Budgets, c.Routes, c.InstanceSets, c.TeamByKeyDigest, c.Accepted}
	}
	assertSame(t, "objects changed", objects(before), objects(after))
}

// assertInvariants checks that each key has one owner and each budget an existing team, and the invariants of the
// routing.
func assertInvariants(t testReporter, c *Configuration) {
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
	assertRoutingInvariants(t, c)
}

// assertRoutingInvariants checks that models, path prefixes and endpoint names are unique, and that active routes have
// endpoints and fallbacks of the right kind.
func assertRoutingInvariants(t testReporter, c *Configuration) {
	t.Helper()
	seen, endpoints := make(map[string]bool), make(map[string]bool)
	for _, route := range c.Routes {
		if route.Removed {
			continue
		}
		assertSame(t, "model or path twice", false, seen[route.Model+route.PathPrefix])
		seen[route.Model+route.PathPrefix] = true
		assertSame(t, "service without endpoint", true, len(c.EndpointsOfService(route.Service)) > 0)
		for _, endpoint := range c.EndpointsOfService(route.Service) {
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

// TestHighestNumberWins guards against an older ticket that replaces a newer one because it is appended late. It
// appends tickets of one team each, with copies, in a random order.
func TestHighestNumberWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var payloads [][]byte
		highest := make(map[string]uint64)
		for number := range rapid.Uint64Range(1, 10).Draw(t, "tickets") {
			name := drawnName("team", 3).Draw(t, "team")
			ticket := &Ticket{Number: number + 1, Teams: []Team{{Name: name, KeyDigests: []string{KeyDigest(name)}}}}
			highest[name] = ticket.Number
			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				payloads = append(payloads, encodeTicket(ticket))
			}
		}
		c, _ := (*Configuration)(nil).ApplyAll(streamEntries(rapid.Permutation(payloads).Draw(t, "order")...))
		assertSame(t, "tickets in force", highest, c.TeamTickets)
	})
}
