// Package allowance shares out the prepaid tokens of teams among routers. A router draws a share of a team's total ahead
// of its use and pays requests from it without a call to the platform; it reports what it used as a running total.
// The shares of a team and what is left stand in one record, which is changed only by conditional appends: what is
// granted never exceeds the total, whatever calls are lost, late or repeated.
package allowance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Share is what one holder has drawn of a team's total.
type Share struct {
	// Instance names the instance on which the holder runs.
	Instance string
	// Granted is all that the holder may use or hand to others from its start on, in tokens. It is negative for a holder
	// that returned what it got from others.
	Granted int64
	// Spent is what it reported as used. What it got from others is among it.
	Spent int64
	// Rate is the holder's use, in tokens a second.
	Rate float64
	// Lacking is what a request waits for that the holder could not draw, in tokens.
	UnmetDemand int64 `json:"Lacking"`
	// Pledge bounds what it uses until it writes again.
	SpendingBound SpendingBound `json:"Pledge"`
}

// Account is the state of a team's prepaid tokens. Its zero value is that of a team without any.
type Account struct {
	// Version is the configuration that states Prepaid, the highest that any holder knew.
	Version int64
	Prepaid int64
	// Settled is what holders that ended may have used, Used the part that they reported.
	Settled int64
	Used    int64
	// Shares are the holders' shares by the holders' identifiers.
	Shares map[string]Share
}

// Available returns what no holder has drawn; negative after a total was lowered below what is drawn.
func (a *Account) Available() int64 {
	available := a.Prepaid - a.Settled
	for _, s := range a.Shares {
		available -= s.Granted
	}
	return available
}

// Reported returns the tokens that are known to be used. More may be.
func (a *Account) Reported() int64 {
	reported := a.Used
	for _, s := range a.Shares {
		reported += s.Spent
	}
	return reported
}

// Remaining returns what may still be used by holders that are known.
func (a *Account) Remaining() int64 {
	remaining := a.Prepaid - a.Settled
	for _, s := range a.Shares {
		remaining -= s.Spent
	}
	return remaining
}

// clone returns a copy that shares nothing with the account.
func (a *Account) clone() Account {
	copied := *a
	copied.Shares = maps.Clone(a.Shares)
	if copied.Shares == nil {
		copied.Shares = make(map[string]Share)
	}
	return copied
}

// retire ends a holder's share: settled is the most that it may have used, used what it surely has.
func (a *Account) retire(holder string, settled, used int64) {
	delete(a.Shares, holder)
	a.Settled += settled
	a.Used += used
}

// holders returns the identifiers in their order.
func (a *Account) holders() []string { return slices.Sorted(maps.Keys(a.Shares)) }

// Encode returns the account as the platform keeps it.
func (a *Account) Encode() ([]byte, error) {
	encoded, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode account: %w", err)
	}
	return encoded, nil
}

var errNegativeTotal = errors.New("account has a negative token count")

// DecodeAccount reads an account. A record that no router wrote is refused.
func DecodeAccount(value []byte) (Account, error) {
	var a Account
	if err := json.Unmarshal(value, &a); err != nil {
		return Account{}, fmt.Errorf("decode account: %w", err)
	}
	if a.Used < 0 || a.Prepaid < 0 {
		return Account{}, errNegativeTotal
	}
	for _, s := range a.Shares {
		if s.Spent < 0 {
			return Account{}, errNegativeTotal
		}
	}
	return a, nil
}
