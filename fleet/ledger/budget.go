package ledger

import (
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// budgetChunkSize is the number of budgets in one allocation of a budgetTable.
const budgetChunkSize = 256

// budgetTable holds the budgets of a partition in insertion order. It allocates them in chunks, so that they
// lie close together in memory and the address of a budget never changes.
type budgetTable struct {
	chunks [][]budget
	size   int
	index  index[string]
}

// budget is the state of a prepaid budget. All amounts are in tokens. The field shared is the sum of all shares, and
// spent + shared ≤ prepaid always holds.
type budget struct {
	name    string
	ticket  uint64
	prepaid Tokens
	spent   Tokens
	shared  Tokens
	// reserveShare is the reserve share, in tokens, that each router tries to hold by the budget's ReservePolicy.
	reserveShare Tokens
	// shares holds the shares of the budget, sorted by incarnation.
	shares []share
	// opens is the number of reservations on the budget that are neither billed nor released.
	opens uint32
	// slot is the index of the budget in its budgetTable.
	slot uint32
	// snapshotIndex is the index of the budget in the snapshot that is being encoded.
	snapshotIndex   uint32
	frozen          bool
	forfeitsResidue bool
}

// share is the part of a budget that one incarnation holds, in tokens. The free and reserved arrays are
// indexed by ShareKind.
type share struct {
	member   *member
	free     [2]Tokens
	reserved [2]Tokens
}

// nameDigest returns the digest of a budget's name under which the index stores the budget.
func nameDigest(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// at returns the budget in a slot of the table.
func (t *budgetTable) at(slot uint32) *budget {
	return &t.chunks[slot/budgetChunkSize][slot%budgetChunkSize]
}

// isAt reports whether the budget in a slot has the given name.
func (t *budgetTable) isAt(slot uint32, name string) bool { return t.at(slot).name == name }

// find returns the budget with the given name, or nil if the table has none.
func (t *budgetTable) find(name string) *budget {
	slot, ok := t.index.find(name, nameDigest(name), t.isAt)
	if !ok {
		return nil
	}
	return t.at(slot)
}

// candidate returns the first budget that was added with the digest of the given name, or nil if there is none. It
// doesn't read the budget's name; the caller must compare it, because another name may have the same digest.
func (t *budgetTable) candidate(name string) *budget {
	slot, ok := t.index.byDigest[nameDigest(name)]
	if !ok {
		return nil
	}
	return t.at(slot)
}

// add adds an empty budget. The name must not be in the table yet.
func (t *budgetTable) add(name string) *budget {
	slot := uint32(t.size)
	if slot%budgetChunkSize == 0 {
		t.chunks = append(t.chunks, make([]budget, 0, budgetChunkSize))
	}
	last := &t.chunks[len(t.chunks)-1]
	*last = append(*last, budget{name: name, slot: slot})
	t.size++
	t.index.add(name, nameDigest(name), slot)
	return t.at(slot)
}

// all iterates over the budgets in insertion order.
func (t *budgetTable) all() iter.Seq[*budget] {
	return func(yield func(*budget) bool) {
		for _, chunk := range t.chunks {
			for i := range chunk {
				if !yield(&chunk[i]) {
					return
				}
			}
		}
	}
}

// sorted returns the budgets sorted by name.
func (t *budgetTable) sorted() []*budget {
	budgets := slices.AppendSeq(make([]*budget, 0, t.size), t.all())
	slices.SortFunc(budgets, compareNames)
	return budgets
}

// compareNames orders budgets by name.
func compareNames(a, b *budget) int { return strings.Compare(a.name, b.name) }

// available returns the amount of tokens that draws can still be granted from the budget.
func (b *budget) available() Tokens { return b.prepaid - b.spent - b.shared }

// isEmpty reports whether the share has neither free nor reserved tokens.
func (h *share) isEmpty() bool { return h.free == [2]Tokens{} && h.reserved == [2]Tokens{} }

// prepay applies the budget settings of a change ticket. It ignores tickets that aren't newer than the one in
// force, and refuses a total below the tokens that are spent or held in shares.
func (s *State) prepay(r *Prepaid, b *budget) {
	if b != nil && r.Ticket <= b.ticket {
		return
	}
	if b != nil && r.Total < b.spent+b.shared {
		s.emit(&PrepaidRefused{Budget: r.Budget, Ticket: r.Ticket, Needed: b.spent + b.shared})
		return
	}
	if b == nil {
		b = s.budgets.add(r.Budget)
	}
	b.ticket = r.Ticket
	b.prepaid = r.Total
	b.frozen = r.Frozen
	b.reserveShare = r.Reserve.Share
	b.forfeitsResidue = r.Reserve.ForfeitResidue
	s.emit(&PrepaidAccepted{Budget: r.Budget, Ticket: r.Ticket})
}

// draw grants tokens of a budget to an incarnation's share, or reports the unmet demand.
func (s *State) draw(m *member, r *Draw, b *budget) {
	if b == nil {
		s.refuseDraw(m, r, b, UnknownBudget)
		return
	}
	if b.frozen {
		s.refuseDraw(m, r, b, FrozenBudget)
		return
	}
	amount := min(r.Wanted, b.available())
	if r.Minimum <= 0 || amount < r.Minimum {
		s.refuseDraw(m, r, b, Insufficient)
		return
	}
	b.shared += amount
	b.addShare(m).free[r.Kind] += amount
	s.emit(&Granted{Incarnation: m.incarnation, Budget: r.Budget, Kind: r.Kind, Amount: amount})
}

// refuseDraw emits a DrawRefused event. The budget may be nil if it is unknown.
func (s *State) refuseDraw(m *member, r *Draw, b *budget, reason RefusalReason) {
	refused := &DrawRefused{Incarnation: m.incarnation, Draw: r, Reason: reason}
	if b != nil {
		refused.Available = b.available()
	}
	s.emit(refused)
}

// returnTokens applies a Return record: it moves free tokens of an incarnation's share back to the budget.
func (s *State) returnTokens(m *member, r *Return, b *budget) {
	if b == nil {
		return
	}
	if h := b.shareOf(m); h != nil {
		s.returnFree(b, h, r.Kind, r.Amount)
		b.removeIfEmpty(h)
	}
}

// returnFree moves up to amount tokens from the free part of a share back to the budget.
func (s *State) returnFree(b *budget, h *share, kind ShareKind, amount Tokens) {
	amount = min(amount, h.free[kind])
	if amount <= 0 {
		return
	}
	h.free[kind] -= amount
	b.shared -= amount
	s.emit(&Returned{Incarnation: h.member.incarnation, Budget: b.name, Kind: kind, Amount: amount})
}

// shareOf returns the share of an incarnation, or nil if it holds none. The pointer is valid only until a
// share of the budget is added or removed.
func (b *budget) shareOf(m *member) *share {
	for i := range b.shares {
		if b.shares[i].member == m {
			return &b.shares[i]
		}
	}
	return nil
}

// addShare returns the share of an incarnation. It creates an empty share if the incarnation holds none.
func (b *budget) addShare(m *member) *share {
	if h := b.shareOf(m); h != nil {
		return h
	}
	position, _ := slices.BinarySearchFunc(b.shares, m.incarnation, func(h share, i Incarnation) int {
		return h.member.incarnation.compare(i)
	})
	if len(b.shares) == cap(b.shares) {
		b.growShares()
	}
	b.shares = slices.Insert(b.shares, position, share{member: m})
	m.shareCount++
	return &b.shares[position]
}

// growShares increases the capacity of the slice of shares to one more than its length plus a quarter. Most
// budgets have few holders that rarely change, so doubling the capacity as append does would waste memory.
func (b *budget) growShares() {
	shares := make([]share, len(b.shares), len(b.shares)+1+len(b.shares)/4)
	copy(shares, b.shares)
	b.shares = shares
}

// removeIfEmpty removes a share from the budget if it has neither free nor reserved tokens.
func (b *budget) removeIfEmpty(h *share) {
	if !h.isEmpty() {
		return
	}
	m := h.member
	m.shareCount--
	b.shares = slices.DeleteFunc(b.shares, func(h share) bool { return h.member == m })
	if len(b.shares) == 0 {
		b.shares = nil
	}
}

// settle closes all opens of an incarnation against shares of one kind, charging their reservations, and then
// returns or forfeits the free tokens of these shares.
func (s *State) settle(m *member, kind ShareKind) {
	s.settleOpens(m, kind)
	for _, b := range s.budgetsHeldBy(m) {
		h := b.shareOf(m)
		if kind == Reserve && b.forfeitsResidue {
			s.forfeitResidue(b, h)
		}
		s.returnFree(b, h, kind, h.free[kind])
		b.removeIfEmpty(h)
	}
}

// forfeitResidue charges the free tokens of a reserve share to its budget.
func (s *State) forfeitResidue(b *budget, h *share) {
	amount := h.free[Reserve]
	if amount == 0 {
		return
	}
	h.free[Reserve] = 0
	b.shared -= amount
	b.spent += amount
	s.emit(&Forfeited{Incarnation: h.member.incarnation, Budget: b.name, Amount: amount})
}

// returnAllShares moves the free tokens of all shares of an incarnation back to their budgets.
func (s *State) returnAllShares(m *member) {
	for _, b := range s.budgetsHeldBy(m) {
		h := b.shareOf(m)
		s.returnFree(b, h, Working, h.free[Working])
		s.returnFree(b, h, Reserve, h.free[Reserve])
		b.removeIfEmpty(h)
	}
}

// budgetsHeldBy returns the budgets in which an incarnation holds a share, sorted by name. It scans the whole table
// instead of an index per incarnation, because it is called only when an incarnation leaves or is fenced, which is rare.
func (s *State) budgetsHeldBy(m *member) []*budget {
	var budgets []*budget
	for b := range s.budgets.all() {
		if m.shareCount == len(budgets) {
			break
		}
		if b.shareOf(m) != nil {
			budgets = append(budgets, b)
		}
	}
	slices.SortFunc(budgets, compareNames)
	return budgets
}
