package placement

import "time"

const (
	// missCost is what it costs, in time, to read a token again that an engine may have cached: it takes memory and time
	// from the prompts after it.
	missCost = 200 * time.Microsecond
	// homeHit is the part of a shared prompt that is taken to be cached at the engine to which all routers send it first.
	homeHit = 0.7
	// urgentPart is the part of the objective beyond which a predicted first event is likely to be late, lateCost how much
	// more a time beyond it costs.
	urgentPart = 0.5
	lateCost   = 4.0
	// besideCost is what each request at an engine costs: it lengthens the steps of the others.
	besideCost = 2 * time.Millisecond
	// regionCost is what the way to another region costs, its delay aside: traffic between regions is paid by volume.
	regionCost = 25 * time.Millisecond
)

// Candidate is an engine as the choice sees it.
type Candidate struct {
	// Hash ranks engines for a subject: the highest is its home.
	Hash uint64
	// Wait is how long the engine is busy with prompts that were sent to it.
	Wait time.Duration
	// Hit is how many of the prompt's tokens this router knows to be cached there.
	Hit int64
	// Slow is the engine's slowness.
	Slow Slowness
	// Beside is how many requests the router has there.
	Beside int
	// Remote says that it is in another region.
	Remote bool
}

// Prompt is a request as the choice sees it.
type Prompt struct {
	Tokens int64
	// Shared is how many of its tokens other requests share.
	Shared int64
	// Target is the objective for its first event; zero if there is none.
	Target time.Duration
}

// Choose returns the index of the engine with the least cost and the tokens that it has to read, or false if there are no
// candidates.
func Choose(candidates []Candidate, p Prompt, rate *Rate) (chosen int, miss int64, ok bool) {
	home, highest := 0, uint64(0)
	for i, c := range candidates {
		if c.Hash > highest {
			home, highest = i, c.Hash
		}
	}
	var least time.Duration
	var hash uint64
	for i, c := range candidates {
		hit := min(c.Hit, p.Tokens)
		if i == home {
			hit = max(hit, int64(homeHit*float64(p.Shared)))
		}
		cost := c.cost(p, hit, rate)
		if !ok || cost < least || cost == least && c.Hash > hash {
			chosen, miss, least, hash, ok = i, p.Tokens-hit, cost, c.Hash, true
		}
	}
	return chosen, miss, ok
}

// cost weighs the predicted first event, what is read again, and the way.
func (c *Candidate) cost(p Prompt, hit int64, rate *Rate) time.Duration {
	first := c.Wait + c.Slow.Work(rate.Work(p.Tokens-hit)+overhead)
	cost := first + time.Duration(c.Beside)*besideCost + time.Duration(max(0, p.Shared-hit))*missCost
	if bound := time.Duration(urgentPart * float64(p.Target)); p.Target > 0 && first > bound {
		cost += time.Duration(lateCost * float64(first-bound))
	}
	if c.Remote {
		cost += regionCost
	}
	return cost
}
