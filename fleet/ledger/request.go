package ledger

import (
	"maps"
	"slices"
)

// reservation is an accepted open that is neither billed nor released yet.
type reservation struct {
	request RequestIdentifier
	// amount is the reserved amount of tokens; zero if the request was billed before this open.
	amount Tokens
	// budgetSlot is the index of the budget in the budgetTable.
	budgetSlot uint32
	kind       ShareKind
}

// open applies an Open record: it reserves the maximum cost of an attempt in the writer's share, or refuses
// the open. For a request that was billed before, it reserves nothing.
func (s *State) open(m *member, r *Open, b *budget) {
	previous, hasPrevious := s.requests.find(r.Request)
	if reason := m.checkOpen(r, b, previous, hasPrevious); reason != "" {
		s.emit(&OpenRefused{Attempt: m.attemptIdentifier(r.Attempt), Open: r, Reason: reason})
		return
	}
	amount := r.Amount
	if previous.billed {
		amount = 0
	}
	if amount > 0 {
		h := b.shareOf(m)
		h.free[r.Kind] -= amount
		h.reserved[r.Kind] += amount
	}
	if m.opens == nil {
		m.opens = make(map[uint64]reservation)
	}
	m.opens[r.Attempt] = reservation{request: r.Request, budgetSlot: b.slot, amount: amount, kind: r.Kind}
	m.attempts.add(r.Attempt)
	b.opens++
	s.requests.addOpen(r, previous)
	s.emit(&Opened{Attempt: m.attemptIdentifier(r.Attempt), Open: r, AlreadyBilled: previous.billed})
}

// checkOpen returns the reason to refuse an open, or an empty string to accept it. The checks against earlier opens
// of the request come first, because the reason that they return tells the caller whether an earlier attempt may have
// run.
func (m *member) checkOpen(r *Open, b *budget, previous request, hasPrevious bool) RefusalReason {
	if hasPrevious {
		if reason := previous.checkReopen(r); reason != "" {
			return reason
		}
	}
	if m.attempts.contains(r.Attempt) {
		return DuplicateAttempt
	}
	if m.status == suspended && r.Kind == Working {
		return NotLive
	}
	switch {
	case b == nil:
		return UnknownBudget
	case b.frozen:
		return FrozenBudget
	case !previous.billed && !m.canReserve(b, r):
		return Insufficient
	default:
		return ""
	}
}

// checkReopen returns the reason why a request that was opened before can't be opened again, or an empty
// string if it can.
func (q request) checkReopen(r *Open) RefusalReason {
	switch {
	case q.fingerprint != r.Fingerprint || q.idempotent != r.Idempotent:
		return FingerprintMismatch
	case q.idempotent:
		return ""
	case q.billed:
		return AlreadyRan
	default:
		return AlreadyOpen
	}
}

// canReserve reports whether the free tokens of the incarnation's share cover the amount of an open.
func (m *member) canReserve(b *budget, r *Open) bool {
	if h := b.shareOf(m); h != nil {
		return h.free[r.Kind] >= r.Amount
	}
	return r.Amount <= 0
}

// attemptIdentifier returns the identifier of the incarnation's attempt with the given number.
func (m *member) attemptIdentifier(number uint64) AttemptIdentifier {
	return AttemptIdentifier{Incarnation: m.incarnation, Number: number}
}

// bill applies a Bill record: it closes an open and charges the usage, at most the reserved amount.
func (s *State) bill(m *member, r *Bill) {
	o, ok := m.opens[r.Attempt]
	if !ok || o.request != r.Request {
		s.counters.Unmatched++
		return
	}
	s.charge(m, r.Attempt, o, min(r.Usage, o.amount), false)
}

// charge closes an open and marks its request as billed. It charges the amount to the budget unless the request
// was billed before; settled is true if a leave or a fence closes the open.
func (s *State) charge(m *member, attempt uint64, o reservation, amount Tokens, settled bool) {
	q := s.requests.open[o.request]
	if q.billed {
		amount = 0
	}
	q.billed = true
	b := s.budgets.at(o.budgetSlot)
	b.closeOpen(m, attempt, o, amount)
	s.requests.closeOpen(o.request, q, s.next)
	s.emit(&Billed{
		Attempt: m.attemptIdentifier(attempt), Request: o.request, Budget: b.name, Charged: amount, Settled: settled,
	})
}

// release applies a Release record: it closes, without a charge, an open whose attempt did not run.
func (s *State) release(m *member, r *Release) {
	o, ok := m.opens[r.Attempt]
	if !ok || o.request != r.Request {
		s.counters.Unmatched++
		return
	}
	s.budgets.at(o.budgetSlot).closeOpen(m, r.Attempt, o, 0)
	s.requests.release(o.request, s.next)
	s.emit(&Released{Attempt: m.attemptIdentifier(r.Attempt), Request: r.Request})
}

// closeOpen removes a reservation, charges a part of it to the budget and adds the rest to the free tokens of
// the share.
func (b *budget) closeOpen(m *member, attempt uint64, o reservation, charged Tokens) {
	delete(m.opens, attempt)
	b.opens--
	if o.amount == 0 {
		return
	}
	b.shared -= charged
	b.spent += charged
	h := b.shareOf(m)
	h.reserved[o.kind] -= o.amount
	h.free[o.kind] += o.amount - charged
	b.removeIfEmpty(h)
}

// settleOpens closes all opens of an incarnation against shares of one kind. The usage of their attempts is
// unknown, so an open whose request is not billed yet is charged its whole reservation.
func (s *State) settleOpens(m *member, kind ShareKind) {
	for _, attempt := range slices.Sorted(maps.Keys(m.opens)) {
		if o := m.opens[attempt]; o.kind == kind {
			s.charge(m, attempt, o, o.amount, true)
		}
	}
}
