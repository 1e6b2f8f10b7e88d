package order

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Router is an instance that may claim endpoints.
type Router struct {
	Instance string
	Region   string
}

// Preferred returns the instance that is to claim an endpoint: the one that rendezvous hashing ranks first
// among the routers of the endpoint's region, or among all if there is none; empty without routers. Two
// routers with different lists may both claim; the log then decides.
func Preferred(endpoint, region string, routers []Router) string {
	near := slices.DeleteFunc(slices.Clone(routers), func(r Router) bool { return r.Region != region })
	if len(near) == 0 {
		near = routers
	}
	best, highest := "", uint64(0)
	for _, r := range near {
		score := xxhash.Sum64String(endpoint + "\x00" + r.Instance)
		if best == "" || score > highest || score == highest && strings.Compare(r.Instance, best) < 0 {
			best, highest = r.Instance, score
		}
	}
	return best
}

// EndWatch measures for how long the log was read without a gap since it showed the end of an endpoint's
// former claim. The zero value has seen nothing.
type EndWatch struct {
	// GapLimit is the longest time between two complete reads that counts as reading without a gap.
	GapLimit time.Duration
	end      platform.Offset
	since    time.Time
	lastRead time.Time
}

// Read notes a complete read that ended at now; end is the view's FormerEnd.
func (w *EndWatch) Read(now time.Time, end platform.Offset) {
	gap := now.Sub(w.lastRead) > w.GapLimit
	if w.lastRead.IsZero() || gap || end != w.end {
		w.since = now
	}
	w.end, w.lastRead = end, now
}

// SeenFor returns the time without a gap, zero if the newest read is too long ago.
func (w *EndWatch) SeenFor(now time.Time, end platform.Offset) time.Duration {
	if w.lastRead.IsZero() || end != w.end || now.Sub(w.lastRead) > w.GapLimit {
		return 0
	}
	return now.Sub(w.since)
}
