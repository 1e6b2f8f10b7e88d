package allowance

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

const (
	// loanTimeout bounds a question for a loan: lendTime and the ways within a region.
	loanTimeout = lendTimeout + 50*time.Millisecond
	// silentLender is how long a router that did not answer, or that has nothing and can't draw, is not asked for loans.
	lenderBackoff = 2 * time.Second
	// mostLenders bounds the routers that are asked for one request.
	maxLenders = 3
	// directTime is how long a router draws a share of its own after no lender answered.
	directDrawTime = 2 * time.Second
	// aheadTime is the use for which a router borrows ahead if it has several requests of a team in that time: a loan for each
	// would cost it more than the requests.
	borrowAheadTime = 500 * time.Millisecond
)

// errNoLender reports that no router that holds shares of a team answers.
var errNoLender = errors.New("no router with shares of the team answered the loan request")

// lenders returns the routers from which this one borrows a team's tokens; none if it holds shares of its own.
func (h *Holder) lenders(team string) []string {
	if h.settings.Lenders == nil {
		return nil
	}
	return h.settings.Lenders.Holders(team)
}

// helpers returns the routers that may draw for this one if it can't reach the platform and holds too little.
func (h *Holder) fallbackLenders(team string, maxTokens int64) []string {
	if h.settings.Lenders == nil {
		return nil
	}
	h.mu.Lock()
	needed := h.partitionOf(team).platformUnreachableLocked(time.Now()) && h.holdingLocked(team).free(h.uptime()) < maxTokens
	h.mu.Unlock()
	if !needed {
		return nil
	}
	return h.settings.Lenders.Others(team)
}

// borrowFor reserves tokens of loans for a request. It returns errNoLender if nobody lends and this router may find tokens
// otherwise.
func (h *Holder) borrowFor(ctx context.Context, team string, maxTokens int64, lenders []string, fromHolders bool) error {
	reserved := h.reserveFree(team, maxTokens)
	if reserved == maxTokens {
		return nil
	}
	attempts := 0
	for _, instance := range lenders {
		if attempts == maxLenders || !h.isResponsive(instance) || ctx.Err() != nil {
			continue
		}
		attempts++
		loan, err := h.borrowFrom(ctx, instance, peer.LoanRequest{Team: team, Least: maxTokens - reserved, Patient: fromHolders})
		switch {
		case err != nil:
		case loan.Tokens > 0:
			return nil
		case loan.Spent:
			h.release(team, maxTokens, reserved)
			return ErrSpent
		case fromHolders:
			h.release(team, maxTokens, reserved)
			return ErrHeldElsewhere
		}
	}
	h.release(team, maxTokens, reserved)
	return errNoLender
}

// borrowFrom asks one router for a loan and reserves it. It goes on if the caller leaves, so that nothing gets lost.
func (h *Holder) borrowFrom(ctx context.Context, instance string, request peer.LoanRequest) (peer.Loan, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
	defer cancel()
	request.Wanted, request.Identifier = request.Least+h.borrowAhead(request.Team, request.Least), h.nextLoan.Add(1)
	loan, err := h.settings.Lenders.Borrow(ctx, instance, request)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.count(loanFailed)
		h.pendingVoids = append(h.pendingVoids, pendingVoid{
			instance: instance, team: request.Team, identifier: request.Identifier, since: time.Now()})
		h.unresponsiveUntil[instance] = time.Now().Add(lenderBackoff)
		h.settings.Logger.WithFields(log.Fields{fieldFrom: instance, fieldTeam: request.Team, fieldWanted: request.Least}).
			WithError(err).Warn("loan not had")
		return loan, err
	}
	if loan.CutOff && loan.Tokens == 0 && !request.Patient {
		h.unresponsiveUntil[instance] = time.Now().Add(lenderBackoff)
	}
	if !loan.CutOff {
		h.platformReachedAt = time.Now()
	}
	held := h.holdingLocked(request.Team)
	held.received += loan.Tokens
	held.borrowed += loan.Tokens
	if loan.Tokens > 0 {
		held.reserved += request.Least
		h.serveWaitersLocked(held)
	}
	return loan, nil
}

// borrowAhead returns what is asked for beyond a request.
func (h *Holder) borrowAhead(team string, needed int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	ahead := int64(h.holdingLocked(team).rate() * borrowAheadTime.Seconds())
	if ahead < 2*needed {
		return 0
	}
	return ahead
}

// mayLend reports whether a router is worth asking.
func (h *Holder) isResponsive(instance string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().After(h.unresponsiveUntil[instance])
}

// reserveFree reserves as much of a request as is free and returns that.
func (h *Holder) reserveFree(team string, maxTokens int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	now := time.Now()
	held.recordRequest(now, maxTokens)
	held.recordUse(now, maxTokens)
	h.updateMeanRequest(maxTokens)
	reserved := min(maxTokens, max(0, held.free(h.uptime())))
	held.reserved += reserved
	return reserved
}

// release gives back what was reserved for a request that can't be paid, and takes the request out of the team's use.
func (h *Holder) release(team string, maxTokens, reserved int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	held.reserved -= reserved
	held.recordUse(time.Now(), -maxTokens)
	h.serveWaitersLocked(held)
}

// drawItself makes the router hold a share of a team for a while.
func (h *Holder) drawDirectly(team string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holdingLocked(team).directDrawUntil = time.Now().Add(directDrawTime)
}
