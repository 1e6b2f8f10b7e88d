package allowance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"
)

const (
	// borrowAfter is how long a request waits for a draw from the account before other routers are asked: a read and a
	// write between regions.
	borrowAfter = 60 * time.Millisecond
	// askTimeout bounds a question to another router: a handshake between regions and its work.
	askTimeout = 150 * time.Millisecond
	// askedRouters bounds the routers that are asked in one round, those first that seem to hold most.
	askedRouters = 4
	// refusedPause is how long a router that gave nothing is not asked again.
	refusedPause = 300 * time.Millisecond
	// borrowAhead is the use for which more is asked than the waiting requests need, keepAhead the use for which a router
	// keeps what it holds.
	borrowAhead = 2 * time.Second
	keepAhead   = 1 * time.Second
)

// Lenders asks other routers for tokens.
type Lenders interface {
	// Ask returns how many of a team's tokens the router on the instance handed over. After an error it may have handed
	// over tokens that nobody uses.
	Ask(ctx context.Context, instance, team string, wanted int64) (int64, error)
}

// Give hands tokens to another router that lacks them and returns how many. They are subtracted before they are sent: an
// answer that is lost leaves them unused until the account is settled.
func (h *Holder) Give(from, team string, wanted int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.teams[team]
	if !ok || len(held.waiters) > 0 {
		return 0
	}
	held.meter(time.Now(), 0)
	given := min(wanted, held.free()-int64(held.rate*keepAhead.Seconds()))
	if given <= 0 {
		return 0
	}
	held.given += given
	h.settings.Logger.WithFields(log.Fields{
		"To": from, "Team": team, "Tokens": given, "Wanted": wanted, "Free": held.free(),
	}).Info("tokens handed over")
	return given
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
		if time.Since(h.lastReached()) < h.settings.Interval+h.settings.CallTimeout {
			sleep(ctx, borrowAfter)
		}
		for _, w := range h.wants() {
			h.borrow(ctx, w, refused)
		}
	}
}

func (h *Holder) lastReached() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reached
}

// wants lists what requests wait for.
func (h *Holder) wants() []want {
	h.mu.Lock()
	defer h.mu.Unlock()
	var wants []want
	for team, held := range h.teams {
		if len(held.waiters) == 0 {
			continue
		}
		w := want{team: team, tokens: int64(held.rate*borrowAhead.Seconds()) - held.free()}
		for _, waiting := range held.waiters {
			w.tokens += waiting.most
		}
		w.instances = h.lendersLocked(held)
		wants = append(wants, w)
	}
	return wants
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
		if time.Since(refused[key]) < refusedPause {
			continue
		}
		asked++
		got, err := h.ask(ctx, instance, w)
		if err != nil || got == 0 {
			refused[key] = time.Now()
		}
		w.tokens -= got
	}
}

func (h *Holder) ask(ctx context.Context, instance string, w want) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	got, err := h.settings.Lenders.Ask(ctx, instance, w.team, w.tokens)
	fields := log.Fields{"From": instance, "Team": w.team, "Wanted": w.tokens, "Tokens": got}
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
