package operator

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Parts of tickets; ticketText joins them with a ticket number.
const (
	studio             = "\nTeams: [{Name: studio, KeyDigests: [1111111111111111111111111111111111111111111111111111111111111111]}]"
	studioRemoved      = "\nTeams: [{Name: studio, Removed: true}]"
	rivalWithStudioKey = "\nTeams: [{Name: rival, KeyDigests: [1111111111111111111111111111111111111111111111111111111111111111]}]"
	rivalWithOwnKey    = "\nTeams: [{Name: rival, KeyDigests: [2222222222222222222222222222222222222222222222222222222222222222]}]"
	studioBudgetFormat = "\nBudgets: [{Name: main, Team: studio, Prepaid: %d}]"
	rivalBudget        = "\nBudgets: [{Name: main, Team: rival, Prepaid: 9000}]"
	engines            = "\nInstanceSets: [{Name: engines, Endpoints: [{Name: runner, Service: brush-llm, Kind: Engine, Address: '10.0.0.1:80', AvailabilityZone: a1, Region: a}]}]"
	plains             = "\nInstanceSets: [{Name: plains, Endpoints: [{Name: app, Service: app, Kind: Plain, Address: '10.0.0.1:81', AvailabilityZone: a1, Region: a}]}]"
	duplicateRunner    = "\nInstanceSets: [{Name: others, Endpoints: [{Name: runner, Service: app, Kind: Plain, Address: '10.0.0.1:81', AvailabilityZone: a1, Region: a}]}]"
	emptyEngines       = "\nInstanceSets: [{Name: engines, Endpoints: []}]"
	brush              = "\nRoutes: [{Name: brush, Service: brush-llm, Model: brush}]"
	secondBrush        = "\nRoutes: [{Name: brush-2, Service: brush-llm, Model: brush}]"
	brushToPlain       = "\nRoutes: [{Name: brush, Service: app, Model: brush}]"
	brushFallback      = "\nRoutes: [{Name: brush-2, Service: brush-llm, Model: brush-2, Fallbacks: [brush]}]"
	atelier            = "\nRoutes: [{Name: atelier, Service: app, PathPrefix: /atelier}]"
	secondAtelier      = "\nRoutes: [{Name: atelier-2, Service: app, PathPrefix: /atelier}]"
)

// ticketText returns a ticket with a number and the given parts.
func ticketText(number int, parts ...string) []byte {
	text := fmt.Sprintf("Number: %d", number)
	for _, part := range parts {
		text += part
	}
	return []byte(text)
}

// studioBudget returns the part of a ticket that sets the budget of team studio to a prepaid total in tokens.
func studioBudget(prepaid int) string { return fmt.Sprintf(studioBudgetFormat, prepaid) }

// TestApplyOutcomes checks the outcome of the last entry of each stream.
func TestApplyOutcomes(t *testing.T) {
	tests := map[string]struct {
		tickets [][]byte
		last    Outcome
	}{
		"accepted":                      {[][]byte{ticketText(1, studio, studioBudget(10))}, &Accepted{1}},
		"copy":                          {[][]byte{ticketText(1, studio), ticketText(2, rivalWithOwnKey), ticketText(1, studio)}, &Duplicate{1}},
		"malformed is skipped":          {[][]byte{[]byte("garbage"), ticketText(1, studio)}, &Accepted{1}},
		"number reused":                 {[][]byte{ticketText(1, studio), ticketText(1, rivalWithOwnKey)}, &Refused{1, NumberReused, `ticket 1 was accepted at offset 0 with other contents`}},
		"older":                         {[][]byte{ticketText(5, studio), ticketText(4, studio)}, &Refused{4, NotNewer, `team "studio" was set by ticket 5`}},
		"one object is not newer":       {[][]byte{ticketText(5, studio), ticketText(4, engines, studio)}, &Refused{4, NotNewer, `team "studio" was set by ticket 5`}},
		"late copy of a refused ticket": {[][]byte{ticketText(5, studioBudget(10)), ticketText(4, studio), ticketText(5, studioBudget(10))}, &Refused{5, AlreadyRefused, `refused at offset 0: UnknownTeam: budget "main": team "studio"`}},
		"number of a refused ticket":    {[][]byte{ticketText(5, studioBudget(10)), ticketText(4, studio), ticketText(5, studioBudget(20))}, &Accepted{5}},
		"unknown team":                  {[][]byte{ticketText(1, studioBudget(10))}, &Refused{1, UnknownTeam, `budget "main": team "studio"`}},
		"removed team":                  {[][]byte{ticketText(1, studioRemoved, studioBudget(10))}, &Refused{1, UnknownTeam, `budget "main": team "studio"`}},
		"budget of a removed team":      {[][]byte{ticketText(1, studio, studioBudget(10)), ticketText(2, studioRemoved, studioBudget(20))}, &Accepted{2}},
		"budget moves":                  {[][]byte{ticketText(1, studio, studioBudget(10)), ticketText(2, rivalWithOwnKey, rivalBudget)}, &Refused{2, TeamChanged, `budget "main" belongs to team "studio"`}},
		"lowered alone":                 {[][]byte{ticketText(1, studio, studioBudget(10)), ticketText(2, studioBudget(5))}, &Accepted{2}},
		"lowered with other objects":    {[][]byte{ticketText(1, studio, studioBudget(10)), ticketText(2, studioBudget(5), rivalWithOwnKey)}, &Refused{2, LowersWithOthers, `budget "main": 5 is below 10`}},
		"raised after lowered":          {[][]byte{ticketText(1, studio, studioBudget(10)), ticketText(2, studioBudget(5)), ticketText(3, studioBudget(7), rivalWithOwnKey)}, &Refused{3, LowersWithOthers, `budget "main": 7 is below 10`}},
		"key taken":                     {[][]byte{ticketText(1, studio), ticketText(2, rivalWithStudioKey)}, &Refused{2, KeyTaken, `team "rival": a digest belongs to team "studio"`}},
		"key of a removed team":         {[][]byte{ticketText(1, studio), ticketText(2, studioRemoved), ticketText(3, rivalWithStudioKey)}, &Accepted{3}},
		"no service":                    {[][]byte{ticketText(1, brush)}, &Refused{1, UnknownService, `route "brush": service "brush-llm" has no endpoint`}},
		"service loses its endpoints":   {[][]byte{ticketText(1, brush, engines), ticketText(2, emptyEngines)}, &Refused{2, UnknownService, `route "brush": service "brush-llm" has no endpoint`}},
		"kind":                          {[][]byte{ticketText(1, brushToPlain, plains)}, &Refused{1, KindMismatch, `route "brush": endpoint "app" has kind Plain`}},
		"no fallback":                   {[][]byte{ticketText(1, brushFallback, engines)}, &Refused{1, UnknownFallback, `route "brush-2": fallback "brush"`}},
		"fallback":                      {[][]byte{ticketText(1, brush, engines), ticketText(2, brushFallback)}, &Accepted{2}},
		"model taken":                   {[][]byte{ticketText(1, brush, engines), ticketText(2, secondBrush)}, &Refused{2, ModelTaken, `model "brush" is served by routes "brush" and "brush-2"`}},
		"path taken":                    {[][]byte{ticketText(1, atelier, plains), ticketText(2, secondAtelier)}, &Refused{2, PathTaken, `path prefix "/atelier" is served by routes "atelier" and "atelier-2"`}},
		"endpoint taken":                {[][]byte{ticketText(1, engines), ticketText(2, duplicateRunner)}, &Refused{2, EndpointTaken, `endpoint "runner" stands in instance sets "engines" and "others"`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, outcomes := (*Configuration)(nil).ApplyAll(streamEntries(test.tickets...))
			assertEqual(t, test.last, outcomes[len(outcomes)-1])
		})
	}
}

// TestRememberedTickets guards against accepting a number twice after its ticket was evicted from Accepted.
func TestRememberedTickets(t *testing.T) {
	atCapacity := &Configuration{Next: MaxAcceptedTickets}
	for i := range MaxAcceptedTickets {
		atCapacity.Accepted = append(atCapacity.Accepted, DecidedTicket{Number: uint64(i + 10)})
	}
	next, outcome := atCapacity.Apply(platform.Entry{Offset: atCapacity.Next, Payload: ticketText(1_000_000, studio)})
	assertEqual(t, Outcome(&Accepted{1_000_000}), outcome)
	assertEqual(t, MaxAcceptedTickets, len(next.Accepted))
	assertEqual(t, uint64(10), next.Floor)
	_, outcome = next.Apply(platform.Entry{Offset: next.Next, Payload: ticketText(10, rivalWithOwnKey)})
	assertEqual(t, Outcome(&Refused{10, NumberForgotten, "numbers up to 10 are no longer accepted"}), outcome)
}

func TestLookups(t *testing.T) {
	c, _ := (*Configuration)(nil).ApplyAll(streamEntries(
		ticketText(1, studio, studioBudget(10), brush, engines),
		ticketText(2, plains, atelier),
		ticketText(3, "\nRoutes: [{Name: sittings, Service: app, PathPrefix: /atelier/sittings}, {Name: gone, Service: app, PathPrefix: /gone, Removed: true}]"),
	))
	for path, want := range map[string]string{
		"/atelier": "atelier", "/atelier/": "atelier", "/atelier/x/y": "atelier", "/atelier/sittings/7": "sittings",
		"/atelier/sittingsx": "atelier", "/atelierx": "", "/gone": "", "/": "", "": "", "*": "",
	} {
		route, found := c.RouteForPath(path)
		assertEqual(t, want, route.Name)
		assertEqual(t, want != "", found)
	}
	route, _ := c.RouteForModel("brush")
	assertEqual(t, "brush-llm", route.Service)
	assertEqual(t, []string{"brush"}, c.Models())
	assertEqual(t, "main", c.BudgetsOfTeam("studio")[0].Name)
	assertEqual(t, "app", c.EndpointsOfService("app")[0].Name)
	unindexed := &Configuration{Teams: map[string]Team{"t": {Name: "t"}}, TeamByKeyDigest: map[string]string{KeyDigest("key"): "t"}}
	team, found := unindexed.TeamForKey("key")
	assertEqual(t, "t", team.Name)
	assertEqual(t, true, found)
	_, found = unindexed.TeamForKey("other")
	assertEqual(t, false, found)
}

func TestDecodeSnapshot(t *testing.T) {
	c, _ := (*Configuration)(nil).ApplyAll(streamEntries(ticketText(1, studio, studioBudget(10)), ticketText(2, rivalWithStudioKey)))
	data := encodeSnapshot(t, c)
	decoded, err := DecodeSnapshot(data)
	assertEqual(t, nil, err)
	assertEqual(t, c, decoded, cmpopts.IgnoreUnexported(Configuration{}))
	assertEqual(t, 1, len(decoded.Refused))
	t.Run("a changed byte never changes the decoded contents", func(t *testing.T) {
		for i := range data {
			changed := append([]byte(nil), data...)
			changed[i] ^= 1
			if decodedChanged, err := DecodeSnapshot(changed); err == nil {
				assertEqual(t, encodedContents(t, c), encodedContents(t, decodedChanged))
			}
		}
	})
	t.Run("cut", func(t *testing.T) {
		_, err := DecodeSnapshot(data[:len(data)/2])
		assertEqual(t, true, errors.Is(err, ErrCorruptSnapshot))
	})
	t.Run("an older copy is not adopted", func(t *testing.T) {
		older := &Configuration{Next: 1}
		assertEqual(t, true, SelectNewer(c, older) == c)
		assertEqual(t, true, SelectNewer(older, c) == c)
		assertEqual(t, true, SelectNewer(c, decoded) == c)
	})
}

func TestSnapshotAssembler(t *testing.T) {
	older, _ := (*Configuration)(nil).ApplyAll(streamEntries(ticketText(1, studio)))
	newer, _ := older.Apply(platform.Entry{Offset: 1, Payload: ticketText(2, studioBudget(10))})
	var stream [][]byte
	for _, c := range []*Configuration{newer, older} {
		chunks, err := c.EncodeSnapshotChunks(100)
		assertEqual(t, nil, err)
		stream = append(stream, chunks...)
	}
	add := func(a *SnapshotAssembler, payloads [][]byte) (newest *Configuration) {
		for _, payload := range payloads {
			if c, err := a.Add(payload); err == nil && c != nil {
				newest = c
			}
		}
		return newest
	}
	t.Run("any order with duplicates and malformed entries", func(t *testing.T) {
		stream := append(append([][]byte{[]byte("garbage")}, stream...), stream...)
		for range len(stream) {
			stream = append(stream[1:], stream[0])
			assertEqual(t, encodedContents(t, newer), encodedContents(t, add(&SnapshotAssembler{}, stream)))
		}
	})
	t.Run("a chunk is missing", func(t *testing.T) {
		assertEqual(t, true, add(&SnapshotAssembler{}, stream[1:2]) == nil)
	})
	t.Run("too many incomplete snapshots", func(t *testing.T) {
		a := &SnapshotAssembler{}
		for i := range 3 * maxIncompleteSnapshots {
			chunks, _ := (&Configuration{Next: 5, Number: uint64(i)}).EncodeSnapshotChunks(50)
			_, _ = a.Add(chunks[0])
		}
		assertEqual(t, maxIncompleteSnapshots, len(a.incomplete))
		assertEqual(t, 2, int(add(a, stream).Next))
	})
	t.Run("a single chunk of several", func(t *testing.T) {
		_, err := DecodeSnapshot(stream[0])
		assertEqual(t, true, errors.Is(err, ErrIncompleteSnapshot))
	})
}
