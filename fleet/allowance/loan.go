package allowance

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

const (
	// loanTimeout bounds a loan request: the lender's lendTimeout and the network round trip within a region.
	loanTimeout = lendTimeout + 50*time.Millisecond
	// lenderBackoff is how long a router is not asked for loans after it did not answer, or after it had no tokens as a
	// fallback lender and could not draw any.
	lenderBackoff = 2 * time.Second
	// retrySoonInterval is the time between two requests to a lender that may lend soon.
	retrySoonInterval = 50 * time.Millisecond
	// maxLenders is the maximum number of routers that are asked for a loan per request.
	maxLenders = 3
	// directDrawTime is how long a router draws its own share of a team after no lender answered.
	directDrawTime = 2 * time.Second
	// borrowAheadTime is how long the tokens borrowed in advance last at the current rate of use. A router borrows in
	// advance if it has several requests of a team in that time, because a loan per request would cost the router more
	// than the requests do.
	borrowAheadTime = 500 * time.Millisecond
)

// errNoLender reports that no router that holds shares of a team answered.
var errNoLender = errors.New("no router with shares of the team answered the loan request")

// lenders returns the instances from which this router borrows a team's tokens; none if this router holds a share
// itself.
func (h *Holder) lenders(team string) []string {
	if h.settings.Lenders == nil {
		return nil
	}
	return h.settings.Lenders.ShareHolders(team)
}

// fallbackLenders returns the instances that may lend to this router if it cannot reach the platform and has too few
// free tokens for a request.
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
	return h.settings.Lenders.FallbackLenders(team)
}

// borrowFor reserves free and borrowed tokens for a request. It returns errNoLender if no router lends and this router
// should try other sources. fromHolders is true if the lenders are the assigned holders of the team's shares, whose
// refusal is final.
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
		loan, err := h.borrowWhenOpen(ctx, instance, peer.LoanRequest{Team: team, Minimum: maxTokens - reserved, MayWait: fromHolders})
		switch {
		case err != nil:
		case loan.Tokens > 0:
			return nil
		case loan.Spent:
			h.release(team, maxTokens, reserved)
			return ErrExhausted
		case fromHolders:
			h.release(team, maxTokens, reserved)
			return ErrHeldElsewhere
		}
	}
	h.release(team, maxTokens, reserved)
	return errNoLender
}

// borrowWhenOpen requests a loan from one router, and again while that router's spending bound allows more soon.
func (h *Holder) borrowWhenOpen(ctx context.Context, instance string, request peer.LoanRequest) (peer.Loan, error) {
	for start := time.Now(); ; {
		loan, err := h.borrowFrom(ctx, instance, request)
		if !errors.Is(err, peer.ErrRetrySoon) || time.Since(start) > boundDelay || !clock.Sleep(ctx, retrySoonInterval) {
			return loan, err
		}
	}
}

// borrowFrom requests a loan from one router and reserves the borrowed tokens. It ignores cancellation by the caller,
// so that a loan already granted is not lost.
func (h *Holder) borrowFrom(ctx context.Context, instance string, request peer.LoanRequest) (peer.Loan, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
	defer cancel()
	request.Maximum, request.Identifier = request.Minimum+h.borrowAhead(request.Team, request.Minimum), h.lastLoanIdentifier.Add(1)
	loan, err := h.settings.Lenders.Borrow(ctx, instance, request)
	if errors.Is(err, peer.ErrRetrySoon) {
		return loan, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.count(loanFailed)
		h.pendingVoids = append(h.pendingVoids, pendingVoid{
			instance: instance, team: request.Team, identifier: request.Identifier, since: time.Now()})
		h.unresponsiveUntil[instance] = time.Now().Add(lenderBackoff)
		h.settings.Logger.WithFields(log.Fields{fieldFrom: instance, fieldTeam: request.Team, fieldWanted: request.Minimum}).
			WithError(err).Warn("loan not had")
		return loan, err
	}
	if loan.CutOff && loan.Tokens == 0 && !request.MayWait {
		h.unresponsiveUntil[instance] = time.Now().Add(lenderBackoff)
	}
	if !loan.CutOff {
		h.platformReachedAt = time.Now()
	}
	teamHolding := h.holdingLocked(request.Team)
	teamHolding.received += loan.Tokens
	teamHolding.borrowed += loan.Tokens
	if loan.Tokens > 0 {
		teamHolding.reserved += request.Minimum
		h.serveWaitersLocked(teamHolding)
	}
	return loan, nil
}

// borrowAhead returns the tokens to borrow in addition to those that a request needs; zero if the use during
// borrowAheadTime is less than two such requests.
func (h *Holder) borrowAhead(team string, needed int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	ahead := int64(h.holdingLocked(team).rate() * borrowAheadTime.Seconds())
	if ahead < 2*needed {
		return 0
	}
	return ahead
}

// isResponsive reports whether the router on the instance is outside its backoff period and may be asked for a loan.
func (h *Holder) isResponsive(instance string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().After(h.unresponsiveUntil[instance])
}

// reserveFree reserves free tokens up to the size of a request and returns the reserved amount.
func (h *Holder) reserveFree(team string, maxTokens int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding := h.holdingLocked(team)
	now := time.Now()
	teamHolding.recordRequest(now, maxTokens)
	teamHolding.recordUse(now, maxTokens)
	h.updateMeanRequest(maxTokens)
	reserved := min(maxTokens, max(0, teamHolding.free(h.uptime())))
	teamHolding.reserved += reserved
	return reserved
}

// release cancels the reservation of a request that cannot be paid and removes the request from the team's rate of use.
func (h *Holder) release(team string, maxTokens, reserved int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding := h.holdingLocked(team)
	teamHolding.reserved -= reserved
	teamHolding.recordUse(time.Now(), -maxTokens)
	h.serveWaitersLocked(teamHolding)
}

// drawDirectly lets this router draw its own share of a team for directDrawTime.
func (h *Holder) drawDirectly(team string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holdingLocked(team).directDrawUntil = time.Now().Add(directDrawTime)
}
