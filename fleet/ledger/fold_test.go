package ledger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// router returns the first incarnation of the nth test router.
func router(n int) Incarnation {
	return Incarnation{Instance: fmt.Sprintf("router-%d", n), Number: 1}
}

// stream folds groups into a state at consecutive offsets and assigns each writer consecutive sequence numbers.
type stream struct {
	state State
	next  map[Incarnation]uint64
}

// write folds records as one group of the writer and returns the events.
func (s *stream) write(t *testing.T, writer Incarnation, records ...Record) []Event {
	t.Helper()
	if s.next == nil {
		s.next = make(map[Incarnation]uint64)
	}
	g := Group{Writer: writer, First: s.next[writer] + 1, Records: records}
	s.next[writer] += uint64(len(records))
	payload, err := Encode(g)
	assert.Must(t, err)
	return s.state.Apply(platform.Entry{Offset: s.state.Next(), Payload: payload})
}

// newStream returns a stream with the live incarnations router(1) and router(2) and a budget of 1000 tokens.
func newStream(t *testing.T) *stream {
	t.Helper()
	s := &stream{}
	s.write(t, router(1), &Join{}, &Prepaid{Budget: "atelier", Ticket: 1, Total: 1000})
	s.write(t, router(2), &Join{})
	return s
}

// TestRequestIsBilledOnce guards against charging a request twice when two routers run an attempt of it and both bill.
func TestRequestIsBilledOnce(t *testing.T) {
	s, first, second := newStream(t), router(1), router(2)
	request := NewRequestIdentifier("pintados", "key")
	open := func(attempt uint64) *Open {
		return &Open{Request: request, Attempt: attempt, Budget: "atelier", Amount: 100, Idempotent: true}
	}
	for _, writer := range []Incarnation{first, second} {
		s.write(t, writer, &Draw{Budget: "atelier", Wanted: 300, Minimum: 1}, open(1))
	}
	s.write(t, second, &Bill{Request: request, Attempt: 1, Usage: 40})
	events := s.write(t, first, &Bill{Request: request, Attempt: 1, Usage: 90}, open(2))
	assert.Equal(t, []Event{
		&Billed{Attempt: AttemptIdentifier{Incarnation: first, Number: 1}, Request: request, Budget: "atelier"},
		&Opened{Attempt: AttemptIdentifier{Incarnation: first, Number: 2}, Open: open(2), AlreadyBilled: true},
	}, events)
	view, _ := s.state.Budget("atelier")
	assert.Equal(t, BudgetView{
		Budget: "atelier", Ticket: 1, Prepaid: 1000, Spent: 40, Shared: 560, OpenRequests: 1,
		Holders: []HolderView{
			{Incarnation: first, WorkingFree: 300},
			{Incarnation: second, WorkingFree: 260},
		},
	}, view)
}

// TestFenceSettlesWorkingThenReserve guards against a fence of kind Working that ends reserve shares too, and against a
// fenced incarnation that joins again.
func TestFenceSettlesWorkingThenReserve(t *testing.T) {
	s, first, second := newStream(t), router(1), router(2)
	request := NewRequestIdentifier("pintados", "key")
	s.write(t, second, &Draw{Budget: "atelier", Wanted: 300, Minimum: 1},
		&Draw{Budget: "atelier", Kind: Reserve, Wanted: 50, Minimum: 1},
		&Open{Request: request, Attempt: 1, Budget: "atelier", Amount: 100})
	lastSeen := s.state.Next() - 1
	events := s.write(t, first, &Fence{Target: second, LastSeen: lastSeen})
	assert.Equal(t, []Event{
		&Billed{
			Attempt: AttemptIdentifier{Incarnation: second, Number: 1},
			Request: request, Budget: "atelier", Charged: 100, Settled: true,
		},
		&Returned{Incarnation: second, Budget: "atelier", Amount: 200},
		&Ended{Incarnation: second},
	}, events)
	assert.Equal(t, false, s.state.IsLive(second))
	assert.Equal(t, HolderView{Incarnation: second, ReserveFree: 50}, s.state.Holder("atelier", second))
	events = s.write(t, first, &Fence{Target: second, LastSeen: lastSeen, Kind: Reserve})
	assert.Equal(t, []Event{
		&Returned{Incarnation: second, Budget: "atelier", Kind: Reserve, Amount: 50},
		&Ended{Incarnation: second, Kind: Reserve},
	}, events)
	assert.Equal(t, []Event{&JoinRefused{Incarnation: second}},
		s.state.ApplyGroup(s.state.Next(), Group{Writer: second, First: 1, Records: []Record{&Join{}}}))
}

// TestFirstJoinOfANumberWins guards against a second process that takes over an incarnation by joining with its number.
func TestFirstJoinOfANumberWins(t *testing.T) {
	var s State
	assert.Equal(t, []Event{&Joined{Incarnation: router(1), Nonce: 7}},
		s.ApplyGroup(0, Group{Writer: router(1), First: 1, Records: []Record{&Join{Nonce: 7}}}))
	assert.Equal(t, 0, len(s.ApplyGroup(1, Group{Writer: router(1), First: 1, Records: []Record{&Join{Nonce: 8}}})))
	assert.Equal(t, uint64(7), s.Incarnations()[0].Join.Nonce)
}

// TestBufferIsBounded guards against unbounded memory for groups that arrive after a missing one, and checks that the
// buffered groups are applied once the missing one arrives.
func TestBufferIsBounded(t *testing.T) {
	for _, size := range []int{1, MaxGroupRecords} {
		t.Run(fmt.Sprintf("groups of %d", size), func(t *testing.T) {
			s := newStream(t)
			records := slices.Repeat([]Record{&Heartbeat{}}, size)
			for n := range 3 * maxBufferedGroups {
				g := Group{Writer: router(2), First: uint64(3 + n*size), Records: records}
				s.state.ApplyGroup(s.state.Next(), g)
			}
			expectedGroups := min(maxBufferedGroups, maxBufferedRecords/size)
			assert.Equal(t, expectedGroups, len(s.state.members[router(2)].buffered))
			assert.Equal(t, uint64(3*maxBufferedGroups-expectedGroups), s.state.Counters().Dropped)
			s.write(t, router(2), &Heartbeat{})
			assert.Equal(t, uint64(2+expectedGroups*size), s.state.AppliedSequence(router(2)))
		})
	}
}
