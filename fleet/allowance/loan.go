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
	loanTimeout = lendTime + 50*time.Millisecond
	// silentLender is how long a router that did not answer, or that has nothing and can't draw, is not asked for loans.
	silentLender = 2 * time.Second
	// mostLenders bounds the routers that are asked for one request.
	mostLenders = 3
	// directTime is how long a router draws a share of its own after no lender answered.
	directTime = 2 * time.Second
	// aheadTime is the use for which a router borrows ahead if it has several requests of a team in that time: a loan for each
	// would cost it more than the requests.
	aheadTime = 500 * time.Millisecond
)

// errNoLender reports that no router that holds shares of a team answers.
var errNoLender = errors.New("no router that holds the team's shares answers")

// lenders returns the routers from which this one borrows a team's tokens; none if it holds shares of its own.
func (h *Holder) lenders(team string) []string {
	if h.settings.Lenders == nil {
		return nil
	}
	return h.settings.Lenders.Holders(team)
}

// helpers returns the routers that may draw for this one if it can't reach the platform and holds too little.
func (h *Holder) helpers(team string, most int64) []string {
	if h.settings.Lenders == nil {
		return nil
	}
	h.mu.Lock()
	needed := h.bookOf(team).stuckLocked(time.Now()) && h.holdingLocked(team).free(h.uptime()) < most
	h.mu.Unlock()
	if !needed {
		return nil
	}
	return h.settings.Lenders.Others(team)
}

// borrowFor reserves tokens of loans for a request. It returns errNoLender if nobody lends and this router may find tokens
// otherwise.
func (h *Holder) borrowFor(ctx context.Context, team string, most int64, lenders []string, patient bool) error {
	own := h.reserveFree(team, most)
	if own == most {
		return nil
	}
	asked := 0
	for _, instance := range lenders {
		if asked == mostLenders || !h.mayLend(instance) || ctx.Err() != nil {
			continue
		}
		asked++
		loan, err := h.borrowFrom(ctx, instance, peer.LoanRequest{Team: team, Least: most - own, Patient: patient})
		switch {
		case err != nil:
		case loan.Tokens > 0:
			return nil
		case loan.Spent:
			h.release(team, most, own)
			return ErrSpent
		case patient:
			h.release(team, most, own)
			return ErrElsewhere
		}
	}
	h.release(team, most, own)
	return errNoLender
}

// borrowFrom asks one router for a loan and reserves it. It goes on if the caller leaves, so that nothing gets lost.
func (h *Holder) borrowFrom(ctx context.Context, instance string, r peer.LoanRequest) (peer.Loan, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
	defer cancel()
	r.Wanted, r.Identifier = r.Least+h.borrowAhead(r.Team, r.Least), h.nextLoan.Add(1)
	loan, err := h.settings.Lenders.Borrow(ctx, instance, r)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.count(loanFailed)
		h.voids = append(h.voids, void{instance: instance, team: r.Team, identifier: r.Identifier, since: time.Now()})
		h.silent[instance] = time.Now().Add(silentLender)
		h.settings.Logger.WithFields(log.Fields{fieldFrom: instance, fieldTeam: r.Team, fieldWanted: r.Least}).WithError(err).Warn("loan not had")
		return loan, err
	}
	if loan.CutOff && loan.Tokens == 0 && !r.Patient {
		h.silent[instance] = time.Now().Add(silentLender)
	}
	if !loan.CutOff {
		h.reached = time.Now()
	}
	held := h.holdingLocked(r.Team)
	held.received += loan.Tokens
	held.lent += loan.Tokens
	if loan.Tokens > 0 {
		held.reserved += r.Least
		h.serveWaitersLocked(held)
	}
	return loan, nil
}

// borrowAhead returns what is asked for beyond a request.
func (h *Holder) borrowAhead(team string, lacking int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	ahead := int64(h.holdingLocked(team).rate() * aheadTime.Seconds())
	if ahead < 2*lacking {
		return 0
	}
	return ahead
}

// mayLend reports whether a router is worth asking.
func (h *Holder) mayLend(instance string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().After(h.silent[instance])
}

// reserveFree reserves as much of a request as is free and returns that.
func (h *Holder) reserveFree(team string, most int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	now := time.Now()
	held.noteDemand(now, most)
	held.meter(now, most)
	h.noteMean(most)
	own := min(most, max(0, held.free(h.uptime())))
	held.reserved += own
	return own
}

// release gives back what was reserved for a request that can't be paid, and takes the request out of the team's use.
func (h *Holder) release(team string, most, reserved int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(team)
	held.reserved -= reserved
	held.meter(time.Now(), -most)
	h.serveWaitersLocked(held)
}

// drawItself makes the router hold a share of a team for a while.
func (h *Holder) drawItself(team string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holdingLocked(team).directUntil = time.Now().Add(directTime)
}
