// Package decision computes when and how much a router draws, returns, appends, copies and fences. Its functions
// read no clock and do no I/O: callers pass in the current time and the state.
package decision

import (
	"math"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// demandTimeConstant is the age at which the tokens of a request have lost 63% of their weight in the average demand.
const demandTimeConstant = 3 * time.Second

// Demand is an exponentially decaying average of the tokens per second that requests ask of one budget. The zero
// value has a rate of 0.
type Demand struct {
	decayedTokens float64
	updatedAt     time.Time
}

// Add includes the tokens that a new request asks for in the average.
func (d *Demand) Add(now time.Time, amount ledger.Tokens) {
	d.decay(now)
	d.decayedTokens += float64(amount)
}

// Rate returns the demand in tokens per second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.decayedTokens / demandTimeConstant.Seconds()
}

// Within returns the tokens that requests ask for within horizon if the demand stays at its current rate.
func (d *Demand) Within(now time.Time, horizon time.Duration) ledger.Tokens {
	return ledger.Tokens(d.Rate(now) * horizon.Seconds())
}

// decay reduces the weight of earlier requests by their age at now.
func (d *Demand) decay(now time.Time) {
	if !d.updatedAt.IsZero() && now.After(d.updatedAt) {
		d.decayedTokens *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandTimeConstant.Seconds())
	}
	d.updatedAt = now
}
