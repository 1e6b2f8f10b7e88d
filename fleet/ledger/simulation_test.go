package ledger

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Sizes of a simulated partition. They are small, so that identifiers, budgets and routers often collide.
const (
	simulatedRouters  = 3
	simulatedBudgets  = 2
	simulatedRequests = 6
	simulatedTickets  = 12
	simulatedSteps    = 80
)

// writer is an incarnation with the groups and opens that it has created.
type writer struct {
	incarnation  Incarnation
	groups       []Group
	lastSequence uint64
	opens        []Open
}

// simulation creates groups of random records and delivers them in random order and any number of times.
type simulation struct {
	t       *rapid.T
	writers []*writer
	fences  []Fence
}

// intBetween draws a number between low and high, both included.
func (s *simulation) intBetween(low, high int, label string) int {
	return rapid.IntRange(low, high).Draw(s.t, label)
}

// oneIn returns true with a probability of one in n.
func (s *simulation) oneIn(n int, label string) bool { return s.intBetween(1, n, label) == n }

// startIncarnation returns a writer with a random incarnation. If the incarnation is new, its first group is a join.
func (s *simulation) startIncarnation() *writer {
	i := Incarnation{
		Instance: fmt.Sprintf("router-%d", s.intBetween(1, simulatedRouters, "router")),
		Number:   uint64(s.intBetween(1, 3, "number")),
	}
	for _, w := range s.writers {
		if w.incarnation == i {
			return w
		}
	}
	w := &writer{incarnation: i, lastSequence: 1}
	w.groups = append(w.groups, Group{Writer: i, First: 1, Records: []Record{&Join{Region: "luzon-a", Nonce: i.Number}}})
	s.writers = append(s.writers, w)
	return w
}

// nextGroup returns the group to fold next: a join, a new group, a copy of an old one, the group that fills a writer's
// first gap, or a new group whose predecessor is withheld. Groups of the third entry make all budgets known, unless
// they join.
func (s *simulation) nextGroup(state *State) Group {
	if len(s.writers) < 2 || s.oneIn(12, "join") {
		return s.startIncarnation().groups[0]
	}
	if state.Next() == 3 {
		w := s.writers[0]
		g := Group{Writer: w.incarnation, First: w.lastSequence + 1}
		for n := range simulatedBudgets {
			g.Records = append(g.Records, prepaidOf(fmt.Sprintf("budget-%d", n+1), 1))
		}
		w.lastSequence = g.lastSequence()
		w.groups = append(w.groups, g)
		return g
	}
	w := rapid.SampledFrom(s.writers).Draw(s.t, "writer")
	if s.oneIn(4, "old") {
		return rapid.SampledFrom(w.groups).Draw(s.t, "group")
	}
	if applied := state.AppliedSequence(w.incarnation); applied < w.lastSequence && s.oneIn(2, "resend") {
		for _, g := range w.groups {
			if g.First == applied+1 {
				return g
			}
		}
	}
	if s.oneIn(6, "withhold group") {
		s.newGroup(w, state)
	}
	return s.newGroup(w, state)
}

// groupOfUnknownVersion returns a payload with an unsupported envelope version, which the fold must skip.
func (s *simulation) groupOfUnknownVersion() []byte {
	return []byte{envelopeVersion + byte(s.intBetween(1, 100, "version")), 0x90}
}

// newGroup creates a writer's next group with one to four random records.
func (s *simulation) newGroup(w *writer, state *State) Group {
	g := Group{Writer: w.incarnation, First: w.lastSequence + 1}
	for range s.intBetween(1, 4, "records") {
		g.Records = append(g.Records, s.newRecord(w, state))
	}
	w.lastSequence = g.lastSequence()
	w.groups = append(w.groups, g)
	return g
}

// newRecord creates a random record of a writer. It prefers records that the state accepts.
func (s *simulation) newRecord(w *writer, state *State) Record {
	budget := fmt.Sprintf("budget-%d", s.intBetween(1, simulatedBudgets, "budget"))
	kind := ShareKind(s.intBetween(0, 1, "kind"))
	switch s.intBetween(1, 24, "type") {
	case 1, 2, 3, 4, 5, 6, 7, 8:
		if h := state.Holder(budget, w.incarnation); h.WorkingFree+h.ReserveFree == 0 && !s.oneIn(6, "open without tokens") {
			return s.newDraw(budget, kind)
		}
		return s.newOpen(w, state, budget, kind)
	case 9, 10, 11, 12, 13, 14:
		if o, ok := s.recentOpen(w); ok && !s.oneIn(4, "release") {
			return &Bill{Request: o.Request, Attempt: o.Attempt, Usage: usageOf(o.Attempt)}
		} else if ok {
			return &Release{Request: o.Request, Attempt: o.Attempt}
		}
	case 15, 16, 17:
		return s.newDraw(budget, kind)
	case 18:
		return &Return{Budget: budget, Kind: kind, Amount: Tokens(s.intBetween(0, 60, "amount"))}
	case 19, 20:
		return prepaidOf(budget, uint64(s.intBetween(1, simulatedTickets, "ticket")))
	case 21, 22:
		return s.newFence(state)
	case 23:
		if s.oneIn(4, "leave") {
			return &Leave{}
		}
		if s.oneIn(2, "crash") {
			return crashOf(w.incarnation)
		}
		return &Unknown{Type: 99, Body: []byte{0x90}}
	}
	return s.newDraw(budget, kind)
}

func (s *simulation) newDraw(budget string, kind ShareKind) *Draw {
	return &Draw{
		Budget: budget, Kind: kind,
		Wanted: Tokens(s.intBetween(0, 60, "wanted")), Minimum: Tokens(s.intBetween(0, 10, "minimum")),
	}
}

// newOpen creates an open, in most cases of a new attempt and with an amount that the writer's share covers. Some
// request identifiers have the same digest.
func (s *simulation) newOpen(w *writer, state *State, budget string, kind ShareKind) *Open {
	request := s.intBetween(1, simulatedRequests, "request")
	o := Open{
		Request: RequestIdentifier{byte(request / 3), 15: byte(request)}, Attempt: uint64(len(w.opens) + 1), Budget: budget, Kind: kind,
		Amount: Tokens(s.intBetween(0, 30, "amount")), Idempotent: request%2 == 0,
	}
	h := state.Holder(budget, w.incarnation)
	if free := max(h.WorkingFree, h.ReserveFree); free > 0 && !s.oneIn(5, "amount above share") {
		o.Amount = min(o.Amount, free)
		o.Kind = Working
		if free == h.ReserveFree {
			o.Kind = Reserve
		}
	}
	if s.oneIn(10, "other fingerprint") {
		o.Fingerprint = 1
	}
	if s.oneIn(10, "same attempt") {
		o.Attempt = uint64(s.intBetween(1, len(w.opens)+1, "attempt"))
	}
	w.opens = append(w.opens, o)
	return &o
}

// recentOpen returns one of the last three opens of a writer, and false if it has none.
func (s *simulation) recentOpen(w *writer) (Open, bool) {
	if len(w.opens) == 0 {
		return Open{}, false
	}
	return rapid.SampledFrom(w.opens[max(0, len(w.opens)-3):]).Draw(s.t, "open"), true
}

// newFence creates a fence of a random incarnation, in most cases with the offset of its newest group.
func (s *simulation) newFence(state *State) *Fence {
	target := rapid.SampledFrom(s.writers).Draw(s.t, "target").incarnation
	f := Fence{Target: target, Kind: ShareKind(s.intBetween(0, 1, "fence kind"))}
	for _, view := range state.Incarnations() {
		if view.Incarnation == target {
			f.LastSeen = view.LastSeen
			if view.Suspended {
				f.Kind = Reserve
			}
		}
	}
	if s.oneIn(3, "late") && f.LastSeen > 0 {
		f.LastSeen--
	}
	s.fences = append(s.fences, f)
	return &f
}

// hasFence reports whether the simulation has created a fence of the target with this kind and last-seen offset.
func (s *simulation) hasFence(target Incarnation, kind ShareKind, lastSeen platform.Offset) bool {
	return slices.Contains(s.fences, Fence{Target: target, Kind: kind, LastSeen: lastSeen})
}

// usageOf returns the usage that bills state for an attempt number.
func usageOf(attempt uint64) Tokens { return Tokens(attempt * 7 % 40) }

// crashOf returns the only crash that an incarnation reports.
func crashOf(i Incarnation) *Crash {
	return &Crash{Endpoint: i.Instance, InProgress: []Fingerprint{Fingerprint(i.Number), 7}}
}

// prepaidOf returns the budget settings of a ticket. The totals rise and fall from ticket to ticket; every fifth ticket
// freezes the budget.
func prepaidOf(budget string, ticket uint64) *Prepaid {
	return &Prepaid{
		Budget: budget, Ticket: ticket, Total: Tokens(100 + ticket*53%300), Frozen: ticket%5 == 0,
		Reserve: ReservePolicy{Share: 20, ForfeitResidue: ticket%2 == 0},
	}
}
