package ledger

import (
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// compareState fails the check unless a state equals the model.
func (o *oracle) compareState(s *State) {
	for name, expected := range o.budgets {
		view, _ := s.Budget(name)
		total := Tokens(0)
		for _, h := range view.Holders {
			expected := *o.holders[holderKey{incarnation: h.Incarnation, budget: name}]
			o.requireEqual(expected, h)
			total += h.WorkingFree + h.WorkingReserved + h.ReserveFree + h.ReserveReserved
		}
		o.requireEqual(view.Shared, total)
		view.Holders, view.OpenRequests = nil, 0
		o.requireEqual(*expected, view)
	}
	o.requireEqual(len(o.requests), s.requests.size())
	opens := 0
	for _, view := range s.Budgets() {
		opens += view.OpenRequests
	}
	o.requireEqual(len(o.opens), opens)
	o.requireEqual(len(o.members), len(s.Incarnations()))
	for _, view := range s.Incarnations() {
		m := o.members[view.Incarnation]
		o.requireEqual(Join{Region: "luzon-a", Nonce: view.Incarnation.Number}, view.Join)
		o.requireEqual(m.suspended, view.Suspended)
		o.requireEqual(m.lastSeen, view.LastSeen)
		applied, outcomes := m.contiguousPrefix()
		o.requireEqual(applied, s.AppliedSequence(view.Incarnation))
		o.require(!m.suspended || o.hasSharesOrOpens(view.Incarnation), "an empty suspended incarnation ends", view)
		o.require(m.suspended || outcomes == m.outcomes, "each record is applied once", view, outcomes, m.outcomes)
	}
}

// hasSharesOrOpens reports whether an incarnation holds tokens in a reserve share or has an open reservation.
func (o *oracle) hasSharesOrOpens(i Incarnation) bool {
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

// contiguousPrefix returns the last sequence number before the first gap in the received groups, and the number of
// draws, opens and crashes up to it.
func (m *oracleMember) contiguousPrefix() (uint64, int) {
	applied, outcomes := uint64(0), 0
	for {
		g, ok := m.received[applied+1]
		if !ok {
			return applied, outcomes
		}
		applied = g.lastSequence()
		for _, r := range g.Records {
			switch r.(type) {
			case *Draw, *Open, *Crash:
				outcomes++
			}
		}
	}
}

// requireEqual fails the check unless two values are equal. It compares comparable values with == first, because most
// values are scalars, for which go-cmp is slow.
func (o *oracle) requireEqual(want, got any) {
	if reflect.TypeOf(want).Comparable() && want == got {
		return
	}
	o.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		o.t.Fatalf("the state differs from the oracle's model (-want +got):\n%s", diff)
	}
}

// TestFoldKeepsItsRules checks random streams with copies, gaps and garbage against an oracle. It guards against a fold
// that breaks a rule of the ledger, applies a copy of an entry twice, or differs after a state is restored from a
// snapshot. It fails if the streams never lead to one of the events or refusal reasons, which then isn't tested.
func TestFoldKeepsItsRules(t *testing.T) {
	outcomeCounts := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		window := Window{Idempotent: 6, NonIdempotent: 14}
		sim := &simulation{t: t}
		o := newOracle(t, sim, window, outcomeCounts)
		state, duplicated := &State{Window: window}, &State{Window: window}
		restored := &State{Window: window}
		for range simulatedSteps {
			offset := state.Next()
			if sim.oneIn(20, "garbage") {
				payload := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "payload")
				for _, s := range []*State{state, duplicated, restored} {
					s.Apply(platform.Entry{Offset: offset, Payload: payload})
				}
				o.evictExpired(offset)
				continue
			}
			state.advance(offset)
			entry := platform.Entry{Offset: offset}
			var events []Event
			for range sim.intBetween(1, 3, "groups") {
				g := sim.nextGroup(state)
				payload, err := Encode(g)
				if err != nil {
					t.Fatal(err)
				}
				entry.Payload = append(entry.Payload, payload...)
				state.fold(offset, &g)
				outcomes := state.takeEvents()
				o.checkGroup(offset, g, outcomes, state)
				events = append(events, outcomes...)
			}
			if sim.oneIn(20, "tail") {
				entry.Payload = append(entry.Payload, sim.groupOfUnknownVersion()...)
			}
			o.requireEqual(events, slices.Concat(duplicated.Apply(entry)))
			o.requireEqual(0, len(duplicated.Apply(entry)))
			o.requireEqual(events, slices.Concat(restored.Apply(entry)))
			if sim.oneIn(8, "restore") {
				restored = restoreFromChunks(t, sim, restored)
			}
		}
		o.requireEqual(encodeState(t, state), encodeState(t, duplicated))
		o.requireEqual(encodeState(t, state), encodeState(t, restored))
	})
	for _, kind := range []string{
		"*ledger.Joined", "*ledger.JoinRefused", "*ledger.Ended", "*ledger.FenceRefused", "*ledger.PrepaidAccepted",
		"*ledger.PrepaidRefused", "*ledger.Granted", "*ledger.DrawRefused", "*ledger.Returned", "*ledger.Forfeited",
		"*ledger.Opened", "*ledger.OpenRefused", "*ledger.Billed", "*ledger.Released", "*ledger.Crashed", string(AlreadyOpen),
		string(AlreadyRan), string(FrozenBudget), string(Insufficient), string(NotLive), string(FingerprintMismatch),
		string(DuplicateAttempt), string(UnknownBudget),
	} {
		if outcomeCounts[kind] == 0 {
			t.Errorf("the simulation never produced %s", kind)
		}
	}
	t.Log(outcomeCounts)
}

// encodeState returns the data of a state's snapshot, by which states are compared.
func encodeState(t *rapid.T, s *State) string {
	data, err := s.encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// restoreFromChunks passes a state through a snapshot stream in which chunks are duplicated, shuffled, corrupt and
// interleaved with those of another writer, and returns the reassembled state.
func restoreFromChunks(t *rapid.T, sim *simulation, s *State) *State {
	chunks, err := s.EncodeSnapshot(Incarnation{Instance: "router-1"}, sim.intBetween(16, 400, "chunk bytes"))
	if err != nil {
		t.Fatal(err)
	}
	otherChunks, err := s.EncodeSnapshot(Incarnation{Instance: "router-2"}, 64)
	if err != nil {
		t.Fatal(err)
	}
	stream := slices.Concat(chunks, chunks[:len(chunks)/2], otherChunks[:len(otherChunks)-1])
	corrupt := slices.Clone(chunks[0])
	corrupt[sim.intBetween(0, len(corrupt)-1, "position")] ^= 1 << sim.intBetween(0, 7, "bit")
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
