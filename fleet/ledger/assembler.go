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

// Bounds of the incomplete snapshots that an Assembler holds in memory.
const (
	// DefaultAssemblerBytes is the default maximum of the total length, in bytes, of the data of all incomplete
	// snapshots.
	DefaultAssemblerBytes = 512 << 20
	// maxIncompleteSnapshots is the maximum number of incomplete snapshots.
	maxIncompleteSnapshots = 8
	// maxSnapshotChunks is the maximum number of chunks in a snapshot.
	maxSnapshotChunks = 1 << 16
)

// Errors for a malformed chunk and for a complete snapshot whose data doesn't match its digest.
var (
	ErrMalformedChunk = errors.New("malformed snapshot chunk")
	ErrDigestMismatch = errors.New("snapshot digest mismatch")
)

// Assembler reassembles snapshots from the chunks of a snapshot stream. The chunks may arrive in any order and from
// any number of interleaved writers. The zero value is ready for use.
type Assembler struct {
	// MaxBytes is the maximum total length, in bytes, of the data of all incomplete snapshots; zero selects
	// DefaultAssemblerBytes. If it is exceeded, the least recently extended snapshots are dropped.
	MaxBytes int

	// incomplete holds the incomplete snapshots, sorted by the arrival of their newest chunk.
	incomplete []*incompleteSnapshot
	bytes      int
	// newest is the highest offset at which a completed snapshot ends: the first offset that the snapshot doesn't cover.
	newest platform.Offset
	// dropped is the number of incomplete snapshots that were dropped to keep the bounds on count and memory.
	dropped uint64
}

// snapshotKey identifies a snapshot: chunks with equal keys belong together.
type snapshotKey struct {
	writer Incarnation
	next   platform.Offset
	count  uint32
	digest [32]byte
}

// incompleteSnapshot holds the chunks of a snapshot that have arrived so far, by index.
type incompleteSnapshot struct {
	key    snapshotKey
	chunks map[uint32][]byte
	bytes  int
}

// Dropped returns the number of incomplete snapshots that were dropped to keep the bounds on their count and memory.
func (a *Assembler) Dropped() uint64 { return a.dropped }

// Add processes the payload of an entry of the snapshot stream. It returns a state if the payload completes a
// snapshot that covers more of the log than every snapshot completed before, and otherwise nil. It returns an error
// if the payload is malformed or the completed snapshot is invalid; the Assembler stays usable after an error.
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

// readChunk decodes and verifies a chunk. The chunk doesn't reference the payload's memory.
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
		return nil, fmt.Errorf("%w: checksum mismatch", ErrMalformedChunk)
	}
	if chunk.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: %w %d", ErrMalformedChunk, ErrUnknownVersion, chunk.Version)
	}
	if chunk.Index >= chunk.Count || chunk.Count > maxSnapshotChunks || len(chunk.Data) == 0 {
		return nil, fmt.Errorf("%w: chunk %d of %d", ErrMalformedChunk, chunk.Index, chunk.Count)
	}
	return chunk, nil
}

// findOrAdd returns the incomplete snapshot that a chunk belongs to. It adds the snapshot if it is new, and moves it
// to the end of the list, where the most recently extended snapshot is.
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

// enforceBounds drops the least recently extended snapshots until the bounds on count and memory hold.
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

// remove removes the incomplete snapshot at an index.
func (a *Assembler) remove(i int) {
	a.bytes -= a.incomplete[i].bytes
	a.incomplete = append(a.incomplete[:i], a.incomplete[i+1:]...)
}

// complete joins the chunks of a snapshot, verifies the digest of the data and loads the state. It frees each chunk
// once it is copied.
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

// dropCovered drops the incomplete snapshots that cover no more of the log than the newest completed one.
func (a *Assembler) dropCovered() {
	for i := len(a.incomplete) - 1; i >= 0; i-- {
		if a.incomplete[i].key.next <= a.newest {
			a.remove(i)
		}
	}
}
