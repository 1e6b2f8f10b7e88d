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
	// borrowInterval is the time between two checks for waiting requests that need tokens of other routers. It leaves
	// time for a draw from the account, which takes a read and a write between regions.
	borrowInterval = 60 * time.Millisecond
	// peerTimeout bounds a call to another router: a handshake between regions and the processing time.
	peerTimeout = 150 * time.Millisecond
	// maxAskedRouters is the maximum number of routers that are asked for a transfer in one round. Routers with the
	// largest known balance are asked first.
	maxAskedRouters = 4
	// refusalBackoff is how long a router that transferred nothing is not asked again for the same team.
	// unreachableBackoff is how long a router that did not answer is not asked for any team: about the time until its
	// roster entry is read again.
	refusalBackoff     = 300 * time.Millisecond
	unreachableBackoff = 2 * time.Second
	// peerDemandTime is how long a router draws for another router that is cut off from the platform and will ask
	// again.
	peerDemandTime = 1 * time.Second
	// borrowReserveTime is how long the tokens that a router requests beyond the need of its waiting requests last at
	// its current rate of use. keepReserveTime is how long the tokens that a router keeps last when another one asks it
	// for a transfer.
	borrowReserveTime = 2 * time.Second
	keepReserveTime   = 1 * time.Second
)

// Lenders sends requests for loans and transfers of tokens to other routers.
type Lenders interface {
	// Transfer sends tokens to the router on the instance. After an error the receiver may or may not have applied the
	// transfer.
	Transfer(ctx context.Context, instance, team string, tokens int64) error
	// RequestTransfer requests a transfer of a team's tokens from the router on the instance and returns the
	// transferred amount. After an error, tokens that were already subtracted there may be lost to both routers. cutOff
	// reports that the requesting router cannot reach the platform and asks the other one to draw for it.
	RequestTransfer(ctx context.Context, instance, team string, wanted int64, cutOff bool) (int64, error)
	// ShareHolders returns the instances that hold a team's shares on behalf of this router, in the order in which to
	// ask them; none if this router holds a share itself.
	ShareHolders(team string) []string
	// FallbackLenders returns the other instances that may lend to a router that cannot reach the platform, in the
	// order in which to ask them.
	FallbackLenders(team string) []string
	// Borrow requests a loan from the router on the instance. After an error the loan may have been granted; Void then
	// returns its tokens to the lender. Void is idempotent and may arrive before the loan request.
	Borrow(ctx context.Context, instance string, r peer.LoanRequest) (peer.Loan, error)
	Void(ctx context.Context, instance, team string, identifier uint64) error
	// Repay returns unused tokens of loans to a lender. After an error the lender may or may not have applied the
	// repayment.
	Repay(ctx context.Context, instance, team string, tokens int64) error
}

// TransferOut transfers up to the wanted number of tokens to another router and returns the transferred amount. The
// tokens are subtracted before the answer is sent: if the answer is lost, they remain unused until the account is
// settled.
func (h *Holder) TransferOut(from, team string, wanted int64, cutOff bool) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding, ok := h.teams[team]
	if !ok || len(teamHolding.waiters) > 0 {
		return 0
	}
	teamHolding.recordUse(time.Now(), 0)
	tokens := max(0, min(wanted, teamHolding.free(h.uptime())-int64(teamHolding.rate()*keepReserveTime.Seconds())))
	if tokens < wanted && teamHolding.unused() > teamHolding.free(h.uptime()) {
		teamHolding.boundExceeded = true
		h.partitionOf(team).signalUpdate()
	}
	if tokens == 0 && cutOff && !h.leaving {
		// The other router asks again once this router has drawn tokens for it.
		now := time.Now()
		teamHolding.expectRetry(now, max(teamHolding.currentRetryDemand(now), wanted), peerDemandTime)
		h.partitionOf(team).signalUpdate()
	}
	if tokens == 0 {
		return 0
	}
	teamHolding.transferred += tokens
	h.settings.Logger.WithFields(log.Fields{
		fieldTo: from, fieldCutOff: cutOff, fieldTeam: team, fieldTokens: tokens, fieldWanted: wanted, "Free": teamHolding.free(h.uptime()),
	}).Info("tokens transferred")
	return tokens
}

// AcceptTransfer adds tokens that another router transferred without being asked. A leaving router rejects the
// transfer.
func (h *Holder) AcceptTransfer(from, team string, tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return false
	}
	teamHolding := h.holdingLocked(team)
	teamHolding.received += tokens
	h.serveWaitersLocked(teamHolding)
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: tokens}).Info("tokens received unrequested")
	return true
}

// finalTransfer is the transfer of a team's tokens by a router that shuts down, with the candidate receivers.
type finalTransfer struct {
	team      string
	tokens    int64
	instances []string
}

// transferUnreturned transfers to other routers the tokens that could not be returned to the accounts. The tokens are
// subtracted before the call: a failed call may lose them, but they are never usable at two routers.
func (h *Holder) transferUnreturned(ctx context.Context) {
	for _, transfer := range h.prepareFinalTransfers() {
		fields := log.Fields{fieldTeam: transfer.team, fieldTokens: transfer.tokens}
		if len(transfer.instances) == 0 {
			h.settings.Logger.WithFields(fields).Warn("tokens not transferred before shutdown")
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, peerTimeout)
		err := h.settings.Lenders.Transfer(callContext, transfer.instances[0], transfer.team, transfer.tokens)
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
	for team, teamHolding := range h.teams {
		free := teamHolding.free(h.uptime())
		if free <= 0 {
			continue
		}
		teamHolding.transferred += free
		transfers = append(transfers, finalTransfer{team: team, tokens: free, instances: h.holdersByBalanceLocked(teamHolding)})
	}
	return transfers
}

func (h *Holder) signalBorrower() {
	select {
	case h.borrowSignal <- struct{}{}:
	default:
	}
}

// shortfall is the amount in tokens that the waiting requests of a team need beyond the free tokens, with the instances
// that may hold tokens.
type shortfall struct {
	team      string
	tokens    int64
	instances []string
	// cutOff is true if the platform is unreachable for the team's account; the shortfall then includes the use during
	// borrowReserveTime.
	cutOff bool
}

// runBorrower requests transfers from other routers for waiting requests that the platform did not serve in time.
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

// shortfalls returns the amounts to request from other routers, and whether any requests wait.
func (h *Holder) shortfalls() ([]shortfall, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var shortfalls []shortfall
	hasWaiters := false
	for team, teamHolding := range h.teams {
		if len(teamHolding.waiters) == 0 {
			continue
		}
		hasWaiters = true
		s := shortfall{team: team, tokens: -teamHolding.free(h.uptime()), cutOff: h.partitionOf(team).platformUnreachableLocked(time.Now())}
		for _, waiting := range teamHolding.waiters {
			s.tokens += waiting.maxTokens
		}
		if s.cutOff {
			s.tokens += int64(teamHolding.rate() * borrowReserveTime.Seconds())
		} else if teamHolding.account.Available() >= s.tokens {
			// The next write to the account draws the missing tokens.
			continue
		}
		s.instances = h.holdersByBalanceLocked(teamHolding)
		shortfalls = append(shortfalls, s)
	}
	return shortfalls, hasWaiters
}

// holdersByBalanceLocked returns the instances of the other holders, sorted by the last known balance in descending
// order.
func (h *Holder) holdersByBalanceLocked(teamHolding *holding) []string {
	var shares []Share
	for holder, s := range teamHolding.account.Shares {
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

// requestTransfers asks one router after the other for tokens until the shortfall is covered.
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
			// A router that answers a cut-off router without tokens draws for it; a second router need not do so.
			s.cutOff = s.cutOff && err != nil
		}
		s.tokens -= received
	}
}

func (h *Holder) requestTransfer(ctx context.Context, instance string, s shortfall) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	received, err := h.settings.Lenders.RequestTransfer(ctx, instance, s.team, s.tokens, s.cutOff)
	fields := log.Fields{fieldFrom: instance, fieldTeam: s.team, fieldWanted: s.tokens, fieldTokens: received}
	if err != nil {
		h.count(borrowFailed)
		h.settings.Logger.WithFields(fields).WithError(err).Warn("tokens not handed over")
		return 0, err
	}
	h.settings.Logger.WithFields(fields).Info("tokens received")
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding := h.holdingLocked(s.team)
	teamHolding.received += received
	h.serveWaitersLocked(teamHolding)
	return received, nil
}
