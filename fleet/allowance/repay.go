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
	repayPause = 1 * time.Second
	repayIdle  = 2 * time.Second
)

// void is a loan that was not had and that its lender may have given.
type void struct {
	instance, team string
	identifier     uint64
	since          time.Time
}

// voidLoans tells lenders of the loans that were not had. Those that do not answer are told again for a while.
func (h *Holder) voidLoans(ctx context.Context) {
	h.mu.Lock()
	voids := h.voids
	h.voids = nil
	h.mu.Unlock()
	var again []void
	silent := make(map[string]bool)
	for _, v := range voids {
		if !silent[v.instance] && h.tellVoid(ctx, v) == nil {
			continue
		}
		silent[v.instance] = true
		if time.Since(v.since) < loanMemory/2 {
			again = append(again, v)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.voids = append(h.voids, again...)
}

func (h *Holder) tellVoid(ctx context.Context, v void) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return h.settings.Lenders.Void(ctx, v.instance, v.team, v.identifier)
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
	for clock.Sleep(ctx, repayPause) {
		h.voidLoans(ctx)
		h.repay(ctx, repayIdle)
		h.forgetLoans(time.Now())
	}
	return nil
}

// repay hands back what is left of loans for teams that were idle for some time. Tokens are subtracted before they are
// sent: an answer that is lost leaves them unused.
func (h *Holder) repay(ctx context.Context, idle time.Duration) {
	for _, r := range h.repayments(idle) {
		fields := log.Fields{fieldTeam: r.team, fieldTokens: r.tokens, fieldTo: r.lenders[0]}
		one, cancel := context.WithTimeout(ctx, askTimeout)
		err := h.settings.Lenders.Repay(one, r.lenders[0], r.team, r.tokens)
		cancel()
		if err != nil {
			h.settings.Logger.WithFields(fields).WithError(err).Warn("tokens left behind")
			continue
		}
		h.settings.Logger.WithFields(fields).Info("loans repaid")
	}
}

func (h *Holder) repayments(idle time.Duration) []repayment {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []repayment
	now := time.Now()
	for team, held := range h.teams {
		left := min(held.lent, held.free(h.uptime()))
		if left <= 0 || len(held.waiters) > 0 || now.Sub(held.updated) < idle {
			continue
		}
		r := repayment{team: team, tokens: left}
		for _, instance := range h.lenders(team) {
			if !h.silent[instance].After(now) {
				r.lenders = append(r.lenders, instance)
			}
		}
		if len(r.lenders) == 0 {
			continue
		}
		held.received -= left
		held.lent -= left
		due = append(due, r)
	}
	return due
}
