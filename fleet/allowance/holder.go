package allowance

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// Topic is the keyed topic that holds the accounts, by the teams' names.
const Topic = "keyed.allowances"

const partition = 0

// Defaults of Settings.
const (
	// DefaultInterval is the time between two looks at the accounts: unmet demand elsewhere is seen that late at most.
	DefaultInterval = 500 * time.Millisecond
	// DefaultCallTimeout bounds a call to the platform, whose answers take some ms when it is well.
	DefaultCallTimeout = 1 * time.Second
	// DefaultDrawTimeout bounds how long a request waits for tokens: two draws and a return between regions.
	DefaultDrawTimeout = 250 * time.Millisecond
)

const (
	// drawGap is the least time between two draws, so that requests that come together share one.
	drawGap = 20 * time.Millisecond
	// rateMemory is the time over which the use of a team is averaged.
	rateMemory = 4 * time.Second
)

// Errors of Reserve. Each says that nothing was reserved.
var (
	// ErrSpent reports that the team's remaining tokens can't pay for the request.
	ErrSpent = errors.New("prepaid tokens are used up")
	// ErrElsewhere reports that tokens remain, but other routers hold them or the platform can't be reached.
	ErrElsewhere = errors.New("prepaid tokens are held elsewhere")
)

// Settings describe a holder; a zero takes the default.
type Settings struct {
	// Holder identifies this start of the router; no other start may have the same.
	Holder   string
	Instance string
	Policy   Policy
	Interval time.Duration
	// CallTimeout bounds a call to the platform.
	CallTimeout time.Duration
	// DrawTimeout bounds how long a request waits for tokens.
	DrawTimeout time.Duration
	Logger      log.Interface
	Metrics     metrics.Registry
}

// Holder pays requests from the shares that it holds. Its methods may be called from many goroutines.
type Holder struct {
	log      platform.KeyedLog
	settings Settings
	kick     chan struct{}

	mu            sync.Mutex
	configuration *site.Configuration
	teams         map[string]*holding
	// known says that the accounts have been read once.
	known bool
	// reached is when a call to the platform last succeeded.
	reached time.Time
}

// holding is the holder's side of one team's account.
type holding struct {
	account  Account
	usable   int64
	spent    int64
	reserved int64
	rate     float64
	rated    time.Time
	waiters  []*waiter
}

// waiter is a request that waits for tokens.
type waiter struct {
	most int64
	// done gets nil once the tokens are reserved.
	done chan error
}

// NewHolder returns a holder that holds nothing yet.
func NewHolder(keyed platform.KeyedLog, settings Settings) *Holder {
	settings.Interval = orDefault(settings.Interval, DefaultInterval)
	settings.CallTimeout = orDefault(settings.CallTimeout, DefaultCallTimeout)
	settings.DrawTimeout = orDefault(settings.DrawTimeout, DefaultDrawTimeout)
	if settings.Logger == nil {
		settings.Logger = log.Log
	}
	if settings.Metrics == nil {
		settings.Metrics = metrics.NewRegistry()
	}
	return &Holder{log: keyed, settings: settings, kick: make(chan struct{}, 1), teams: make(map[string]*holding)}
}

// Reservation is the most that a request in progress may use. The zero value and nil stand for a request that pays
// nothing.
type Reservation struct {
	holder *Holder
	team   string
	most   int64
	once   sync.Once
}

// Reserve sets the most that a request can use aside, or fails with ErrSpent or ErrElsewhere. A request of a team whose
// use isn't bounded, or that uses no tokens, is paid at once.
func (h *Holder) Reserve(ctx context.Context, team *site.Team, most int64) (*Reservation, error) {
	if team == nil || !team.HasPrepaid || most <= 0 {
		return nil, nil
	}
	w, err := h.reserve(team.Name, most)
	if err != nil {
		return nil, err
	}
	reservation := &Reservation{holder: h, team: team.Name, most: most}
	if w == nil {
		return reservation, nil
	}
	h.wake()
	timer := time.NewTimer(h.settings.DrawTimeout)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return h.waited(reservation, err)
	case <-ctx.Done():
	case <-timer.C:
	}
	if h.giveUp(team.Name, w) {
		return nil, h.refusal(team.Name, most)
	}
	return h.waited(reservation, <-w.done)
}

func (h *Holder) waited(reservation *Reservation, err error) (*Reservation, error) {
	if err != nil {
		return nil, err
	}
	return reservation, nil
}

// reserve takes tokens that are free, or returns a waiter for them.
func (h *Holder) reserve(team string, most int64) (*waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	if held.usable-held.spent-held.reserved >= most {
		held.reserved += most
		return nil, nil
	}
	if h.known && h.surelySpentLocked(team, most) {
		return nil, ErrSpent
	}
	w := &waiter{most: most, done: make(chan error, 1)}
	held.waiters = append(held.waiters, w)
	return w, nil
}

// surelySpentLocked reports whether the tokens that are known to be used leave too few, wherever the others are held.
func (h *Holder) surelySpentLocked(team string, most int64) bool {
	held := h.holdingLocked(team)
	prepaid, version := held.account.Prepaid, held.account.Version
	if h.configuration != nil && h.configuration.Version > version {
		if t, ok := h.configuration.Team(team); ok {
			prepaid = t.Prepaid
		}
	}
	unreported := held.spent - held.account.Shares[h.settings.Holder].Spent
	return prepaid-held.account.Reported()-unreported < most
}

func (h *Holder) refusal(team string, most int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known && h.surelySpentLocked(team, most) {
		return ErrSpent
	}
	return ErrElsewhere
}

// giveUp takes a waiter out and reports whether it was still waiting.
func (h *Holder) giveUp(team string, w *waiter) bool {
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
	r.once.Do(func() { r.holder.settle(r.team, r.most, min(max(0, used), r.most)) })
}

func (h *Holder) settle(team string, most, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	held.reserved -= most
	held.spent += used
	held.meter(time.Now(), used)
	h.serveWaitersLocked(held)
}

// meter averages the use over rateMemory.
func (held *holding) meter(now time.Time, used int64) {
	if !held.rated.IsZero() {
		held.rate *= math.Exp(-now.Sub(held.rated).Seconds() / rateMemory.Seconds())
	}
	held.rated = now
	held.rate += float64(used) / rateMemory.Seconds()
}

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
	waiting := held.waiters[:0]
	for _, w := range held.waiters {
		if held.usable-held.spent-held.reserved >= w.most {
			held.reserved += w.most
			w.done <- nil
			continue
		}
		waiting = append(waiting, w)
	}
	held.waiters = waiting
}

// Configure takes a new configuration in.
func (h *Holder) Configure(configuration *site.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configuration = configuration
}

// Known reports whether the accounts have been read since the start.
func (h *Holder) Known() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

func (h *Holder) wake() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// Run draws, reports and returns tokens until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-h.kick:
		}
		h.update(ctx, false)
		if !sleep(ctx, drawGap) {
			return nil
		}
		timer.Reset(h.settings.Interval)
	}
}

// Return gives all shares back. No request may be in progress or come.
func (h *Holder) Return(ctx context.Context) error {
	for {
		err := h.update(ctx, true)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !errors.Is(err, platform.ErrMoved) && !sleep(ctx, drawGap) {
			return ctx.Err()
		}
	}
}

// update reads the accounts and writes those that the policy wants changed.
func (h *Holder) update(ctx context.Context, ending bool) error {
	ctx, cancel := context.WithTimeout(ctx, h.settings.CallTimeout)
	defer cancel()
	state, err := h.log.Newest(ctx, Topic, partition)
	if err != nil {
		h.count("allowance.read.failed")
		return h.note(fmt.Errorf("read accounts: %w", err))
	}
	planned, records := h.plan(state, ending)
	if len(records) == 0 {
		return h.note(nil)
	}
	_, err = h.log.AppendAt(ctx, Topic, partition, state.End, records)
	if err != nil {
		h.count("allowance.write.failed")
		if errors.Is(err, platform.ErrMoved) {
			h.count("allowance.write.moved")
			h.wakeIfWaiting()
		}
		return h.note(fmt.Errorf("write accounts: %w", err))
	}
	h.adopt(planned)
	return h.note(nil)
}

// wakeIfWaiting asks for another update at once if a request waits.
func (h *Holder) wakeIfWaiting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.teams {
		if len(held.waiters) > 0 {
			h.wake()
			return
		}
	}
}

// plan decides on every team's account. Tokens that are returned are not used from now on, whatever becomes of the write.
func (h *Holder) plan(state platform.KeyedState, ending bool) (map[string]Account, []platform.KeyedRecord) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.configuration == nil {
		return nil, nil
	}
	accounts := h.decode(state, h.configuration.Teams)
	planned := make(map[string]Account)
	var records []platform.KeyedRecord
	for i := range h.configuration.Teams {
		team := &h.configuration.Teams[i]
		if !team.HasPrepaid {
			continue
		}
		held := h.holdingLocked(team.Name)
		account, readable := accounts[team.Name]
		if !readable {
			continue
		}
		held.account = account
		held.meter(now, 0)
		wanted, write := h.settings.Policy.Plan(held.account, h.positionLocked(held, team, ending))
		if !write {
			continue
		}
		value, err := wanted.Encode()
		if err != nil {
			h.settings.Logger.WithField("Team", team.Name).WithError(err).Error("account not written")
			continue
		}
		held.usable = min(held.usable, wanted.Shares[h.settings.Holder].Granted)
		planned[team.Name] = wanted
		records = append(records, platform.KeyedRecord{Key: team.Name, Value: value})
	}
	h.known = true
	return planned, records
}

func (h *Holder) positionLocked(held *holding, team *site.Team, ending bool) Position {
	own := Position{
		Holder: h.settings.Holder, Instance: h.settings.Instance, Usable: held.usable, Spent: held.spent,
		Reserved: held.reserved, Rate: held.rate, Version: h.configuration.Version, Prepaid: team.Prepaid, Ending: ending,
	}
	for _, w := range held.waiters {
		own.Lacking = max(own.Lacking, held.spent+held.reserved+w.most-held.usable)
	}
	return own
}

// decode reads the accounts of all teams; a team without a record has an empty one. A record that can't be read is left
// out: nothing is drawn from such an account.
func (h *Holder) decode(state platform.KeyedState, teams []site.Team) map[string]Account {
	accounts := make(map[string]Account, len(teams))
	for _, team := range teams {
		accounts[team.Name] = Account{}
	}
	for _, r := range state.Records {
		a, err := DecodeAccount(r.Value)
		if err != nil {
			h.settings.Logger.WithField("Team", r.Key).WithError(err).Error("account can't be read")
			delete(accounts, r.Key)
			continue
		}
		accounts[r.Key] = a
	}
	return accounts
}

// adopt takes accounts that were written as in force.
func (h *Holder) adopt(planned map[string]Account) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for team, a := range planned {
		held := h.holdingLocked(team)
		held.account = a
		held.usable = a.Shares[h.settings.Holder].Granted
		h.serveWaitersLocked(held)
	}
}

// note logs when the platform is lost and when it is back.
func (h *Holder) note(err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.reached = time.Now()
	}
	return err
}

func (h *Holder) count(name string) {
	metrics.GetOrRegisterCounter(name, h.settings.Metrics).Inc(1)
}

// sleep waits and reports whether the context lasted.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
