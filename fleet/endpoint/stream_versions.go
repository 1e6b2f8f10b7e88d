package endpoint

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// StreamMemory is how long the version that began a stream is remembered at least: longer than a stream and its callers' attempts
	// to resume it last.
	StreamMemory = 1 * time.Minute
	// maxRememberedStreams bounds the streams of one generation of StreamVersions.
	maxRememberedStreams = 200_000
	// KeeperBuckets is the number of groups of streams that have the same keepers, which bounds the routers that one router is connected
	// to.
	KeeperBuckets = 16
)

// StreamVersions remembers a value for each stream for StreamMemory to twice as long. The zero value is empty.
type StreamVersions[T any] struct {
	current, previous map[uint64]T
	currentSince      time.Time
}

// Record remembers the value of a stream.
func (v *StreamVersions[T]) Record(now time.Time, stream uint64, value T) {
	v.dropOld(now)
	if len(v.current) >= maxRememberedStreams {
		v.current, v.previous, v.currentSince = nil, v.current, now
	}
	if v.current == nil {
		v.current = make(map[uint64]T)
	}
	v.current[stream] = value
}

// Get returns the value of a stream, or false if it isn't known.
func (v *StreamVersions[T]) Get(now time.Time, stream uint64) (T, bool) {
	v.dropOld(now)
	if value, ok := v.current[stream]; ok {
		return value, true
	}
	value, ok := v.previous[stream]
	return value, ok
}

func (v *StreamVersions[T]) dropOld(now time.Time) {
	switch age := now.Sub(v.currentSince); {
	case age >= 2*StreamMemory:
		v.current, v.previous, v.currentSince = nil, nil, now
	case age >= StreamMemory:
		v.current, v.previous, v.currentSince = nil, v.current, now
	}
}

// VersionHistory tracks which software versions of a service have served lately. The zero value has seen nothing.
type VersionHistory struct {
	// IsComplete reports whether the service had not served before the first observation.
	IsComplete bool

	since    time.Time
	lastSeen map[string]time.Time
	// serving are the versions that served at the last observation.
	serving []string
}

// Observe records the versions that serve from now on. Those of the last observation have served until now.
func (h *VersionHistory) Observe(now time.Time, versions []string) {
	if h.lastSeen == nil {
		h.since, h.lastSeen = now, make(map[string]time.Time)
	}
	for _, version := range slices.Concat(h.serving, versions) {
		h.lastSeen[version] = now
	}
	h.serving = slices.Clone(versions)
}

// Only returns the version that has begun all streams within a time before now, or false if there were several or this history is
// shorter.
func (h *VersionHistory) Only(now time.Time, within time.Duration) (string, bool) {
	only, count := "", 0
	for version, seenAt := range h.lastSeen {
		if now.Sub(seenAt) <= within || slices.Contains(h.serving, version) {
			only, count = version, count+1
		}
	}
	return only, count == 1 && (h.IsComplete || now.Sub(h.since) > within)
}

// KeeperBucket returns the group of streams with the same keepers to which a stream belongs.
func KeeperBucket(stream uint64) uint64 { return stream % KeeperBuckets }

// RankKeepers returns routers in the order in which they keep the versions of a bucket's streams. The order is the same at each router that
// lists the same ones.
func RankKeepers(bucket uint64, routers []string) []string {
	name := "stream/" + strconv.FormatUint(bucket, 10)
	ranked := slices.Clone(routers)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Rank(name, a), Rank(name, b)), cmp.Compare(a, b))
	})
	return ranked
}
