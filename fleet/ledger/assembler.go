package ledger

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Bounds of what an Assembler keeps of incomplete snapshots.
const (
	// DefaultAssemblerBytes is the sum of the data of all incomplete snapshots.
	DefaultAssemblerBytes = 512 << 20
	// maxIncompleteSnapshots is the number of incomplete snapshots.
	maxIncompleteSnapshots = 8
	// maxSnapshotChunks is the number of chunks of a snapshot.
	maxSnapshotChunks = 1 << 16
)

// The faults of a chunk and of a complete snapshot.
var (
	ErrMalformedChunk = errors.New("malformed snapshot chunk")
	ErrDigestMismatch = errors.New("snapshot digest mismatch")
)

// Assembler joins the chunks of a snapshot stream, in any order and from any number of interleaved writers.
// Its zero value is ready for use.
type Assembler struct {
	// MaxBytes bounds the data of incomplete snapshots; zero counts as DefaultAssemblerBytes. Beyond it, the
	// snapshots that grew least recently are dropped.
	MaxBytes int

	// incomplete snapshots are ordered by their newest chunk.
	incomplete []*incompleteSnapshot
	bytes      int
	// newest is the highest offset at which a complete snapshot stops.
	newest platform.Offset
	// dropped counts incomplete snapshots that were given up.
	dropped uint64
}

// snapshotKey identifies a snapshot.
type snapshotKey struct {
	writer Incarnation
	next   platform.Offset
	count  uint32
	digest [32]byte
}

// incompleteSnapshot holds the chunks of a snapshot that arrived.
type incompleteSnapshot struct {
	key    snapshotKey
	chunks map[uint32][]byte
	bytes  int
}

// Dropped returns the number of incomplete snapshots that were given up for newer ones.
func (a *Assembler) Dropped() uint64 { return a.dropped }

// Add takes the payload of an entry of the snapshot stream. It returns a state when the payload completes a
// snapshot that covers more than every former one, and an error if the payload is malformed or completes a
// snapshot with a wrong digest; reading goes on after an error.
func (a *Assembler) Add(payload []byte) (*State, error) {
	chunk, err := readChunk(payload)
	if err != nil {
		return nil, err
	}
	if platform.Offset(chunk.Next) <= a.newest {
		return nil, nil
	}
	p := a.findOrAdd(chunk)
	if _, ok := p.chunks[chunk.Index]; ok {
		return nil, nil
	}
	p.chunks[chunk.Index] = chunk.Data
	p.bytes += len(chunk.Data)
	a.bytes += len(chunk.Data)
	if len(p.chunks) < int(p.key.count) {
		a.enforceBounds()
		return nil, nil
	}
	a.remove(len(a.incomplete) - 1)
	return a.complete(p)
}

// readChunk checks a payload and returns its chunk, which shares no memory with it.
func readChunk(payload []byte) (*snapshotChunk, error) {
	chunk := &snapshotChunk{}
	rest, err := chunk.UnmarshalMsg(payload)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedChunk, err)
	}
	checksum, end, err := msgp.ReadUint64Bytes(rest)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedChunk, err)
	}
	if len(end) > 0 || checksum != xxhash.Sum64(payload[:len(payload)-len(rest)]) {
		return nil, fmt.Errorf("%w: wrong checksum", ErrMalformedChunk)
	}
	if chunk.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: %w %d", ErrMalformedChunk, ErrUnknownVersion, chunk.Version)
	}
	if chunk.Index >= chunk.Count || chunk.Count > maxSnapshotChunks || len(chunk.Data) == 0 {
		return nil, fmt.Errorf("%w: chunk %d of %d", ErrMalformedChunk, chunk.Index, chunk.Count)
	}
	return chunk, nil
}

// findOrAdd returns the snapshot of a chunk as the one that grew last.
func (a *Assembler) findOrAdd(chunk *snapshotChunk) *incompleteSnapshot {
	key := snapshotKey{
		writer: Incarnation{Instance: chunk.Instance, Number: chunk.Number},
		next:   platform.Offset(chunk.Next), count: chunk.Count, digest: chunk.Digest,
	}
	p := &incompleteSnapshot{key: key, chunks: make(map[uint32][]byte)}
	for i, existing := range a.incomplete {
		if existing.key == key {
			p = existing
			a.incomplete = append(a.incomplete[:i], a.incomplete[i+1:]...)
			break
		}
	}
	a.incomplete = append(a.incomplete, p)
	return p
}

// enforceBounds drops the snapshots that grew least recently until the bounds are kept.
func (a *Assembler) enforceBounds() {
	limit := a.MaxBytes
	if limit == 0 {
		limit = DefaultAssemblerBytes
	}
	for len(a.incomplete) > maxIncompleteSnapshots || (a.bytes > limit && len(a.incomplete) > 0) {
		a.remove(0)
		a.dropped++
	}
}

// remove takes a snapshot out of the incomplete ones.
func (a *Assembler) remove(i int) {
	a.bytes -= a.incomplete[i].bytes
	a.incomplete = append(a.incomplete[:i], a.incomplete[i+1:]...)
}

// complete checks the digest of a snapshot with all of its chunks and loads it.
func (a *Assembler) complete(p *incompleteSnapshot) (*State, error) {
	var data bytes.Buffer
	data.Grow(p.bytes)
	for i := range p.key.count {
		data.Write(p.chunks[i])
		delete(p.chunks, i)
	}
	if sha256.Sum256(data.Bytes()) != p.key.digest {
		return nil, ErrDigestMismatch
	}
	s, err := loadState(data.Bytes())
	if err != nil {
		return nil, err
	}
	if s.next != p.key.next {
		return nil, fmt.Errorf("loading a snapshot: %w", ErrInconsistentSnapshot)
	}
	a.newest = s.next
	a.dropCovered()
	return s, nil
}

// dropCovered drops the incomplete snapshots that cover no more than the newest complete one.
func (a *Assembler) dropCovered() {
	for i := len(a.incomplete) - 1; i >= 0; i-- {
		if a.incomplete[i].key.next <= a.newest {
			a.remove(i)
		}
	}
}
