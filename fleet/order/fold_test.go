package order

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/tinylib/msgp/msgp"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// foldedLog is a log whose entries are folded into a State as they are appended.
type foldedLog struct {
	t     *testing.T
	state State
}

func incarnation(instance string) ledger.Incarnation { return ledger.Incarnation{Instance: instance} }

// applyPayload folds a payload as the next entry.
func (l *foldedLog) applyPayload(b []byte) Result {
	l.t.Helper()
	result, ok := l.state.Apply(platform.Entry{Offset: l.state.Next(), Payload: b})
	if !ok {
		l.t.Fatal("the entry was not applied: its offset is not the next one")
	}
	return result
}

// applyExpecting folds a record, fails the test if its refusal differs from the expected one, and returns its offset.
func (l *foldedLog) applyExpecting(want Refusal, writer string, sequence uint64, r Record) platform.Offset {
	l.t.Helper()
	b, err := Encode(Entry{Writer: incarnation(writer), Sequence: sequence, Record: r})
	if err != nil {
		l.t.Fatal(err)
	}
	result := l.applyPayload(b)
	if diff := cmp.Diff(want, result.Refused); diff != "" {
		l.t.Fatalf("refusal of %T differs (-want +got):\n%s", r, diff)
	}
	return result.Offset
}

// TestOneOrdererAtATime guards against orders of two routers for one endpoint: only the holder of the current claim may
// write records for it, and only one order may be unfinished.
func TestOneOrdererAtATime(t *testing.T) {
	log := &foldedLog{t: t}
	claim := log.applyExpecting("", "a", 1, &Claim{Endpoint: "x"})
	log.applyExpecting(Held, "b", 1, &Claim{Endpoint: "x"})
	log.applyExpecting(NotHolder, "b", 2, &Order{Endpoint: "x", Claim: claim})
	first := log.applyExpecting("", "a", 2, &Order{Endpoint: "x", Claim: claim})
	log.applyExpecting(Copied, "a", 2, &Order{Endpoint: "x", Claim: claim})
	log.applyExpecting(Unfinished, "a", 3, &Order{Endpoint: "x", Claim: claim})
	log.applyExpecting(Unfinished, "a", 4, &Report{Endpoint: "x", Claim: claim})
	last := log.applyExpecting(Unfinished, "a", 5, &Yield{Endpoint: "x", Claim: claim})
	log.applyExpecting(Heard, "b", 3, &Fence{Target: incarnation("a"), LastSeen: first})
	log.applyExpecting("", "b", 4, &Fence{Target: incarnation("a"), LastSeen: last})
	log.applyExpecting(NotHolder, "a", 6, &Done{Endpoint: "x", Claim: claim, Order: first})
	next := log.applyExpecting("", "b", 5, &Claim{Endpoint: "x"})
	log.applyExpecting(NotHolder, "a", 7, &Order{Endpoint: "x", Claim: claim})
	log.applyExpecting(NotHolder, "b", 6, &Order{Endpoint: "x", Claim: claim})
	second := log.applyExpecting("", "b", 7, &Order{Endpoint: "x", Claim: next})
	log.applyExpecting(NoOrder, "b", 8, &Done{Endpoint: "x", Claim: next, Order: first})
	log.applyExpecting("", "b", 9, &Done{Endpoint: "x", Claim: next, Order: second})
	log.applyExpecting("", "b", 10, &Yield{Endpoint: "x", Claim: next})
}

func TestLastEndpointOfARetiredModel(t *testing.T) {
	log := &foldedLog{t: t}
	claim := log.applyExpecting("", "a", 1, &Claim{Endpoint: "x"})
	loaded := []Artifact{{Model: "brush", Version: "1"}}
	log.applyExpecting("", "a", 2, &Report{Endpoint: "x", Claim: claim, Loaded: loaded})
	log.applyExpecting(LastLoaded, "a", 3, &Order{Endpoint: "x", Claim: claim, Loaded: loaded})
	log.applyExpecting("", "a", 4, &Order{Endpoint: "x", Claim: claim, Loaded: loaded, Retired: []string{"brush"}})
}

// TestUnknownRecordsAreSkipped guards against a router that stops at records of a newer version, or that fences an
// orderer whose newest record has an unknown type.
func TestUnknownRecordsAreSkipped(t *testing.T) {
	log := &foldedLog{t: t}
	claim := log.applyExpecting("", "a", 1, &Claim{Endpoint: "x"})
	b := msgp.AppendUint8(nil, envelopeVersion)
	b, err := (&ledger.Incarnation{Instance: "a"}).MarshalMsg(b)
	assert.Must(t, err)
	b = msgp.AppendUint64(b, 2)
	b = msgp.AppendUint64(b, 99)
	unknown := log.applyPayload(msgp.AppendBool(b, true))
	version := log.applyPayload(msgp.AppendUint8(nil, envelopeVersion+1))
	if diff := cmp.Diff([]Refusal{Unreadable, Unreadable}, []Refusal{unknown.Refused, version.Refused}); diff != "" {
		t.Fatal(diff)
	}
	log.applyExpecting(Heard, "b", 1, &Fence{Target: incarnation("a"), LastSeen: claim})
	log.applyExpecting("", "b", 2, &Fence{Target: incarnation("a"), LastSeen: unknown.Offset})
}

func TestEncodedRecordsAreReadBack(t *testing.T) {
	artifacts := []Artifact{{Model: "brush", Adapter: "cats", Version: "2"}}
	for _, record := range []Record{
		&Claim{Endpoint: "x"}, &Renew{}, &Yield{Endpoint: "x", Claim: 3},
		&Fence{Target: incarnation("b"), LastSeen: 7},
		&Report{Endpoint: "x", Claim: 3, Loaded: artifacts, Role: "Decode"},
		&Order{Endpoint: "x", Claim: 3, Loaded: artifacts, Wanted: artifacts, Role: "r", Retired: []string{"m"}, LoadLimit: 2},
		&Done{Endpoint: "x", Claim: 3, Order: 5, Outcome: Failed, Loaded: artifacts, Role: "r"},
	} {
		want := Entry{Writer: ledger.Incarnation{Instance: "a", Number: 4}, Sequence: 9, Record: record}
		b, err := Encode(want)
		assert.Must(t, err)
		got, err := Decode(b)
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Fatal(err, diff)
		}
		if _, err := Decode(append(b, 0)); !errors.Is(err, ErrMalformed) {
			t.Fatalf("decoding with a trailing byte: got error %v, want ErrMalformed", err)
		}
		if _, err := Decode(b[:len(b)-1]); err == nil {
			t.Fatalf("decoding a truncated %T succeeded", record)
		}
	}
}

func FuzzDecode(f *testing.F) {
	b, err := Encode(Entry{Writer: incarnation("a"), Sequence: 1, Record: &Claim{Endpoint: "x"}})
	assert.Must(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, payload []byte) {
		entry, err := Decode(payload)
		if err != nil {
			return
		}
		encoded, err := Encode(entry)
		assert.Must(t, err)
		again, err := Decode(encoded)
		if diff := cmp.Diff(entry, again); err != nil || diff != "" {
			t.Fatal(err, diff)
		}
	})
}

// TestSupersededOrdersStillCount guards against a model without an endpoint and against too many loads: an order that a
// new claim holder supersedes may still arrive or run.
func TestSupersededOrdersStillCount(t *testing.T) {
	log := &foldedLog{t: t}
	both := []Artifact{{Model: "brush", Version: "1"}, {Model: "palette", Version: "1"}}
	claimX := log.applyExpecting("", "a", 1, &Claim{Endpoint: "x"})
	claimY := log.applyExpecting("", "b", 1, &Claim{Endpoint: "y"})
	log.applyExpecting("", "a", 2, &Report{Endpoint: "x", Claim: claimX, Loaded: both})
	log.applyExpecting("", "b", 2, &Report{Endpoint: "y", Claim: claimY, Loaded: both})
	first := &Order{Endpoint: "x", Claim: claimX, Loaded: both, Wanted: append(both[:1:1], Artifact{Model: "easel"}), LoadLimit: 1}
	last := log.applyExpecting("", "a", 3, first)
	log.applyExpecting("", "b", 3, &Fence{Target: incarnation("a"), LastSeen: last})
	next := log.applyExpecting("", "b", 4, &Claim{Endpoint: "x"})
	second := log.applyExpecting("", "b", 5, &Order{Endpoint: "x", Claim: next, Loaded: both, Wanted: both, LoadLimit: 1})
	// The superseded first order may still drop palette from x, and may still be loading.
	log.applyExpecting(LastLoaded, "b", 6, &Order{Endpoint: "y", Claim: claimY, Loaded: both, Wanted: both[:1]})
	loading := &Order{Endpoint: "y", Claim: claimY, Loaded: both, Wanted: append(both[:2:2], Artifact{Model: "easel"}), LoadLimit: 1}
	log.applyExpecting(LoadLimit, "b", 7, loading)
	log.applyExpecting("", "b", 8, &Done{Endpoint: "x", Claim: next, Order: second, Loaded: both})
	log.applyExpecting("", "b", 9, loading)
}

// TestCopyOfTheNewestOrderMayDropModels guards against a model without an endpoint: after a failed order, a late
// duplicate of it may still drop the models that it doesn't want.
func TestCopyOfTheNewestOrderMayDropModels(t *testing.T) {
	log := &foldedLog{t: t}
	both := []Artifact{{Model: "brush", Version: "1"}, {Model: "palette", Version: "1"}}
	claimX := log.applyExpecting("", "a", 1, &Claim{Endpoint: "x"})
	claimY := log.applyExpecting("", "a", 2, &Claim{Endpoint: "y"})
	log.applyExpecting("", "a", 3, &Report{Endpoint: "y", Claim: claimY, Loaded: both})
	number := log.applyExpecting("", "a", 4, &Order{Endpoint: "x", Claim: claimX, Loaded: both, Wanted: both[:1]})
	log.applyExpecting("", "a", 5, &Done{Endpoint: "x", Claim: claimX, Order: number, Outcome: Failed, Loaded: both})
	log.applyExpecting(LastLoaded, "a", 6, &Order{Endpoint: "y", Claim: claimY, Loaded: both, Wanted: both[:1]})
	log.applyExpecting("", "a", 7, &Order{Endpoint: "y", Claim: claimY, Loaded: both, Wanted: both[1:]})
}

func TestDecodeSnapshot(t *testing.T) {
	log := &foldedLog{t: t}
	log.applyExpecting("", "a", 1, &Claim{Endpoint: "e"})
	payload, err := log.state.EncodeSnapshot()
	assert.Must(t, err)
	for name, damaged := range map[string][]byte{
		"cut": payload[:len(payload)/2], "version": bytes.Replace(payload, []byte(`"Version":1`), []byte(`"Version":2`), 1),
		"digest": bytes.Replace(payload, []byte(`"Digest":"`), []byte(`"Digest":"AAAA`), 1),
	} {
		if _, err := DecodeSnapshot(damaged); !errors.Is(err, ErrCorruptSnapshot) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}

func TestOffers(t *testing.T) {
	brush, cats, ink := Artifact{Model: "brush"}, Artifact{Model: "brush", Adapter: "cats"}, Artifact{Model: "ink"}
	all, newer := []Artifact{brush, cats, ink}, Artifact{Model: "brush", Version: "2"}
	for _, c := range []struct {
		loaded, wanted []Artifact
		want           []string
	}{
		{all, all, []string{"brush", "cats", "ink"}},
		{all, []Artifact{brush, ink}, []string{"brush", "ink"}},
		{all, []Artifact{newer, cats, ink}, []string{"ink"}},
		{[]Artifact{brush}, all, []string{"brush"}},
	} {
		v := View{Loaded: all, Current: &UnfinishedOrder{Order: Order{Loaded: c.loaded, Wanted: c.wanted}}}
		assert.Equal(t, c.want, v.AvailableNames())
	}
}
