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
	// snapshotVersion is the version of the snapshots that this package writes and reads.
	snapshotVersion = 1
	// maxSnapshotBytes is the longest compressed state, maxStateBytes what it is unpacked to.
	maxSnapshotBytes = 512 << 10
	maxStateBytes    = 64 << 20
)

// The faults of a snapshot.
var (
	// ErrCorruptSnapshot reports bytes that are no snapshot, or one whose digest doesn't match.
	ErrCorruptSnapshot = errors.New("corrupt snapshot of the orders")
	// ErrLargeSnapshot reports a state that doesn't fit into one entry.
	ErrLargeSnapshot = errors.New("the snapshot of the orders is too large")
)

// snapshotEntry is an entry of the snapshot stream.
type snapshotEntry struct {
	Version int
	// Next is the first offset that the snapshot doesn't cover.
	Next   platform.Offset
	Digest []byte
	// Data is the compressed form of a snapshotState.
	Data []byte
}

// snapshotState is a State as it is encoded.
type snapshotState struct {
	Orderers  []snapshotOrderer
	Endpoints []snapshotEndpoint
}

type snapshotOrderer struct {
	Incarnation ledger.Incarnation
	LastSeen    platform.Offset
	Sequence    uint64
	Claims      int
}

type snapshotEndpoint struct {
	Name string
	View
	Bound   []Artifact
	Bounded bool
}

// EncodeSnapshot returns the state with the offset that it covers and a digest, as one entry. Equal states have equal
// snapshots.
func (s *State) EncodeSnapshot() ([]byte, error) {
	data, err := s.compress()
	if err != nil {
		return nil, fmt.Errorf("encoding a snapshot of the orders: %w", err)
	}
	if len(data) > maxSnapshotBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrLargeSnapshot, len(data))
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
		p := s.endpoints[name]
		state.Endpoints = append(state.Endpoints, snapshotEndpoint{name, s.Endpoint(name), p.bound, p.bounded})
	}
	return state
}

// DecodeSnapshot returns the state of a snapshot.
func DecodeSnapshot(payload []byte) (*State, error) {
	entry := snapshotEntry{}
	if err := json.Unmarshal(payload, &entry); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	digest := sha256.Sum256(entry.Data)
	if entry.Version != snapshotVersion || !bytes.Equal(digest[:], entry.Digest) {
		return nil, fmt.Errorf("%w: version %d, or its digest doesn't match", ErrCorruptSnapshot, entry.Version)
	}
	r, err := gzip.NewReader(bytes.NewReader(entry.Data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	state := snapshotState{}
	if err := json.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(&state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	return state.state(entry.Next), nil
}

// state returns the State that was exported.
func (x *snapshotState) state(next platform.Offset) *State {
	s := &State{next: next, orderers: make(map[ledger.Incarnation]*orderer), endpoints: make(map[string]*endpoint)}
	for _, w := range x.Orderers {
		s.orderers[w.Incarnation] = &orderer{lastSeen: w.LastSeen, sequence: w.Sequence, claims: w.Claims}
	}
	for _, e := range x.Endpoints {
		p := &endpoint{
			held: e.Held, holder: e.Holder, claim: e.Claim, formerEnd: e.FormerEnd, hadFormer: e.HadFormer,
			reported: e.Reported, loaded: e.Loaded, role: e.Role, serves: e.Serves, loading: e.Loading,
			bound: e.Bound, bounded: e.Bounded,
		}
		if c := e.Current; c != nil {
			p.current = &unfinished{offset: c.Offset, order: c.Order, lost: c.Lost}
		}
		s.endpoints[e.Name] = p
	}
	return s
}
