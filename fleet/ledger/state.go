package ledger

import (
	"errors"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// State is the state of a ledger partition at an offset: the fold of all entries below it. Its zero
// value is the state before the first entry. It isn't safe for concurrent use.
type State struct {
	// Window says how long request identifiers are remembered. All readers of a partition need the
	// same window; it may not change once an entry was folded.
	Window Window

	next     platform.Offset
	counters Counters
	budgets  budgetTable
	members  map[Incarnation]*member
	// ended holds the highest incarnation number that ended, by instance.
	ended    map[string]uint64
	requests requestTable
	// events gathers the outcomes of the entry that is being folded.
	events []Event
	// budgetBuffer is a buffer for the budgets of a group's records.
	budgetBuffer []*budget
}

// Counters counts what a state has met since it was made or loaded; they are no part of the fold's result.
type Counters struct {
	// Groups and Records were folded.
	Groups  uint64
	Records uint64
	// Copies are groups that were applied or buffered before.
	Copies uint64
	// Malformed groups and groups of UnknownVersions were skipped whole.
	Malformed       uint64
	UnknownVersions uint64
	// UnknownTypes counts skipped records.
	UnknownTypes uint64
	// Buffered groups came before a group with a lower number; Dropped ones found the buffer full.
	Buffered uint64
	Dropped  uint64
	// NotLive counts groups and records of incarnations that may not write them.
	NotLive uint64
	// Unmatched counts bills and releases without their open.
	Unmatched uint64
	// Forgotten counts request identifiers that left their window.
	Forgotten uint64
}

// Next returns the first offset that is not folded.
func (s *State) Next() platform.Offset { return s.next }

// Counters returns what the state has counted.
func (s *State) Counters() Counters { return s.counters }

// Apply folds an entry of the partition's stream and returns the outcomes in the order of its records.
// Entries below Next are ignored.
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

// ApplyGroup folds a decoded group that lies at an offset of the stream. The state keeps the group's records.
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

// countSkippedGroup counts a group that was skipped.
func (s *State) countSkippedGroup(err error) {
	if errors.Is(err, ErrUnknownVersion) {
		s.counters.UnknownVersions++
		return
	}
	s.counters.Malformed++
}

// advance moves the state past an offset and forgets the request identifiers that leave their window.
func (s *State) advance(offset platform.Offset) {
	s.next = offset + 1
	s.counters.Forgotten += s.requests.evictExpired(s.next, s.Window.orDefault())
}

// fold applies a valid group of the entry at an offset.
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

// takeEvents returns the outcomes of the entry.
func (s *State) takeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

// emit adds an outcome to the events of the entry.
func (s *State) emit(e Event) { s.events = append(s.events, e) }

// apply folds a record of an incarnation that names a budget; nil if it names none or one that isn't known.
func (s *State) apply(m *member, record Record, b *budget) {
	s.counters.Records++
	if !m.mayWrite(record) {
		s.refuseNotLive(m, record, b)
		return
	}
	switch r := record.(type) {
	case *Join:
		// The first record of the incarnation made it live; a later one has nothing to add.
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

// refuseNotLive answers a record that the incarnation may not write any more.
func (s *State) refuseNotLive(m *member, record Record, b *budget) {
	s.counters.NotLive++
	if m.status != suspended {
		return
	}
	if r, ok := record.(*Draw); ok {
		s.refuseDraw(m, r, b, NotLive)
	}
}
