package ledger

import (
	"errors"
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// ErrInconsistentSnapshot reports a snapshot whose sections contradict each other.
var ErrInconsistentSnapshot = errors.New("snapshot sections are inconsistent")

// snapshotReader decodes the data of a snapshot. After the first error, which it keeps in err, its methods do nothing.
type snapshotReader struct {
	rest []byte
	err  error
}

// readRow decodes the next row into target.
func (r *snapshotReader) readRow(target codec) {
	if r.err == nil {
		r.rest, r.err = target.UnmarshalMsg(r.rest)
	}
}

// readArrayHeader returns the length of the array that starts next. Each element takes at least one byte, so a
// length above the number of remaining bytes is refused before the caller allocates memory for it.
func (r *snapshotReader) readArrayHeader() int {
	if r.err != nil {
		return 0
	}
	var n uint32
	n, r.rest, r.err = msgp.ReadArrayHeaderBytes(r.rest)
	if r.err == nil && int64(n) > int64(len(r.rest)) {
		r.err = msgp.ErrShortBytes
	}
	if r.err != nil {
		return 0
	}
	return int(n)
}

// readUint64 returns the next unsigned integer.
func (r *snapshotReader) readUint64() uint64 {
	var n uint64
	if r.err == nil {
		n, r.rest, r.err = msgp.ReadUint64Bytes(r.rest)
	}
	return n
}

// require sets the reader's error to ErrInconsistentSnapshot if the condition is false.
func (r *snapshotReader) require(isConsistent bool) {
	if r.err == nil && !isConsistent {
		r.err = ErrInconsistentSnapshot
	}
}

// loadState decodes the data of a snapshot into a state and checks that its sections are consistent.
func loadState(data []byte) (*State, error) {
	r := &snapshotReader{rest: data}
	var header snapshotHeader
	r.readRow(&header)
	if r.err == nil && header.Version != snapshotVersion {
		return nil, fmt.Errorf("loading a snapshot: %w %d", ErrUnknownVersion, header.Version)
	}
	s := &State{
		Window: Window{Idempotent: header.Idempotent, NonIdempotent: header.NonIdempotent},
		next:   platform.Offset(header.Next),
	}
	var members []*member
	for n := r.readArrayHeader(); n > 0 && r.err == nil; n-- {
		members = append(members, s.loadMember(r))
	}
	budgets := s.loadBudgets(r, members)
	s.loadOpenRequests(r)
	for _, m := range members {
		s.loadOpens(r, m, budgets)
	}
	s.loadClosed(r, idempotentQueue)
	s.loadClosed(r, nonIdempotentQueue)
	s.loadEnded(r)
	r.require(len(r.rest) == 0)
	s.checkOpens(r)
	if r.err != nil {
		return nil, fmt.Errorf("loading a snapshot: %w", r.err)
	}
	return s, nil
}

// loadBudgets reads the section of the budgets with their shares. It returns the budgets in the order of the snapshot.
func (s *State) loadBudgets(r *snapshotReader, members []*member) []*budget {
	n := r.readArrayHeader()
	budgets := make([]*budget, 0, n)
	s.budgets.index = newIndex[string](n)
	var row budgetRow
	for ; n > 0 && r.err == nil; n-- {
		r.readRow(&row)
		r.require(s.budgets.find(row.Name) == nil)
		if r.err != nil {
			break
		}
		b := s.budgets.add(row.Name)
		b.ticket = row.Ticket
		b.prepaid, b.spent = Tokens(row.Prepaid), Tokens(row.Spent)
		b.frozen = row.Frozen
		b.reserveShare, b.forfeitsResidue = Tokens(row.Share), row.Forfeit
		r.require(b.spent >= 0 && b.spent <= b.prepaid)
		b.loadShares(r, members)
		budgets = append(budgets, b)
	}
	return budgets
}

// loadOpenRequests reads the section of the requests with open reservations. Their numbers of opens aren't stored;
// loadOpens counts them from the reservations of the incarnations.
func (s *State) loadOpenRequests(r *snapshotReader) {
	n := r.readArrayHeader()
	s.requests.open = make(map[RequestIdentifier]request, n)
	var row requestRow
	for ; n > 0 && r.err == nil; n-- {
		r.readRow(&row)
		s.requests.open[row.Request] = request{
			fingerprint: Fingerprint(row.Fingerprint), idempotent: row.Idempotent, billed: row.Billed,
		}
	}
}

// loadMember reads the row of an incarnation, its missing sequence numbers and its buffered groups.
func (s *State) loadMember(r *snapshotReader) *member {
	var row memberRow
	r.readRow(&row)
	m := &member{
		incarnation: Incarnation{Instance: row.Instance, Number: row.Number},
		join: Join{
			AvailabilityZone: row.AvailabilityZone, Region: row.Region, Version: row.Version,
			PeerAddress: row.PeerAddress, Nonce: row.Nonce,
		},
		heartbeat: Heartbeat{
			ConfigurationOffset: platform.Offset(row.ConfigurationOffset),
			ConfigurationNumber: row.ConfigurationNumber,
		},
		lastSeen: platform.Offset(row.LastSeen),
		applied:  row.Applied,
		attempts: attemptWindow{highest: row.HighestAttempt, used: row.UsedAttempts},
	}
	if row.Suspended {
		m.status = suspended
	}
	m.loadGroups(r)
	if s.members == nil {
		s.members = make(map[Incarnation]*member)
	}
	_, isDuplicate := s.members[m.incarnation]
	r.require(!isDuplicate)
	s.members[m.incarnation] = m
	return m
}

// loadGroups reads the missing sequence numbers and the buffered groups of an incarnation.
func (m *member) loadGroups(r *snapshotReader) {
	for n := r.readArrayHeader(); n > 0 && r.err == nil; n-- {
		gap := span{From: r.readUint64(), To: r.readUint64()}
		r.require(gap.From > 0 && gap.From <= gap.To && gap.To <= m.applied)
		m.missing = append(m.missing, gap)
	}
	for n := r.readArrayHeader(); n > 0 && r.err == nil; n-- {
		var g Group
		g, r.rest, r.err = readGroup(r.rest)
		m.buffered = append(m.buffered, g)
	}
}

// loadShares reads the array of a budget's shares.
func (b *budget) loadShares(r *snapshotReader, members []*member) {
	n := r.readArrayHeader()
	if n == 0 {
		return
	}
	r.require(n <= len(members))
	b.shares = make([]share, 0, min(n, len(members)))
	var row shareRow
	for ; n > 0 && r.err == nil; n-- {
		r.readRow(&row)
		r.require(int(row.Member) < len(members))
		free := [2]Tokens{Working: Tokens(row.WorkingFree), Reserve: Tokens(row.ReserveFree)}
		b.addShared(r, free[Working])
		b.addShared(r, free[Reserve])
		if r.err != nil {
			return
		}
		b.addShare(members[row.Member]).free = free
	}
}

// addShared adds an amount to the budget's shared tokens, and fails the reader if the amount exceeds the available ones.
func (b *budget) addShared(r *snapshotReader, amount Tokens) {
	r.require(amount >= 0 && amount <= b.available())
	if r.err == nil {
		b.shared += amount
	}
}

// loadOpens reads the section of an incarnation's reservations and adds their amounts to its shares.
func (s *State) loadOpens(r *snapshotReader, m *member, budgets []*budget) {
	n := r.readArrayHeader()
	m.opens = make(map[uint64]reservation, n)
	var row reservationRow
	for ; n > 0 && r.err == nil; n-- {
		r.readRow(&row)
		q, ok := s.requests.open[row.Request]
		r.require(ok && int(row.Budget) < len(budgets) && row.Kind <= uint8(Reserve))
		if r.err != nil {
			return
		}
		q.opens++
		s.requests.open[row.Request] = q
		b := budgets[row.Budget]
		b.opens++
		o := reservation{request: row.Request, budgetSlot: b.slot, amount: Tokens(row.Amount), kind: ShareKind(row.Kind)}
		m.opens[row.Attempt] = o
		if o.amount != 0 {
			b.addShared(r, o.amount)
			b.addShare(m).reserved[o.kind] += o.amount
		}
	}
}

// loadClosed reads the section of one queue of closed requests. It refuses a request that is listed twice.
func (s *State) loadClosed(r *snapshotReader, queue uint32) {
	var row closedRow
	for n := r.readArrayHeader(); n > 0 && r.err == nil; n-- {
		r.readRow(&row)
		_, isDuplicate := s.requests.find(row.Request)
		r.require(!isDuplicate)
		if r.err != nil {
			return
		}
		s.requests.addClosed(queue, closedRequest{
			id: row.Request, fingerprint: Fingerprint(row.Fingerprint), closedOffset: platform.Offset(row.Closed),
		})
	}
}

// loadEnded reads the section of the highest ended incarnation of each instance.
func (s *State) loadEnded(r *snapshotReader) {
	n := r.readArrayHeader()
	s.ended = make(map[string]uint64, n)
	var row endedRow
	for ; n > 0 && r.err == nil; n-- {
		r.readRow(&row)
		s.ended[row.Instance] = row.Number
	}
}

// checkOpens checks that every request in the section of requests with open reservations has at least one reservation.
func (s *State) checkOpens(r *snapshotReader) {
	for _, q := range s.requests.open {
		r.require(q.opens > 0)
	}
}
