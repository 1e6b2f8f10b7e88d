package endpoint

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Defaults of a Policy.
const (
	// DefaultZoneCost and DefaultRegionCost are what it costs to leave the availability zone and the
	// region, in parts of an endpoint's capacity: a remote endpoint is taken when the near ones are that
	// much fuller.
	DefaultZoneCost   = 0.02
	DefaultRegionCost = 0.5
	// DefaultAffinityBound is the load, as a multiple of the mean, up to which affinity decides.
	DefaultAffinityBound = 1.5
	// DefaultEndpointConcurrency is the limit of candidates that state none.
	DefaultEndpointConcurrency = 64
)

// Tier says how far an endpoint is from the router.
type Tier uint8

// The tiers, nearest first.
const (
	SameZone Tier = iota
	SameRegion
	OtherRegion
	tiers
)

// TierOf compares the place of an endpoint with that of the router.
func TierOf(region, zone, endpointRegion, endpointZone string) Tier {
	switch {
	case region != endpointRegion:
		return OtherRegion
	case zone != endpointZone:
		return SameRegion
	default:
		return SameZone
	}
}

// Candidate is an endpoint as the choice sees it.
type Candidate struct {
	// NameHash is the result of HashName for the endpoint's name.
	NameHash uint64
	Tier     Tier
	// InFlight counts the router's own requests in progress.
	InFlight int
	// Reported is the load that the endpoint last reported, ReportedOwn the router's own part of it.
	Reported    int
	ReportedOwn int
	// Capacity is the most requests that all routers together have in progress there; zero counts as
	// DefaultEndpointConcurrency.
	Capacity int
	// Limit is the most that this router has; zero counts as Capacity.
	Limit int
	// Warmth is the part of its share that an endpoint gets during its slow start; zero counts as 1.
	Warmth float64
}

// Load returns the requests in progress: the router's own, which it knows exactly, and those of the
// others as of the last report.
func (c *Candidate) Load() int { return max(0, c.Reported-c.ReportedOwn) + c.InFlight }

// HasRoom reports whether the endpoint may get one more request.
func (c *Candidate) HasRoom() bool {
	return c.InFlight < cmp.Or(c.Limit, c.capacity()) && c.Load() < c.capacity()
}

func (c *Candidate) capacity() int { return cmp.Or(c.Capacity, DefaultEndpointConcurrency) }

func (c *Candidate) warmth() float64 { return cmp.Or(c.Warmth, 1) }

// HashName returns the hash of an endpoint's name, for Candidate.NameHash.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Policy weighs nearness, load and affinity. Its zero value has the defaults; a negative value
// stands for zero. AffinityBound is at least 1.
type Policy struct {
	ZoneCost      float64
	RegionCost    float64
	AffinityBound float64
}

// Random is the random source of a choice.
type Random interface{ IntN(n int) int }

// Choose returns the index of the endpoint for a request, or false if none has room. A non-zero
// prefix asks for the endpoint that has most likely cached this beginning of a prompt.
func (p Policy) Choose(candidates []Candidate, prefix uint64, random Random) (int, bool) {
	if prefix != 0 {
		if i, ok := p.chooseByPrefix(candidates, prefix); ok {
			return i, true
		}
	}
	return p.chooseByLoad(candidates, random)
}

// chooseByLoad takes the better of two random candidates of each tier. Two and not all, because the
// reports are late: routers that all take the least loaded endpoint take the same one.
func (p Policy) chooseByLoad(candidates []Candidate, random Random) (int, bool) {
	var first, second [tiers]int
	var seen [tiers]int
	for i := range candidates {
		c := &candidates[i]
		if !c.HasRoom() {
			continue
		}
		seen[c.Tier]++
		drawPair(&first[c.Tier], &second[c.Tier], i, seen[c.Tier], random)
	}
	best, lowest := -1, math.Inf(1)
	for t := range tiers {
		for k, i := range [...]int{first[t], second[t]} {
			if seen[t] <= k {
				continue
			}
			score := p.score(&candidates[i])
			if score < lowest || score == lowest && random.IntN(2) == 0 {
				best, lowest = i, score
			}
		}
	}
	return best, best >= 0
}

// drawPair keeps two of the first n candidates, each pair as likely as the others.
func drawPair(first, second *int, i, n int, random Random) {
	switch n {
	case 1:
		*first = i
	case 2:
		*second = i
	default:
		switch random.IntN(n) {
		case 0:
			*first = i
		case 1:
			*second = i
		}
	}
}

// score is the part of its capacity that a candidate would use, with the price of the way there.
func (p Policy) score(c *Candidate) float64 {
	score := float64(c.Load()+1) / (float64(c.capacity()) * c.warmth())
	switch c.Tier {
	case SameRegion:
		score += weight(p.ZoneCost, DefaultZoneCost)
	case OtherRegion:
		score += weight(p.RegionCost, DefaultRegionCost)
	}
	return score
}

// chooseByPrefix takes the endpoint of the nearest region that rendezvous hashing ranks first for the
// prefix among those below the bound of their load.
func (p Policy) chooseByPrefix(candidates []Candidate, prefix uint64) (int, bool) {
	remote := true
	for i := range candidates {
		remote = remote && (candidates[i].Tier == OtherRegion || !candidates[i].HasRoom())
	}
	total, warmth := 0, 0.0
	for i := range candidates {
		if c := &candidates[i]; inAffinitySet(c, remote) {
			total += c.Load()
			warmth += c.warmth()
		}
	}
	best, highest := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if !inAffinitySet(c, remote) || c.Load() >= p.affinityBound(c, total, warmth) {
			continue
		}
		if rank := Mix(prefix ^ c.NameHash); best < 0 || rank > highest {
			best, highest = i, rank
		}
	}
	return best, best >= 0
}

func inAffinitySet(c *Candidate, remote bool) bool {
	return c.HasRoom() && (c.Tier == OtherRegion) == remote
}

// affinityBound returns the load from which on affinity passes a candidate by. The bounds of all
// candidates together are above their load, so that one is always left.
func (p Policy) affinityBound(c *Candidate, total int, warmth float64) int {
	share := c.warmth() / warmth
	return int(math.Ceil(cmp.Or(p.AffinityBound, DefaultAffinityBound) * float64(total+1) * share))
}

// Mix spreads the bits of a hash (the finalizer of SplitMix64).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func weight(value, fallback float64) float64 { return max(0, cmp.Or(value, fallback)) }
