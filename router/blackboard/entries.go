package blackboard

import (
	"slices"
	"sync"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	// maximumRecentEntries is the maximum number of entries that RecentEntries keeps.
	maximumRecentEntries = 256
	// maximumRecentBytes is the maximum total size in bytes of the kept payloads, so that they fit into one answer to a peer.
	maximumRecentBytes = 2 << 20
)

// RecentEntries keeps the newest entries of a stream in bounded memory. The zero value is empty and ready for use.
type RecentEntries struct {
	mutex   sync.Mutex
	entries []platform.Entry
	bytes   int
}

// Add appends an entry and evicts the oldest entries until both bounds are met.
func (r *RecentEntries) Add(e platform.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries = append(r.entries, e)
	r.bytes += len(e.Payload)
	for len(r.entries) > maximumRecentEntries || r.bytes > maximumRecentBytes {
		r.bytes -= len(r.entries[0].Payload)
		r.entries = slices.Delete(r.entries, 0, 1)
	}
}

// From returns the kept entries from offset next on, or none if the entry at that offset isn't kept.
func (r *RecentEntries) From(next platform.Offset) []platform.Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	index := slices.IndexFunc(r.entries, func(e platform.Entry) bool { return e.Offset == next })
	if index < 0 {
		return nil
	}
	return slices.Clone(r.entries[index:])
}
