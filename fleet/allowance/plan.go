package allowance

import (
	"math"
	"time"
)

// Defaults of a Policy.
const (
	// DefaultHorizon is the use for which a share should last: the longest outage of the platform that is expected.
	DefaultHorizon = 15 * time.Second
	// DefaultReach is the part of what remains that all shares together should hold. The rest outlives the loss of every
	// router at once.
	DefaultReach = 0.6
	// DefaultIdlePart is the part of the reach that is split evenly, for routers and teams that were idle.
	DefaultIdlePart = 0.25
)

const (
	// drawBelow and returnAbove are the parts of the target between which a share stays as it is, so that not every
	// request moves it.
	drawBelow   = 0.75
	returnAbove = 1.5
	// reportPart is the part of the remaining total that may be used before it is reported.
	reportPart = 0.03
)

// Policy says how much a holder keeps ahead of its use. Its zero value has the defaults.
type Policy struct {
	Horizon  time.Duration
	Reach    float64
	IdlePart float64
}

// Position is a holder's own side of an account.
type Position struct {
	Holder   string
	Instance string
	// Usable is what the holder takes as granted; it may be below what the account says while a return is under way.
	Usable int64
	// Spent is what was used, Reserved the most that requests in progress will use beyond it.
	Spent    int64
	Reserved int64
	// Given and Received are what the holder handed to others and got from them past the account.
	Given    int64
	Received int64
	// Rate is the use in tokens a second.
	Rate float64
	// Lacking is the most that a waiting request needs and the share doesn't have.
	Lacking int64
	// Version and Prepaid are what the newest configuration that the holder knows says.
	Version int64
	Prepaid int64
	// Ending says that the holder uses nothing any more.
	Ending bool
}

// Net returns what the holder used of what it was granted, which is negative if it received more than it used.
func (p *Position) Net() int64 { return p.Spent + p.Given - p.Received }

// Plan returns the account as the holder wants it, and whether that is worth a write.
func (p Policy) Plan(current Account, own Position) (Account, bool) {
	a := current.clone()
	changed := a.takeTotal(own)
	changed = a.retireFormer(own) || changed
	if own.Ending {
		if _, ok := a.Shares[own.Holder]; !ok {
			return a, changed
		}
		a.retire(own.Holder, own.Net(), own.Spent)
		return a, true
	}
	share := a.Shares[own.Holder]
	stored := share
	share.Instance = own.Instance
	// A holder whose share was retired by mistake starts a new one that covers what it has used.
	share.Granted = max(share.Granted, own.Net()+own.Reserved)
	share.Granted = p.granted(&a, share, own)
	share.Spent = own.Spent
	share.Rate = math.Round(own.Rate)
	share.Lacking = 0
	if own.Lacking > 0 {
		share.Lacking = max(0, own.Net()+own.Reserved+own.Lacking-share.Granted)
	}
	a.Shares[own.Holder] = share
	return a, changed || p.worthWriting(&a, stored, share, own)
}

// takeTotal takes the newest total in.
func (a *Account) takeTotal(own Position) bool {
	if own.Version <= a.Version {
		return false
	}
	changed := a.Prepaid != own.Prepaid
	a.Version, a.Prepaid = own.Version, own.Prepaid
	return changed
}

// retireFormer ends the shares of holders that ran on this instance before: they have surely ended.
func (a *Account) retireFormer(own Position) bool {
	changed := false
	for _, holder := range a.holders() {
		share := a.Shares[holder]
		if share.Instance == own.Instance && holder != own.Holder {
			a.retire(holder, share.Granted, share.Spent)
			changed = true
		}
	}
	return changed
}

// granted returns what the holder should have been granted in all.
func (p Policy) granted(a *Account, share Share, own Position) int64 {
	kept := own.Net() + own.Reserved
	held := share.Granted - own.Net()
	others := a.clone()
	delete(others.Shares, own.Holder)
	available := max(0, others.Available()-share.Granted)
	target := p.target(a, own)
	wanted := held
	switch {
	case float64(held) < drawBelow*float64(target):
		wanted = min(target, held+available)
	case float64(held) > returnAbove*float64(target):
		wanted = target
	}
	if own.Lacking > 0 {
		wanted = max(wanted, min(own.Reserved+own.Lacking, held+available))
	} else if lacking := others.lacking() - available; lacking > 0 {
		wanted = min(wanted, max(own.Reserved, held-lacking))
	}
	return max(kept, own.Net()+wanted)
}

// lacking returns what requests at the holders wait for.
func (a *Account) lacking() int64 {
	var lacking int64
	for _, s := range a.Shares {
		lacking += s.Lacking
	}
	return lacking
}

// target returns what the holder should have beyond what it spent: its use for the horizon, bounded by its part of the
// reach, and what its requests in progress may still use.
func (p Policy) target(a *Account, own Position) int64 {
	rates := own.Rate
	holders := 1
	for holder, s := range a.Shares {
		if holder != own.Holder {
			rates += s.Rate
			holders++
		}
	}
	reach := orDefault(p.Reach, DefaultReach) * float64(max(0, a.Remaining()))
	idle := orDefault(p.IdlePart, DefaultIdlePart)
	if rates == 0 {
		return own.Reserved + int64(reach/float64(holders))
	}
	floor := reach * idle / float64(holders)
	part := floor + reach*(1-idle)*own.Rate/rates
	horizon := orDefault(p.Horizon, DefaultHorizon).Seconds()
	return own.Reserved + int64(min(part, max(floor, own.Rate*horizon)))
}

// worthWriting reports whether the share changed by more than what may wait.
func (p Policy) worthWriting(a *Account, stored, share Share, own Position) bool {
	if share.Granted != stored.Granted || own.Usable != stored.Granted || share.Lacking != stored.Lacking {
		return true
	}
	return float64(share.Spent-stored.Spent) > reportPart*float64(a.Remaining())
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
