// Package decision holds the decisions of a router about its shares, its lease and its appends. They
// read no clock and do no I/O: the caller passes the time and the state in.
package decision

import (
	"math"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// demandTimeConstant is the age at which a measured demand has lost 63% of its weight.
const demandTimeConstant = 3 * time.Second

// Demand measures the rate at which a budget's tokens are asked for. The zero value has seen nothing.
type Demand struct {
	weight float64
	at     time.Time
}

// Add counts an amount that was asked for.
func (d *Demand) Add(now time.Time, amount ledger.Tokens) {
	d.decay(now)
	d.weight += float64(amount)
}

// Rate returns the tokens a second that were asked for lately.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.weight / demandTimeConstant.Seconds()
}

// Within returns the tokens that the measured rate asks for within a time.
func (d *Demand) Within(now time.Time, horizon time.Duration) ledger.Tokens {
	return ledger.Tokens(d.Rate(now) * horizon.Seconds())
}

// decay ages the weight up to now.
func (d *Demand) decay(now time.Time) {
	if !d.at.IsZero() && now.After(d.at) {
		d.weight *= math.Exp(-now.Sub(d.at).Seconds() / demandTimeConstant.Seconds())
	}
	d.at = now
}
