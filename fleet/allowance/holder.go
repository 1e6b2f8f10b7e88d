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
	"github.com/dragonflyworks/dragonflyworks/fleet/timeofday"
)

// Topic is the platform's keyed topic that stores the accounts. The key is the name of the team.
const Topic = "keyed.allowances"

// Defaults of Settings.
const (
	// DefaultInterval is the time between two reads of an account, and so the maximum delay until a router sees the
	// unmet demand of other routers.
	DefaultInterval = 1500 * time.Millisecond
	// DefaultPartitions is the number of partitions over which the accounts are spread.
	DefaultPartitions = 1
	// DefaultCallTimeout bounds a call to the platform. A healthy platform answers within milliseconds.
	DefaultCallTimeout = 1 * time.Second
	// DefaultDrawTimeout bounds how long a request waits for tokens. It covers the detection of a slow call to the
	// platform (callDelayThreshold) and requests to two other routers after that.
	DefaultDrawTimeout = 500 * time.Millisecond
)

const (
	// meanWindow is the number of requests over which the mean request size is averaged.
	meanWindow = 50
	// maxRetryRequests bounds the tokens drawn for refused requests that callers are expected to retry, in multiples of
	// the mean request size. It covers some seconds of requests of one team at a router that cannot draw itself.
	maxRetryRequests = 32
	// idleBurstRequests is the number of requests of mean size for which a spending bound leaves room while the team is
	// idle at this router.
	idleBurstRequests = 3
)

// Errors of Reserve. In each case no tokens were reserved.
var (
	// ErrExhausted reports that the team's remaining prepaid tokens cannot cover the request.
	ErrExhausted = errors.New("prepaid tokens are used up")
	// ErrHeldElsewhere reports that the team has tokens left, but other routers hold them or the platform is
	// unreachable.
	ErrHeldElsewhere = errors.New("prepaid tokens are held elsewhere")
)

// Settings configure a Holder. Zero values select the defaults.
type Settings struct {
	// Holder identifies this process of the router and must be unique across restarts.
	Holder   string
	Instance string
	Policy   Policy
	// Interval is the age of the last read after which an account is read again.
	Interval time.Duration
	// Partitions is the number of partitions over which the accounts are spread. All routers must use the same number.
	Partitions int
	// CallTimeout bounds a call to the platform.
	CallTimeout time.Duration
	// DrawTimeout bounds how long a request waits for tokens.
	DrawTimeout time.Duration
	// Now reads the clocks of this machine; nil selects the package's function Now.
	Now func() ClockReading
	// Agreement holds the time of day on which this machine and others agree; nil if other machines are not asked.
	Agreement *timeofday.Agreement
	// Lenders requests tokens from other routers; nil if there are no other routers.
	Lenders Lenders
	Logger  log.Interface
	Metrics metrics.Registry
}

// Holder pays requests from this router's shares of the teams' prepaid tokens. Its methods are safe for concurrent use.
type Holder struct {
	keyedLog   platform.KeyedLog
	settings   Settings
	partitions []*accountPartition
	// borrowSignal makes the borrower loop check for waiting requests.
	borrowSignal chan struct{}
	// lastLoanIdentifier is the identifier of the latest loan request; each new request increments it.
	lastLoanIdentifier atomic.Uint64

	mu            sync.Mutex
	configuration *site.Configuration
	teams         map[string]*holding
	// meanRequest is the moving average of the maximum token use of recent requests of all teams.
	meanRequest float64
	// leaving is true once the router is about to shut down. The holder then keeps only a small reserve and accepts no
	// transfers.
	leaving bool
	// closed is true once the holder returns its shares; it no longer lends.
	closed bool
	// platformReachedAt is the time of the last successful read by this router, or of the last answer by a lender that
	// could reach the platform.
	platformReachedAt time.Time
	// startedAt and startClocks are the time and the clocks' reading at the start of Run, or else at the first update of
	// an account.
	startedAt   time.Time
	startClocks ClockReading
	// unresponsiveUntil maps an instance to the time until which its router is not asked for loans.
	unresponsiveUntil map[string]time.Time
	// loanRecords are the loans that this router recently granted or voided as a lender. pendingVoids are loan requests
	// of this router that failed and that their lenders must be asked to void.
	loanRecords  map[loanKey]loanRecord
	pendingVoids []pendingVoid
}

// NewHolder returns a Holder without any shares.
func NewHolder(keyedLog platform.KeyedLog, settings Settings) *Holder {
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
		keyedLog: keyedLog, settings: settings, borrowSignal: make(chan struct{}, 1), teams: make(map[string]*holding),
		unresponsiveUntil: make(map[string]time.Time),
		loanRecords:       make(map[loanKey]loanRecord),
	}
	// A random start keeps the loan identifiers distinct from those of earlier processes on this instance.
	h.lastLoanIdentifier.Store(rand.Uint64()) //nolint:gosec // no secret
	for i := range settings.Partitions {
		h.partitions = append(h.partitions, &accountPartition{holder: h, number: i, updateSignal: make(chan struct{}, 1)})
	}
	return h
}

// Reservation is the amount reserved for a request in progress: the maximum that it can use. A nil or zero Reservation
// belongs to a request that needs no payment.
type Reservation struct {
	holder    *Holder
	team      string
	maxTokens int64
	once      sync.Once
}

// Reserve reserves the maximum number of tokens that a request can use. It fails with ErrExhausted or ErrHeldElsewhere,
// also if the context ends while the request waits. Requests without token use and requests of teams without a prepaid
// budget need no reservation, for which Reserve returns nil. Log lines identify the request by the given identifier.
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

// acquire reserves tokens from the router's own share, or from loans if other routers hold the team's shares.
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

// awaitTokens waits until a waiting request has its tokens reserved, up to the given time. If only a spending bound keeps
// the request from its tokens, because the platform is unreachable, it waits longer, until the bound allows more.
func (h *Holder) awaitTokens(ctx context.Context, team string, w *waiter, wait time.Duration) error {
	h.partitionOf(team).signalUpdate()
	h.signalBorrower()
	for wait > 0 && ctx.Err() == nil {
		timer := time.NewTimer(wait)
		select {
		case <-w.done:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
		wait = h.boundWait(team, w.maxTokens)
	}
	if h.cancelWait(team, w) {
		return h.refuse(team, w.maxTokens)
	}
	return nil
}

// boundWait returns how long a request may wait for a spending bound that allows more; zero if no bound keeps it from
// its tokens, if the wait would be longer than boundDelay, or if the bound can be rewritten.
func (h *Holder) boundWait(team string, maxTokens int64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.partitionOf(team).platformUnreachableLocked(time.Now()) {
		return 0
	}
	wait := h.holdingLocked(team).allowsAfter(h.uptime(), maxTokens)
	if wait == 0 || wait > boundDelay {
		return 0
	}
	return wait + watchInterval
}

// reserve reserves free tokens, or queues the request and returns its waiter if too few are free.
func (h *Holder) reserve(team string, maxTokens int64) (*waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding := h.holdingLocked(team)
	if teamHolding.free(h.uptime()) < maxTokens && h.isExhaustedLocked(teamHolding, team, maxTokens) {
		return nil, ErrExhausted
	}
	now := time.Now()
	teamHolding.recordRequest(now, maxTokens)
	teamHolding.recordUse(now, maxTokens)
	h.updateMeanRequest(maxTokens)
	if teamHolding.free(h.uptime()) >= maxTokens {
		teamHolding.reserved += maxTokens
		return nil, nil
	}
	w := &waiter{maxTokens: maxTokens, done: make(chan struct{})}
	teamHolding.waiters = append(teamHolding.waiters, w)
	return w, nil
}

const (
	// recallDelay is the retry delay for tokens that other routers hold: these routers check the account once per
	// DefaultInterval and then return tokens.
	recallDelay = DefaultInterval
	// outageDelay is the retry delay while the platform is unreachable: about half of a typical outage.
	outageDelay = 4 * time.Second
)

// RetryAfter returns the delay after which a request refused with ErrHeldElsewhere may succeed.
func (h *Holder) RetryAfter() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.platformReachedAt) > h.settings.Interval+h.settings.CallTimeout {
		return outageDelay
	}
	return recallDelay
}

// updateMeanRequest adds a request to the moving average of request sizes over all teams.
func (h *Holder) updateMeanRequest(maxTokens int64) {
	h.meanRequest += (float64(maxTokens) - h.meanRequest) / meanWindow
}

// isExhaustedLocked reports whether the team's remaining tokens cannot cover a request, no matter which routers hold
// them. It subtracts the reported use of all routers, the settled use of ended ones, this router's use since its last
// report, and its requests in progress at their maximum. An account that was not read yet does not count as exhausted.
func (h *Holder) isExhaustedLocked(teamHolding *holding, team string, maxTokens int64) bool {
	if !teamHolding.accountRead {
		return false
	}
	prepaid := teamHolding.account.Prepaid
	if h.configuration != nil && h.configuration.Version > teamHolding.account.Version {
		if t, ok := h.configuration.Team(team); ok {
			prepaid = t.Prepaid
		}
	}
	unreported := teamHolding.reported() - teamHolding.account.Shares[h.settings.Holder].Spent
	remaining := prepaid - teamHolding.account.Prepaid + teamHolding.account.Remaining()
	return remaining-unreported-teamHolding.reserved < maxTokens
}

// refuse removes an unpaid request from the team's rate of use and returns the reason for the refusal.
func (h *Holder) refuse(team string, maxTokens int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding := h.holdingLocked(team)
	teamHolding.recordUse(time.Now(), -maxTokens)
	if h.isExhaustedLocked(teamHolding, team, maxTokens) {
		return ErrExhausted
	}
	// Each refused request is expected to be retried, so the demand of all refused requests is summed up to a limit.
	now := time.Now()
	retryDemand := min(teamHolding.currentRetryDemand(now)+maxTokens, int64(maxRetryRequests*h.meanRequest))
	teamHolding.expectRetry(now, max(retryDemand, maxTokens), 2*recallDelay)
	return ErrHeldElsewhere
}

// logRefusal logs the values on which a refusal was based.
func (h *Holder) logRefusal(request, team string, maxTokens int64, err error) {
	h.mu.Lock()
	teamHolding := h.holdingLocked(team)
	fields := log.Fields{
		"Request": request, fieldTeam: team, "Most": maxTokens, "Usable": teamHolding.usable, "Spent": teamHolding.spent, "Reserved": teamHolding.reserved,
		"Free": teamHolding.free(h.uptime()), "Given": teamHolding.transferred, "Received": teamHolding.received,
		"Rate": int64(teamHolding.rate()), "Prepaid": teamHolding.account.Prepaid, "Available": teamHolding.account.Available(),
		"Reported": teamHolding.account.Reported(), "Settled": teamHolding.account.Settled, "WrittenOff": teamHolding.account.WrittenOff, "Holders": len(teamHolding.account.Shares),
		"AgeMilliseconds": time.Since(h.platformReachedAt).Milliseconds(),
	}
	h.mu.Unlock()
	h.settings.Logger.WithFields(fields).WithError(err).Info("tokens not reserved")
}

// cancelWait removes a waiter from the queue and reports whether it was still queued. It first serves the queue, since a
// spending bound may have come to allow more since the last time.
func (h *Holder) cancelWait(team string, w *waiter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding := h.holdingLocked(team)
	h.serveWaitersLocked(teamHolding)
	for i, candidate := range teamHolding.waiters {
		if candidate == w {
			teamHolding.waiters = append(teamHolding.waiters[:i], teamHolding.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Settle ends the reservation and records the tokens that the request used, at most the reserved ones. Only the first
// call has an effect.
func (r *Reservation) Settle(used int64) {
	if r == nil || r.holder == nil {
		return
	}
	r.once.Do(func() { r.holder.settle(r.team, r.maxTokens, min(max(0, used), r.maxTokens)) })
}

func (h *Holder) settle(team string, maxTokens, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding := h.holdingLocked(team)
	teamHolding.reserved -= maxTokens
	teamHolding.spent += used
	teamHolding.recordUse(time.Now(), used-maxTokens)
	h.serveWaitersLocked(teamHolding)
}

func (h *Holder) uptime() time.Duration { return h.settings.Now().Uptime }

// clocks reads the clocks of this machine, with the boot time that the comparison with other machines gave.
func (h *Holder) clocks() ClockReading {
	reading := h.settings.Now()
	estimate, _ := h.settings.Agreement.Estimate()
	reading.BootTime, reading.BootSpread = estimate.Latest, estimate.Spread
	return reading
}

// recordStartLocked records the start of this process unless it is known, and the boot time once there is an agreement.
func (h *Holder) recordStartLocked(clocks ClockReading) {
	if h.startedAt.IsZero() {
		h.startedAt, h.startClocks = time.Now(), clocks
	}
	h.startClocks.BootTime, h.startClocks.BootSpread = clocks.BootTime, clocks.BootSpread
}

func (h *Holder) holdingLocked(team string) *holding {
	teamHolding, ok := h.teams[team]
	if !ok {
		teamHolding = &holding{}
		h.teams[team] = teamHolding
	}
	return teamHolding
}

// serveWaitersLocked reserves free tokens for waiting requests in arrival order. It skips a request that needs more
// than is free, so that smaller requests behind it need not wait.
func (h *Holder) serveWaitersLocked(teamHolding *holding) {
	if len(teamHolding.waiters) == 0 {
		return
	}
	uptime := h.uptime()
	waiting := teamHolding.waiters[:0]
	for _, w := range teamHolding.waiters {
		if teamHolding.free(uptime) >= w.maxTokens {
			teamHolding.reserved += w.maxTokens
			close(w.done)
			continue
		}
		waiting = append(waiting, w)
	}
	teamHolding.waiters = waiting
}
