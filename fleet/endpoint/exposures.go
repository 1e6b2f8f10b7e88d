package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// maxExposures bounds the exchanges of one router that are remembered for an endpoint. It is more than an endpoint runs and queues.
const maxExposures = 512

// InterruptedExchange is a request whose exchange with an endpoint broke off, or had just ended, when the endpoint crashed.
type InterruptedExchange struct {
	// Fingerprint is zero for an exchange that had ended.
	Fingerprint ledger.Fingerprint
	// Parts are the parts of the request's prompt that other prompts may share, unless its answer had been under way for
	// SoundAnswerTime.
	Parts []string
	// SentAt is when the request was sent; InterruptedAt is when its exchange broke off.
	SentAt, InterruptedAt time.Time
	// IsAnswering is true if the answer had been under way for SoundAnswerTime.
	IsAnswering bool
}

// Exposures are the exchanges with an endpoint that broke off, in the order in which they did.
type Exposures []InterruptedExchange

// Add adds an exchange that broke off. Exchanges that are too old to count are removed, and one is if there are too many: the oldest
// whose answer was under way, else the oldest.
func (e *Exposures) Add(now time.Time, added InterruptedExchange) {
	*e = slices.DeleteFunc(*e, func(x InterruptedExchange) bool { return now.Sub(x.InterruptedAt) >= suspicionDuration })
	*e = append(*e, added)
	if len(*e) > maxExposures {
		i := max(0, slices.IndexFunc(*e, func(x InterruptedExchange) bool { return x.IsAnswering }))
		*e = slices.Delete(*e, i, i+1)
	}
}

// exposureRank orders exchanges by how likely their requests caused a crash. Lower ranks come first.
type exposureRank struct {
	isRepeated            bool
	crashes, partCrashes  int
	isAnswering, hasEnded bool
	// tieBreak orders requests of equal evidence in another way at each crash, so that none is left out each time.
	tieBreak uint64
}

func (r exposureRank) compare(other exposureRank) int {
	return cmp.Or(
		compareBool(r.isRepeated, other.isRepeated), cmp.Compare(other.crashes, r.crashes), cmp.Compare(other.partCrashes, r.partCrashes),
		compareBool(r.isAnswering, other.isAnswering), compareBool(r.hasEnded, other.hasEnded), cmp.Compare(r.tieBreak, other.tieBreak),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// RankExposures sorts the exchanges that were in progress at a crash, those first whose requests or parts were in progress at earlier
// crashes as well. Next come requests that an endpoint may just have begun to run, then those with an answer under way. Repeated
// fingerprints come last. It answers crashes with more requests in progress than can be recorded.
func RankExposures(crash string, exposures []InterruptedExchange, suspects *Suspects, parts *PartSuspects) []InterruptedExchange {
	type ranked struct {
		InterruptedExchange
		rank exposureRank
	}
	var all []ranked
	seen := make(map[ledger.Fingerprint]bool)
	partCrashes, crashHash := parts.crashesByPart(), xxhash.Sum64String(crash)
	for _, e := range exposures {
		r := exposureRank{isRepeated: seen[e.Fingerprint], isAnswering: e.IsAnswering, hasEnded: e.Fingerprint == 0, tieBreak: MixHash(crashHash ^ uint64(e.Fingerprint))}
		seen[e.Fingerprint] = e.Fingerprint != 0
		if request, ok := suspects.requests[e.Fingerprint]; ok {
			r.crashes = request.crashes
		}
		for _, part := range e.Parts {
			if !parts.IsSound(part) {
				r.partCrashes = max(r.partCrashes, partCrashes[part])
			}
		}
		all = append(all, ranked{e, r})
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return a.rank.compare(b.rank) })
	sorted := make([]InterruptedExchange, 0, len(all))
	for i := range all {
		sorted = append(sorted, all[i].InterruptedExchange)
	}
	return sorted
}
