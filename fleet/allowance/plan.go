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
	DefaultReach = 0.33
	// DefaultIdlePart is the part of the reach that routers split evenly while a team is idle everywhere.
	DefaultIdlePart = 0.5
)

const (
	// movePart is the part of the remaining total by which a share has to change to be worth a write.
	movePart = 0.02
	// renewPart is the part of a pledge, in percent, that may be used before it is renewed.
	renewPart = 60
	// aheadHolders is the number of holders for each of which a draw takes a request of usual size beside those that wait.
	aheadHolders = 16
)

// Policy says how much a holder keeps ahead of its use. Its zero value has the defaults.
type Policy struct {
	Horizon  time.Duration
	Reach    float64
	IdlePart float64
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
	Net int64
	// Rate is the use in tokens a second.
	Rate float64
	// Wanted is what waiting requests, and other routers that can't draw, need beyond Reserved.
	Wanted int64
	// Version and Prepaid are what the newest configuration that the holder knows says.
	Version int64
	Prepaid int64
	// Pressed says that a request waits for which the share would do and the pledge doesn't.
	Pressed bool
	// Largest is the most that a recent request could use.
	Largest int64
	// Mean is the average of the most that recent requests of all teams could use.
	Mean int64
	// Now is the present moment on the holder's machine.
	Now Moment
	// Transient says that others hold the team's shares: this router keeps nothing ahead.
	Transient bool
	// Ending says that the holder uses nothing any more.
	Ending bool
}

// Plan returns the account as the holder wants it, and whether that is worth a write.
func (p Policy) Plan(current Account, own Position) (Account, bool) {
	a := current.clone()
	// The total alone is written by those that hold shares.
	changed := a.takeTotal(own) && !own.Transient
	changed = a.retireFormer(own) || changed
	if own.Ending {
		if _, ok := a.Shares[own.Holder]; !ok {
			return a, changed
		}
		a.retire(own.Holder, own.Net, own.Spent)
		return a, true
	}
	share := a.Shares[own.Holder]
	stored := share
	share.Instance = own.Instance
	// A holder whose share was retired by mistake starts a new one that covers what it has used.
	share.Granted = max(share.Granted, own.Net+own.Reserved)
	share.Granted = p.granted(&a, share, own)
	share.Spent = own.Spent
	share.Rate = math.Round(own.Rate)
	share.Lacking = 0
	if own.Wanted > 0 {
		share.Lacking = max(0, own.Net+own.Reserved+own.Wanted-share.Granted)
	}
	share.Pledge = own.pledge(share.Granted)
	a.Shares[own.Holder] = share
	return a, changed || p.worthWriting(&a, stored, share, own)
}

// pledge returns what the holder promises with its next write, by its use so far and what the share leaves it.
func (p *Position) pledge(granted int64) Pledge {
	base := p.Net + p.Reserved
	free := float64(max(0, granted-base))
	return Pledge{
		Base:   base,
		Burst:  max(p.Largest, int64(p.Rate*pledgeBurst.Seconds()), int64(free*pledgeFreeBurst)),
		Pace:   max(p.Rate*pledgePace, free*pledgeFreePace),
		Uptime: p.Now.Uptime, WallMilliseconds: p.Now.Wall.UnixMilli(),
	}
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
			a.retire(holder, share.settlement(own.Now), share.Spent)
			changed = true
		}
	}
	return changed
}

// granted returns what the holder should have been granted in all.
func (p Policy) granted(a *Account, share Share, own Position) int64 {
	kept := own.Net + own.Reserved
	held := share.Granted - own.Net
	others := a.clone()
	delete(others.Shares, own.Holder)
	available := max(0, others.Available()-share.Granted)
	target := p.target(a, own)
	if own.Wanted > 0 {
		wanted := max(target, own.Reserved+own.Wanted+p.ahead(a, own))
		return max(kept, own.Net+min(wanted, held+available))
	}
	// What others lack is left to them, and what they still lack then goes back.
	lacking := others.lacking()
	wanted := min(target, held+max(0, available-lacking))
	if lacking > available {
		wanted = min(wanted, max(own.Reserved, held+available-lacking))
	}
	return max(kept, own.Net+wanted)
}

// ahead returns what a draw takes for the next requests: the more the larger the fleet, whose routers have few requests of
// one team each, so that one write for each would be too many; no more than an even part of the reach.
func (p Policy) ahead(a *Account, own Position) int64 {
	even := cmp.Or(p.Reach, DefaultReach) * float64(max(0, a.Remaining())) / float64(max(1, len(a.Shares)))
	return min(int64(len(a.Shares)/aheadHolders)*own.Mean, int64(even))
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
	if own.Transient {
		return own.Reserved
	}
	if p.Leaving {
		return own.Reserved + int64(own.Rate*p.Horizon.Seconds())
	}
	rates := own.Rate
	holders := 1
	for holder, s := range a.Shares {
		if holder != own.Holder {
			rates += s.Rate
			holders++
		}
	}
	remaining := a.Remaining() + a.Shares[own.Holder].Spent - own.Spent - own.Reserved
	reach := cmp.Or(p.Reach, DefaultReach) * float64(max(0, remaining))
	if rates == 0 {
		return own.Reserved + int64(cmp.Or(p.IdlePart, DefaultIdlePart)*reach/float64(holders))
	}
	horizon := cmp.Or(p.Horizon, DefaultHorizon).Seconds()
	return own.Reserved + int64(min(reach*own.Rate/rates, own.Rate*horizon))
}

// worthWriting reports whether the share changed by more than what may wait.
func (p Policy) worthWriting(a *Account, stored, share Share, own Position) bool {
	if own.Usable != stored.Granted || share.Lacking != stored.Lacking {
		return true
	}
	moved := absolute(share.Granted - stored.Granted)
	if moved > int64(movePart*float64(a.Remaining())) || own.Wanted > 0 && moved > 0 {
		return true
	}
	bound, binding := stored.Pledge.Bound(own.Now.Uptime)
	if own.Pressed {
		return binding && share.Pledge.Base+share.Pledge.Burst > bound
	}
	aged := own.Now.Uptime-stored.Pledge.Uptime > pledgeAge
	if aged && share.Spent-stored.Spent > int64(movePart*float64(a.Remaining())) {
		// Others tell by what is reported whether the total is used up.
		return true
	}
	if share.Granted-own.Net-own.Reserved <= int64(movePart*float64(a.Remaining())) {
		// So little is free that a pledge would bound next to nothing.
		return false
	}
	used := share.Pledge.Base - stored.Pledge.Base
	return aged || 100*used > renewPart*(bound-stored.Pledge.Base)
}

func absolute(n int64) int64 {
	if n < 0 {
		return -n
	}
	return n
}
