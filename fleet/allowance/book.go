package allowance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// conflictBackoff bounds the random part of the wait after a failed update, which in most cases conflicted with
	// another router's write: about the time of a read and a write.
	conflictBackoff = 20 * time.Millisecond
	// watchInterval is the time between two checks of the router's local state, and so the maximum delay until a share
	// that runs low is drawn again.
	watchInterval = 200 * time.Millisecond
	// callDelayThreshold is the duration of a call to the platform after which the platform counts as unreachable and
	// other routers are asked for tokens: a few round trips between regions.
	callDelayThreshold = 120 * time.Millisecond
	// leavingReserveTime is how long the tokens that a leaving router keeps last at the current rate of use: until the
	// next write.
	leavingReserveTime = 1 * time.Second
)

// accountPartition reads and writes the accounts of one partition of the keyed topic.
type accountPartition struct {
	holder       *Holder
	number       int
	updateSignal chan struct{}
	// readAt is the time at which the partition was last read.
	readAt time.Time
	// callStartedAt is the start of the call to the platform in progress, zero if there is none. lastCallFailed is true
	// if the last call failed for a reason other than a write conflict.
	callStartedAt  time.Time
	lastCallFailed bool
}

// platformUnreachableLocked reports whether the platform appears unreachable: the last call failed or the current one
// takes longer than callDelayThreshold.
func (p *accountPartition) platformUnreachableLocked(now time.Time) bool {
	return p.lastCallFailed || !p.callStartedAt.IsZero() && now.Sub(p.callStartedAt) > callDelayThreshold
}

// beginCall and endCall record the start and the result of a call to the platform.
func (p *accountPartition) beginCall() {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	p.callStartedAt = time.Now()
}

func (p *accountPartition) endCall(err error) {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	p.callStartedAt = time.Time{}
	p.lastCallFailed = err != nil && !errors.Is(err, platform.ErrConflict)
}

// partitionOf returns the partition that stores a team's account.
func (h *Holder) partitionOf(team string) *accountPartition {
	return h.partitions[xxhash.Sum64String(team)%uint64(len(h.partitions))]
}

// Configure applies a new configuration.
func (h *Holder) Configure(configuration *site.Configuration) {
	h.mu.Lock()
	h.configuration = configuration
	h.mu.Unlock()
	for _, p := range h.partitions {
		p.signalUpdate()
	}
}

// AccountsRead reports whether this router has read the account of every configured team with prepaid tokens, except of
// teams whose tokens it borrows.
func (h *Holder) AccountsRead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.configuration == nil {
		return false
	}
	for _, team := range h.configuration.Teams {
		if team.HasPrepaid && !h.holdingLocked(team.Name).accountRead && len(h.lenders(team.Name)) == 0 {
			return false
		}
	}
	return true
}

// Run draws, reports and returns tokens until the context ends. Former processes on this instance must have ended, because
// Run settles their shares.
func (h *Holder) Run(ctx context.Context) error {
	h.mu.Lock()
	h.recordStartLocked(h.clocks())
	h.mu.Unlock()
	loops := &errgroup.Group{}
	loops.Go(func() error { return h.runBorrower(ctx) })
	loops.Go(func() error { return h.runRepayer(ctx) })
	for _, p := range h.partitions {
		loops.Go(func() error { return p.run(ctx) })
	}
	return loops.Wait()
}

// PrepareShutdown prepares the shutdown of the router: the holder returns all tokens except a small reserve for the
// remaining time.
func (h *Holder) PrepareShutdown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	h.settings.Policy.Horizon = leavingReserveTime
	h.settings.Policy.Leaving = true
}

// ReturnShares returns all shares to the accounts, or transfers them to other routers if the platform is unreachable.
// The caller must ensure that no request is in progress or arrives later.
func (h *Holder) ReturnShares(ctx context.Context) error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.repay(ctx, 0)
	returns := &errgroup.Group{}
	returnContext, cancel := context.WithTimeout(ctx, h.settings.CallTimeout/2)
	defer cancel()
	for _, p := range h.partitions {
		returns.Go(func() error { return p.returnShares(returnContext) })
	}
	err := returns.Wait()
	if err != nil && h.settings.Lenders != nil {
		h.transferUnreturned(ctx)
	}
	return err
}

func (p *accountPartition) signalUpdate() {
	select {
	case p.updateSignal <- struct{}{}:
	default:
	}
}

// run updates the partition when a request waits, when a share should change, and once per interval.
func (p *accountPartition) run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.serveWaiters()
			if !p.needsUpdate() {
				continue
			}
		case <-p.updateSignal:
		}
		if err := p.update(ctx, false); err != nil {
			p.backOff(ctx)
		}
	}
}

// serveWaiters serves requests that wait for a spending bound which allows more with time.
func (p *accountPartition) serveWaiters() {
	h := p.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	for team, teamHolding := range h.teams {
		if len(teamHolding.waiters) > 0 && h.partitionOf(team) == p {
			h.serveWaitersLocked(teamHolding)
		}
	}
}

// backOff waits after a failed update and signals another update if requests still wait.
func (p *accountPartition) backOff(ctx context.Context) {
	clock.Sleep(ctx, conflictBackoff/4+rand.N(conflictBackoff)) //nolint:gosec // spreads writes
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	for _, team := range p.teamsLocked() {
		if len(p.holder.holdingLocked(team.Name).waiters) > 0 {
			p.signalUpdate()
		}
	}
}

// needsUpdate reports whether the partition must be read: because the last read is older than Settings.Interval,
// because requests wait or retries are expected and the retry demand exceeds the free tokens, or because the policy
// would change an account as last read.
func (p *accountPartition) needsUpdate() bool {
	h := p.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	teams := p.teamsLocked()
	if len(teams) == 0 {
		return false
	}
	if time.Since(p.readAt) > h.settings.Interval {
		return true
	}
	now := time.Now()
	for _, team := range teams {
		teamHolding := h.holdingLocked(team.Name)
		teamHolding.recordUse(now, 0)
		if (len(teamHolding.waiters) > 0 || now.Before(teamHolding.retryDemandUntil)) && teamHolding.free(h.uptime()) < teamHolding.retryDemand {
			return true
		}
		if _, write := h.settings.Policy.Plan(teamHolding.account, h.positionLocked(teamHolding, team, false)); write {
			return true
		}
	}
	return false
}

// teamsLocked returns the teams with prepaid tokens whose accounts are in this partition and are updated by this
// router.
func (p *accountPartition) teamsLocked() []*site.Team {
	if p.holder.configuration == nil {
		return nil
	}
	var teams []*site.Team
	for i := range p.holder.configuration.Teams {
		team := &p.holder.configuration.Teams[i]
		if team.HasPrepaid && p.holder.partitionOf(team.Name) == p && p.holder.participatesLocked(team.Name) {
			teams = append(teams, team)
		}
	}
	return teams
}

// participatesLocked reports whether this router updates the team's account itself instead of only borrowing.
func (h *Holder) participatesLocked(team string) bool {
	teamHolding := h.holdingLocked(team)
	return teamHolding.participates(time.Now(), h.settings.Instance, h.settings.Holder, len(h.lenders(team)))
}

// NeedsTimeOfDay reports whether this router holds shares or has to settle those of a former process, which both need the
// agreed time of day. A router that only borrows does not.
func (h *Holder) NeedsTimeOfDay() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.configuration == nil {
		return false
	}
	for _, team := range h.configuration.Teams {
		if team.HasPrepaid && h.holdingLocked(team.Name).accountRead && h.participatesLocked(team.Name) {
			return true
		}
	}
	return false
}

// returnShares returns all shares of the partition and retries until it succeeds or the context ends.
func (p *accountPartition) returnShares(ctx context.Context) error {
	for {
		err := p.update(ctx, true)
		if err == nil || ctx.Err() != nil {
			return err
		}
		clock.Sleep(ctx, rand.N(conflictBackoff)) //nolint:gosec // spreads writes
	}
}
