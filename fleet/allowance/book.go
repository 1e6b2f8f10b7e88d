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
	// conflictPause is the most that a router waits after another one's write came in between: about the time of a read
	// and a write.
	conflictBackoff = 20 * time.Millisecond
	// watchInterval is the time between two looks at what the holder has itself: a share that runs low is drawn that late
	// at most.
	watchInterval = 200 * time.Millisecond
	// stuckAfter is how long a call to the platform may take before other routers are asked for tokens: some round trips
	// between regions.
	callDelayThreshold = 120 * time.Millisecond
	// leavingHorizon is the use for which a router that is leaving keeps tokens: until the next write.
	leavingReserveTime = 1 * time.Second
)

// book keeps the accounts of one partition.
type accountPartition struct {
	holder       *Holder
	number       int
	updateSignal chan struct{}
	// looked is when the partition was last read.
	readAt time.Time
	// calling is when the call in progress began; zero if there is none. failed says that the last call got no answer.
	callStartedAt  time.Time
	lastCallFailed bool
}

// stuckLocked reports whether the platform seems to be out of reach.
func (p *accountPartition) platformUnreachableLocked(now time.Time) bool {
	return p.lastCallFailed || !p.callStartedAt.IsZero() && now.Sub(p.callStartedAt) > callDelayThreshold
}

// begin and done frame a call to the platform.
func (p *accountPartition) beginCall() {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	p.callStartedAt = time.Now()
}

func (p *accountPartition) endCall(err error) {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	p.callStartedAt = time.Time{}
	p.lastCallFailed = err != nil && !errors.Is(err, platform.ErrMoved)
}

// bookOf returns the book with a team's account.
func (h *Holder) partitionOf(team string) *accountPartition {
	return h.partitions[xxhash.Sum64String(team)%uint64(len(h.partitions))]
}

// Configure takes a new configuration in.
func (h *Holder) Configure(configuration *site.Configuration) {
	h.mu.Lock()
	h.configuration = configuration
	h.mu.Unlock()
	for _, p := range h.partitions {
		p.signalUpdate()
	}
}

// Known reports whether every account of the configuration has been read since the start.
func (h *Holder) Known() bool {
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

// Run draws, reports and returns tokens until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	loops := &errgroup.Group{}
	loops.Go(func() error { return h.runBorrower(ctx) })
	loops.Go(func() error { return h.runRepayer(ctx) })
	for _, p := range h.partitions {
		loops.Go(func() error { return p.run(ctx) })
	}
	return loops.Wait()
}

// Leave makes the holder return what it needs no more for the short time that its router goes on.
func (h *Holder) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	h.settings.Policy.Horizon = leavingReserveTime
	h.settings.Policy.Leaving = true
}

// Return gives all shares back, to the accounts or else to other routers. No request may be in progress or come.
func (h *Holder) Return(ctx context.Context) error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.repay(ctx, 0)
	returns := &errgroup.Group{}
	returning, cancel := context.WithTimeout(ctx, h.settings.CallTimeout/2)
	defer cancel()
	for _, p := range h.partitions {
		returns.Go(func() error { return p.returnShares(returning) })
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

// run updates the partition when a request waits, when a share should change and from time to time.
func (p *accountPartition) run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
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

// pause waits after a failed update and asks for another one if a request still waits.
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

// due reports whether the partition should be read: because that was long ago, or because the policy would change an
// account as it was last seen.
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
		held := h.holdingLocked(team.Name)
		held.recordUse(now, 0)
		if (len(held.waiters) > 0 || now.Before(held.retryDemandUntil)) && held.free(h.uptime()) < held.retryDemand {
			return true
		}
		if _, write := h.settings.Policy.Plan(held.account, h.positionLocked(held, team, false)); write {
			return true
		}
	}
	return false
}

// teamsLocked returns the teams with prepaid tokens whose accounts are in the partition and in which this router takes
// part.
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

// drawsLocked reports whether this router takes part in a team's account.
func (h *Holder) participatesLocked(team string) bool {
	held := h.holdingLocked(team)
	return held.participates(time.Now(), h.settings.Instance, h.settings.Holder, len(h.lenders(team)))
}

// end returns the partition's shares.
func (p *accountPartition) returnShares(ctx context.Context) error {
	for {
		err := p.update(ctx, true)
		if err == nil || ctx.Err() != nil {
			return err
		}
		clock.Sleep(ctx, rand.N(conflictBackoff)) //nolint:gosec // spreads writes
	}
}
