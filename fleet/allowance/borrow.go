package allowance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

const (
	// borrowPause lies between two looks at requests that wait: a draw from the account takes a read and a write between
	// regions.
	borrowPause = 60 * time.Millisecond
	// askTimeout bounds a question to another router: a handshake between regions and its work.
	askTimeout = 150 * time.Millisecond
	// askedRouters bounds the routers that are asked in one round, those first that seem to hold most.
	askedRouters = 4
	// refusedPause is how long a router that gave nothing is not asked again for the same team, unreachablePause how long
	// one that did not answer is not asked for anything: about when its entry in the roster is read again.
	refusedPause     = 300 * time.Millisecond
	unreachablePause = 2 * time.Second
	// askedTime is how long a router draws for another one that is cut off and asks again.
	askedTime = 1 * time.Second
	// borrowAhead is the use for which more is asked than the waiting requests need, keepAhead the use for which a router
	// keeps what it holds.
	borrowAhead = 2 * time.Second
	keepAhead   = 1 * time.Second
)

// Lenders asks other routers for tokens and hands tokens to them.
type Lenders interface {
	// Hand hands tokens to the router on the instance. After an error it may or may not have them.
	Hand(ctx context.Context, instance, team string, tokens int64) error
	// Ask returns how many of a team's tokens the router on the instance handed over. After an error it may have handed
	// over tokens that nobody uses. A router that is cut off from the platform lets the other one draw for it.
	Ask(ctx context.Context, instance, team string, wanted int64, cutOff bool) (int64, error)
	// Holders returns the instances that hold a team's shares for this router, the first to ask first; none if this router
	// holds shares itself.
	Holders(team string) []string
	// Others returns the other instances that may lend to a router which can't reach the platform, the first to ask first.
	Others(team string) []string
	// Borrow asks the router on the instance for a loan. After an error it may have lent tokens that nobody uses; Void gives
	// them back, also if it is called several times or before the loan is asked for.
	Borrow(ctx context.Context, instance string, r peer.LoanRequest) (peer.Loan, error)
	Void(ctx context.Context, instance, team string, identifier uint64) error
	// Repay hands back what was not used of loans. After an error the other router may or may not have it.
	Repay(ctx context.Context, instance, team string, tokens int64) error
}

// Give hands tokens to another router that lacks them and returns how many. They are subtracted before they are sent: an
// answer that is lost leaves them unused until the account is settled.
func (h *Holder) Give(from, team string, wanted int64, cutOff bool) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.teams[team]
	if !ok || len(held.waiters) > 0 {
		return 0
	}
	held.meter(time.Now(), 0)
	given := max(0, min(wanted, held.free(h.uptime())-int64(held.rate()*keepAhead.Seconds())))
	if given < wanted && held.usable-held.net()-held.reserved > held.free(h.uptime()) {
		held.pressed = true
		h.bookOf(team).wake()
	}
	if given == 0 && cutOff && !h.leaving {
		// The other router asks again, when this one has drawn for it.
		now := time.Now()
		held.keepFor(now, max(held.keptFor(now), wanted), askedTime)
		h.bookOf(team).wake()
	}
	if given == 0 {
		return 0
	}
	held.given += given
	h.settings.Logger.WithFields(log.Fields{
		fieldTo: from, fieldCutOff: cutOff, fieldTeam: team, fieldTokens: given, fieldWanted: wanted, "Free": held.free(h.uptime()),
	}).Info("tokens handed over")
	return given
}

// Take adds tokens that another router handed over unasked. A router that is leaving takes none.
func (h *Holder) Take(from, team string, tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return false
	}
	held := h.holdingLocked(team)
	held.received += tokens
	h.serveWaitersLocked(held)
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: tokens}).Info("tokens taken over")
	return true
}

// bequest is what a router that ends hands to another one.
type bequest struct {
	team      string
	tokens    int64
	instances []string
}

// bequeath hands what could not be returned to other routers. The tokens are subtracted first: after an error nobody
// uses them.
func (h *Holder) bequeath(ctx context.Context) {
	for _, b := range h.bequests() {
		fields := log.Fields{fieldTeam: b.team, fieldTokens: b.tokens}
		if len(b.instances) == 0 {
			h.settings.Logger.WithFields(fields).Warn("tokens left behind")
			continue
		}
		one, cancel := context.WithTimeout(ctx, askTimeout)
		err := h.settings.Lenders.Hand(one, b.instances[0], b.team, b.tokens)
		cancel()
		fields[fieldTo] = b.instances[0]
		if err != nil {
			h.settings.Logger.WithFields(fields).WithError(err).Warn("tokens left behind")
			continue
		}
		h.settings.Logger.WithFields(fields).Info("tokens handed over")
	}
}

func (h *Holder) bequests() []bequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var bequests []bequest
	for team, held := range h.teams {
		free := held.free(h.uptime())
		if free <= 0 {
			continue
		}
		held.given += free
		bequests = append(bequests, bequest{team: team, tokens: free, instances: h.lendersLocked(held)})
	}
	return bequests
}

func (h *Holder) wakeBorrower() {
	select {
	case h.lacking <- struct{}{}:
	default:
	}
}

// want is what requests of a team wait for, and the routers that may have it.
type want struct {
	team      string
	tokens    int64
	instances []string
	// cutOff says that the account can't be read.
	cutOff bool
}

// runBorrower asks other routers for what waiting requests lack and the platform doesn't give in time.
func (h *Holder) runBorrower(ctx context.Context) error {
	if h.settings.Lenders == nil {
		return nil
	}
	refused := make(map[string]time.Time)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.lacking:
		}
		if !clock.Sleep(ctx, borrowPause) {
			return nil
		}
		wants, waiting := h.wants()
		for _, w := range wants {
			h.borrow(ctx, w, refused)
		}
		if waiting {
			h.wakeBorrower()
		}
	}
}

// wants lists what other routers may be asked for, and reports whether requests wait.
func (h *Holder) wants() ([]want, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var wants []want
	waits := false
	for team, held := range h.teams {
		if len(held.waiters) == 0 {
			continue
		}
		waits = true
		w := want{team: team, tokens: -held.free(h.uptime()), cutOff: h.bookOf(team).stuckLocked(time.Now())}
		for _, waiting := range held.waiters {
			w.tokens += waiting.most
		}
		if w.cutOff {
			w.tokens += int64(held.rate() * borrowAhead.Seconds())
		} else if held.account.Available() >= w.tokens {
			// The next write draws them.
			continue
		}
		w.instances = h.lendersLocked(held)
		wants = append(wants, w)
	}
	return wants, waits
}

// lendersLocked returns the instances that held most of a team's tokens as far as is known.
func (h *Holder) lendersLocked(held *holding) []string {
	var shares []Share
	for holder, s := range held.account.Shares {
		if holder != h.settings.Holder {
			shares = append(shares, s)
		}
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Granted-b.Spent, a.Granted-a.Spent), cmp.Compare(a.Instance, b.Instance))
	})
	instances := make([]string, 0, len(shares))
	for _, s := range shares {
		instances = append(instances, s.Instance)
	}
	return instances
}

// borrow asks one router after the other until the want is met.
func (h *Holder) borrow(ctx context.Context, w want, refused map[string]time.Time) {
	asked := 0
	for _, instance := range w.instances {
		if w.tokens <= 0 || asked >= askedRouters {
			return
		}
		key := instance + "/" + w.team
		if time.Since(refused[key]) < refusedPause || time.Since(refused[instance]) < unreachablePause {
			continue
		}
		asked++
		got, err := h.ask(ctx, instance, w)
		if err != nil {
			refused[instance] = time.Now()
		}
		if got == 0 {
			refused[key] = time.Now()
			// One router that draws is enough.
			w.cutOff = w.cutOff && err != nil
		}
		w.tokens -= got
	}
}

func (h *Holder) ask(ctx context.Context, instance string, w want) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	got, err := h.settings.Lenders.Ask(ctx, instance, w.team, w.tokens, w.cutOff)
	fields := log.Fields{fieldFrom: instance, fieldTeam: w.team, fieldWanted: w.tokens, fieldTokens: got}
	if err != nil {
		h.count(borrowFailed)
		h.settings.Logger.WithFields(fields).WithError(err).Warn("tokens not handed over")
		return 0, err
	}
	h.settings.Logger.WithFields(fields).Info("tokens received")
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(w.team)
	held.received += got
	h.serveWaitersLocked(held)
	return got, nil
}
