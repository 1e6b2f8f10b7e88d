package operator

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Apply applies the next entry of the configuration stream. It returns a new configuration and doesn't change the
// receiver; a nil receiver counts as an empty configuration.
func (c *Configuration) Apply(e platform.Entry) (*Configuration, Outcome) {
	b := newBuilder(c)
	outcome := b.apply(e)
	return b.build(), outcome
}

// ApplyAll applies consecutive entries of the configuration stream; it copies the configuration only once for all
// entries.
func (c *Configuration) ApplyAll(entries []platform.Entry) (*Configuration, []Outcome) {
	b := newBuilder(c)
	outcomes := make([]Outcome, 0, len(entries))
	for _, e := range entries {
		outcomes = append(outcomes, b.apply(e))
	}
	return b.build(), outcomes
}

// builder applies entries to a shallow copy of a configuration. Each map or slice is cloned before its first change.
type builder struct {
	result *Configuration
	// Each flag is true once result has its own copy of the maps or the slice that the flag names.
	ownsTeams, ownsBudgets, ownsRoutes, ownsInstanceSets, ownsAccepted bool
	// Parts of the lookup index that must be rebuilt because of the applied entries.
	isRoutingStale        bool
	teamsWithStaleBudgets map[string]bool
}

func newBuilder(c *Configuration) *builder {
	if c == nil {
		c = &Configuration{}
	}
	copied := *c
	copied.index = c.lookupIndex()
	return &builder{result: &copied, teamsWithStaleBudgets: make(map[string]bool)}
}

func (b *builder) build() *Configuration {
	b.result.index = b.result.index.updated(b.result, b.teamsWithStaleBudgets, b.isRoutingStale)
	return b.result
}

func (b *builder) apply(e platform.Entry) Outcome {
	if e.Offset != b.result.Next {
		return &OutOfOrder{Offset: e.Offset, Next: b.result.Next}
	}
	outcome := b.processTicket(e)
	b.result.Next++
	b.result.Counts.add(outcome)
	return outcome
}

func (c *Counts) add(outcome Outcome) {
	switch outcome.(type) {
	case *Accepted:
		c.Accepted++
	case *Refused:
		c.Refused++
	case *Duplicate:
		c.Duplicate++
	case *Malformed:
		c.Malformed++
	}
}

func (b *builder) processTicket(e platform.Entry) Outcome {
	t, err := DecodeTicket("", e.Payload)
	if err != nil {
		return &Malformed{Err: err}
	}
	decided := DecidedTicket{Number: t.Number, Offset: e.Offset, Digest: sha256.Sum256(e.Payload)}
	if outcome := b.result.earlierOutcome(decided); outcome != nil {
		return outcome
	}
	if reason, detail := b.result.checkTicket(t); reason != "" {
		b.recordRefusal(RefusedTicket{DecidedTicket: decided, Reason: reason, Detail: detail})
		return &Refused{Number: t.Number, Reason: reason, Detail: detail}
	}
	b.accept(t)
	b.recordAccepted(decided)
	return &Accepted{Number: t.Number}
}

// earlierOutcome returns the outcome of a ticket that is determined by earlier decisions alone: a copy of an accepted
// or refused ticket, a number used before, or a number that is no longer accepted. It returns nil for all other
// tickets.
func (c *Configuration) earlierOutcome(d DecidedTicket) Outcome {
	i, found := slices.BinarySearchFunc(c.Accepted, d.Number, compareTicketNumber)
	if found && c.Accepted[i].Digest == d.Digest {
		return &Duplicate{Number: d.Number}
	}
	if found {
		detail := fmt.Sprintf("ticket %d was accepted at offset %d with other contents", d.Number, c.Accepted[i].Offset)
		return &Refused{Number: d.Number, Reason: NumberReused, Detail: detail}
	}
	if d.Number <= c.Floor {
		detail := fmt.Sprintf("numbers up to %d are no longer accepted", c.Floor)
		return &Refused{Number: d.Number, Reason: NumberForgotten, Detail: detail}
	}
	for _, r := range c.Refused {
		if r.Number == d.Number && r.Digest == d.Digest {
			detail := fmt.Sprintf("refused at offset %d: %s: %s", r.Offset, r.Reason, r.Detail)
			return &Refused{Number: d.Number, Reason: AlreadyRefused, Detail: detail}
		}
	}
	return nil
}

func compareTicketNumber(d DecidedTicket, number uint64) int { return cmp.Compare(d.Number, number) }

// recordRefusal records a refused ticket, so that a copy that is appended later can't be accepted after the submitter
// was told of the refusal. Tickets refused for NotNewer aren't recorded: the ticket numbers of objects never decrease,
// so every copy is refused again.
func (b *builder) recordRefusal(r RefusedTicket) {
	if r.Reason == NotNewer {
		return
	}
	refusals := b.result.Refused
	if len(refusals) == MaxRefusedTickets {
		refusals = refusals[1:]
	}
	b.result.Refused = append(slices.Clone(refusals), r)
}

func (b *builder) recordAccepted(d DecidedTicket) {
	if !b.ownsAccepted {
		b.result.Accepted = slices.Clone(b.result.Accepted)
		b.ownsAccepted = true
	}
	i, _ := slices.BinarySearchFunc(b.result.Accepted, d.Number, compareTicketNumber)
	b.result.Accepted = slices.Insert(b.result.Accepted, i, d)
	if len(b.result.Accepted) > MaxAcceptedTickets {
		b.result.Floor = b.result.Accepted[0].Number
		b.result.Accepted = b.result.Accepted[1:]
	}
	b.result.Number = max(b.result.Number, d.Number)
}

func (b *builder) accept(t *Ticket) {
	if len(t.Teams) > 0 {
		b.setTeams(t)
	}
	if len(t.Budgets) > 0 {
		b.setBudgets(t)
	}
	if len(t.Routes) > 0 {
		b.setRoutes(t)
	}
	if len(t.InstanceSets) > 0 {
		b.setInstanceSets(t)
	}
	if t.EvacuatedZones != nil {
		b.result.EvacuatedZones, b.result.EvacuationTicket = slices.Sorted(slices.Values(t.EvacuatedZones)), t.Number
	}
}

func (b *builder) setTeams(t *Ticket) {
	if !b.ownsTeams {
		b.result.Teams = cloneOrMake(b.result.Teams)
		b.result.TeamTickets = cloneOrMake(b.result.TeamTickets)
		b.result.TeamByKeyDigest = cloneOrMake(b.result.TeamByKeyDigest)
		b.ownsTeams = true
	}
	// Delete the previous digests of all teams first, so that a ticket can move a key from one team to another.
	for _, team := range t.Teams {
		for _, digest := range b.result.Teams[team.Name].KeyDigests {
			if b.result.TeamByKeyDigest[digest] == team.Name {
				delete(b.result.TeamByKeyDigest, digest)
			}
		}
	}
	for _, team := range t.Teams {
		b.result.Teams[team.Name] = team
		b.result.TeamTickets[team.Name] = t.Number
		if team.Removed {
			continue
		}
		for _, digest := range team.KeyDigests {
			b.result.TeamByKeyDigest[digest] = team.Name
		}
	}
}

func (b *builder) setBudgets(t *Ticket) {
	if !b.ownsBudgets {
		b.result.Budgets = cloneOrMake(b.result.Budgets)
		b.ownsBudgets = true
	}
	for _, budget := range t.Budgets {
		highest := max(budget.Prepaid, b.result.Budgets[budget.Name].Highest)
		b.result.Budgets[budget.Name] = NumberedBudget{Budget: budget, Ticket: t.Number, Highest: highest}
		b.teamsWithStaleBudgets[budget.Team] = true
	}
}

func (b *builder) setRoutes(t *Ticket) {
	if !b.ownsRoutes {
		b.result.Routes = cloneOrMake(b.result.Routes)
		b.result.RouteTickets = cloneOrMake(b.result.RouteTickets)
		b.ownsRoutes = true
	}
	for _, route := range t.Routes {
		b.result.Routes[route.Name] = route
		b.result.RouteTickets[route.Name] = t.Number
	}
	b.isRoutingStale = true
}

func (b *builder) setInstanceSets(t *Ticket) {
	if !b.ownsInstanceSets {
		b.result.InstanceSets = cloneOrMake(b.result.InstanceSets)
		b.result.InstanceSetTickets = cloneOrMake(b.result.InstanceSetTickets)
		b.ownsInstanceSets = true
	}
	for _, set := range t.InstanceSets {
		b.result.InstanceSets[set.Name] = set
		b.result.InstanceSetTickets[set.Name] = t.Number
	}
	b.isRoutingStale = true
}

// cloneOrMake returns a writable copy of a map, or a new map if it is nil.
func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
