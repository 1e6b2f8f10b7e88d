package endpoint

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Defaults for the fields of Policy and Candidate.
const (
	// DefaultZoneCost and DefaultRegionCost are the costs of leaving the router's availability zone and its region, as
	// fractions of an endpoint's capacity. A remote endpoint gets a request once the load of the near ones, as a
	// fraction of their capacity, is higher by more than the cost.
	DefaultZoneCost   = 0.02
	DefaultRegionCost = 0.5
	// DefaultAffinityBound is the load, as a multiple of the mean load, up to which prefix affinity selects an
	// endpoint.
	DefaultAffinityBound = 1.5
	// DefaultEndpointConcurrency is the capacity of candidates that declare none, in requests.
	DefaultEndpointConcurrency = 64
)

// Tier is the distance class of an endpoint relative to the router.
type Tier uint8

// The tiers, nearest first; tierCount is their number.
const (
	SameZone Tier = iota
	SameRegion
	OtherRegion
	tierCount
)

// TierOf returns the tier of an endpoint from the regions and availability zones of the router and of the endpoint.
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

// Candidate describes an endpoint that Policy.Choose may select.
type Candidate struct {
	// NameHash is the result of HashName for the endpoint's name.
	NameHash uint64
	Tier     Tier
	// InFlight is the number of this router's requests in flight at the endpoint.
	InFlight int
	// ReportedLoad is the number of requests in flight in the endpoint's last load report, ReportedOwnLoad the part of
	// it that this router sent.
	ReportedLoad    int
	ReportedOwnLoad int
	// Capacity is the maximum number of requests in flight at the endpoint from all routers together; zero means
	// DefaultEndpointConcurrency.
	Capacity int
	// Limit is the maximum number of requests in flight at the endpoint from this router; zero means Capacity.
	Limit int
	// SlowStartShare is the fraction of its normal load that the endpoint gets during slow start; zero means 1.
	SlowStartShare float64
}

// Load returns the number of requests in flight at the endpoint: the exact count of the router's own plus the last
// reported count of the other routers' requests.
func (c *Candidate) Load() int { return max(0, c.ReportedLoad-c.ReportedOwnLoad) + c.InFlight }

// HasRoom reports whether the endpoint may get one more request under this router's limit and under its capacity.
func (c *Candidate) HasRoom() bool {
	return c.InFlight < cmp.Or(c.Limit, c.capacity()) && c.Load() < c.capacity()
}

func (c *Candidate) capacity() int { return cmp.Or(c.Capacity, DefaultEndpointConcurrency) }

func (c *Candidate) slowStartShare() float64 { return cmp.Or(c.SlowStartShare, 1) }

// HashName returns the hash of an endpoint's name for use as Candidate.NameHash.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Policy weighs distance, load and prefix affinity when it selects an endpoint. Zero fields mean the defaults, a
// negative cost means no cost, and AffinityBound must be at least 1.
type Policy struct {
	ZoneCost      float64
	RegionCost    float64
	AffinityBound float64
}

// RandomSource is the source of random numbers for Policy.Choose.
type RandomSource interface{ IntN(n int) int }

// Choose returns the index of the endpoint for a request, or false if no endpoint has room. A non-zero prefix is the
// hash of the prompt's beginning; Choose then prefers the endpoint that most likely has this beginning cached.
func (p Policy) Choose(candidates []Candidate, prefix uint64, random RandomSource) (int, bool) {
	if prefix != 0 {
		if i, ok := p.chooseByPrefix(candidates, prefix); ok {
			return i, true
		}
	}
	return p.chooseByLoad(candidates, random)
}

// chooseByLoad samples two random candidates of each tier and returns the one with the best score. It does not
// compare all candidates: load reports are delayed, so all routers would choose the same least loaded endpoint.
func (p Policy) chooseByLoad(candidates []Candidate, random RandomSource) (int, bool) {
	var first, second [tierCount]int
	var eligibleCount [tierCount]int
	for i := range candidates {
		c := &candidates[i]
		if !c.HasRoom() {
			continue
		}
		eligibleCount[c.Tier]++
		samplePair(&first[c.Tier], &second[c.Tier], i, eligibleCount[c.Tier], random)
	}
	best, lowestScore := -1, math.Inf(1)
	for t := range tierCount {
		for k, i := range [...]int{first[t], second[t]} {
			if eligibleCount[t] <= k {
				continue
			}
			score := p.score(&candidates[i])
			if score < lowestScore || score == lowestScore && random.IntN(2) == 0 {
				best, lowestScore = i, score
			}
		}
	}
	return best, best >= 0
}

// samplePair offers candidate i, the n-th one seen, to a random sample of two candidates. Every pair of the first n
// candidates is equally likely (reservoir sampling).
func samplePair(first, second *int, i, n int, random RandomSource) {
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

// score returns the fraction of its capacity that a candidate would use with one more request, plus the cost of its
// tier. Lower is better.
func (p Policy) score(c *Candidate) float64 {
	score := float64(c.Load()+1) / (float64(c.capacity()) * c.slowStartShare())
	switch c.Tier {
	case SameRegion:
		score += costOrDefault(p.ZoneCost, DefaultZoneCost)
	case OtherRegion:
		score += costOrDefault(p.RegionCost, DefaultRegionCost)
	}
	return score
}

// chooseByPrefix returns the candidate that rendezvous hashing ranks first for the prefix, among those below their
// load bound. Candidates in other regions are eligible only if none in the router's region has room.
func (p Policy) chooseByPrefix(candidates []Candidate, prefix uint64) (int, bool) {
	isRemoteOnly := true
	for i := range candidates {
		isRemoteOnly = isRemoteOnly && (candidates[i].Tier == OtherRegion || !candidates[i].HasRoom())
	}
	totalLoad, totalShare := 0, 0.0
	for i := range candidates {
		if c := &candidates[i]; isAffinityCandidate(c, isRemoteOnly) {
			totalLoad += c.Load()
			totalShare += c.slowStartShare()
		}
	}
	best, highestRank := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if !isAffinityCandidate(c, isRemoteOnly) || c.Load() >= p.affinityLoadBound(c, totalLoad, totalShare) {
			continue
		}
		if rank := MixHash(prefix ^ c.NameHash); best < 0 || rank > highestRank {
			best, highestRank = i, rank
		}
	}
	return best, best >= 0
}

func isAffinityCandidate(c *Candidate, isRemoteOnly bool) bool {
	return c.HasRoom() && (c.Tier == OtherRegion) == isRemoteOnly
}

// affinityLoadBound returns the load at which prefix affinity starts to skip a candidate. The bounds of all eligible
// candidates add up to more than their total load, so at least one candidate is always below its bound.
func (p Policy) affinityLoadBound(c *Candidate, totalLoad int, totalShare float64) int {
	share := c.slowStartShare() / totalShare
	return int(math.Ceil(cmp.Or(p.AffinityBound, DefaultAffinityBound) * float64(totalLoad+1) * share))
}

// MixHash spreads the bits of a hash with the finalizer of SplitMix64.
func MixHash(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func costOrDefault(cost, defaultCost float64) float64 { return max(0, cmp.Or(cost, defaultCost)) }
