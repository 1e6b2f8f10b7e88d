package allowance

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// Topic is the keyed topic that holds the accounts, by the teams' names.
const Topic = "keyed.allowances"

// Defaults of Settings.
const (
	// DefaultInterval is the time between two looks at an account: unmet demand elsewhere is seen that late at most.
	DefaultInterval = 1500 * time.Millisecond
	// DefaultPartitions is the number of partitions over which the accounts are spread.
	DefaultPartitions = 1
	// DefaultCallTimeout bounds a call to the platform, whose answers take some ms when it is well.
	DefaultCallTimeout = 1 * time.Second
	// DefaultDrawTimeout bounds how long a request waits for tokens: the time after which a call to the platform counts as
	// stuck and questions to two other routers.
	DefaultDrawTimeout = 500 * time.Millisecond
)

const (
	// meanRequests is the number of requests over which their size is averaged.
	meanWindow = 50
	// refusedRequests bounds, in mean requests, what is drawn for those that were refused and come again: some seconds of
	// one team at a router that can't draw itself.
	maxRetryRequests = 32
	// firstBurst is the number of mean requests of a team that is idle at this router for which a pledge leaves room.
	idleBurstRequests = 3
)

// Errors of Reserve. Each says that nothing was reserved.
var (
	// ErrSpent reports that the team's remaining tokens can't pay for the request.
	ErrSpent = errors.New("prepaid tokens are used up")
	// ErrElsewhere reports that tokens remain, but other routers hold them or the platform can't be reached.
	ErrHeldElsewhere = errors.New("prepaid tokens are held elsewhere")
)

// Settings describe a holder; a zero takes the default.
type Settings struct {
	// Holder identifies this start of the router; no other start may have the same.
	Holder   string
	Instance string
	Policy   Policy
	Interval time.Duration
	// Partitions is the number of partitions over which the accounts are spread; all routers must have the same.
	Partitions int
	// CallTimeout bounds a call to the platform.
	CallTimeout time.Duration
	// DrawTimeout bounds how long a request waits for tokens.
	DrawTimeout time.Duration
	// Now returns the present moment on this machine; nil stands for the function of that name.
	Now func() ClockReading
	// Lenders asks other routers for tokens; nil if there are none.
	Lenders Lenders
	Logger  log.Interface
	Metrics metrics.Registry
}

// Holder pays requests from the shares that it holds. Its methods may be called from many goroutines.
type Holder struct {
	keyedLog   platform.KeyedLog
	settings   Settings
	partitions []*accountPartition
	// lacking asks the borrower to look for requests that wait.
	borrowSignal chan struct{}
	// nextLoan counts the loans that were asked for.
	nextLoan atomic.Uint64

	mu            sync.Mutex
	configuration *site.Configuration
	teams         map[string]*holding
	// mean is the average of the most that recent requests of all teams could use.
	meanRequest float64
	// leaving says that the router ends soon: it keeps little and takes nothing over.
	leaving bool
	// ended says that it returns what it holds: it lends no more.
	closed bool
	// reached is when a call to the platform last succeeded, here or at a router that lends.
	platformReachedAt time.Time
	// silent is until when a router is not asked for loans.
	unresponsiveUntil map[string]time.Time
	// loans are those that were given or voided lately, voids those that were not had.
	loanRecords  map[loanKey]loanRecord
	pendingVoids []pendingVoid
}

// NewHolder returns a holder that holds nothing yet.
func NewHolder(keyed platform.KeyedLog, settings Settings) *Holder {
	settings.Interval = cmp.Or(settings.Interval, DefaultInterval)
	settings.CallTimeout = cmp.Or(settings.CallTimeout, DefaultCallTimeout)
	settings.DrawTimeout = cmp.Or(settings.DrawTimeout, DefaultDrawTimeout)
	if settings.Logger == nil {
		settings.Logger = log.Log
	}
	if settings.Metrics == nil {
		settings.Metrics = metrics.NewRegistry()
	}
	if settings.Now == nil {
		settings.Now = Now
	}
	settings.Partitions = cmp.Or(settings.Partitions, DefaultPartitions)
	h := &Holder{
		keyedLog: keyed, settings: settings, borrowSignal: make(chan struct{}, 1), teams: make(map[string]*holding),
		unresponsiveUntil: make(map[string]time.Time),
		loanRecords:       make(map[loanKey]loanRecord),
	}
	// No other process of this instance uses the same identifiers.
	h.nextLoan.Store(rand.Uint64()) //nolint:gosec // no secret
	for i := range settings.Partitions {
		h.partitions = append(h.partitions, &accountPartition{holder: h, number: i, updateSignal: make(chan struct{}, 1)})
	}
	return h
}

// Reservation is the most that a request in progress may use. The zero value and nil stand for a request that pays
// nothing.
type Reservation struct {
	holder    *Holder
	team      string
	maxTokens int64
	once      sync.Once
}

// Reserve sets the most that a request can use aside, or fails with ErrSpent or ErrElsewhere. A request of a team whose
// use isn't bounded, or that uses no tokens, is paid at once. Log lines name the request by its identifier.
func (h *Holder) Reserve(ctx context.Context, request string, team *site.Team, maxTokens int64) (*Reservation, error) {
	if team == nil || !team.HasPrepaid || maxTokens <= 0 {
		return nil, nil
	}
	if err := h.acquire(ctx, team.Name, maxTokens); err != nil {
		h.logRefusal(request, team.Name, maxTokens, err)
		return nil, err
	}
	return &Reservation{holder: h, team: team.Name, maxTokens: maxTokens}, nil
}

// pay reserves tokens of a share or, where others hold the team's shares, of loans.
func (h *Holder) acquire(ctx context.Context, team string, maxTokens int64) error {
	lenders := h.lenders(team)
	hasLenders := len(lenders) > 0
	if !hasLenders {
		lenders = h.fallbackLenders(team, maxTokens)
	}
	if len(lenders) > 0 {
		if err := h.borrowFor(ctx, team, maxTokens, lenders, hasLenders); !errors.Is(err, errNoLender) {
			return err
		}
	}
	if hasLenders {
		h.drawDirectly(team)
	}
	w, err := h.reserve(team, maxTokens)
	if err != nil || w == nil {
		return err
	}
	return h.awaitTokens(ctx, team, w, h.settings.DrawTimeout)
}

// await waits until a request's tokens are reserved.
func (h *Holder) awaitTokens(ctx context.Context, team string, w *waiter, wait time.Duration) error {
	h.partitionOf(team).signalUpdate()
	h.signalBorrower()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if h.cancelWait(team, w) {
		return h.refuse(team, w.maxTokens)
	}
	return nil
}

// reserve takes tokens that are free, or returns a waiter for them.
func (h *Holder) reserve(team string, maxTokens int64) (*waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	if held.free(h.uptime()) < maxTokens && h.isExhaustedLocked(held, team, maxTokens) {
		return nil, ErrSpent
	}
	now := time.Now()
	held.recordRequest(now, maxTokens)
	held.recordUse(now, maxTokens)
	h.updateMeanRequest(maxTokens)
	if held.free(h.uptime()) >= maxTokens {
		held.reserved += maxTokens
		return nil, nil
	}
	w := &waiter{maxTokens: maxTokens, done: make(chan struct{})}
	held.waiters = append(held.waiters, w)
	return w, nil
}

const (
	// recallTime is when tokens that other routers hold may be had: they look at the account that often.
	recallDelay = DefaultInterval
	// outageTime is when a platform that can't be reached may be back: about half of a usual outage.
	outageDelay = 4 * time.Second
)

// ReturnAfter returns after which time a request that was refused for ErrElsewhere may be paid for.
func (h *Holder) ReturnAfter() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.platformReachedAt) > h.settings.Interval+h.settings.CallTimeout {
		return outageDelay
	}
	return recallDelay
}

// noteMean averages the most that requests of all teams could use.
func (h *Holder) updateMeanRequest(maxTokens int64) {
	h.meanRequest += (float64(maxTokens) - h.meanRequest) / meanWindow
}

// surelySpentLocked reports whether what is used or may have been used by routers that ended, with
// this router's requests in progress at their most, leaves too few tokens, wherever the others are held.
func (h *Holder) isExhaustedLocked(held *holding, team string, maxTokens int64) bool {
	if !held.accountRead {
		return false
	}
	prepaid := held.account.Prepaid
	if h.configuration != nil && h.configuration.Version > held.account.Version {
		if t, ok := h.configuration.Team(team); ok {
			prepaid = t.Prepaid
		}
	}
	unreported := held.reported() - held.account.Shares[h.settings.Holder].Spent
	remaining := prepaid - held.account.Prepaid + held.account.Remaining()
	return remaining-unreported-held.reserved < maxTokens
}

// refuse takes a request that was not paid for out of the team's use and says why it was not.
func (h *Holder) refuse(team string, maxTokens int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	held.recordUse(time.Now(), -maxTokens)
	if h.isExhaustedLocked(held, team, maxTokens) {
		return ErrSpent
	}
	// Each of those that are refused comes again.
	now := time.Now()
	retryDemand := min(held.currentRetryDemand(now)+maxTokens, int64(maxRetryRequests*h.meanRequest))
	held.expectRetry(now, max(retryDemand, maxTokens), 2*recallDelay)
	return ErrHeldElsewhere
}

// logRefusal tells what a refusal was decided by.
func (h *Holder) logRefusal(request, team string, maxTokens int64, err error) {
	h.mu.Lock()
	held := h.holdingLocked(team)
	fields := log.Fields{
		"Request": request, fieldTeam: team, "Most": maxTokens, "Usable": held.usable, "Spent": held.spent, "Reserved": held.reserved,
		"Free": held.free(h.uptime()), "Given": held.transferred, "Received": held.received,
		"Rate": int64(held.rate()), "Prepaid": held.account.Prepaid, "Available": held.account.Available(),
		"Reported": held.account.Reported(), "Settled": held.account.Settled, "Holders": len(held.account.Shares),
		"AgeMilliseconds": time.Since(h.platformReachedAt).Milliseconds(),
	}
	h.mu.Unlock()
	h.settings.Logger.WithFields(fields).WithError(err).Info("tokens not reserved")
}

// giveUp takes a waiter out and reports whether it was still waiting.
func (h *Holder) cancelWait(team string, w *waiter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	for i, other := range held.waiters {
		if other == w {
			held.waiters = append(held.waiters[:i], held.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Settle ends a reservation with what was used of it. Only the first call counts.
func (r *Reservation) Settle(used int64) {
	if r == nil || r.holder == nil {
		return
	}
	r.once.Do(func() { r.holder.settle(r.team, r.maxTokens, min(max(0, used), r.maxTokens)) })
}

func (h *Holder) settle(team string, maxTokens, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	held.reserved -= maxTokens
	held.spent += used
	held.recordUse(time.Now(), used-maxTokens)
	h.serveWaitersLocked(held)
}

func (h *Holder) uptime() time.Duration { return h.settings.Now().Uptime }

func (h *Holder) holdingLocked(team string) *holding {
	held, ok := h.teams[team]
	if !ok {
		held = &holding{}
		h.teams[team] = held
	}
	return held
}

// serveWaitersLocked reserves for those that wait, in their order; a large one does not keep small ones waiting.
func (h *Holder) serveWaitersLocked(held *holding) {
	if len(held.waiters) == 0 {
		return
	}
	uptime := h.uptime()
	waiting := held.waiters[:0]
	for _, w := range held.waiters {
		if held.free(uptime) >= w.maxTokens {
			held.reserved += w.maxTokens
			close(w.done)
			continue
		}
		waiting = append(waiting, w)
	}
	held.waiters = waiting
}
