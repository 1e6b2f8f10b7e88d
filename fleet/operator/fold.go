package operator

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Apply folds the next entry of the stream into the configuration. It returns a new configuration and leaves
// the receiver as it was; a nil receiver counts as an empty configuration.
func (c *Configuration) Apply(e platform.Entry) (*Configuration, Outcome) {
	b := newBuilder(c)
	outcome := b.apply(e)
	return b.finish(), outcome
}

// ApplyAll folds entries in turn and copies the configuration once for all of them.
func (c *Configuration) ApplyAll(entries []platform.Entry) (*Configuration, []Outcome) {
	b := newBuilder(c)
	outcomes := make([]Outcome, 0, len(entries))
	for _, e := range entries {
		outcomes = append(outcomes, b.apply(e))
	}
	return b.finish(), outcomes
}

// builder changes a copy of a configuration. Maps are cloned before their first change.
type builder struct {
	c *Configuration
	// Which maps belong to the copy alone.
	ownsTeams, ownsBudgets, ownsRoutes, ownsInstanceSets, ownsAccepted bool
	// What the index has to take up.
	staleRoutes bool
	staleTeams  map[string]bool
}

func newBuilder(c *Configuration) *builder {
	if c == nil {
		c = &Configuration{}
	}
	copied := *c
	copied.index = c.indexed()
	return &builder{c: &copied, staleTeams: make(map[string]bool)}
}

func (b *builder) finish() *Configuration {
	b.c.index = b.c.index.updated(b.c, b.staleTeams, b.staleRoutes)
	return b.c
}

func (b *builder) apply(e platform.Entry) Outcome {
	if e.Offset != b.c.Next {
		return &OutOfOrder{Offset: e.Offset, Next: b.c.Next}
	}
	outcome := b.decide(e)
	b.c.Next++
	b.c.Counts.add(outcome)
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

func (b *builder) decide(e platform.Entry) Outcome {
	t, err := DecodeTicket("", e.Payload)
	if err != nil {
		return &Malformed{Err: err}
	}
	decided := DecidedTicket{Number: t.Number, Offset: e.Offset, Digest: sha256.Sum256(e.Payload)}
	if outcome := b.c.decidedBefore(decided); outcome != nil {
		return outcome
	}
	if reason, detail := b.c.check(t); reason != "" {
		b.rememberRefusal(RefusedTicket{DecidedTicket: decided, Reason: reason, Detail: detail})
		return &Refused{Number: t.Number, Reason: reason, Detail: detail}
	}
	b.accept(t)
	b.rememberAccepted(decided)
	return &Accepted{Number: t.Number}
}

// decidedBefore returns the outcome of a ticket whose number was decided before, or nil.
func (c *Configuration) decidedBefore(d DecidedTicket) Outcome {
	i, found := slices.BinarySearchFunc(c.Accepted, d.Number, compareNumber)
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

func compareNumber(d DecidedTicket, number uint64) int { return cmp.Compare(d.Number, number) }

// rememberRefusal keeps a late copy of a refused ticket from being accepted after its submitter was
// told that it was refused. A ticket that is not newer needs no entry, since it never becomes newer.
func (b *builder) rememberRefusal(r RefusedTicket) {
	if r.Reason == NotNewer {
		return
	}
	kept := b.c.Refused
	if len(kept) == RememberedRefusals {
		kept = kept[1:]
	}
	b.c.Refused = append(slices.Clone(kept), r)
}

func (b *builder) rememberAccepted(d DecidedTicket) {
	if !b.ownsAccepted {
		b.c.Accepted = slices.Clone(b.c.Accepted)
		b.ownsAccepted = true
	}
	i, _ := slices.BinarySearchFunc(b.c.Accepted, d.Number, compareNumber)
	b.c.Accepted = slices.Insert(b.c.Accepted, i, d)
	if len(b.c.Accepted) > RememberedTickets {
		b.c.Floor = b.c.Accepted[0].Number
		b.c.Accepted = b.c.Accepted[1:]
	}
	b.c.Number = max(b.c.Number, d.Number)
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
}

func (b *builder) setTeams(t *Ticket) {
	if !b.ownsTeams {
		b.c.Teams = cloned(b.c.Teams)
		b.c.TeamTickets = cloned(b.c.TeamTickets)
		b.c.TeamByKeyDigest = cloned(b.c.TeamByKeyDigest)
		b.ownsTeams = true
	}
	// All former digests go first, so that a key may move from one team of the ticket to another.
	for _, team := range t.Teams {
		for _, digest := range b.c.Teams[team.Name].KeyDigests {
			if b.c.TeamByKeyDigest[digest] == team.Name {
				delete(b.c.TeamByKeyDigest, digest)
			}
		}
	}
	for _, team := range t.Teams {
		b.c.Teams[team.Name] = team
		b.c.TeamTickets[team.Name] = t.Number
		if team.Removed {
			continue
		}
		for _, digest := range team.KeyDigests {
			b.c.TeamByKeyDigest[digest] = team.Name
		}
	}
}

func (b *builder) setBudgets(t *Ticket) {
	if !b.ownsBudgets {
		b.c.Budgets = cloned(b.c.Budgets)
		b.ownsBudgets = true
	}
	for _, budget := range t.Budgets {
		highest := max(budget.Prepaid, b.c.Budgets[budget.Name].Highest)
		b.c.Budgets[budget.Name] = NumberedBudget{Budget: budget, Ticket: t.Number, Highest: highest}
		b.staleTeams[budget.Team] = true
	}
}

func (b *builder) setRoutes(t *Ticket) {
	if !b.ownsRoutes {
		b.c.Routes = cloned(b.c.Routes)
		b.c.RouteTickets = cloned(b.c.RouteTickets)
		b.ownsRoutes = true
	}
	for _, route := range t.Routes {
		b.c.Routes[route.Name] = route
		b.c.RouteTickets[route.Name] = t.Number
	}
	b.staleRoutes = true
}

func (b *builder) setInstanceSets(t *Ticket) {
	if !b.ownsInstanceSets {
		b.c.InstanceSets = cloned(b.c.InstanceSets)
		b.c.InstanceSetTickets = cloned(b.c.InstanceSetTickets)
		b.ownsInstanceSets = true
	}
	for _, set := range t.InstanceSets {
		b.c.InstanceSets[set.Name] = set
		b.c.InstanceSetTickets[set.Name] = t.Number
	}
	b.staleRoutes = true
}

// cloned returns a copy that can be written to, also of a nil map.
func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
