package ledger

import (
	"maps"
	"slices"
)

// Budget returns the state of the budget with the given name, and false if the ledger has none.
func (s *State) Budget(name string) (BudgetView, bool) {
	b := s.budgets.find(name)
	if b == nil {
		return BudgetView{}, false
	}
	return b.view(), true
}

// Budgets returns the state of all budgets, sorted by name.
func (s *State) Budgets() []BudgetView {
	views := make([]BudgetView, 0, s.budgets.size)
	for _, b := range s.budgets.sorted() {
		views = append(views, b.view())
	}
	return views
}

// view returns a copy of the budget's state and of its shares.
func (b *budget) view() BudgetView {
	view := BudgetView{
		Budget: b.name, Ticket: b.ticket, Prepaid: b.prepaid, Spent: b.spent, Shared: b.shared,
		Frozen: b.frozen, Reserve: ReservePolicy{Share: b.reserveShare, ForfeitResidue: b.forfeitsResidue},
		OpenRequests: int(b.opens),
	}
	if len(b.shares) == 0 {
		return view
	}
	view.Holders = make([]HolderView, len(b.shares))
	for i := range b.shares {
		view.Holders[i] = b.shares[i].view()
	}
	return view
}

// view returns a copy of the share.
func (h *share) view() HolderView {
	return HolderView{
		Incarnation: h.member.incarnation,
		WorkingFree: h.free[Working], ReserveFree: h.free[Reserve],
		WorkingReserved: h.reserved[Working], ReserveReserved: h.reserved[Reserve],
	}
}

// Holder returns the part of a budget that an incarnation holds, with zero amounts if it holds none.
func (s *State) Holder(name string, i Incarnation) HolderView {
	b := s.budgets.find(name)
	m, ok := s.members[i]
	if b != nil && ok {
		if h := b.shareOf(m); h != nil {
			return h.view()
		}
	}
	return HolderView{Incarnation: i}
}

// Incarnations returns the state of all live and suspended incarnations, sorted by instance and number.
func (s *State) Incarnations() []IncarnationView {
	views := make([]IncarnationView, 0, len(s.members))
	for _, m := range s.sortedMembers() {
		views = append(views, IncarnationView{
			Incarnation: m.incarnation, Join: m.join, Heartbeat: m.heartbeat,
			LastSeen: m.lastSeen, Suspended: m.status == suspended,
		})
	}
	return views
}

// sortedMembers returns the live and suspended incarnations, sorted by instance and number.
func (s *State) sortedMembers() []*member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b *member) int {
		return a.incarnation.compare(b.incarnation)
	})
}

// HighestIncarnation returns the highest number of any incarnation of an instance, ended ones included; 0 if none
// has joined.
func (s *State) HighestIncarnation(instance string) uint64 {
	highest := s.ended[instance]
	for i := range s.members {
		if i.Instance == instance {
			highest = max(highest, i.Number)
		}
	}
	return highest
}

// HasEnded reports whether an incarnation has ended, or can no longer join because a later one of its instance has.
func (s *State) HasEnded(i Incarnation) bool {
	_, known := s.members[i]
	return !known && i.Number <= s.ended[i.Instance]
}

// RequestView is the information that the ledger keeps on a request identifier.
type RequestView struct {
	// Open is true if a reservation of the request is neither billed nor released.
	Open bool
	// Billed is true if the request has been billed. A further attempt of an idempotent request then costs nothing.
	Billed bool
}

// Request returns the information on a request identifier; the zero value if the identifier is unknown or its
// window has ended.
func (s *State) Request(id RequestIdentifier) RequestView {
	q, _ := s.requests.find(id)
	return RequestView{Open: q.opens > 0, Billed: q.billed}
}

// AppliedSequence returns the highest sequence number of a live or suspended incarnation up to which all records have
// been applied without a gap; 0 if the incarnation is neither.
func (s *State) AppliedSequence(i Incarnation) uint64 {
	m, ok := s.members[i]
	switch {
	case !ok:
		return 0
	case len(m.missing) > 0:
		return m.missing[0].From - 1
	default:
		return m.applied
	}
}

// IsLive reports whether an incarnation has joined and has neither left nor been fenced.
func (s *State) IsLive(i Incarnation) bool {
	m, ok := s.members[i]
	return ok && m.status == live
}
