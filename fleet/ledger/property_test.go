package ledger

import (
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// compare compares a state with the books.
func (o *oracle) compare(s *State) {
	for name, expected := range o.budgets {
		view, _ := s.Budget(name)
		total := Tokens(0)
		for _, h := range view.Holders {
			expected := *o.holders[holding{incarnation: h.Incarnation, budget: name}]
			o.equal(expected, h)
			total += h.WorkingFree + h.WorkingReserved + h.ReserveFree + h.ReserveReserved
		}
		o.equal(view.Shared, total)
		view.Holders, view.OpenRequests = nil, 0
		o.equal(*expected, view)
	}
	o.equal(len(o.requests), s.requests.size())
	opens := 0
	for _, view := range s.Budgets() {
		opens += view.OpenRequests
	}
	o.equal(len(o.opens), opens)
	o.equal(len(o.members), len(s.Incarnations()))
	for _, view := range s.Incarnations() {
		m := o.members[view.Incarnation]
		o.equal(Join{Region: "luzon-a", Nonce: view.Incarnation.Number}, view.Join)
		o.equal(m.suspended, view.Suspended)
		o.equal(m.lastSeen, view.LastSeen)
		applied, decisions := m.prefix()
		o.equal(applied, s.AppliedSequence(view.Incarnation))
		o.require(!m.suspended || o.holdsAnything(view.Incarnation), "an empty suspended incarnation ends", view)
		o.require(m.suspended || decisions == m.decisions, "each record is applied once", view, decisions, m.decisions)
	}
}

// holdsAnything reports whether an incarnation has a share or an open.
func (o *oracle) holdsAnything(i Incarnation) bool {
	for h, v := range o.holders {
		if h.incarnation == i && v.ReserveFree+v.ReserveReserved > 0 {
			return true
		}
	}
	for attempt := range o.opens {
		if attempt.Incarnation == i {
			return true
		}
	}
	return false
}

// prefix returns the last sequence number before the first gap, and the draws, opens and crashes up to it.
func (m *oracleMember) prefix() (uint64, int) {
	applied, decisions := uint64(0), 0
	for {
		g, ok := m.received[applied+1]
		if !ok {
			return applied, decisions
		}
		applied = g.last()
		for _, r := range g.Records {
			switch r.(type) {
			case *Draw, *Open, *Crash:
				decisions++
			}
		}
	}
}

// equal fails the check unless two values are equal. Most are scalars, for which go-cmp is slow.
func (o *oracle) equal(want, got any) {
	if reflect.TypeOf(want).Comparable() && want == got {
		return
	}
	o.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		o.t.Fatalf("the state differs from its events (-want +got):\n%s", diff)
	}
}

func TestFoldKeepsItsRules(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		window := Window{Idempotent: 6, NonIdempotent: 14}
		sim := &simulation{t: t}
		o := newOracle(t, sim, window, seen)
		state, twice := &State{Window: window}, &State{Window: window}
		restored := &State{Window: window}
		for range simulatedSteps {
			offset := state.Next()
			if sim.oneIn(20, "garbage") {
				payload := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "payload")
				for _, s := range []*State{state, twice, restored} {
					s.Apply(platform.Entry{Offset: offset, Payload: payload})
				}
				o.forget(offset)
				continue
			}
			state.advance(offset)
			entry := platform.Entry{Offset: offset}
			var events []Event
			for range sim.number(1, 3, "groups") {
				g := sim.next(state)
				payload, err := Encode(g)
				if err != nil {
					t.Fatal(err)
				}
				entry.Payload = append(entry.Payload, payload...)
				state.fold(offset, &g)
				outcomes := state.takeEvents()
				o.follow(offset, g, outcomes, state)
				events = append(events, outcomes...)
			}
			if sim.oneIn(20, "tail") {
				entry.Payload = append(entry.Payload, sim.groupOfUnknownVersion()...)
			}
			o.equal(events, slices.Concat(twice.Apply(entry)))
			o.equal(0, len(twice.Apply(entry)))
			o.equal(events, slices.Concat(restored.Apply(entry)))
			if sim.oneIn(8, "restore") {
				restored = restore(t, sim, restored)
			}
		}
		o.equal(snapshotOf(t, state), snapshotOf(t, twice))
		o.equal(snapshotOf(t, state), snapshotOf(t, restored))
	})
	for _, kind := range []string{
		"*ledger.Joined", "*ledger.JoinRefused", "*ledger.Ended", "*ledger.FenceRefused", "*ledger.PrepaidAccepted",
		"*ledger.PrepaidRefused", "*ledger.Granted", "*ledger.DrawRefused", "*ledger.Returned", "*ledger.Forfeited",
		"*ledger.Opened", "*ledger.OpenRefused", "*ledger.Billed", "*ledger.Released", "*ledger.Crashed", string(AlreadyOpen),
		string(AlreadyRan), string(FrozenBudget), string(Insufficient), string(NotLive), string(FingerprintMismatch),
		string(DuplicateAttempt), string(UnknownBudget),
	} {
		if seen[kind] == 0 {
			t.Errorf("the simulation never led to %s", kind)
		}
	}
	t.Log(seen)
}

// snapshotOf returns the data of a state's snapshot.
func snapshotOf(t *rapid.T, s *State) string {
	data, err := s.encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// restore sends a state through a snapshot stream with doubled, shuffled, corrupt and interleaved chunks.
func restore(t *rapid.T, sim *simulation, s *State) *State {
	chunks, err := s.EncodeSnapshot(Incarnation{Instance: "router-1"}, sim.number(16, 400, "chunk bytes"))
	if err != nil {
		t.Fatal(err)
	}
	others, err := s.EncodeSnapshot(Incarnation{Instance: "router-2"}, 64)
	if err != nil {
		t.Fatal(err)
	}
	stream := slices.Concat(chunks, chunks[:len(chunks)/2], others[:len(others)-1])
	corrupt := slices.Clone(chunks[0])
	corrupt[sim.number(0, len(corrupt)-1, "position")] ^= 1 << sim.number(0, 7, "bit")
	stream = rapid.Permutation(append(stream, corrupt)).Draw(t, "stream")
	var a Assembler
	var complete *State
	for _, payload := range stream {
		if found, err := a.Add(payload); err == nil && found != nil {
			complete = found
		}
	}
	if complete == nil {
		t.Fatal("the snapshot was not completed")
	}
	return complete
}
