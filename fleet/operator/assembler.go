package operator

import (
	"bytes"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// maxIncompleteSnapshots is the maximum number of incomplete snapshots that a SnapshotAssembler buffers.
const maxIncompleteSnapshots = 8

// SnapshotAssembler reassembles configuration snapshots from the chunks of the snapshot stream. Chunks may arrive in
// any order and from any number of interleaved writers. The zero value is ready to use.
type SnapshotAssembler struct {
	// incomplete contains the unfinished snapshots, ordered by the arrival of their first chunk.
	incomplete []*incompleteSnapshot
	// newestNext is the Next offset of the newest snapshot completed so far.
	newestNext platform.Offset
}

type incompleteSnapshot struct {
	digest        Digest
	chunks        [][]byte
	missingChunks int
}

// Add processes an entry of the snapshot stream. It returns a configuration if the entry completes a snapshot that
// covers more of the configuration stream than every snapshot completed before, and nil if it doesn't. It returns an
// error if the entry is malformed or the completed snapshot is corrupt; later entries can still be added.
func (a *SnapshotAssembler) Add(payload []byte) (*Configuration, error) {
	chunk, err := decodeChunk(payload)
	if err != nil {
		return nil, err
	}
	if chunk.Next <= a.newestNext {
		return nil, nil
	}
	p := a.findOrCreate(chunk)
	if len(p.chunks) != chunk.Count || p.chunks[chunk.Index] != nil {
		return nil, nil
	}
	p.chunks[chunk.Index] = chunk.Data
	p.missingChunks--
	if p.missingChunks > 0 {
		return nil, nil
	}
	a.incomplete = slices.DeleteFunc(a.incomplete, func(q *incompleteSnapshot) bool { return q == p })
	c, err := chunk.decodeConfiguration(bytes.Join(p.chunks, nil))
	if err != nil {
		return nil, err
	}
	a.newestNext = c.Next
	return c, nil
}

// findOrCreate returns the incomplete snapshot that has the digest given in a chunk, or adds a new one. Chunks of
// several writers can be combined, since routers with the same configuration write identical chunks. If there are more
// than maxIncompleteSnapshots, the snapshot whose first chunk arrived earliest is evicted.
func (a *SnapshotAssembler) findOrCreate(chunk *snapshotChunk) *incompleteSnapshot {
	for _, p := range a.incomplete {
		if p.digest == chunk.Digest {
			return p
		}
	}
	p := &incompleteSnapshot{digest: chunk.Digest, chunks: make([][]byte, chunk.Count), missingChunks: chunk.Count}
	a.incomplete = append(a.incomplete, p)
	if len(a.incomplete) > maxIncompleteSnapshots {
		a.incomplete = a.incomplete[1:]
	}
	return p
}
