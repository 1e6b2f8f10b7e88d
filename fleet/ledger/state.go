package ledger

import (
	"errors"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// State is the state of a ledger partition at an offset: the result of folding all entries below that offset.
// Its zero value is the state before the first entry. It isn't safe for concurrent use.
type State struct {
	// Window is the time, in offsets, for which request identifiers are remembered. All readers of a partition
	// must use the same window, and it must not change after the first entry has been folded, because it decides
	// which opens are accepted.
	Window Window

	next     platform.Offset
	counters Counters
	budgets  budgetTable
	members  map[Incarnation]*member
	// ended holds, for each instance, the highest number of an incarnation that has ended.
	ended    map[string]uint64
	requests requestTable
	// events collects the outcomes of the entry that is being folded.
	events []Event
	// budgetBuffer is reused by applyGroup for the budgets of a group's records, to avoid an allocation per group.
	budgetBuffer []*budget
}

// Counters counts what a State has folded, buffered or skipped since its creation or since it was loaded from a
// snapshot. The counters aren't part of the result of the fold and aren't in snapshots.
type Counters struct {
	// Groups and Records are the numbers of groups and records that were folded.
	Groups  uint64
	Records uint64
	// Duplicates is the number of groups that were ignored because they had already been applied or buffered.
	Duplicates uint64
	// Malformed is the number of times that a group was skipped because it can't be decoded or exceeds a bound, and
	// UnknownVersions the number of times that one was skipped because of its encoding version. In Apply, the groups
	// after it in the same entry are skipped too.
	Malformed       uint64
	UnknownVersions uint64
	// UnknownTypes is the number of records that were skipped because their type isn't known.
	UnknownTypes uint64
	// Buffered is the number of groups that arrived before a group with lower sequence numbers and were kept. Dropped is
	// the number of groups that arrived too early and were discarded because the buffer was full.
	Buffered uint64
	Dropped  uint64
	// NotLive is the number of groups and records that were refused because their incarnation may not write them.
	NotLive uint64
	// Unmatched is the number of bills and releases that don't match an open reservation.
	Unmatched uint64
	// EvictedRequests is the number of request identifiers that were evicted at the end of their window.
	EvictedRequests uint64
}

// Next returns the offset of the next entry to fold.
func (s *State) Next() platform.Offset { return s.next }

// Counters returns the counters of the state.
func (s *State) Counters() Counters { return s.counters }

// Apply folds an entry of the partition's stream and returns the outcomes in the order of its records. Entries below
// Next are ignored. From the first group of an entry that can't be decoded, the rest of the entry is skipped.
func (s *State) Apply(e platform.Entry) []Event {
	if e.Offset < s.next {
		return nil
	}
	s.advance(e.Offset)
	for rest := e.Payload; len(rest) > 0 || len(e.Payload) == 0; {
		g, remaining, err := decodeNext(rest)
		if err != nil {
			s.countSkippedGroup(err)
			break
		}
		s.fold(e.Offset, &g)
		rest = remaining
	}
	return s.takeEvents()
}

// ApplyGroup folds a decoded group that is stored at an offset of the stream, like Apply. The state keeps
// references to the group's records, so the caller must not modify them.
func (s *State) ApplyGroup(offset platform.Offset, g Group) []Event {
	if offset < s.next {
		return nil
	}
	s.advance(offset)
	if err := g.validate(); err != nil {
		s.countSkippedGroup(err)
		return nil
	}
	s.fold(offset, &g)
	return s.takeEvents()
}

// countSkippedGroup counts a group that was skipped because of err.
func (s *State) countSkippedGroup(err error) {
	if errors.Is(err, ErrUnknownVersion) {
		s.counters.UnknownVersions++
		return
	}
	s.counters.Malformed++
}

// advance sets the next offset to the one after offset and evicts the request identifiers whose window has ended.
func (s *State) advance(offset platform.Offset) {
	s.next = offset + 1
	s.counters.EvictedRequests += s.requests.evictExpired(s.next, s.Window.orDefault())
}

// fold applies a valid group of the entry at an offset. It ignores a group whose writer is neither live nor suspended,
// unless the group starts with a join that is accepted.
func (s *State) fold(offset platform.Offset, g *Group) {
	s.events = slices.Grow(s.events, len(g.Records))
	m := s.findOrJoin(offset, g)
	if m == nil {
		s.counters.NotLive++
		return
	}
	m.lastSeen = offset
	s.receive(m, g)
	s.endIfEmpty(m)
}

// takeEvents returns the collected outcomes and clears them.
func (s *State) takeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

// emit appends an outcome to the events of the entry that is being folded.
func (s *State) emit(e Event) { s.events = append(s.events, e) }

// apply folds one record of an incarnation. The budget is the one that the record names; nil if the record names
// none or an unknown one.
func (s *State) apply(m *member, record Record, b *budget) {
	s.counters.Records++
	if !m.mayWrite(record) {
		s.refuseNotLive(m, record, b)
		return
	}
	switch r := record.(type) {
	case *Join:
		// findOrJoin has handled the join that made the incarnation live; any later join has no effect.
	case *Heartbeat:
		m.heartbeat = *r
	case *Leave:
		s.leave(m)
	case *Prepaid:
		s.prepay(r, b)
	case *Draw:
		s.draw(m, r, b)
	case *Return:
		s.returnTokens(m, r, b)
	case *Open:
		s.open(m, r, b)
	case *Bill:
		s.bill(m, r)
	case *Release:
		s.release(m, r)
	case *Fence:
		s.fence(r)
	case *Crash:
		s.emit(&Crashed{Incarnation: m.incarnation, Crash: r})
	case *Unknown:
		s.counters.UnknownTypes++
	}
}

// refuseNotLive counts a record that the incarnation may no longer write. It emits DrawRefused for a draw of a
// suspended incarnation and no event for any other record.
func (s *State) refuseNotLive(m *member, record Record, b *budget) {
	s.counters.NotLive++
	if m.status != suspended {
		return
	}
	if r, ok := record.(*Draw); ok {
		s.refuseDraw(m, r, b, NotLive)
	}
}
