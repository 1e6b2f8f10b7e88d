package operator

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	// snapshotVersion is the version of the snapshots that this package writes and reads.
	snapshotVersion = 2
	// DefaultChunkBytes is the length of a chunk's data unless the caller asks for another one.
	DefaultChunkBytes = 256 << 10
	// maxSnapshotBytes bounds what a snapshot is unpacked to.
	maxSnapshotBytes = 1 << 30
	// maxSnapshotChunks bounds the chunks of a snapshot.
	maxSnapshotChunks = 1 << 12
)

// Errors of DecodeSnapshot and SnapshotAssembler.
var (
	// ErrCorruptSnapshot reports bytes that are no snapshot, or one whose digest doesn't match.
	ErrCorruptSnapshot = errors.New("corrupt configuration snapshot")
	// ErrSnapshotVersion reports a snapshot of another version of the format.
	ErrSnapshotVersion = errors.New("configuration snapshot of an unknown version")
	// ErrIncompleteSnapshot reports one chunk of several.
	ErrIncompleteSnapshot = errors.New("incomplete configuration snapshot")
)

// snapshotChunk is an entry of the snapshot stream.
type snapshotChunk struct {
	Version int
	// Next is the first offset that the snapshot doesn't cover.
	Next platform.Offset
	// Digest is the digest of the data of all chunks together.
	Digest Digest
	Index  int
	Count  int
	// Data is a part of the compressed configuration.
	Data []byte
}

// EncodeSnapshot returns the configuration with the offset that it covers and a digest, as one entry. Equal
// configurations have equal snapshots. Large ones need EncodeSnapshotChunks, since the log bounds its entries.
func (c *Configuration) EncodeSnapshot() ([]byte, error) {
	chunks, err := c.EncodeSnapshotChunks(maxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	return chunks[0], nil
}

// EncodeSnapshotChunks returns the entries of a snapshot, each with up to chunkBytes of data;
// DefaultChunkBytes if that is not positive.
func (c *Configuration) EncodeSnapshotChunks(chunkBytes int) ([][]byte, error) {
	if chunkBytes <= 0 {
		chunkBytes = DefaultChunkBytes
	}
	if c == nil {
		c = &Configuration{}
	}
	data, err := c.compress()
	if err != nil {
		return nil, fmt.Errorf("encoding a configuration snapshot: %w", err)
	}
	chunk := snapshotChunk{
		Version: snapshotVersion, Next: c.Next, Digest: sha256.Sum256(data),
		Count: (len(data) + chunkBytes - 1) / chunkBytes,
	}
	payloads := make([][]byte, 0, chunk.Count)
	for part := range slices.Chunk(data, chunkBytes) {
		chunk.Data = part
		payload, err := json.Marshal(chunk)
		if err != nil {
			return nil, fmt.Errorf("encoding a configuration snapshot: %w", err)
		}
		payloads = append(payloads, payload)
		chunk.Index++
	}
	return payloads, nil
}

func (c *Configuration) compress() ([]byte, error) {
	var buffer bytes.Buffer
	w, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// DecodeSnapshot returns the configuration of a snapshot that is one entry.
func DecodeSnapshot(payload []byte) (*Configuration, error) {
	chunk, err := readChunk(payload)
	if err != nil {
		return nil, err
	}
	if chunk.Count != 1 {
		return nil, fmt.Errorf("%w: chunk %d of %d", ErrIncompleteSnapshot, chunk.Index+1, chunk.Count)
	}
	return chunk.configuration(chunk.Data)
}

func readChunk(payload []byte) (*snapshotChunk, error) {
	chunk := &snapshotChunk{}
	if err := json.Unmarshal(payload, chunk); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	if chunk.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: %d", ErrSnapshotVersion, chunk.Version)
	}
	if chunk.Index < 0 || chunk.Index >= chunk.Count || chunk.Count > maxSnapshotChunks {
		return nil, fmt.Errorf("%w: chunk %d of %d", ErrCorruptSnapshot, chunk.Index+1, chunk.Count)
	}
	return chunk, nil
}

// configuration decodes the data of all chunks.
func (k *snapshotChunk) configuration(data []byte) (*Configuration, error) {
	if sha256.Sum256(data) != k.Digest {
		return nil, fmt.Errorf("%w: its digest doesn't match", ErrCorruptSnapshot)
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	c := &Configuration{}
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	if c.Next != k.Next {
		return nil, fmt.Errorf("%w: it covers %d in place of %d", ErrCorruptSnapshot, c.Next, k.Next)
	}
	c.index = newIndex(c)
	return c, nil
}
