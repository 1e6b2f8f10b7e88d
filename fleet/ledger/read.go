package ledger

import (
	"maps"
	"slices"
)

// Budget returns the state of a budget.
func (s *State) Budget(name string) (BudgetView, bool) {
	b := s.budgets.find(name)
	if b == nil {
		return BudgetView{}, false
	}
	return b.view(), true
}

// Budgets returns the state of all budgets by name.
func (s *State) Budgets() []BudgetView {
	views := make([]BudgetView, 0, s.budgets.size)
	for _, b := range s.budgets.sorted() {
		views = append(views, b.view())
	}
	return views
}

// view returns a copy of a budget's state.
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

// view returns a copy of a share.
func (h *share) view() HolderView {
	return HolderView{
		Incarnation: h.member.incarnation,
		WorkingFree: h.free[Working], ReserveFree: h.free[Reserve],
		WorkingReserved: h.reserved[Working], ReserveReserved: h.reserved[Reserve],
	}
}

// Holder returns what an incarnation holds of a budget.
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

// Incarnations returns the live and the suspended incarnations in order.
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

// sortedMembers returns the live and the suspended incarnations in order.
func (s *State) sortedMembers() []*member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b *member) int {
		return a.incarnation.compare(b.incarnation)
	})
}

// HighestIncarnation returns the highest number with which an instance joined; 0 if it never did.
func (s *State) HighestIncarnation(instance string) uint64 {
	highest := s.ended[instance]
	for i := range s.members {
		if i.Instance == instance {
			highest = max(highest, i.Number)
		}
	}
	return highest
}

// HasEnded reports whether an incarnation is gone for good.
func (s *State) HasEnded(i Incarnation) bool {
	_, known := s.members[i]
	return !known && i.Number <= s.ended[i.Instance]
}

// RequestView is what the ledger remembers of a request identifier.
type RequestView struct {
	// Open says that a reservation of the request is neither billed nor released.
	Open bool
	// Billed says that the request has been billed; a further attempt of an idempotent one costs nothing.
	Billed bool
}

// Request returns what is remembered of a request identifier; zero for one that is unknown or forgotten.
func (s *State) Request(id RequestIdentifier) RequestView {
	q, _ := s.requests.find(id)
	return RequestView{Open: q.opens > 0, Billed: q.billed}
}

// AppliedSequence returns the highest sequence number of a live or suspended incarnation up to which all
// records were applied; 0 if there is none.
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

// IsLive reports whether an incarnation joined and neither left nor was fenced.
func (s *State) IsLive(i Incarnation) bool {
	m, ok := s.members[i]
	return ok && m.status == live
}
