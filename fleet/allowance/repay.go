package allowance

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

const (
	// repayPause lies between two looks at what is left of loans, repayIdle is how long a team is idle before it is repaid:
	// some times the pause between two requests of a team that one router of a large fleet sees.
	repayInterval = 1 * time.Second
	repayIdleTime = 2 * time.Second
)

// void is a loan that was not had and that its lender may have given.
type pendingVoid struct {
	instance, team string
	identifier     uint64
	since          time.Time
}

// voidLoans tells lenders of the loans that were not had. Those that do not answer are told again for a while.
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

// repayment is what is left of the loans for a team that is idle here.
type repayment struct {
	team    string
	tokens  int64
	lenders []string
}

// runRepayer repays what is left of loans, voids those that were not had and forgets old ones until the context ends.
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

// repay hands back what is left of loans for teams that were idle for some time. Tokens are subtracted before they are
// sent: an answer that is lost leaves them unused.
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
	var due []repayment
	now := time.Now()
	for team, held := range h.teams {
		unused := min(held.borrowed, held.free(h.uptime()))
		if unused <= 0 || len(held.waiters) > 0 || now.Sub(held.averageUpdated) < idle {
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
		held.received -= unused
		held.borrowed -= unused
		due = append(due, r)
	}
	return due
}
