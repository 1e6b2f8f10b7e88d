package order

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Router is a router instance that may claim endpoints.
type Router struct {
	Instance string
	Region   string
}

// PreferredInstance returns the instance that should claim an endpoint. Rendezvous hashing selects it among the routers
// of the endpoint's region, or among all routers if the region has none; without routers the result is empty. Two
// routers with different lists may both claim the endpoint; the order of their records on the log then decides.
func PreferredInstance(endpoint, region string, routers []Router) string {
	candidates := slices.DeleteFunc(slices.Clone(routers), func(r Router) bool { return r.Region != region })
	if len(candidates) == 0 {
		candidates = routers
	}
	preferred, highestScore := "", uint64(0)
	for _, r := range candidates {
		score := xxhash.Sum64String(endpoint + "\x00" + r.Instance)
		if preferred == "" || score > highestScore || score == highestScore && strings.Compare(r.Instance, preferred) < 0 {
			preferred, highestScore = r.Instance, score
		}
	}
	return preferred
}

// ClaimEndTimer measures how long the orders stream has been read without a gap since a read first showed the end of an
// endpoint's former claim. The zero value has recorded no read.
type ClaimEndTimer struct {
	// GapLimit is the longest time between two complete reads of the log that does not count as a gap.
	GapLimit      time.Duration
	endOffset     platform.Offset
	observedSince time.Time
	lastRead      time.Time
}

// Read records that the log was read to its end at now. The offset endOffset is the endpoint's View.FormerEnd.
func (t *ClaimEndTimer) Read(now time.Time, endOffset platform.Offset) {
	gap := now.Sub(t.lastRead) > t.GapLimit
	if t.lastRead.IsZero() || gap || endOffset != t.endOffset {
		t.observedSince = now
	}
	t.endOffset, t.lastRead = endOffset, now
}

// ObservedFor returns the time for which the log has been read without a gap since it showed the claim end at
// endOffset. The result is zero if the newest read is older than GapLimit or showed another claim end.
func (t *ClaimEndTimer) ObservedFor(now time.Time, endOffset platform.Offset) time.Duration {
	if t.lastRead.IsZero() || endOffset != t.endOffset || now.Sub(t.lastRead) > t.GapLimit {
		return 0
	}
	return now.Sub(t.observedSince)
}
