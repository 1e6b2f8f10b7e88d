package ledger

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// oracle is a test oracle for the fold. It keeps a model of the partition, updates it from the events only, and fails
// the check if an event breaks a rule or the state differs from the model.
type oracle struct {
	t        *rapid.T
	sim      *simulation
	window   Window
	budgets  map[string]*BudgetView
	holders  map[holderKey]*HolderView
	opens    map[AttemptIdentifier]*Open
	requests map[RequestIdentifier]*oracleRequest
	members  map[Incarnation]*oracleMember
	ended    map[string]uint64
	// outcomeCounts counts the events by type and the refused opens by reason.
	outcomeCounts map[string]int
}

// holderKey identifies the share of an incarnation in a budget.
type holderKey struct {
	incarnation Incarnation
	budget      string
}

// oracleRequest is the model of a request: its first accepted open, its number of open reservations, whether it is
// billed, and the offset at which an open of it was last closed.
type oracleRequest struct {
	open     Open
	opens    int
	billed   bool
	closedAt platform.Offset
}

// oracleMember is the model of an incarnation. The field received holds its groups by first sequence number, and
// outcomes is the number of its draws, opens and crashes that had an event.
type oracleMember struct {
	suspended bool
	lastSeen  platform.Offset
	received  map[uint64]Group
	outcomes  int
	// hasSettledReserveOpen is true once an open against a reserve share of the incarnation was settled.
	hasSettledReserveOpen bool
}

// newOracle returns an oracle with an empty model.
func newOracle(t *rapid.T, sim *simulation, window Window, outcomeCounts map[string]int) *oracle {
	return &oracle{
		t: t, sim: sim, window: window, outcomeCounts: outcomeCounts,
		budgets: make(map[string]*BudgetView), holders: make(map[holderKey]*HolderView),
		opens: make(map[AttemptIdentifier]*Open), requests: make(map[RequestIdentifier]*oracleRequest),
		members: make(map[Incarnation]*oracleMember), ended: make(map[string]uint64),
	}
}

// require fails the check with the broken rule and its details unless isSatisfied is true.
func (o *oracle) require(isSatisfied bool, rule string, details ...any) {
	o.t.Helper()
	if !isSatisfied {
		o.t.Fatalf("%s: %+v", rule, details)
	}
}

// checkGroup checks the events of a group, applies them to the model and compares the state with the model.
func (o *oracle) checkGroup(offset platform.Offset, g Group, events []Event, s *State) {
	o.evictExpired(offset)
	if m, ok := o.members[g.Writer]; ok {
		if applied, _ := m.contiguousPrefix(); g.First == applied+1 {
			o.checkFirstRecord(m, g, events)
		}
		m.lastSeen = offset
		m.received[g.First] = g
	}
	for _, event := range events {
		o.outcomeCounts[fmt.Sprintf("%T", event)]++
		o.checkEvent(offset, g, event)
		for _, b := range o.budgets {
			o.require(b.Spent+b.Shared <= b.Prepaid, "spent + shared ≤ prepaid", b, event)
		}
	}
	o.compareState(s)
}

// checkFirstRecord checks that the first record of a group that is next in sequence has the event that it requires.
func (o *oracle) checkFirstRecord(m *oracleMember, g Group, events []Event) {
	kind := "none"
	if len(events) > 0 {
		kind = fmt.Sprintf("%T", events[0])
	}
	isOnlyRecord := len(g.Records) == 1 && !m.hasReceivedAfter(g)
	switch r := g.Records[0].(type) {
	case *Bill:
		open := o.opens[AttemptIdentifier{Incarnation: g.Writer, Number: r.Attempt}]
		matches := open != nil && open.Request == r.Request
		o.require(!matches || kind == "*ledger.Billed", "a bill closes its open", g, kind)
		o.require(matches || !isOnlyRecord || kind != "*ledger.Billed", "a bill without its open changes nothing", g, kind)
	case *Release:
		open := o.opens[AttemptIdentifier{Incarnation: g.Writer, Number: r.Attempt}]
		matches := open != nil && open.Request == r.Request
		o.require(!matches || kind == "*ledger.Released", "a release closes its open", g, kind)
		o.require(matches || !isOnlyRecord || kind != "*ledger.Released", "a release without its open changes nothing", g, kind)
	case *Open:
		o.require(kind == "*ledger.Opened" || kind == "*ledger.OpenRefused", "an open has an outcome", g, kind)
	case *Crash:
		o.require(m.suspended || kind == "*ledger.Crashed", "a crash of a live incarnation is reported", g, kind)
	case *Draw:
		o.require(kind == "*ledger.Granted" || kind == "*ledger.DrawRefused", "a draw has an outcome", g, kind)
	}
}

// hasReceivedAfter reports whether a group with higher sequence numbers than g has arrived.
func (m *oracleMember) hasReceivedAfter(g Group) bool {
	for first := range m.received {
		if first > g.First {
			return true
		}
	}
	return false
}

// evictExpired removes the requests whose window has ended at an offset from the model.
func (o *oracle) evictExpired(offset platform.Offset) {
	for id, r := range o.requests {
		window := o.window.NonIdempotent
		if r.open.Idempotent {
			window = o.window.Idempotent
		}
		if r.opens == 0 && uint64(offset-r.closedAt) > window {
			delete(o.requests, id)
		}
	}
}

// checkEvent checks one event against the rules and applies it to the model.
func (o *oracle) checkEvent(offset platform.Offset, g Group, event Event) {
	switch e := event.(type) {
	case *Joined:
		o.require(e.Incarnation.Number > o.ended[e.Incarnation.Instance], "an ended incarnation stays ended", e)
		o.members[e.Incarnation] = &oracleMember{lastSeen: offset, received: map[uint64]Group{g.First: g}}
	case *JoinRefused:
		o.require(e.Incarnation.Number <= o.ended[e.Incarnation.Instance], "a new incarnation may join", e)
	case *Ended:
		o.checkEnded(e)
	case *FenceRefused:
		m, ok := o.members[e.Target]
		o.require(!ok || m.lastSeen != e.LastSeen || o.sim.hasFence(e.Target, Reserve, e.LastSeen) || m.suspended,
			"a fence of an unresponsive incarnation is accepted", e)
	case *PrepaidAccepted:
		o.checkPrepaidAccepted(e)
	case *PrepaidRefused:
		b := o.budgets[e.Budget]
		o.require(e.Needed == b.Spent+b.Shared && prepaidOf(e.Budget, e.Ticket).Total < e.Needed, "a refused total is too low", e)
	case *Granted:
		o.checkGranted(e)
	case *DrawRefused:
		o.checkDrawRefused(e)
	case *Returned:
		o.adjustShare(e.Incarnation, e.Budget, e.Kind, -e.Amount, 0)
	case *Forfeited:
		o.require(o.budgets[e.Budget].Reserve.ForfeitResidue, "a residue returns unless the policy forfeits it", e)
		o.budgets[e.Budget].Spent += e.Amount
		o.adjustShare(e.Incarnation, e.Budget, Reserve, -e.Amount, 0)
	case *Crashed:
		o.checkCrashed(e)
	case *Opened:
		o.checkOpened(e)
	case *OpenRefused:
		o.checkOpenRefused(e)
	case *Billed:
		o.checkBilled(offset, e)
	case *Released:
		open := o.closeAttempt(offset, e.Attempt, e.Request)
		o.adjustShare(e.Attempt.Incarnation, open.Budget, open.Kind, open.Amount, -open.Amount)
		if r := o.requests[e.Request]; r.opens == 0 && !r.billed {
			delete(o.requests, e.Request)
		}
	}
}

// checkEnded checks the end of an incarnation's lease or of the incarnation, and applies it to the model.
func (o *oracle) checkEnded(e *Ended) {
	m := o.members[e.Incarnation]
	o.require(m != nil, "only a live incarnation ends", e)
	if !e.Left && e.Kind == Working {
		o.require(!m.suspended && o.sim.hasFence(e.Incarnation, Working, m.lastSeen), "a fence names the last-seen offset", e, m.lastSeen)
		o.require(!m.hasSettledReserveOpen, "reserve opens outlive the lease", e)
		m.suspended = true
		return
	}
	for h, v := range o.holders {
		o.require(h.incarnation != e.Incarnation || v.WorkingFree+v.WorkingReserved+v.ReserveFree+v.ReserveReserved == 0,
			"an ended incarnation holds nothing", v)
	}
	o.require(e.Left || m.suspended, "a reserve ends after the lease", e)
	delete(o.members, e.Incarnation)
	o.ended[e.Incarnation.Instance] = max(o.ended[e.Incarnation.Instance], e.Incarnation.Number)
}

// checkPrepaidAccepted checks that the ticket is the newest of its budget and applies its settings to the model.
func (o *oracle) checkPrepaidAccepted(e *PrepaidAccepted) {
	if o.budgets[e.Budget] == nil {
		o.budgets[e.Budget] = &BudgetView{Budget: e.Budget}
	}
	b := o.budgets[e.Budget]
	o.require(e.Ticket > b.Ticket, "the highest ticket wins", e)
	p := prepaidOf(e.Budget, e.Ticket)
	b.Ticket, b.Prepaid, b.Frozen, b.Reserve = e.Ticket, p.Total, p.Frozen, p.Reserve
}

// checkGranted checks that a live incarnation was granted a positive amount, and adds it to the share in the model.
func (o *oracle) checkGranted(e *Granted) {
	m := o.members[e.Incarnation]
	o.require(m != nil && !m.suspended && !o.budgets[e.Budget].Frozen, "only a live incarnation draws, and not on a frozen budget", e)
	o.require(e.Amount > 0, "a grant reaches the minimum", e)
	m.outcomes++
	o.adjustShare(e.Incarnation, e.Budget, e.Kind, e.Amount, 0)
}

// checkDrawRefused checks that the refused draw could not have been granted.
func (o *oracle) checkDrawRefused(e *DrawRefused) {
	m := o.members[e.Incarnation]
	m.outcomes++
	b := o.budgets[e.Draw.Budget]
	if b == nil {
		o.require(e.Reason == UnknownBudget || m.suspended, "the budget is unknown", e)
		return
	}
	o.require(e.Available == b.Available(), "a refusal states what is available", e)
	unmet := e.Draw.Minimum == 0 || min(e.Draw.Wanted, b.Available()) < e.Draw.Minimum
	o.require(m.suspended || b.Frozen || unmet, "a draw that can be met is granted", e)
}

// checkCrashed checks that a live incarnation reported the crash and that its contents are unchanged.
func (o *oracle) checkCrashed(e *Crashed) {
	m := o.members[e.Incarnation]
	o.require(m != nil && !m.suspended, "only a live incarnation reports crashes", e)
	o.requireEqual(crashOf(e.Incarnation), e.Crash)
	m.outcomes++
}

// checkOpened checks that the accepted open breaks no rule and adds its reservation to the model.
func (o *oracle) checkOpened(e *Opened) {
	m := o.members[e.Attempt.Incarnation]
	o.require(m != nil && (!m.suspended || e.Open.Kind == Reserve), "a suspended incarnation spends only reserve", e)
	o.require(!o.budgets[e.Open.Budget].Frozen, "a frozen budget accepts no open", e)
	o.require(o.opens[e.Attempt] == nil, "an attempt has at most one reservation", e)
	m.outcomes++
	r := o.requests[e.Open.Request]
	if r == nil {
		r = &oracleRequest{open: *e.Open}
		o.requests[e.Open.Request] = r
	}
	o.require(r.open.Fingerprint == e.Open.Fingerprint && r.open.Idempotent == e.Open.Idempotent, "a request keeps its contents", e)
	o.require(e.Open.Idempotent || (r.opens == 0 && !r.billed), "a non-idempotent request runs at most once", e)
	o.require(r.billed == e.AlreadyBilled, "a billed request costs nothing more", e)
	r.opens++
	open := *e.Open
	if r.billed {
		open.Amount = 0
	}
	o.opens[e.Attempt] = &open
	o.adjustShare(e.Attempt.Incarnation, open.Budget, open.Kind, -open.Amount, open.Amount)
}

// checkOpenRefused checks the refusal reasons that depend on earlier opens of the same request.
func (o *oracle) checkOpenRefused(e *OpenRefused) {
	o.outcomeCounts[string(e.Reason)]++
	o.members[e.Attempt.Incarnation].outcomes++
	r := o.requests[e.Open.Request]
	switch e.Reason {
	case AlreadyRan:
		o.require(r != nil && r.billed && !r.open.Idempotent, "a request that may run is not refused", e)
	case AlreadyOpen:
		o.require(r != nil && r.opens > 0 && !r.open.Idempotent, "a request that may run is not refused", e)
	case FingerprintMismatch:
		o.require(r != nil && r.open.Fingerprint != e.Open.Fingerprint, "equal contents are accepted", e)
	}
}

// checkBilled checks the charged amount, closes the open in the model and adds the amount to the budget's spending.
func (o *oracle) checkBilled(offset platform.Offset, e *Billed) {
	if e.Settled && o.opens[e.Attempt].Kind == Reserve {
		o.members[e.Attempt.Incarnation].hasSettledReserveOpen = true
	}
	wasBilled := o.requests[e.Request].billed
	open := o.closeAttempt(offset, e.Attempt, e.Request)
	expected := open.Amount
	if !e.Settled {
		expected = min(open.Amount, usageOf(e.Attempt.Number))
	}
	if wasBilled {
		expected = 0
	}
	o.require(e.Charged == expected, "the first bill is charged, up to its reservation", e, expected)
	o.requests[e.Request].billed = true
	o.budgets[open.Budget].Spent += e.Charged
	o.adjustShare(e.Attempt.Incarnation, open.Budget, open.Kind, open.Amount-e.Charged, -open.Amount)
}

// closeAttempt removes the reservation of an attempt from the model and returns its open.
func (o *oracle) closeAttempt(offset platform.Offset, attempt AttemptIdentifier, request RequestIdentifier) *Open {
	open := o.opens[attempt]
	o.require(open != nil && open.Request == request, "a bill closes its own open", attempt)
	delete(o.opens, attempt)
	o.requests[request].opens--
	o.requests[request].closedAt = offset
	return open
}

// adjustShare adds to the free and reserved tokens of a holder's share in the model, and checks that the result is valid.
func (o *oracle) adjustShare(i Incarnation, budget string, kind ShareKind, free, reserved Tokens) {
	h := holderKey{incarnation: i, budget: budget}
	if o.holders[h] == nil {
		o.holders[h] = &HolderView{Incarnation: i}
	}
	v := o.holders[h]
	if kind == Reserve {
		v.ReserveFree += free
		v.ReserveReserved += reserved
	} else {
		v.WorkingFree += free
		v.WorkingReserved += reserved
	}
	o.budgets[budget].Shared += free + reserved
	o.require(v.WorkingFree >= 0 && v.ReserveFree >= 0 && v.WorkingReserved >= 0 && v.ReserveReserved >= 0, "no part of a share is negative", v)
	m := o.members[i]
	o.require(v.WorkingFree+v.WorkingReserved == 0 || m != nil && !m.suspended, "a suspended incarnation holds only reserve", v)
}
