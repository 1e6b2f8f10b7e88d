package ledger

import (
	"cmp"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Bounds of what is buffered for one incarnation while a group with a lower number is missing.
const (
	maxBufferedGroups  = 64
	maxBufferedRecords = 2 * MaxGroupRecords
)

// status is the stage of an incarnation's life.
type status uint8

const (
	live status = iota
	// suspended incarnations may spend only their reserve shares.
	suspended
	ended
)

// member is the state of an incarnation.
type member struct {
	incarnation Incarnation
	status      status
	join        Join
	heartbeat   Heartbeat
	lastSeen    platform.Offset
	// applied is the highest sequence number that was applied.
	applied uint64
	// missing are the numbers below applied that were missing when its working lease was ended.
	missing []span
	// buffered groups wait for a lower number; sorted by First.
	buffered []Group
	// opens are its reservations by attempt.
	opens    map[uint64]reservation
	attempts attemptWindow
	// shareCount is the number of budgets of which it holds a share.
	shareCount int
	// snapshotIndex is its place in the snapshot that is being written.
	snapshotIndex uint32
}

// mayWrite reports whether a record of the incarnation counts.
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

// findOrJoin returns the incarnation that wrote a group; nil if it isn't live and doesn't join with it.
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

// receive applies a group if it is the next one of its incarnation, with those that waited for it.
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

// receiveLate applies a group that was missing when its incarnation was suspended: it may hold opens
// against reserve shares. Any other group with a low number is a copy.
func (s *State) receiveLate(m *member, g *Group) {
	if len(g.Records) == 0 || !m.removeMissing(g.First, g.lastSequence()) {
		s.counters.Copies++
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
	// A fence applies the buffered groups of its target, so that the buffer isn't free while this group is applied.
	budgets := s.prefetchBudgets(m, g, s.budgetBuffer[:0])
	s.budgetBuffer = nil
	for i, r := range g.Records {
		b := budgets[i]
		if b == nil {
			// Its digest collides, or a record of the same group added it.
			b = s.findBudget(r)
		}
		s.apply(m, r, b)
	}
	s.budgetBuffer = budgets
}

// applyFirstBuffered takes the first group out of the buffer and applies it unless it overlaps what
// was applied.
func (s *State) applyFirstBuffered(m *member) {
	g := m.buffered[0]
	m.buffered = slices.Delete(m.buffered, 0, 1)
	if g.First <= m.applied {
		s.counters.Copies++
		return
	}
	s.applyGroup(m, &g)
}

// buffer keeps a group until the groups before it were applied.
func (s *State) buffer(m *member, g *Group) {
	position, found := slices.BinarySearchFunc(m.buffered, g.First, func(b Group, first uint64) int {
		return cmp.Compare(b.First, first)
	})
	if found {
		s.counters.Copies++
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

// fence ends the working or the reserve lease of a silent incarnation.
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

// endIfEmpty ends a suspended incarnation that holds nothing any more.
func (s *State) endIfEmpty(m *member) {
	if m.status == suspended && m.shareCount == 0 && len(m.opens) == 0 {
		s.end(m, Reserve, false)
	}
}

// leave ends an incarnation by its own word.
func (s *State) leave(m *member) {
	s.settleOpens(m, Working)
	s.settleOpens(m, Reserve)
	s.returnAllShares(m)
	s.end(m, Reserve, true)
}

// end forgets an incarnation, but for its number.
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
