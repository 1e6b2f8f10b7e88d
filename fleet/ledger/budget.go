package ledger

import (
	"maps"
	"slices"
	"strings"
)

// budget is the state of a prepaid budget: spent + shared ≤ prepaid.
type budget struct {
	name    string
	ticket  uint64
	prepaid Tokens
	spent   Tokens
	shared  Tokens
	reserve ReservePolicy
	// shares are sorted by incarnation.
	shares []*share
	// opens counts the reservations that are neither billed nor released.
	opens  int
	frozen bool
}

// share is what one incarnation holds of a budget; both fields are indexed by ShareKind.
type share struct {
	member   *member
	free     [2]Tokens
	reserved [2]Tokens
}

// available returns what a draw could be granted.
func (b *budget) available() Tokens { return b.prepaid - b.spent - b.shared }

// isEmpty reports whether nothing is held.
func (h *share) isEmpty() bool { return h.free == [2]Tokens{} && h.reserved == [2]Tokens{} }

// prepay puts a ticket's total in force.
func (s *State) prepay(r *Prepaid) {
	b, ok := s.budgets[r.Budget]
	if ok && r.Ticket <= b.ticket {
		return
	}
	if ok && r.Total < b.spent+b.shared {
		s.emit(&PrepaidRefused{Budget: r.Budget, Ticket: r.Ticket, Needed: b.spent + b.shared})
		return
	}
	if !ok {
		b = s.addBudget(r.Budget)
	}
	b.ticket = r.Ticket
	b.prepaid = r.Total
	b.frozen = r.Frozen
	b.reserve = r.Reserve
	s.emit(&PrepaidAccepted{Budget: r.Budget, Ticket: r.Ticket})
}

// addBudget adds an empty budget.
func (s *State) addBudget(name string) *budget {
	if s.budgets == nil {
		s.budgets = make(map[string]*budget)
	}
	b := &budget{name: name}
	s.budgets[name] = b
	return b
}

// draw grants a share or records the unmet demand.
func (s *State) draw(m *member, r *Draw) {
	b, ok := s.budgets[r.Budget]
	if !ok {
		s.refuseDraw(m, r, UnknownBudget)
		return
	}
	if b.frozen {
		s.refuseDraw(m, r, FrozenBudget)
		return
	}
	amount := min(r.Wanted, b.available())
	if r.Minimum <= 0 || amount < r.Minimum {
		s.refuseDraw(m, r, Insufficient)
		return
	}
	b.shared += amount
	b.shareOf(m).free[r.Kind] += amount
	s.emit(&Granted{Incarnation: m.incarnation, Budget: r.Budget, Kind: r.Kind, Amount: amount})
}

// refuseDraw records an unmet demand.
func (s *State) refuseDraw(m *member, r *Draw, reason RefusalReason) {
	refused := &DrawRefused{Incarnation: m.incarnation, Draw: r, Reason: reason}
	if b, ok := s.budgets[r.Budget]; ok {
		refused.Available = b.available()
	}
	s.emit(refused)
}

// giveBack returns a part of a share to its budget.
func (s *State) giveBack(m *member, r *Return) {
	b, ok := s.budgets[r.Budget]
	if !ok {
		return
	}
	h, ok := m.holdings[b]
	if !ok {
		return
	}
	s.returnFree(b, h, r.Kind, r.Amount)
	b.dropIfEmpty(h)
}

// returnFree moves up to amount from the free part of a share back to the budget.
func (s *State) returnFree(b *budget, h *share, kind ShareKind, amount Tokens) {
	amount = min(amount, h.free[kind])
	if amount <= 0 {
		return
	}
	h.free[kind] -= amount
	b.shared -= amount
	s.emit(&Returned{Incarnation: h.member.incarnation, Budget: b.name, Kind: kind, Amount: amount})
}

// shareOf returns the share of an incarnation, which is made if there is none.
func (b *budget) shareOf(m *member) *share {
	if h, ok := m.holdings[b]; ok {
		return h
	}
	h := &share{member: m}
	if m.holdings == nil {
		m.holdings = make(map[*budget]*share)
	}
	m.holdings[b] = h
	position, _ := b.position(m)
	b.shares = slices.Insert(b.shares, position, h)
	return h
}

// dropIfEmpty removes a share that holds nothing.
func (b *budget) dropIfEmpty(h *share) {
	if !h.isEmpty() {
		return
	}
	delete(h.member.holdings, b)
	if position, ok := b.position(h.member); ok {
		b.shares = slices.Delete(b.shares, position, position+1)
	}
}

// position finds the share of an incarnation.
func (b *budget) position(m *member) (int, bool) {
	return slices.BinarySearchFunc(b.shares, m.incarnation, func(h *share, i Incarnation) int {
		return h.member.incarnation.compare(i)
	})
}

// settle closes an incarnation's opens of one kind and ends its shares of that kind.
func (s *State) settle(m *member, kind ShareKind) {
	s.settleOpens(m, kind)
	for _, b := range sortedHoldings(m) {
		h := m.holdings[b]
		if kind == Reserve && b.reserve.ForfeitResidue {
			s.forfeit(b, h)
		}
		s.returnFree(b, h, kind, h.free[kind])
		b.dropIfEmpty(h)
	}
}

// forfeit charges the residue of a reserve share whose holder was lost for good.
func (s *State) forfeit(b *budget, h *share) {
	amount := h.free[Reserve]
	if amount == 0 {
		return
	}
	h.free[Reserve] = 0
	b.shared -= amount
	b.spent += amount
	s.emit(&Forfeited{Incarnation: h.member.incarnation, Budget: b.name, Amount: amount})
}

// returnAll returns the free parts of all shares.
func (s *State) returnAll(m *member) {
	for _, b := range sortedHoldings(m) {
		h := m.holdings[b]
		s.returnFree(b, h, Working, h.free[Working])
		s.returnFree(b, h, Reserve, h.free[Reserve])
		b.dropIfEmpty(h)
	}
}

// sortedHoldings returns the budgets of which an incarnation holds a share, by name.
func sortedHoldings(m *member) []*budget {
	return slices.SortedFunc(maps.Keys(m.holdings), func(a, b *budget) int {
		return strings.Compare(a.name, b.name)
	})
}
