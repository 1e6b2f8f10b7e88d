package ledger

import (
	"bytes"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// FuzzDecode checks that a payload is either refused or decodes to a group that is equal after another encoding and
// decoding, and that folding the payload leaves no budget with a negative amount.
func FuzzDecode(f *testing.F) {
	for _, records := range [][]Record{
		{},
		{&Join{AvailabilityZone: "luzon-a", Region: "luzon", Version: "1"}, &Heartbeat{ConfigurationNumber: 1}, &Leave{}},
		{&Prepaid{Budget: "atelier", Ticket: 1, Total: 1000}, &Draw{Budget: "atelier", Wanted: 100, Minimum: 1}},
		{&Open{Budget: "atelier", Amount: 50, Attempt: 1}, &Bill{Attempt: 1, Usage: 20}, &Release{Attempt: 1}},
		{&Return{Budget: "atelier", Amount: 10}, &Fence{Target: router(2)}, &Crash{Endpoint: "engine-1", InProgress: []Fingerprint{1}}, &Unknown{Type: 99, Body: []byte{0xc0}}},
	} {
		payload, err := Encode(Group{Writer: router(1), First: 1, Records: records})
		assert.Must(f, err)
		f.Add(payload)
		f.Add(payload[:len(payload)/2])
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		g, err := Decode(payload)
		if err != nil {
			return
		}
		reencoded, err := Encode(g)
		assert.Must(t, err)
		redecoded, err := Decode(reencoded)
		assert.Must(t, err)
		assert.Equal(t, g, redecoded)
		s := newStream(t)
		s.state.Apply(platform.Entry{Offset: s.state.Next(), Payload: payload})
		for _, b := range s.state.Budgets() {
			if b.Available() < 0 || b.Spent < 0 || b.Shared < 0 {
				t.Fatalf("budget with a negative amount: %+v", b)
			}
		}
	})
}

// FuzzAssembler checks that an arbitrary payload among the chunks of a snapshot neither completes another state nor
// prevents the snapshot from being completed.
func FuzzAssembler(f *testing.F) {
	s := &stream{}
	payload, err := Encode(Group{Writer: router(1), First: 1, Records: []Record{&Join{}, &Prepaid{Budget: "atelier", Total: 9}}})
	assert.Must(f, err)
	s.state.Apply(platform.Entry{Payload: payload})
	chunks, err := s.state.EncodeSnapshot(router(1), 32)
	assert.Must(f, err)
	f.Add([]byte{})
	f.Add(chunks[0])
	f.Add(chunks[len(chunks)-1][:20])
	f.Add(bytes.Repeat([]byte{0xdf}, 40))
	f.Fuzz(func(t *testing.T, payload []byte) {
		state, _ := addPayloads(&Assembler{}, payload)
		if state != nil {
			t.Fatal("one chunk completed a snapshot")
		}
		state, _ = addPayloads(&Assembler{}, append([][]byte{chunks[0], payload}, chunks[1:]...)...)
		if state == nil {
			t.Fatal("the snapshot was not completed")
		}
		assert.Equal(t, s.state.Next(), state.Next())
	})
}

// FuzzLoad checks that arbitrary snapshot data with a correct digest is either refused or loads to a state without
// overspent budgets that can be encoded again.
func FuzzLoad(f *testing.F) {
	data, err := newPartitionState(3, 2).encode()
	assert.Must(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := loadState(data)
		if err != nil {
			return
		}
		for _, b := range s.Budgets() {
			if b.Available() < 0 {
				t.Fatalf("overspent budget: %+v", b)
			}
		}
		if _, err := s.EncodeSnapshot(router(1), 0); err != nil {
			t.Fatal(err)
		}
	})
}
