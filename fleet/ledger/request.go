package ledger

import (
	"maps"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// reservation is an accepted open that is neither billed nor released.
type reservation struct {
	request RequestIdentifier
	budget  *budget
	// amount is zero if the request had been billed before.
	amount Tokens
	kind   ShareKind
}

// open reserves the cost of an attempt.
func (s *State) open(m *member, r *Open) {
	known, isKnown := s.requests.known[r.Request]
	b := s.budgets.byName[r.Budget]
	if reason := m.checkOpen(r, b, known, isKnown); reason != "" {
		s.emit(&OpenRefused{Attempt: m.attempt(r.Attempt), Open: r, Reason: reason})
		return
	}
	amount := r.Amount
	if known.billed {
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
	m.opens[r.Attempt] = reservation{request: r.Request, budget: b, amount: amount, kind: r.Kind}
	m.attempts.add(r.Attempt)
	b.opens++
	s.requests.open(r, known)
	s.emit(&Opened{Attempt: m.attempt(r.Attempt), Open: r, AlreadyBilled: known.billed})
}

// checkOpen returns why an open is refused; empty if it is accepted. What is known of the request comes
// first, because it says whether an earlier attempt may have run.
func (m *member) checkOpen(r *Open, b *budget, known request, isKnown bool) RefusalReason {
	if isKnown {
		if reason := known.check(r); reason != "" {
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
	case !known.billed && !m.canReserve(b, r):
		return Insufficient
	default:
		return ""
	}
}

// check returns why a known request can't be opened again; empty if it can.
func (q request) check(r *Open) RefusalReason {
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

// canReserve reports whether the free part of the share covers an open.
func (m *member) canReserve(b *budget, r *Open) bool {
	if h := b.shareOf(m); h != nil {
		return h.free[r.Kind] >= r.Amount
	}
	return r.Amount <= 0
}

// attempt returns the identifier of an attempt of the incarnation.
func (m *member) attempt(number uint64) AttemptIdentifier {
	return AttemptIdentifier{Incarnation: m.incarnation, Number: number}
}

// bill closes an open with its usage.
func (s *State) bill(m *member, r *Bill) {
	o, ok := m.opens[r.Attempt]
	if !ok || o.request != r.Request {
		s.counters.Unmatched++
		return
	}
	s.charge(m, r.Attempt, o, min(r.Usage, o.amount), false)
}

// charge closes an open and charges an amount, unless its request was billed before.
func (s *State) charge(m *member, attempt uint64, o reservation, amount Tokens, settled bool) {
	q := s.requests.known[o.request]
	if q.billed {
		amount = 0
	}
	q.billed = true
	s.closeOpen(m, attempt, o, amount)
	s.requests.closeOne(o.request, q, s.next)
	s.emit(&Billed{
		Attempt: m.attempt(attempt), Request: o.request, Budget: o.budget.name, Charged: amount, Settled: settled,
	})
}

// release closes an open whose attempt was not run.
func (s *State) release(m *member, r *Release) {
	o, ok := m.opens[r.Attempt]
	if !ok || o.request != r.Request {
		s.counters.Unmatched++
		return
	}
	s.closeOpen(m, r.Attempt, o, 0)
	s.requests.release(o.request, s.next)
	s.emit(&Released{Attempt: m.attempt(r.Attempt), Request: r.Request})
}

// closeOpen takes the reservation off its share, charges a part of it and makes the rest free again.
func (s *State) closeOpen(m *member, attempt uint64, o reservation, charged Tokens) {
	delete(m.opens, attempt)
	o.budget.opens--
	if o.amount == 0 {
		return
	}
	o.budget.shared -= charged
	o.budget.spent += charged
	h := o.budget.shareOf(m)
	h.reserved[o.kind] -= o.amount
	h.free[o.kind] += o.amount - charged
	o.budget.dropIfEmpty(h)
}

// settleOpens closes an incarnation's opens of one kind: each whose request is not yet billed is charged
// its whole reservation.
func (s *State) settleOpens(m *member, kind ShareKind) {
	for _, attempt := range slices.Sorted(maps.Keys(m.opens)) {
		if o := m.opens[attempt]; o.kind == kind {
			s.charge(m, attempt, o, o.amount, true)
		}
	}
}

// request is what is remembered of a request identifier: it has an open, or it was billed.
type request struct {
	fingerprint Fingerprint
	// closed is the state's next offset after its last open was closed; 0 if it never was.
	closed     platform.Offset
	opens      uint32
	idempotent bool
	billed     bool
}

// requestTable remembers request identifiers.
type requestTable struct {
	known map[RequestIdentifier]request
	// closed lists closed identifiers in the order of their offsets; non-idempotent ones and idempotent
	// ones apart.
	closed [2]closedQueue
}

// open counts an accepted open of a request.
func (t *requestTable) open(r *Open, q request) {
	if t.known == nil {
		t.known = make(map[RequestIdentifier]request)
	}
	q.fingerprint = r.Fingerprint
	q.idempotent = r.Idempotent
	q.opens++
	t.known[r.Request] = q
}

// release closes one of a request's opens and forgets a request that has no other and no bill.
func (t *requestTable) release(id RequestIdentifier, next platform.Offset) {
	q := t.known[id]
	if q.opens == 1 && !q.billed {
		delete(t.known, id)
		return
	}
	t.closeOne(id, q, next)
}

// closeOne closes one of a request's opens; the window starts with the last one. A request that is closed
// twice by one entry is listed once.
func (t *requestTable) closeOne(id RequestIdentifier, q request, next platform.Offset) {
	q.opens--
	if q.opens == 0 && q.closed != next {
		q.closed = next
		t.closed[queueOf(q)].push(closedRequest{closed: next, id: id})
	}
	t.known[id] = q
}
