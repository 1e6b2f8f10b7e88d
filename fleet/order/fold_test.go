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

// history is a log that is folded entry by entry.
type history struct {
	t     *testing.T
	state State
}

func incarnation(instance string) ledger.Incarnation { return ledger.Incarnation{Instance: instance} }

// payload folds a payload.
func (h *history) payload(b []byte) Result {
	h.t.Helper()
	result, ok := h.state.Apply(platform.Entry{Offset: h.state.Next(), Payload: b})
	if !ok {
		h.t.Fatal("the entry was not applied")
	}
	return result
}

// expect folds a record and compares its refusal.
func (h *history) expect(want Refusal, writer string, sequence uint64, r Record) platform.Offset {
	h.t.Helper()
	b, err := Encode(Entry{Writer: incarnation(writer), Sequence: sequence, Record: r})
	if err != nil {
		h.t.Fatal(err)
	}
	result := h.payload(b)
	if diff := cmp.Diff(want, result.Refused); diff != "" {
		h.t.Fatalf("refusal of %T differs (-want +got):\n%s", r, diff)
	}
	return result.Offset
}

func TestOneOrdererAtATime(t *testing.T) {
	h := &history{t: t}
	claim := h.expect("", "a", 1, &Claim{Endpoint: "x"})
	h.expect(Held, "b", 1, &Claim{Endpoint: "x"})
	h.expect(NotHolder, "b", 2, &Order{Endpoint: "x", Claim: claim})
	first := h.expect("", "a", 2, &Order{Endpoint: "x", Claim: claim})
	h.expect(Copied, "a", 2, &Order{Endpoint: "x", Claim: claim})
	h.expect(Unfinished, "a", 3, &Order{Endpoint: "x", Claim: claim})
	h.expect(Unfinished, "a", 4, &Report{Endpoint: "x", Claim: claim})
	last := h.expect(Unfinished, "a", 5, &Yield{Endpoint: "x", Claim: claim})
	h.expect(Heard, "b", 3, &Fence{Target: incarnation("a"), LastSeen: first})
	h.expect("", "b", 4, &Fence{Target: incarnation("a"), LastSeen: last})
	h.expect(NotHolder, "a", 6, &Done{Endpoint: "x", Claim: claim, Order: first})
	next := h.expect("", "b", 5, &Claim{Endpoint: "x"})
	h.expect(NotHolder, "a", 7, &Order{Endpoint: "x", Claim: claim})
	h.expect(NotHolder, "b", 6, &Order{Endpoint: "x", Claim: claim})
	second := h.expect("", "b", 7, &Order{Endpoint: "x", Claim: next})
	h.expect(NoOrder, "b", 8, &Done{Endpoint: "x", Claim: next, Order: first})
	h.expect("", "b", 9, &Done{Endpoint: "x", Claim: next, Order: second})
	h.expect("", "b", 10, &Yield{Endpoint: "x", Claim: next})
}

func TestLastEndpointOfARetiredModel(t *testing.T) {
	h := &history{t: t}
	claim := h.expect("", "a", 1, &Claim{Endpoint: "x"})
	loaded := []Artifact{{Model: "brush", Version: "1"}}
	h.expect("", "a", 2, &Report{Endpoint: "x", Claim: claim, Loaded: loaded})
	h.expect(LastLoaded, "a", 3, &Order{Endpoint: "x", Claim: claim, Loaded: loaded})
	h.expect("", "a", 4, &Order{Endpoint: "x", Claim: claim, Loaded: loaded, Retired: []string{"brush"}})
}

func TestUnknownRecordsAreSkipped(t *testing.T) {
	h := &history{t: t}
	claim := h.expect("", "a", 1, &Claim{Endpoint: "x"})
	b := msgp.AppendUint8(nil, envelopeVersion)
	b, err := (&ledger.Incarnation{Instance: "a"}).MarshalMsg(b)
	assert.Must(t, err)
	b = msgp.AppendUint64(b, 2)
	b = msgp.AppendUint64(b, 99)
	unknown := h.payload(msgp.AppendBool(b, true))
	version := h.payload(msgp.AppendUint8(nil, envelopeVersion+1))
	if diff := cmp.Diff([]Refusal{Unreadable, Unreadable}, []Refusal{unknown.Refused, version.Refused}); diff != "" {
		t.Fatal(diff)
	}
	h.expect(Heard, "b", 1, &Fence{Target: incarnation("a"), LastSeen: claim})
	h.expect("", "b", 2, &Fence{Target: incarnation("a"), LastSeen: unknown.Offset})
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
			t.Fatalf("a byte too many: %v", err)
		}
		if _, err := Decode(b[:len(b)-1]); err == nil {
			t.Fatalf("a byte too few in %T", record)
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

func TestSupersededOrdersStillCount(t *testing.T) {
	h := &history{t: t}
	both := []Artifact{{Model: "brush", Version: "1"}, {Model: "palette", Version: "1"}}
	claim := h.expect("", "a", 1, &Claim{Endpoint: "x"})
	other := h.expect("", "b", 1, &Claim{Endpoint: "y"})
	h.expect("", "a", 2, &Report{Endpoint: "x", Claim: claim, Loaded: both})
	h.expect("", "b", 2, &Report{Endpoint: "y", Claim: other, Loaded: both})
	first := &Order{Endpoint: "x", Claim: claim, Loaded: both, Wanted: append(both[:1:1], Artifact{Model: "easel"}), LoadLimit: 1}
	last := h.expect("", "a", 3, first)
	h.expect("", "b", 3, &Fence{Target: incarnation("a"), LastSeen: last})
	next := h.expect("", "b", 4, &Claim{Endpoint: "x"})
	second := h.expect("", "b", 5, &Order{Endpoint: "x", Claim: next, Loaded: both, Wanted: both, LoadLimit: 1})
	// The first order may still take palette from x, and may still load.
	h.expect(LastLoaded, "b", 6, &Order{Endpoint: "y", Claim: other, Loaded: both, Wanted: both[:1]})
	loading := &Order{Endpoint: "y", Claim: other, Loaded: both, Wanted: append(both[:2:2], Artifact{Model: "easel"}), LoadLimit: 1}
	h.expect(LoadLimit, "b", 7, loading)
	h.expect("", "b", 8, &Done{Endpoint: "x", Claim: next, Order: second, Loaded: both})
	h.expect("", "b", 9, loading)
}

func TestCopyOfTheNewestOrderMayDropModels(t *testing.T) {
	h := &history{t: t}
	both := []Artifact{{Model: "brush", Version: "1"}, {Model: "palette", Version: "1"}}
	claim := h.expect("", "a", 1, &Claim{Endpoint: "x"})
	other := h.expect("", "a", 2, &Claim{Endpoint: "y"})
	h.expect("", "a", 3, &Report{Endpoint: "y", Claim: other, Loaded: both})
	number := h.expect("", "a", 4, &Order{Endpoint: "x", Claim: claim, Loaded: both, Wanted: both[:1]})
	h.expect("", "a", 5, &Done{Endpoint: "x", Claim: claim, Order: number, Outcome: Failed, Loaded: both})
	h.expect(LastLoaded, "a", 6, &Order{Endpoint: "y", Claim: other, Loaded: both, Wanted: both[:1]})
	h.expect("", "a", 7, &Order{Endpoint: "y", Claim: other, Loaded: both, Wanted: both[1:]})
}

func TestDecodeSnapshot(t *testing.T) {
	h := &history{t: t}
	h.expect("", "a", 1, &Claim{Endpoint: "e"})
	payload, err := h.state.EncodeSnapshot()
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
		v := View{Loaded: all, Current: &Unclosed{Order: Order{Loaded: c.loaded, Wanted: c.wanted}}}
		assert.Equal(t, c.want, v.Offers())
	}
}
