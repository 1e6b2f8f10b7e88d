package allowance

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

const (
	// repayInterval is the time between two checks for unused tokens of loans. repayIdleTime is how long a team must be
	// idle before its loans are repaid: several times the usual interval between requests of a team at one router of a
	// large fleet.
	repayInterval = 1 * time.Second
	repayIdleTime = 2 * time.Second
)

// pendingVoid is a failed loan request whose lender may have granted the loan and must be asked to void it.
type pendingVoid struct {
	instance, team string
	identifier     uint64
	since          time.Time
}

// sendVoids asks lenders to void loans that did not arrive. Lenders that do not answer are asked again for half of
// loanRecordLifetime.
func (h *Holder) sendVoids(ctx context.Context) {
	h.mu.Lock()
	voids := h.pendingVoids
	h.pendingVoids = nil
	h.mu.Unlock()
	var unsent []pendingVoid
	unresponsive := make(map[string]bool)
	for _, void := range voids {
		if !unresponsive[void.instance] && h.sendVoid(ctx, void) == nil {
			continue
		}
		unresponsive[void.instance] = true
		if time.Since(void.since) < loanRecordLifetime/2 {
			unsent = append(unsent, void)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingVoids = append(h.pendingVoids, unsent...)
}

func (h *Holder) sendVoid(ctx context.Context, void pendingVoid) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return h.settings.Lenders.Void(ctx, void.instance, void.team, void.identifier)
}

// repayment is the unused amount in tokens of the loans for a team that is idle at this router, with the lenders to
// repay.
type repayment struct {
	team    string
	tokens  int64
	lenders []string
}

// runRepayer repays unused loans, voids loans that did not arrive and expires old loan records until the context ends.
func (h *Holder) runRepayer(ctx context.Context) error {
	if h.settings.Lenders == nil {
		return nil
	}
	for clock.Sleep(ctx, repayInterval) {
		h.sendVoids(ctx)
		h.repay(ctx, repayIdleTime)
		h.expireLoanRecords(time.Now())
	}
	return nil
}

// repay returns unused loans of teams that were idle for the given time. The tokens are subtracted before the call: a
// failed call may lose them, but they are never usable at both routers.
func (h *Holder) repay(ctx context.Context, idle time.Duration) {
	for _, r := range h.prepareRepayments(idle) {
		fields := log.Fields{fieldTeam: r.team, fieldTokens: r.tokens, fieldTo: r.lenders[0]}
		callContext, cancel := context.WithTimeout(ctx, peerTimeout)
		err := h.settings.Lenders.Repay(callContext, r.lenders[0], r.team, r.tokens)
		cancel()
		if err != nil {
			h.settings.Logger.WithFields(fields).WithError(err).Warn("loans not repaid")
			continue
		}
		h.settings.Logger.WithFields(fields).Info("loans repaid")
	}
}

func (h *Holder) prepareRepayments(idle time.Duration) []repayment {
	h.mu.Lock()
	defer h.mu.Unlock()
	var repayments []repayment
	now := time.Now()
	for team, teamHolding := range h.teams {
		unused := min(teamHolding.borrowed, teamHolding.free(h.uptime()))
		if unused <= 0 || len(teamHolding.waiters) > 0 || now.Sub(teamHolding.averageUpdated) < idle {
			continue
		}
		r := repayment{team: team, tokens: unused}
		for _, instance := range h.lenders(team) {
			if !h.unresponsiveUntil[instance].After(now) {
				r.lenders = append(r.lenders, instance)
			}
		}
		if len(r.lenders) == 0 {
			continue
		}
		teamHolding.received -= unused
		teamHolding.borrowed -= unused
		repayments = append(repayments, r)
	}
	return repayments
}
