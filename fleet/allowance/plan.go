package allowance

import (
	"cmp"
	"math"
	"time"
)

// Defaults of Policy.
const (
	// DefaultHorizon is how long a share should last at the current rate of use. It is several times the longest
	// expected platform outage, since a team's use during an outage may be a multiple of its previous rate.
	DefaultHorizon = 30 * time.Second
	// DefaultDrawnFraction is the fraction of the remaining tokens that all shares together should hold. The undrawn
	// rest survives even if all routers fail at once.
	DefaultDrawnFraction = 0.33
	// DefaultIdleFraction is the fraction of the drawable tokens that routers divide evenly while a team is idle at all
	// of them.
	DefaultIdleFraction = 0.5
)

const (
	// minChangeFraction is the minimum change of a share that justifies a write, as a fraction of the team's remaining
	// tokens.
	minChangeFraction = 0.02
	// renewPercent is the percentage of a spending bound's burst that may be used before the bound is rewritten, minRenewPercent
	// the percentage from which a bound of boundRenewalAge is.
	renewPercent    = 40
	minRenewPercent = 10
	// holdersPerExtraRequest is the number of holders per additional request of mean size that a draw covers beyond the
	// waiting requests.
	holdersPerExtraRequest = 16
)

// Policy determines how many tokens a holder keeps in advance of its use. A zero Horizon, DrawnFraction or IdleFraction
// selects its default.
type Policy struct {
	Horizon       time.Duration
	DrawnFraction float64
	IdleFraction  float64
	// Leaving is true if the router shuts down soon and keeps tokens only for its requests in progress and for its
	// current rate of use during Horizon, which then has no default.
	Leaving bool
}

// Position is the local state of a holder that enters the computation of its share. Amounts are in tokens.
type Position struct {
	Holder   string
	Instance string
	// Usable is the granted amount that the holder treats as valid. It is below the stored grant while a return is
	// being written.
	Usable int64
	// Spent is the use of this holder that no lender reports. Reserved is the maximum further use of requests in
	// progress.
	Spent    int64
	Reserved int64
	// NetUsed is the use and the outgoing transfers of the holder less the tokens received from other routers. It is
	// negative if the holder received more than it used.
	NetUsed int64
	// Rate is the use in tokens per second.
	Rate float64
	// Demand is the amount that waiting requests, expected retries and routers that cannot draw need in addition to
	// Reserved.
	Demand int64
	// Version and Prepaid are the version and the team's total in the newest configuration that the holder knows.
	Version int64
	Prepaid int64
	// BoundExceeded is true if a request or another router is waiting for tokens that the share covers but the spending
	// bound does not allow.
	BoundExceeded bool
	// LargestRequest is the largest maximum token use among recent requests, and at least that of idleBurstRequests
	// requests of mean size.
	LargestRequest int64
	// MeanRequest is the average of the maximum use of recent requests of all teams.
	MeanRequest int64
	// Now is the current reading of the clocks of the holder's machine, Start their reading at the start of the
	// process.
	Now, Start ClockReading
	// AwaitsAgreement is true if the agreed time of day is not known yet but expected soon.
	AwaitsAgreement bool
	// BorrowsOnly is true if other routers hold the team's shares, so that this router keeps no tokens in advance.
	BorrowsOnly bool
	// Ending is true if the holder uses no more tokens and its share is to be retired.
	Ending bool
}

// Plan returns the account with the share that the holder should have, and whether the change justifies a write.
func (p Policy) Plan(current Account, position Position) (Account, bool) {
	a := current.clone()
	// A changed total alone is written only by routers that hold shares.
	changed := a.applyTotal(position) && !position.BorrowsOnly
	changed = a.retireFormerShares(position) || changed
	if position.Ending {
		if _, ok := a.Shares[position.Holder]; !ok {
			return a, changed
		}
		a.retire(position.Holder, position.NetUsed+position.Reserved, position.Spent)
		return a, true
	}
	share := a.Shares[position.Holder]
	stored := share
	share.Instance = position.Instance
	// If another process retired this holder's share by mistake, the new share must cover the holder's previous use.
	share.Granted = max(share.Granted, position.NetUsed+position.Reserved)
	share.Granted = p.targetGrant(&a, share, position)
	share.Spent = position.Spent
	share.Rate = math.Round(position.Rate)
	share.UnmetDemand = 0
	if position.Demand > 0 {
		share.UnmetDemand = max(0, position.NetUsed+position.Reserved+position.Demand-share.Granted)
	}
	part := a.partOf(&position, share.Granted)
	lossLimit := a.restartLossOf(&position, part)
	share.SpendingBound = position.spendingBound(share.Granted, part*float64(a.Remaining()), lossLimit)
	a.Shares[position.Holder] = share
	return a, changed || p.justifiesWrite(&a, stored, share, position, lossLimit)
}

// free returns the tokens of a grant that are neither used nor reserved.
func (p *Position) free(granted int64) int64 { return max(0, granted-p.NetUsed-p.Reserved) }

// spendingBound returns the spending bound for the next write, based on the holder's use, its waiting requests, the free
// tokens of its share, its part of the team's remaining tokens and the loss that its restart may cause.
func (p *Position) spendingBound(granted int64, remaining, lossLimit float64) SpendingBound {
	base := p.NetUsed + p.Reserved
	wantedBurst := max(float64(p.LargestRequest), p.Rate*boundBurstTime.Seconds(), remaining*boundRemainingBurst)
	wantedRate := max(p.Rate*boundRateFactor, float64(p.free(granted))*boundFreeRate)
	growthTime := (boundRestartTime - boundDelay).Seconds()
	burst := min(wantedBurst, lossLimit)
	rate := min(wantedRate, (lossLimit-burst)/growthTime)
	withheld := wantedBurst - burst + (wantedRate-rate)*growthTime
	surgeRate := wantedRate - rate + withheld/boundCatchUpTime.Seconds()
	return SpendingBound{
		Base: base, Burst: p.Demand + int64(burst), Rate: rate + surgeRate, Delay: boundDelay,
		SurgeRate: surgeRate, SurgeDelay: boundRestartTime,
		Uptime: p.Now.Uptime, WallMilliseconds: p.Now.Wall.UnixMilli(), AgreedMilliseconds: p.Now.earliestMilliseconds(),
	}
}

// restartLossOf returns the tokens that a restart of the holder may write off: its part of what a restart of all holders may.
// While most of the accepted loss is left, it covers one request, so that few requests wait for a write.
func (a *Account) restartLossOf(p *Position, part float64) float64 {
	accepted := acceptedLossFraction * float64(a.Prepaid)
	remaining := accepted - float64(a.WrittenOff)
	limit := part * restartLossFraction * max(remaining, minLossFraction*accepted)
	if remaining > accepted/2 {
		limit = max(limit, float64(p.LargestRequest))
	}
	return limit
}

// partOf returns the part of an amount that a holder with the given grant gets, if all holders divide it: half of it by their
// free tokens, half by their rates of use. A holder without free tokens has nothing that a restart could write off.
func (a *Account) partOf(p *Position, granted int64) float64 {
	ownFree := float64(p.free(granted))
	free, rates, holders := ownFree, p.Rate, 1
	for holder, s := range a.Shares {
		if holder != p.Holder {
			free += float64(max(0, s.Granted-s.SpendingBound.Base))
			rates += s.Rate
			holders++
		}
	}
	byFree, byRate := 1/float64(holders), 1/float64(holders)
	if free > 0 {
		byFree = ownFree / free
	}
	if rates > 0 {
		byRate = p.Rate / rates
	}
	return (byFree + byRate) / 2
}

// applyTotal sets the prepaid total of a newer configuration and reports whether the total changed.
func (a *Account) applyTotal(position Position) bool {
	if position.Version <= a.Version {
		return false
	}
	changed := a.Prepaid != position.Prepaid
	a.Version, a.Prepaid = position.Version, position.Prepaid
	return changed
}

// retireFormerShares settles the shares of earlier processes on this instance, which have certainly ended. A share that
// the agreed time of day would settle at less than its grant is left until that is known.
func (a *Account) retireFormerShares(position Position) bool {
	changed := false
	start := position.Start
	if position.AwaitsAgreement {
		start = start.withoutSpan()
	}
	for _, holder := range a.holders() {
		share := a.Shares[holder]
		if share.Instance != position.Instance || holder == position.Holder {
			continue
		}
		settled, isTimed := share.settlement(start)
		if !isTimed && position.AwaitsAgreement && share.SpendingBound.AgreedMilliseconds != 0 {
			continue
		}
		a.WrittenOff += max(0, settled-share.SpendingBound.Base)
		a.retire(holder, settled, share.Spent)
		changed = true
	}
	return changed
}

// targetGrant returns the total that should be granted to the holder, counted since its process started.
func (p Policy) targetGrant(a *Account, share Share, position Position) int64 {
	inUse := position.NetUsed + position.Reserved
	balance := share.Granted - position.NetUsed
	otherHolders := a.clone()
	delete(otherHolders.Shares, position.Holder)
	available := max(0, otherHolders.Available()-share.Granted)
	targetBalance := p.targetBalance(a, position)
	if position.Demand > 0 {
		wanted := max(targetBalance, position.Reserved+position.Demand+p.drawAhead(a, position))
		return max(inUse, position.NetUsed+min(wanted, balance+available))
	}
	// Without demand, a holder leaves the available tokens to the unmet demand of other holders, and returns its
	// surplus if the available tokens do not cover that demand.
	unmetDemand := otherHolders.unmetDemand()
	wanted := min(targetBalance, balance+max(0, available-unmetDemand))
	if unmetDemand > available {
		wanted = min(wanted, max(position.Reserved, balance+available-unmetDemand))
	}
	return max(inUse, position.NetUsed+wanted)
}

// drawAhead returns the tokens that a draw takes for upcoming requests. The amount grows with the size of the fleet,
// since each router of a large fleet sees few requests of one team and a write per request would be too many. It is at
// most an even part of the drawable tokens.
func (p Policy) drawAhead(a *Account, position Position) int64 {
	even := cmp.Or(p.DrawnFraction, DefaultDrawnFraction) * float64(max(0, a.Remaining())) / float64(max(1, len(a.Shares)))
	return min(int64(len(a.Shares)/holdersPerExtraRequest)*position.MeanRequest, int64(even))
}

// unmetDemand returns the sum of the unmet demand of all holders.
func (a *Account) unmetDemand() int64 {
	var unmetDemand int64
	for _, s := range a.Shares {
		unmetDemand += s.UnmetDemand
	}
	return unmetDemand
}

// targetBalance returns the tokens that the holder should have beyond its net use: the need of requests in progress,
// and its use during the horizon, limited to its proportion of the drawable tokens.
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

// justifiesWrite reports whether the change of the share is large or urgent enough for a write. lossLimit is the number of
// tokens that a restart of the holder may write off.
func (p Policy) justifiesWrite(a *Account, stored, share Share, position Position, lossLimit float64) bool {
	if position.Usable != stored.Granted || share.UnmetDemand != stored.UnmetDemand {
		return true
	}
	change := absolute(share.Granted - stored.Granted)
	if change > int64(minChangeFraction*float64(a.Remaining())) || position.Demand > 0 && change > 0 {
		return true
	}
	bound, boundApplies := stored.SpendingBound.MaxUsed(position.Now.Uptime)
	if position.BoundExceeded {
		return boundApplies && share.SpendingBound.Base+share.SpendingBound.Burst > bound
	}
	age := position.Now.Uptime - stored.SpendingBound.Uptime
	if age > idleRenewalAge && share.Spent-stored.Spent > int64(minChangeFraction*float64(a.Remaining())) {
		// Other routers decide from the reported use whether the team's tokens are exhausted.
		return true
	}
	if position.free(share.Granted) <= int64(lossLimit) {
		// A restart may write off all free tokens of the share, so a renewal of the spending bound is not worth a write.
		return false
	}
	usedPercent := 100 * (share.SpendingBound.Base - stored.SpendingBound.Base) / max(1, stored.SpendingBound.Burst)
	return age > idleRenewalAge || age > boundRenewalAge && usedPercent > minRenewPercent || usedPercent > renewPercent
}

func absolute(n int64) int64 {
	if n < 0 {
		return -n
	}
	return n
}
