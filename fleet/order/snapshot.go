package order

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	// snapshotVersion is the snapshot version that this package writes, and the only one that it reads.
	snapshotVersion = 1
	// maxSnapshotBytes is the maximum size of a compressed state in bytes. maxStateBytes is the maximum size of the
	// decompressed state in bytes.
	maxSnapshotBytes = 512 << 10
	maxStateBytes    = 64 << 20
)

// Errors of EncodeSnapshot and DecodeSnapshot.
var (
	// ErrCorruptSnapshot means that a payload is not a snapshot, has an unsupported version or does not match its
	// digest.
	ErrCorruptSnapshot = errors.New("corrupt orders snapshot")
	// ErrSnapshotTooLarge means that a compressed state exceeds maxSnapshotBytes, so that it does not fit into one
	// entry of the snapshot stream.
	ErrSnapshotTooLarge = errors.New("orders snapshot is too large")
)

// snapshotEntry is the JSON form of an entry of the snapshot stream.
type snapshotEntry struct {
	Version int
	// Next is the offset of the first entry of the orders stream that the snapshot does not cover.
	Next   platform.Offset
	Digest []byte
	// Data is a snapshotState as gzip-compressed JSON.
	Data []byte
}

// snapshotState is the JSON form of a State.
type snapshotState struct {
	Orderers  []snapshotOrderer
	Endpoints []snapshotEndpoint
}

// snapshotOrderer is the JSON form of an orderer that holds claims. Claims is the number of its claims.
type snapshotOrderer struct {
	Incarnation ledger.Incarnation
	LastSeen    platform.Offset
	Sequence    uint64
	Claims      int
}

// snapshotEndpoint is the JSON form of an endpoint's state.
type snapshotEndpoint struct {
	Name string
	View
	// Bound and Bounded are the fields latestWanted and hasLatestWanted of endpoint.
	Bound   []Artifact
	Bounded bool
}

// EncodeSnapshot returns the state as the payload of one snapshot stream entry, with a digest and the next offset of
// the orders stream. Equal states have equal payloads.
func (s *State) EncodeSnapshot() ([]byte, error) {
	data, err := s.compress()
	if err != nil {
		return nil, fmt.Errorf("encode orders snapshot: %w", err)
	}
	if len(data) > maxSnapshotBytes {
		return nil, fmt.Errorf("%w: %d compressed bytes", ErrSnapshotTooLarge, len(data))
	}
	digest := sha256.Sum256(data)
	return json.Marshal(snapshotEntry{Version: snapshotVersion, Next: s.next, Digest: digest[:], Data: data})
}

func (s *State) compress() ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(w).Encode(s.export()); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func (s *State) export() snapshotState {
	state := snapshotState{}
	for _, v := range s.Orderers() {
		w := s.orderers[v.Incarnation]
		state.Orderers = append(state.Orderers, snapshotOrderer{v.Incarnation, w.lastSeen, w.sequence, w.claims})
	}
	for _, name := range s.Names() {
		ep := s.endpoints[name]
		state.Endpoints = append(state.Endpoints, snapshotEndpoint{name, s.Endpoint(name), ep.latestWanted, ep.hasLatestWanted})
	}
	return state
}

// DecodeSnapshot returns the state that a payload of EncodeSnapshot holds, or an error that wraps ErrCorruptSnapshot.
func DecodeSnapshot(payload []byte) (*State, error) {
	entry := snapshotEntry{}
	if err := json.Unmarshal(payload, &entry); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	digest := sha256.Sum256(entry.Data)
	if entry.Version != snapshotVersion || !bytes.Equal(digest[:], entry.Digest) {
		return nil, fmt.Errorf("%w: unsupported version %d or digest mismatch", ErrCorruptSnapshot, entry.Version)
	}
	r, err := gzip.NewReader(bytes.NewReader(entry.Data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	state := snapshotState{}
	if err := json.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(&state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	return state.restore(entry.Next), nil
}

// restore returns the State that export converted; next is the state's next offset.
func (x *snapshotState) restore(next platform.Offset) *State {
	s := &State{next: next, orderers: make(map[ledger.Incarnation]*orderer), endpoints: make(map[string]*endpoint)}
	for _, w := range x.Orderers {
		s.orderers[w.Incarnation] = &orderer{lastSeen: w.LastSeen, sequence: w.Sequence, claims: w.Claims}
	}
	for _, e := range x.Endpoints {
		ep := &endpoint{
			held: e.Held, holder: e.Holder, claim: e.Claim, formerEnd: e.FormerEnd, hadFormer: e.HadFormer,
			reported: e.Reported, loaded: e.Loaded, role: e.Role, serves: e.Serves, loading: e.Loading,
			latestWanted: e.Bound, hasLatestWanted: e.Bounded,
		}
		if c := e.Current; c != nil {
			ep.unfinished = &unfinishedOrder{offset: c.Offset, order: c.Order, lost: c.Lost}
		}
		s.endpoints[e.Name] = ep
	}
	return s
}
