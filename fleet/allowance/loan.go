package allowance

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
)

const (
	// lendTime bounds how long a loan waits for a draw: half of DefaultDrawTimeout, so that a second router can be asked.
	lendTime = DefaultDrawTimeout / 2
	// loanTimeout bounds a question for a loan: lendTime and the ways within a region.
	loanTimeout = lendTime + 50*time.Millisecond
	// silentLender is how long a router that did not answer, or that has nothing and can't draw, is not asked for loans.
	silentLender = 2 * time.Second
	// mostLenders bounds the routers that are asked for one request.
	mostLenders = 3
	// loanMemory is how long a lender remembers a loan: some times as long as any message about it is under way.
	loanMemory = 30 * time.Second
	// directTime is how long a router draws a share of its own after no lender answered.
	directTime = 2 * time.Second
	// aheadTime is the use for which a router borrows ahead if it has several requests of a team in that time: a loan for each
	// would cost it more than the requests. morePart is the most of a lender's free tokens that one loan takes ahead.
	aheadTime = 500 * time.Millisecond
	morePart  = 0.05
	// repayPause lies between two looks at what is left of loans, repayIdle is how long a team is idle before it is repaid:
	// some times the pause between two requests of a team that one router of a large fleet sees.
	repayPause = 1 * time.Second
	repayIdle  = 2 * time.Second
)

var (
	// errEnded is the cause of loans that a router which has returned its shares doesn't give.
	errEnded = errors.New("shares are returned")
	// errNoLender reports that no router that holds shares of a team answers.
	errNoLender = errors.New("no router that holds the team's shares answers")
)

// LoanRequest asks for a loan of a team's tokens.
type LoanRequest struct {
	Team string
	// Least is the least that pays the borrower's request, Wanted the most that it takes.
	Least, Wanted int64
	// Identifier is one that the borrower's process uses once.
	Identifier uint64
	// Patient says that the lender holds the team's shares for the borrower, so that it looks for tokens elsewhere too. Another
	// one answers at once if it can't reach the platform.
	Patient bool
}

// Loan is what a router lends of a team's prepaid tokens for a request at another one.
type Loan struct {
	// Tokens is what the borrower may use from now on: from the least to the most that it asked for, or nothing.
	Tokens int64
	// Spent says that too few of the team's tokens remain, whoever holds them.
	Spent bool
	// CutOff says that the lender can't reach the platform.
	CutOff bool
}

// Lend pays a request of another router from this one's share, drawing if it must, and lends more if that is free. What is
// lent counts as used here until it is repaid. An error says that this router lends nothing for now.
func (h *Holder) Lend(ctx context.Context, from string, r LoanRequest) (Loan, error) {
	if h.hasEnded() {
		return Loan{}, errEnded
	}
	w, err := h.reserve(r.Team, r.Least)
	if err == nil && w != nil {
		wait := lendTime
		if !r.Patient && h.cutOff(r.Team) {
			wait = 0
		}
		err = h.await(ctx, r.Team, w, wait)
	}
	loan := Loan{Spent: errors.Is(err, ErrSpent), CutOff: h.cutOff(r.Team)}
	if err == nil {
		loan.Tokens = h.lendReserved(from, r)
	}
	h.settings.Logger.WithFields(log.Fields{
		fieldTo: from, fieldTeam: r.Team, fieldTokens: loan.Tokens, fieldWanted: r.Wanted, "Spent": loan.Spent,
		fieldCutOff: loan.CutOff,
	}).Info("loan decided")
	return loan, nil
}

// loanKey names a loan at its lender.
type loanKey struct {
	from       string
	identifier uint64
}

// loanRecord is what a lender remembers of a loan.
type loanRecord struct {
	tokens int64
	noted  time.Time
	void   bool
}

// lendReserved lends what was reserved, and of what is free as much as a loan may take ahead. It returns the loan: nothing if
// the borrower has given it up.
func (h *Holder) lendReserved(from string, r LoanRequest) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(r.Team)
	held.reserved -= r.Least
	key := loanKey{from: from, identifier: r.Identifier}
	if h.loans[key].void {
		h.serveWaitersLocked(held)
		return 0
	}
	free := max(0, held.free(h.uptime())-r.Least)
	lent := r.Least + min(r.Wanted-r.Least, int64(morePart*float64(free)))
	held.spent += lent
	held.meter(time.Now(), lent-r.Least)
	h.loans[key] = loanRecord{tokens: lent, noted: time.Now()}
	return lent
}

// Void takes back a loan that the borrower did not get and never uses, and lends nothing for it any more. A process that
// started since knows no loan: what the former one lent was settled as used.
func (h *Holder) Void(from, team string, identifier uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := loanKey{from: from, identifier: identifier}
	record := h.loans[key]
	h.loans[key] = loanRecord{noted: time.Now(), void: true}
	h.forgetLoansLocked(time.Now())
	if record.tokens == 0 {
		return true
	}
	held := h.holdingLocked(team)
	held.spent -= record.tokens
	held.meter(time.Now(), -record.tokens)
	h.serveWaitersLocked(held)
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: record.tokens}).Info("loan voided")
	return true
}

// forgetLoansLocked drops loans that no message is on its way for.
func (h *Holder) forgetLoansLocked(now time.Time) {
	for key, record := range h.loans {
		if now.Sub(record.noted) > loanMemory {
			delete(h.loans, key)
		}
	}
}

// Repay takes back what another router did not use of its loans. It is right after a restart too: what the former process
// lent was settled as used.
func (h *Holder) Repay(from, team string, tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	held := h.holdingLocked(team)
	held.spent -= tokens
	held.meter(time.Now(), -tokens)
	h.serveWaitersLocked(held)
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: tokens}).Info("loan repaid")
	return true
}

func (h *Holder) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// cutOff reports whether a team's account seems to be out of reach.
func (h *Holder) cutOff(team string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bookOf(team).stuckLocked(time.Now())
}

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
		loan, err := h.borrowFrom(ctx, instance, LoanRequest{Team: team, Least: most - own, Patient: patient})
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
func (h *Holder) borrowFrom(ctx context.Context, instance string, r LoanRequest) (Loan, error) {
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
	silent := make(map[string]bool)
	for _, v := range voids {
		if !silent[v.instance] {
			one, cancel := context.WithTimeout(ctx, askTimeout)
			err := h.settings.Lenders.Void(one, v.instance, v.team, v.identifier)
			cancel()
			if err == nil {
				continue
			}
			silent[v.instance] = true
		}
		if time.Since(v.since) < loanMemory/2 {
			h.mu.Lock()
			h.voids = append(h.voids, v)
			h.mu.Unlock()
		}
	}
}

// repayment is what is left of the loans for a team that is idle here.
type repayment struct {
	team    string
	tokens  int64
	lenders []string
}

// runRepayer repays what is left of loans until the context ends.
func (h *Holder) runRepayer(ctx context.Context) error {
	if h.settings.Lenders == nil {
		return nil
	}
	for sleep(ctx, repayPause) {
		h.voidLoans(ctx)
		h.repay(ctx, repayIdle)
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
