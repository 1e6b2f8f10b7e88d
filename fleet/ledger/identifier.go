package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PartitionOf returns the index of the ledger partition that holds the budgets of a team.
func PartitionOf(team string, partitions int) int {
	if partitions <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(team) % uint64(partitions))
}

// NewRequestIdentifier returns the identifier of the request that a team sent with the given Idempotency-Key.
// The length of the team's name is hashed too, so that different pairs of team and key never hash the same bytes.
func NewRequestIdentifier(team, key string) RequestIdentifier {
	input := binary.AppendUvarint(nil, uint64(len(team)))
	input = append(input, team...)
	input = append(input, key...)
	digest := sha256.Sum256(input)
	return RequestIdentifier(digest[:len(RequestIdentifier{})])
}

// NewFingerprint returns the fingerprint of a request's parts. It hashes the length of each part too, so
// that requests that differ only in where a part ends have different fingerprints.
func NewFingerprint(parts ...[]byte) Fingerprint {
	digest := xxhash.New()
	var length [binary.MaxVarintLen64]byte
	for _, part := range parts {
		n := binary.PutUvarint(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:n])
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum64())
}

// compare orders incarnations by instance, then by number.
func (i Incarnation) compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Instance, other.Instance), cmp.Compare(i.Number, other.Number))
}
