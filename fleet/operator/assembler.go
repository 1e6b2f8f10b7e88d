package operator

import (
	"bytes"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// maxIncompleteSnapshots is the number of incomplete snapshots that an assembler keeps.
const maxIncompleteSnapshots = 8

// SnapshotAssembler joins the chunks of the snapshot stream, in any order and from any number of interleaved
// writers. Its zero value is ready for use.
type SnapshotAssembler struct {
	// incomplete snapshots are ordered by their first chunk.
	incomplete []*incompleteSnapshot
	newest     platform.Offset
}

type incompleteSnapshot struct {
	digest  Digest
	chunks  [][]byte
	missing int
}

// Add takes an entry of the snapshot stream. It returns a configuration when the entry completes a snapshot that
// covers more than every former one, and an error if the entry is malformed or completes a corrupt snapshot;
// reading goes on after an error.
func (a *SnapshotAssembler) Add(payload []byte) (*Configuration, error) {
	chunk, err := readChunk(payload)
	if err != nil {
		return nil, err
	}
	if chunk.Next <= a.newest {
		return nil, nil
	}
	p := a.find(chunk)
	if len(p.chunks) != chunk.Count || p.chunks[chunk.Index] != nil {
		return nil, nil
	}
	p.chunks[chunk.Index] = chunk.Data
	p.missing--
	if p.missing > 0 {
		return nil, nil
	}
	a.incomplete = slices.DeleteFunc(a.incomplete, func(q *incompleteSnapshot) bool { return q == p })
	c, err := chunk.configuration(bytes.Join(p.chunks, nil))
	if err != nil {
		return nil, err
	}
	a.newest = c.Next
	return c, nil
}

// find returns the snapshot of a chunk. Routers with the same configuration write the same chunks.
func (a *SnapshotAssembler) find(chunk *snapshotChunk) *incompleteSnapshot {
	for _, p := range a.incomplete {
		if p.digest == chunk.Digest {
			return p
		}
	}
	p := &incompleteSnapshot{digest: chunk.Digest, chunks: make([][]byte, chunk.Count), missing: chunk.Count}
	a.incomplete = append(a.incomplete, p)
	if len(a.incomplete) > maxIncompleteSnapshots {
		a.incomplete = a.incomplete[1:]
	}
	return p
}
