// Package allowance divides the prepaid token budgets of teams among routers. A router draws a share of a team's budget
// in advance and pays requests from that share without a call to the platform; it reports its use as a running total.
// One record in the platform's store holds all shares of a team and the undrawn rest, and routers change it only by
// conditional appends. The sum of granted tokens therefore never exceeds the prepaid total, even if calls are lost,
// delayed or repeated.
package allowance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Share is the part of a team's prepaid tokens that one holder has drawn. A holder is one process of a router.
type Share struct {
	// Instance is the instance on which the holder's process runs.
	Instance string
	// Granted is the amount in tokens that the holder may use or transfer to other routers, counted since its process
	// started. Granted is negative for a holder that returned tokens which it had received from other routers.
	Granted int64
	// Spent is the holder's reported use in tokens, including the use of tokens that other routers transferred to it.
	// Tokens that it lent count as used until they are repaid; tokens that it borrowed are reported by the lenders.
	Spent int64
	// Rate is the holder's use in tokens per second.
	Rate float64
	// UnmetDemand is the amount in tokens that requests at the holder are waiting for and that the holder could not
	// draw.
	UnmetDemand int64 `json:"Lacking"`
	// SpendingBound limits the holder's use until its next write to the account.
	SpendingBound SpendingBound `json:"Pledge"`
}

// Account is the stored state of a team's prepaid tokens. The zero value is the account of a team without prepaid
// tokens.
type Account struct {
	// Version is the version of the configuration that set Prepaid: the highest version known to any holder that wrote.
	Version int64
	Prepaid int64
	// Settled is an upper bound on the tokens used by holders whose processes have ended. Used is the part of Settled
	// that these holders reported as used.
	Settled int64
	Used    int64
	// WrittenOff is the part of Settled that processes which ended without returning their shares had neither used nor
	// reserved at their last write.
	WrittenOff int64 `json:",omitempty"`
	// Shares maps the identifier of a holder to its share.
	Shares map[string]Share
}

// Available returns the tokens that no holder has drawn. The result is negative if the prepaid total was lowered below
// the drawn amount.
func (a *Account) Available() int64 {
	available := a.Prepaid - a.Settled
	for _, s := range a.Shares {
		available -= s.Granted
	}
	return available
}

// Reported returns the tokens that holders have reported as used. Actual use may be higher.
func (a *Account) Reported() int64 {
	reported := a.Used
	for _, s := range a.Shares {
		reported += s.Spent
	}
	return reported
}

// Remaining returns an upper bound on the tokens that can still be used: the prepaid total less the settled use of
// ended holders and the reported use of current ones.
func (a *Account) Remaining() int64 {
	remaining := a.Prepaid - a.Settled
	for _, s := range a.Shares {
		remaining -= s.Spent
	}
	return remaining
}

// clone returns a deep copy of the account with a non-nil Shares map.
func (a *Account) clone() Account {
	copied := *a
	copied.Shares = maps.Clone(a.Shares)
	if copied.Shares == nil {
		copied.Shares = make(map[string]Share)
	}
	return copied
}

// retire removes a holder's share. settled is the upper bound on the holder's use in tokens, used the use that it
// reported.
func (a *Account) retire(holder string, settled, used int64) {
	delete(a.Shares, holder)
	a.Settled += settled
	a.Used += used
}

// holders returns the identifiers of all holders in sorted order.
func (a *Account) holders() []string { return slices.Sorted(maps.Keys(a.Shares)) }

// Encode returns the account in the JSON form that is kept in the platform's store.
func (a *Account) Encode() ([]byte, error) {
	encoded, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode account: %w", err)
	}
	return encoded, nil
}

var (
	errNegativeTotal = errors.New("account has a negative token count")
	errOverflow      = errors.New("sum of the account's token counts is out of range")
)

// DecodeAccount parses an account. It rejects malformed records, negative values of Prepaid, Used, WrittenOff or Spent, and numbers whose
// sum is out of range, none of which a router writes. Granted and Settled may be negative.
func DecodeAccount(value []byte) (Account, error) {
	var a Account
	if err := json.Unmarshal(value, &a); err != nil {
		return Account{}, fmt.Errorf("decode account: %w", err)
	}
	if a.Used < 0 || a.Prepaid < 0 || a.WrittenOff < 0 {
		return Account{}, errNegativeTotal
	}
	settled, reported := []int64{a.Prepaid, a.Settled}, []int64{a.Prepaid, a.Settled, a.Used}
	for _, s := range a.Shares {
		if s.Spent < 0 {
			return Account{}, errNegativeTotal
		}
		settled, reported = append(settled, s.Granted), append(reported, s.Spent)
	}
	if sumOverflows(settled) || sumOverflows(reported) {
		return Account{}, errOverflow
	}
	return a, nil
}

// sumOverflows reports whether a sum or difference of some of the numbers may be out of range.
func sumOverflows(numbers []int64) bool {
	left := uint64(math.MaxInt64)
	for _, n := range numbers {
		magnitude := uint64(n)
		if n < 0 {
			magnitude = -magnitude
		}
		if magnitude > left {
			return true
		}
		left -= magnitude
	}
	return false
}
