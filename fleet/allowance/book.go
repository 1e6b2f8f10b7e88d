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
	conflictPause = 20 * time.Millisecond
	// watchInterval is the time between two looks at what the holder has itself: a share that runs low is drawn that late
	// at most.
	watchInterval = 200 * time.Millisecond
	// stuckAfter is how long a call to the platform may take before other routers are asked for tokens: some round trips
	// between regions.
	stuckAfter = 120 * time.Millisecond
	// leavingHorizon is the use for which a router that is leaving keeps tokens: until the next write.
	leavingHorizon = 1 * time.Second
)

// book keeps the accounts of one partition.
type book struct {
	holder    *Holder
	partition int
	kick      chan struct{}
	// looked is when the partition was last read.
	looked time.Time
	// calling is when the call in progress began; zero if there is none. failed says that the last call got no answer.
	calling time.Time
	failed  bool
}

// stuckLocked reports whether the platform seems to be out of reach.
func (b *book) stuckLocked(now time.Time) bool {
	return b.failed || !b.calling.IsZero() && now.Sub(b.calling) > stuckAfter
}

// begin and done frame a call to the platform.
func (b *book) begin() {
	b.holder.mu.Lock()
	defer b.holder.mu.Unlock()
	b.calling = time.Now()
}

func (b *book) done(err error) {
	b.holder.mu.Lock()
	defer b.holder.mu.Unlock()
	b.calling = time.Time{}
	b.failed = err != nil && !errors.Is(err, platform.ErrMoved)
}

// bookOf returns the book with a team's account.
func (h *Holder) bookOf(team string) *book {
	return h.books[xxhash.Sum64String(team)%uint64(len(h.books))]
}

// Configure takes a new configuration in.
func (h *Holder) Configure(configuration *site.Configuration) {
	h.mu.Lock()
	h.configuration = configuration
	h.mu.Unlock()
	for _, b := range h.books {
		b.wake()
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
		if team.HasPrepaid && !h.holdingLocked(team.Name).read && len(h.lenders(team.Name)) == 0 {
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
	for _, b := range h.books {
		loops.Go(func() error { return b.run(ctx) })
	}
	return loops.Wait()
}

// Leave makes the holder return what it needs no more for the short time that its router goes on.
func (h *Holder) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	h.settings.Policy.Horizon = leavingHorizon
	h.settings.Policy.Leaving = true
}

// Return gives all shares back, to the accounts or else to other routers. No request may be in progress or come.
func (h *Holder) Return(ctx context.Context) error {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	h.repay(ctx, 0)
	returns := &errgroup.Group{}
	returning, cancel := context.WithTimeout(ctx, h.settings.CallTimeout/2)
	defer cancel()
	for _, b := range h.books {
		returns.Go(func() error { return b.end(returning) })
	}
	err := returns.Wait()
	if err != nil && h.settings.Lenders != nil {
		h.bequeath(ctx)
	}
	return err
}

func (b *book) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// run updates the partition when a request waits, when a share should change and from time to time.
func (b *book) run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if !b.due() {
				continue
			}
		case <-b.kick:
		}
		if err := b.update(ctx, false); err != nil {
			b.pause(ctx)
		}
	}
}

// pause waits after a failed update and asks for another one if a request still waits.
func (b *book) pause(ctx context.Context) {
	clock.Sleep(ctx, conflictPause/4+rand.N(conflictPause)) //nolint:gosec // spreads writes
	b.holder.mu.Lock()
	defer b.holder.mu.Unlock()
	for _, team := range b.teamsLocked() {
		if len(b.holder.holdingLocked(team.Name).waiters) > 0 {
			b.wake()
		}
	}
}

// due reports whether the partition should be read: because that was long ago, or because the policy would change an
// account as it was last seen.
func (b *book) due() bool {
	h := b.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	teams := b.teamsLocked()
	if len(teams) == 0 {
		return false
	}
	if time.Since(b.looked) > h.settings.Interval {
		return true
	}
	now := time.Now()
	for _, team := range teams {
		held := h.holdingLocked(team.Name)
		held.meter(now, 0)
		if (len(held.waiters) > 0 || now.Before(held.askedUntil)) && held.free(h.uptime()) < held.asked {
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
func (b *book) teamsLocked() []*site.Team {
	if b.holder.configuration == nil {
		return nil
	}
	var teams []*site.Team
	for i := range b.holder.configuration.Teams {
		team := &b.holder.configuration.Teams[i]
		if team.HasPrepaid && b.holder.bookOf(team.Name) == b && b.holder.drawsLocked(team.Name) {
			teams = append(teams, team)
		}
	}
	return teams
}

// drawsLocked reports whether this router takes part in a team's account.
func (h *Holder) drawsLocked(team string) bool {
	held := h.holdingLocked(team)
	return held.draws(time.Now(), h.settings.Instance, h.settings.Holder, len(h.lenders(team)))
}

// end returns the partition's shares.
func (b *book) end(ctx context.Context) error {
	for {
		err := b.update(ctx, true)
		if err == nil || ctx.Err() != nil {
			return err
		}
		clock.Sleep(ctx, rand.N(conflictPause)) //nolint:gosec // spreads writes
	}
}
