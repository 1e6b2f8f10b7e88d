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
	borrowInterval = 60 * time.Millisecond
	// askTimeout bounds a question to another router: a handshake between regions and its work.
	peerTimeout = 150 * time.Millisecond
	// askedRouters bounds the routers that are asked in one round, those first that seem to hold most.
	maxAskedRouters = 4
	// refusedPause is how long a router that gave nothing is not asked again for the same team, unreachablePause how long
	// one that did not answer is not asked for anything: about when its entry in the roster is read again.
	refusalBackoff     = 300 * time.Millisecond
	unreachableBackoff = 2 * time.Second
	// askedTime is how long a router draws for another one that is cut off and asks again.
	peerDemandTime = 1 * time.Second
	// borrowAhead is the use for which more is asked than the waiting requests need, keepAhead the use for which a router
	// keeps what it holds.
	borrowReserveTime = 2 * time.Second
	keepReserveTime   = 1 * time.Second
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
	held.recordUse(time.Now(), 0)
	tokens := max(0, min(wanted, held.free(h.uptime())-int64(held.rate()*keepReserveTime.Seconds())))
	if tokens < wanted && held.usable-held.netUsed()-held.reserved > held.free(h.uptime()) {
		held.boundExceeded = true
		h.partitionOf(team).signalUpdate()
	}
	if tokens == 0 && cutOff && !h.leaving {
		// The other router asks again, when this one has drawn for it.
		now := time.Now()
		held.expectRetry(now, max(held.currentRetryDemand(now), wanted), peerDemandTime)
		h.partitionOf(team).signalUpdate()
	}
	if tokens == 0 {
		return 0
	}
	held.transferred += tokens
	h.settings.Logger.WithFields(log.Fields{
		fieldTo: from, fieldCutOff: cutOff, fieldTeam: team, fieldTokens: tokens, fieldWanted: wanted, "Free": held.free(h.uptime()),
	}).Info("tokens transferred")
	return tokens
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
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: tokens}).Info("tokens received unrequested")
	return true
}

// bequest is what a router that ends hands to another one.
type finalTransfer struct {
	team      string
	tokens    int64
	instances []string
}

// bequeath hands what could not be returned to other routers. The tokens are subtracted first: after an error nobody
// uses them.
func (h *Holder) transferUnreturned(ctx context.Context) {
	for _, transfer := range h.prepareFinalTransfers() {
		fields := log.Fields{fieldTeam: transfer.team, fieldTokens: transfer.tokens}
		if len(transfer.instances) == 0 {
			h.settings.Logger.WithFields(fields).Warn("tokens not transferred before shutdown")
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, peerTimeout)
		err := h.settings.Lenders.Hand(callContext, transfer.instances[0], transfer.team, transfer.tokens)
		cancel()
		fields[fieldTo] = transfer.instances[0]
		if err != nil {
			h.settings.Logger.WithFields(fields).WithError(err).Warn("tokens not transferred before shutdown")
			continue
		}
		h.settings.Logger.WithFields(fields).Info("tokens transferred")
	}
}

func (h *Holder) prepareFinalTransfers() []finalTransfer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var transfers []finalTransfer
	for team, held := range h.teams {
		free := held.free(h.uptime())
		if free <= 0 {
			continue
		}
		held.transferred += free
		transfers = append(transfers, finalTransfer{team: team, tokens: free, instances: h.holdersByBalanceLocked(held)})
	}
	return transfers
}

func (h *Holder) signalBorrower() {
	select {
	case h.borrowSignal <- struct{}{}:
	default:
	}
}

// want is what requests of a team wait for, and the routers that may have it.
type shortfall struct {
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
	refusedAt := make(map[string]time.Time)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.borrowSignal:
		}
		if !clock.Sleep(ctx, borrowInterval) {
			return nil
		}
		shortfalls, hasWaiters := h.shortfalls()
		for _, s := range shortfalls {
			h.requestTransfers(ctx, s, refusedAt)
		}
		if hasWaiters {
			h.signalBorrower()
		}
	}
}

// wants lists what other routers may be asked for, and reports whether requests wait.
func (h *Holder) shortfalls() ([]shortfall, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var shortfalls []shortfall
	hasWaiters := false
	for team, held := range h.teams {
		if len(held.waiters) == 0 {
			continue
		}
		hasWaiters = true
		s := shortfall{team: team, tokens: -held.free(h.uptime()), cutOff: h.partitionOf(team).platformUnreachableLocked(time.Now())}
		for _, waiting := range held.waiters {
			s.tokens += waiting.maxTokens
		}
		if s.cutOff {
			s.tokens += int64(held.rate() * borrowReserveTime.Seconds())
		} else if held.account.Available() >= s.tokens {
			// The next write draws them.
			continue
		}
		s.instances = h.holdersByBalanceLocked(held)
		shortfalls = append(shortfalls, s)
	}
	return shortfalls, hasWaiters
}

// lendersLocked returns the instances that held most of a team's tokens as far as is known.
func (h *Holder) holdersByBalanceLocked(held *holding) []string {
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
func (h *Holder) requestTransfers(ctx context.Context, s shortfall, refusedAt map[string]time.Time) {
	attempts := 0
	for _, instance := range s.instances {
		if s.tokens <= 0 || attempts >= maxAskedRouters {
			return
		}
		key := instance + "/" + s.team
		if time.Since(refusedAt[key]) < refusalBackoff || time.Since(refusedAt[instance]) < unreachableBackoff {
			continue
		}
		attempts++
		received, err := h.requestTransfer(ctx, instance, s)
		if err != nil {
			refusedAt[instance] = time.Now()
		}
		if received == 0 {
			refusedAt[key] = time.Now()
			// One router that draws is enough.
			s.cutOff = s.cutOff && err != nil
		}
		s.tokens -= received
	}
}

func (h *Holder) requestTransfer(ctx context.Context, instance string, s shortfall) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	received, err := h.settings.Lenders.Ask(ctx, instance, s.team, s.tokens, s.cutOff)
	fields := log.Fields{fieldFrom: instance, fieldTeam: s.team, fieldWanted: s.tokens, fieldTokens: received}
	if err != nil {
		h.count(borrowFailed)
		h.settings.Logger.WithFields(fields).WithError(err).Warn("tokens not handed over")
		return 0, err
	}
	h.settings.Logger.WithFields(fields).Info("tokens received")
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(s.team)
	held.received += received
	h.serveWaitersLocked(held)
	return received, nil
}
