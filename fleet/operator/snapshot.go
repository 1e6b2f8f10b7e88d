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
	// snapshotVersion is the version of the snapshot format that this package writes, and the only one that it reads.
	snapshotVersion = 2
	// DefaultChunkBytes is the default for the maximum length of a chunk's data in bytes.
	DefaultChunkBytes = 256 << 10
	// maxSnapshotBytes is the maximum length in bytes of a decompressed snapshot.
	maxSnapshotBytes = 1 << 30
	// maxSnapshotChunks is the maximum number of chunks of a snapshot.
	maxSnapshotChunks = 1 << 12
)

// Errors of DecodeSnapshot and SnapshotAssembler.
var (
	// ErrCorruptSnapshot reports data that is not a configuration snapshot or doesn't match its digest.
	ErrCorruptSnapshot = errors.New("corrupt configuration snapshot")
	// ErrSnapshotVersion reports a configuration snapshot in an unsupported version of the format.
	ErrSnapshotVersion = errors.New("unsupported version of configuration snapshot")
	// ErrIncompleteSnapshot reports an entry that is only one of several chunks of a configuration snapshot.
	ErrIncompleteSnapshot = errors.New("incomplete configuration snapshot")
)

// snapshotChunk is an entry of the snapshot stream: one part of a compressed configuration.
type snapshotChunk struct {
	Version int
	// Next is the first offset of the configuration stream that the snapshot doesn't cover.
	Next platform.Offset
	// Digest is the SHA-256 digest of the concatenated data of all chunks.
	Digest Digest
	Index  int
	Count  int
	// Data is the chunk's part of the gzip-compressed JSON of the configuration.
	Data []byte
}

// EncodeSnapshot encodes the configuration as a single snapshot entry. Equal configurations have identical snapshots.
// Large configurations need EncodeSnapshotChunks, since the platform's log limits the length of an entry.
func (c *Configuration) EncodeSnapshot() ([]byte, error) {
	chunks, err := c.EncodeSnapshotChunks(maxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	return chunks[0], nil
}

// EncodeSnapshotChunks encodes the configuration as snapshot entries with up to chunkBytes bytes of compressed data
// each. DefaultChunkBytes applies if chunkBytes is not positive.
func (c *Configuration) EncodeSnapshotChunks(chunkBytes int) ([][]byte, error) {
	if chunkBytes <= 0 {
		chunkBytes = DefaultChunkBytes
	}
	if c == nil {
		c = &Configuration{}
	}
	data, err := c.compressedJSON()
	if err != nil {
		return nil, fmt.Errorf("failed to encode configuration snapshot: %w", err)
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
			return nil, fmt.Errorf("failed to encode configuration snapshot: %w", err)
		}
		payloads = append(payloads, payload)
		chunk.Index++
	}
	return payloads, nil
}

func (c *Configuration) compressedJSON() ([]byte, error) {
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

// DecodeSnapshot decodes a snapshot that consists of one entry; it returns ErrIncompleteSnapshot for one of several
// chunks.
func DecodeSnapshot(payload []byte) (*Configuration, error) {
	chunk, err := decodeChunk(payload)
	if err != nil {
		return nil, err
	}
	if chunk.Count != 1 {
		return nil, fmt.Errorf("%w: chunk %d of %d", ErrIncompleteSnapshot, chunk.Index+1, chunk.Count)
	}
	return chunk.decodeConfiguration(chunk.Data)
}

func decodeChunk(payload []byte) (*snapshotChunk, error) {
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

// decodeConfiguration verifies and decodes the concatenated data of all chunks of the snapshot.
func (k *snapshotChunk) decodeConfiguration(data []byte) (*Configuration, error) {
	if sha256.Sum256(data) != k.Digest {
		return nil, fmt.Errorf("%w: digest of the data doesn't match", ErrCorruptSnapshot)
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
		return nil, fmt.Errorf("%w: configuration ends at offset %d, its chunks say %d", ErrCorruptSnapshot, c.Next, k.Next)
	}
	c.index = newIndex(c)
	return c, nil
}
