package ledger

import (
	"bytes"
	"errors"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"
)

// encodeChunks returns the snapshot chunks of the stream's state, written by writer, with 16 bytes of data each.
func encodeChunks(t *testing.T, s *stream, writer Incarnation) [][]byte {
	t.Helper()
	chunks, err := s.state.EncodeSnapshot(writer, 16)
	assert.Must(t, err)
	return chunks
}

// addPayloads adds payloads to an assembler and returns the last state that was completed and the last error.
func addPayloads(a *Assembler, payloads ...[]byte) (*State, error) {
	var state *State
	var lastErr error
	for _, p := range payloads {
		completed, err := a.Add(p)
		if completed != nil {
			state = completed
		}
		if err != nil {
			lastErr = err
		}
	}
	return state, lastErr
}

// TestAssembler guards against a snapshot that is completed from missing, corrupt or outdated chunks, and against
// incomplete snapshots that use memory without bound.
func TestAssembler(t *testing.T) {
	s := newStream(t)
	chunks := encodeChunks(t, s, router(1))
	t.Run("half", func(t *testing.T) {
		state, err := addPayloads(&Assembler{}, chunks[1:]...)
		assert.ErrorIs(t, err, nil)
		assert.Equal(t, true, state == nil)
	})
	t.Run("corrupt chunk", func(t *testing.T) {
		corrupt := bytes.Clone(chunks[0])
		corrupt[len(corrupt)/2] ^= 1
		state, err := addPayloads(&Assembler{}, append([][]byte{corrupt}, chunks...)...)
		assert.ErrorIs(t, err, ErrMalformedChunk)
		assert.Equal(t, s.state.Next(), state.Next())
	})
	t.Run("wrong digest", func(t *testing.T) {
		var chunk snapshotChunk
		if _, err := chunk.UnmarshalMsg(chunks[0]); err != nil {
			t.Fatal(err)
		}
		chunk.Data[0] ^= 1
		payload, err := chunk.MarshalMsg(nil)
		assert.ErrorIs(t, err, nil)
		payload = msgp.AppendUint64(payload, xxhash.Sum64(payload))
		_, err = addPayloads(&Assembler{}, append([][]byte{payload}, chunks[1:]...)...)
		assert.ErrorIs(t, err, ErrDigestMismatch)
	})
	t.Run("older than the newest", func(t *testing.T) {
		later := newStream(t)
		later.write(t, router(1), &Heartbeat{})
		a := &Assembler{}
		state, _ := addPayloads(a, encodeChunks(t, later, router(1))...)
		assert.Equal(t, later.state.Next(), state.Next())
		state, err := addPayloads(a, chunks...)
		assert.ErrorIs(t, err, nil)
		assert.Equal(t, true, state == nil)
	})
	t.Run("bounded memory", func(t *testing.T) {
		limited, unlimited := &Assembler{MaxBytes: 100}, &Assembler{}
		for n := range 50 {
			for _, a := range []*Assembler{limited, unlimited} {
				_, err := addPayloads(a, encodeChunks(t, s, router(n))[1:]...)
				assert.ErrorIs(t, err, nil)
			}
			if limited.bytes > limited.MaxBytes || len(unlimited.incomplete) > maxIncompleteSnapshots {
				t.Fatalf("the assembler holds %d bytes and %d incomplete snapshots", limited.bytes, len(unlimited.incomplete))
			}
		}
		state, _ := addPayloads(unlimited, chunks...)
		assert.Equal(t, s.state.Next(), state.Next())
	})
}

// TestDecodeIsBounded guards against a payload whose claimed record count makes Decode allocate without bound, and
// against groups with negative amounts, unknown share kinds or too many requests in a crash.
func TestDecodeIsBounded(t *testing.T) {
	header, err := Encode(Group{Writer: router(1), First: 1})
	assert.Must(t, err)
	huge := msgp.AppendArrayHeader(header[:len(header)-1], 1<<31)
	_, err = Decode(huge)
	assert.ErrorIs(t, err, ErrGroupTooLong)
	for _, record := range []Record{
		&Draw{Wanted: -1}, &Open{Amount: -1}, &Return{Amount: -1}, &Prepaid{Total: -1}, &Bill{Usage: -1},
	} {
		_, err := Encode(Group{Writer: router(1), First: 1, Records: []Record{record}})
		assert.Equal(t, true, errors.Is(err, ErrNegativeAmount))
	}
	_, err = Encode(Group{Writer: router(1), First: 1, Records: []Record{&Draw{Kind: 2}}})
	assert.ErrorIs(t, err, ErrUnknownShareKind)
	_, err = Encode(Group{Writer: router(1), First: 1, Records: []Record{&Crash{InProgress: make([]Fingerprint, MaxCrashRequests+1)}}})
	assert.ErrorIs(t, err, ErrGroupTooLong)
}

// TestOverspentSnapshotIsRefused guards against loading a snapshot in which the shares of a budget exceed what was
// prepaid for it.
func TestOverspentSnapshotIsRefused(t *testing.T) {
	s := newPartitionState(1, 1)
	s.budgets.at(0).prepaid--
	s.budgets.at(0).shares[0].free[Working] = 1 << 40
	data, err := s.encode()
	assert.ErrorIs(t, err, nil)
	_, err = loadState(data)
	assert.ErrorIs(t, err, ErrInconsistentSnapshot)
}
