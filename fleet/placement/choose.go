package placement

import "time"

const (
	// missCostPerToken is the cost of a shared prompt token that the engine has to read although another engine may
	// have it cached: reading the token again takes memory and time from later prompts.
	missCostPerToken = 200 * time.Microsecond
	// homeCachedFraction is the fraction of a prompt's shared tokens assumed to be cached at its home engine, because
	// all routers send the shared prefix there first.
	homeCachedFraction = 0.7
	// lateFraction is the fraction of the latency objective above which a predicted first event is likely to be late.
	// The predicted time above this threshold is weighted with lateWeight and added to the cost.
	lateFraction = 0.5
	lateWeight   = 4.0
	// inFlightCost is the cost of each request in flight at the engine, because every request in a batch lengthens the
	// engine's steps for the others.
	inFlightCost = 2 * time.Millisecond
	// crossRegionCost is the cost of sending a prompt to another region, network delay not included: traffic between
	// regions is billed by volume.
	crossRegionCost = 25 * time.Millisecond
)

// Candidate describes an engine that Choose may select.
type Candidate struct {
	// Hash ranks the engines for a routing key; the engine with the highest hash is the home of the key.
	Hash uint64
	// Wait is the predicted time until the engine has read the prompts already dispatched to it.
	Wait time.Duration
	// CachedTokens is the number of the prompt's tokens that this router expects in the engine's cache.
	CachedTokens int64
	// Slowness is the slowness of the engine relative to other engines of its service.
	Slowness Slowness
	// InFlight is the number of requests that this router has in flight at the engine.
	InFlight int
	// IsRemote reports whether the engine is in another region than the router.
	IsRemote bool
}

// Prompt describes the request for which Choose selects an engine.
type Prompt struct {
	Tokens int64
	// SharedTokens is the number of prompt tokens that also occur in other requests.
	SharedTokens int64
	// Objective is the latency objective for the first event; zero if the request has none.
	Objective time.Duration
}

// Choose returns the index of the engine with the lowest cost and the number of prompt tokens that the engine has to
// read. It returns false if there are no candidates.
func Choose(candidates []Candidate, p Prompt, rate *Rate) (chosen int, missTokens int64, ok bool) {
	home, highestHash := 0, uint64(0)
	for i, c := range candidates {
		if c.Hash > highestHash {
			home, highestHash = i, c.Hash
		}
	}
	var lowestCost time.Duration
	var chosenHash uint64
	for i, c := range candidates {
		cachedTokens := min(c.CachedTokens, p.Tokens)
		if i == home {
			cachedTokens = max(cachedTokens, int64(homeCachedFraction*float64(p.SharedTokens)))
		}
		cost := c.cost(p, cachedTokens, rate)
		if !ok || cost < lowestCost || cost == lowestCost && c.Hash > chosenHash {
			chosen, missTokens, lowestCost, chosenHash, ok = i, p.Tokens-cachedTokens, cost, c.Hash, true
		}
	}
	return chosen, missTokens, ok
}

// cost returns the predicted time to the first event plus penalties for requests in flight, for shared tokens that
// are not cached, for a late first event and for another region.
func (c *Candidate) cost(p Prompt, cachedTokens int64, rate *Rate) time.Duration {
	firstEvent := c.Wait + c.Slowness.Scale(rate.ReadingTime(p.Tokens-cachedTokens)+firstEventOverhead)
	cost := firstEvent + time.Duration(c.InFlight)*inFlightCost + time.Duration(max(0, p.SharedTokens-cachedTokens))*missCostPerToken
	if threshold := time.Duration(lateFraction * float64(p.Objective)); p.Objective > 0 && firstEvent > threshold {
		cost += time.Duration(lateWeight * float64(firstEvent-threshold))
	}
	if c.IsRemote {
		cost += crossRegionCost
	}
	return cost
}
