package allowance

import (
	"cmp"
	"math"
	"time"
)

// Defaults of a Policy.
const (
	// DefaultHorizon is the use for which a share should last: some times the longest outage of the platform that is
	// expected, since a team's use in one of them may be a multiple of that before.
	DefaultHorizon = 30 * time.Second
	// DefaultReach is the part of what remains that all shares together should hold. The rest outlives the loss of every
	// router at once.
	DefaultDrawnFraction = 0.33
	// DefaultIdlePart is the part of the reach that routers split evenly while a team is idle everywhere.
	DefaultIdleFraction = 0.5
)

const (
	// movePart is the part of the remaining total by which a share has to change to be worth a write.
	minChangeFraction = 0.02
	// renewPart is the part of a pledge, in percent, that may be used before it is renewed.
	renewPercent = 60
	// aheadHolders is the number of holders for each of which a draw takes a request of usual size beside those that wait.
	holdersPerExtraRequest = 16
)

// Policy says how much a holder keeps ahead of its use. Its zero value has the defaults.
type Policy struct {
	Horizon       time.Duration
	DrawnFraction float64
	IdleFraction  float64
	// Leaving says that the holder keeps nothing for use that it doesn't have.
	Leaving bool
}

// Position is a holder's own side of an account.
type Position struct {
	Holder   string
	Instance string
	// Usable is what the holder takes as granted; it may be below what the account says while a return is under way.
	Usable int64
	// Spent is what was used and no lender counts, Reserved the most that requests in progress will use beyond it.
	Spent    int64
	Reserved int64
	// Net is what the holder used or handed to others of what it was granted, which is negative if it received more from
	// others than it used.
	NetUsed int64
	// Rate is the use in tokens a second.
	Rate float64
	// Wanted is what waiting requests, and other routers that can't draw, need beyond Reserved.
	Demand int64
	// Version and Prepaid are what the newest configuration that the holder knows says.
	Version int64
	Prepaid int64
	// Pressed says that a request waits for which the share would do and the pledge doesn't.
	BoundExceeded bool
	// Largest is the most that a recent request could use.
	LargestRequest int64
	// Mean is the average of the most that recent requests of all teams could use.
	MeanRequest int64
	// Now is the present moment on the holder's machine.
	Now ClockReading
	// Transient says that others hold the team's shares: this router keeps nothing ahead.
	BorrowsOnly bool
	// Ending says that the holder uses nothing any more.
	Ending bool
}

// Plan returns the account as the holder wants it, and whether that is worth a write.
func (p Policy) Plan(current Account, position Position) (Account, bool) {
	a := current.clone()
	// The total alone is written by those that hold shares.
	changed := a.applyTotal(position) && !position.BorrowsOnly
	changed = a.retireFormerShares(position) || changed
	if position.Ending {
		if _, ok := a.Shares[position.Holder]; !ok {
			return a, changed
		}
		a.retire(position.Holder, position.NetUsed, position.Spent)
		return a, true
	}
	share := a.Shares[position.Holder]
	stored := share
	share.Instance = position.Instance
	// A holder whose share was retired by mistake starts a new one that covers what it has used.
	share.Granted = max(share.Granted, position.NetUsed+position.Reserved)
	share.Granted = p.targetGrant(&a, share, position)
	share.Spent = position.Spent
	share.Rate = math.Round(position.Rate)
	share.UnmetDemand = 0
	if position.Demand > 0 {
		share.UnmetDemand = max(0, position.NetUsed+position.Reserved+position.Demand-share.Granted)
	}
	share.SpendingBound = position.spendingBound(share.Granted)
	a.Shares[position.Holder] = share
	return a, changed || p.worthWriting(&a, stored, share, position)
}

// pledge returns what the holder promises with its next write, by its use so far and what the share leaves it.
func (p *Position) spendingBound(granted int64) SpendingBound {
	base := p.NetUsed + p.Reserved
	free := float64(max(0, granted-base))
	return SpendingBound{
		Base:   base,
		Burst:  max(p.LargestRequest, int64(p.Rate*boundBurstTime.Seconds()), int64(free*boundFreeBurst)),
		Rate:   max(p.Rate*boundRateFactor, free*boundFreeRate),
		Uptime: p.Now.Uptime, WallMilliseconds: p.Now.Wall.UnixMilli(),
	}
}

// takeTotal takes the newest total in.
func (a *Account) applyTotal(position Position) bool {
	if position.Version <= a.Version {
		return false
	}
	changed := a.Prepaid != position.Prepaid
	a.Version, a.Prepaid = position.Version, position.Prepaid
	return changed
}

// retireFormer ends the shares of holders that ran on this instance before: they have surely ended.
func (a *Account) retireFormerShares(position Position) bool {
	changed := false
	for _, holder := range a.holders() {
		share := a.Shares[holder]
		if share.Instance == position.Instance && holder != position.Holder {
			a.retire(holder, share.settlement(position.Now), share.Spent)
			changed = true
		}
	}
	return changed
}

// granted returns what the holder should have been granted in all.
func (p Policy) targetGrant(a *Account, share Share, position Position) int64 {
	inUse := position.NetUsed + position.Reserved
	balance := share.Granted - position.NetUsed
	others := a.clone()
	delete(others.Shares, position.Holder)
	available := max(0, others.Available()-share.Granted)
	targetBalance := p.targetBalance(a, position)
	if position.Demand > 0 {
		wanted := max(targetBalance, position.Reserved+position.Demand+p.drawAhead(a, position))
		return max(inUse, position.NetUsed+min(wanted, balance+available))
	}
	// What others lack is left to them, and what they still lack then goes back.
	unmetDemand := others.unmetDemand()
	wanted := min(targetBalance, balance+max(0, available-unmetDemand))
	if unmetDemand > available {
		wanted = min(wanted, max(position.Reserved, balance+available-unmetDemand))
	}
	return max(inUse, position.NetUsed+wanted)
}

// ahead returns what a draw takes for the next requests: the more the larger the fleet, whose routers have few requests of
// one team each, so that one write for each would be too many; no more than an even part of the reach.
func (p Policy) drawAhead(a *Account, position Position) int64 {
	even := cmp.Or(p.DrawnFraction, DefaultDrawnFraction) * float64(max(0, a.Remaining())) / float64(max(1, len(a.Shares)))
	return min(int64(len(a.Shares)/holdersPerExtraRequest)*position.MeanRequest, int64(even))
}

// lacking returns what requests at the holders wait for.
func (a *Account) unmetDemand() int64 {
	var unmetDemand int64
	for _, s := range a.Shares {
		unmetDemand += s.UnmetDemand
	}
	return unmetDemand
}

// target returns what the holder should have beyond what it spent: its use for the horizon, bounded by its part of the
// reach, and what its requests in progress may still use.
func (p Policy) targetBalance(a *Account, position Position) int64 {
	if position.BorrowsOnly {
		return position.Reserved
	}
	if p.Leaving {
		return position.Reserved + int64(position.Rate*p.Horizon.Seconds())
	}
	rates := position.Rate
	holders := 1
	for holder, s := range a.Shares {
		if holder != position.Holder {
			rates += s.Rate
			holders++
		}
	}
	remaining := a.Remaining() + a.Shares[position.Holder].Spent - position.Spent - position.Reserved
	drawnLimit := cmp.Or(p.DrawnFraction, DefaultDrawnFraction) * float64(max(0, remaining))
	if rates == 0 {
		return position.Reserved + int64(cmp.Or(p.IdleFraction, DefaultIdleFraction)*drawnLimit/float64(holders))
	}
	horizon := cmp.Or(p.Horizon, DefaultHorizon).Seconds()
	return position.Reserved + int64(min(drawnLimit*position.Rate/rates, position.Rate*horizon))
}

// worthWriting reports whether the share changed by more than what may wait.
func (p Policy) worthWriting(a *Account, stored, share Share, position Position) bool {
	if position.Usable != stored.Granted || share.UnmetDemand != stored.UnmetDemand {
		return true
	}
	change := absolute(share.Granted - stored.Granted)
	if change > int64(minChangeFraction*float64(a.Remaining())) || position.Demand > 0 && change > 0 {
		return true
	}
	bound, binding := stored.SpendingBound.MaxUsed(position.Now.Uptime)
	if position.BoundExceeded {
		return binding && share.SpendingBound.Base+share.SpendingBound.Burst > bound
	}
	aged := position.Now.Uptime-stored.SpendingBound.Uptime > boundRenewalAge
	if aged && share.Spent-stored.Spent > int64(minChangeFraction*float64(a.Remaining())) {
		// Others tell by what is reported whether the total is used up.
		return true
	}
	if share.Granted-position.NetUsed-position.Reserved <= int64(minChangeFraction*float64(a.Remaining())) {
		// So little is free that a pledge would bound next to nothing.
		return false
	}
	used := share.SpendingBound.Base - stored.SpendingBound.Base
	return aged || 100*used > renewPercent*(bound-stored.SpendingBound.Base)
}

func absolute(n int64) int64 {
	if n < 0 {
		return -n
	}
	return n
}
