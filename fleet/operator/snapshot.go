package operator

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
)

// snapshotVersion is the version of the snapshots that this package writes and reads.
const snapshotVersion = 1

// Errors of DecodeSnapshot.
var (
	// ErrCorruptSnapshot reports bytes that are no complete snapshot.
	ErrCorruptSnapshot = errors.New("corrupt configuration snapshot")
	// ErrSnapshotVersion reports a snapshot of another version of the format.
	ErrSnapshotVersion = errors.New("configuration snapshot of an unknown version")
)

// snapshot is the record of a configuration on the snapshot stream.
type snapshot struct {
	Version int
	// Digest is the SHA-256 digest of Configuration's bytes.
	Digest        Digest
	Configuration json.RawMessage
}

// EncodeSnapshot returns the configuration with the offset that it covers and a digest. Equal configurations have
// equal snapshots.
func (c *Configuration) EncodeSnapshot() ([]byte, error) {
	if c == nil {
		c = &Configuration{}
	}
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encoding the configuration: %w", err)
	}
	data, err := json.Marshal(snapshot{Version: snapshotVersion, Digest: sha256.Sum256(body), Configuration: body})
	if err != nil {
		return nil, fmt.Errorf("encoding the snapshot: %w", err)
	}
	return data, nil
}

// DecodeSnapshot returns the configuration of a snapshot. The errors that it wraps are ErrCorruptSnapshot and
// ErrSnapshotVersion.
func DecodeSnapshot(data []byte) (*Configuration, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: %d", ErrSnapshotVersion, s.Version)
	}
	if sha256.Sum256(s.Configuration) != s.Digest {
		return nil, fmt.Errorf("%w: its digest doesn't match", ErrCorruptSnapshot)
	}
	var c Configuration
	if err := json.Unmarshal(s.Configuration, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptSnapshot, err)
	}
	c.index = newIndex(&c)
	return &c, nil
}
