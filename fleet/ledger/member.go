package ledger

import (
	"cmp"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Bounds of the groups and records that are buffered for one incarnation until a group with lower sequence
// numbers arrives.
const (
	maxBufferedGroups  = 64
	maxBufferedRecords = 2 * MaxGroupRecords
)

// status is the stage in the life cycle of an incarnation.
type status uint8

const (
	live status = iota
	// suspended is the status after a fence of kind Working: the incarnation may spend only its reserve shares.
	suspended
	ended
)

// member is the state of a live or suspended incarnation.
type member struct {
	incarnation Incarnation
	status      status
	join        Join
	heartbeat   Heartbeat
	lastSeen    platform.Offset
	// applied is the highest sequence number that was applied.
	applied uint64
	// missing holds the ranges of sequence numbers below applied whose groups had not arrived when the incarnation
	// was suspended.
	missing []span
	// buffered holds groups that arrived before a group with lower sequence numbers, sorted by First.
	buffered []Group
	// opens holds the incarnation's reservations by attempt number.
	opens    map[uint64]reservation
	attempts attemptWindow
	// shareCount is the number of budgets in which the incarnation holds a share.
	shareCount int
	// snapshotIndex is the index of the incarnation in the snapshot that is being encoded.
	snapshotIndex uint32
}

// mayWrite reports whether the incarnation may write a record of this type. A suspended incarnation may spend and
// return the shares that it still holds and may leave, but may not draw, or write Prepaid, Fence or Crash records.
func (m *member) mayWrite(record Record) bool {
	if m.status != suspended {
		return m.status == live
	}
	switch record.(type) {
	case *Open, *Return, *Bill, *Release, *Leave, *Heartbeat, *Unknown:
		return true
	default:
		return false
	}
}

// findOrJoin returns the incarnation that wrote a group. It adds the incarnation if the group starts with a join
// that is accepted, and returns nil if the incarnation is neither live nor suspended.
func (s *State) findOrJoin(offset platform.Offset, g *Group) *member {
	if m, ok := s.members[g.Writer]; ok {
		return m
	}
	if g.First != 1 || len(g.Records) == 0 {
		return nil
	}
	join, ok := g.Records[0].(*Join)
	if !ok {
		return nil
	}
	if number, ok := s.ended[g.Writer.Instance]; ok && number >= g.Writer.Number {
		s.emit(&JoinRefused{Incarnation: g.Writer})
		return nil
	}
	m := &member{incarnation: g.Writer, join: *join, lastSeen: offset}
	if s.members == nil {
		s.members = make(map[Incarnation]*member)
	}
	s.members[g.Writer] = m
	s.emit(&Joined{Incarnation: g.Writer, Nonce: join.Nonce})
	return m
}

// receive applies a group if it is the next one of its incarnation, and then the buffered groups that follow it.
// It buffers a group that arrives too early.
func (s *State) receive(m *member, g *Group) {
	if g.First <= m.applied {
		s.receiveLate(m, g)
		return
	}
	if g.First > m.applied+1 {
		s.buffer(m, g)
		return
	}
	s.applyGroup(m, g)
	for len(m.buffered) > 0 && m.buffered[0].First <= m.applied+1 {
		s.applyFirstBuffered(m)
	}
}

// receiveLate applies a group that had not arrived when its incarnation was suspended, because it may hold opens
// against reserve shares. Any other group whose sequence numbers were applied counts as a duplicate.
func (s *State) receiveLate(m *member, g *Group) {
	if len(g.Records) == 0 || !m.removeMissing(g.First, g.lastSequence()) {
		s.counters.Duplicates++
		return
	}
	s.applyGroup(m, g)
}

// applyGroup applies the records of a group.
func (s *State) applyGroup(m *member, g *Group) {
	if len(g.Records) == 0 {
		return
	}
	s.counters.Groups++
	m.applied = max(m.applied, g.lastSequence())
	// Folding a Fence record calls applyGroup again for the buffered groups of the fence's target. The state's
	// buffer is therefore unset until all records of this group are applied.
	budgets := s.prefetchBudgets(m, g, s.budgetBuffer[:0])
	s.budgetBuffer = nil
	for i, r := range g.Records {
		b := budgets[i]
		if b == nil {
			// The record names no budget or an unknown one, the digest of the name collides with another
			// budget's, or an earlier record of this group added the budget.
			b = s.findBudget(r)
		}
		s.apply(m, r, b)
	}
	s.budgetBuffer = budgets
}

// applyFirstBuffered removes the first group from the buffer and applies it, unless its first record has already
// been applied.
func (s *State) applyFirstBuffered(m *member) {
	g := m.buffered[0]
	m.buffered = slices.Delete(m.buffered, 0, 1)
	if g.First <= m.applied {
		s.counters.Duplicates++
		return
	}
	s.applyGroup(m, &g)
}

// buffer keeps a group until the groups before it have been applied. It drops the group if the buffer is full.
func (s *State) buffer(m *member, g *Group) {
	position, found := slices.BinarySearchFunc(m.buffered, g.First, func(b Group, first uint64) int {
		return cmp.Compare(b.First, first)
	})
	if found {
		s.counters.Duplicates++
		return
	}
	records := len(g.Records)
	for _, b := range m.buffered {
		records += len(b.Records)
	}
	if len(m.buffered) == maxBufferedGroups || records > maxBufferedRecords {
		s.counters.Dropped++
		return
	}
	s.counters.Buffered++
	m.buffered = slices.Insert(m.buffered, position, *g)
}

// fence applies a Fence record: a fence of kind Working suspends a live incarnation, and one of kind Reserve ends a
// suspended one. Before that, the target's buffered groups are applied and the gaps before them are recorded as
// missing, so that a group that arrives late can still be applied.
func (s *State) fence(r *Fence) {
	target, ok := s.members[r.Target]
	expectedStatus := live
	if r.Kind == Reserve {
		expectedStatus = suspended
	}
	if !ok || target.status != expectedStatus || target.lastSeen != r.LastSeen {
		s.emit(&FenceRefused{Target: r.Target, LastSeen: r.LastSeen})
		return
	}
	for len(target.buffered) > 0 {
		target.recordGap()
		s.applyFirstBuffered(target)
	}
	if target.status != expectedStatus {
		return
	}
	s.settle(target, r.Kind)
	if r.Kind == Reserve {
		s.end(target, Reserve, false)
		return
	}
	target.status = suspended
	s.emit(&Ended{Incarnation: target.incarnation, Kind: Working})
	s.endIfEmpty(target)
}

// endIfEmpty ends a suspended incarnation that holds neither shares nor opens.
func (s *State) endIfEmpty(m *member) {
	if m.status == suspended && m.shareCount == 0 && len(m.opens) == 0 {
		s.end(m, Reserve, false)
	}
}

// leave applies a Leave record: it settles all opens of the incarnation, returns its shares and ends it.
func (s *State) leave(m *member) {
	s.settleOpens(m, Working)
	s.settleOpens(m, Reserve)
	s.returnAllShares(m)
	s.end(m, Reserve, true)
}

// end removes an incarnation from the state. Only the highest number that ended is kept for its instance, so that
// neither this incarnation nor an earlier one can join again.
func (s *State) end(m *member, kind ShareKind, left bool) {
	m.status = ended
	m.buffered = nil
	delete(s.members, m.incarnation)
	if s.ended == nil {
		s.ended = make(map[string]uint64)
	}
	instance := m.incarnation.Instance
	s.ended[instance] = max(s.ended[instance], m.incarnation.Number)
	s.emit(&Ended{Incarnation: m.incarnation, Kind: kind, Left: left})
}
