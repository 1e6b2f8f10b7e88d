package allowance

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

const (
	// lendTime bounds how long a loan waits for a draw: half of DefaultDrawTimeout, so that a second router can be asked.
	lendTime = DefaultDrawTimeout / 2
	// loanMemory is how long a lender remembers a loan: some times as long as any message about it is under way.
	loanMemory = 30 * time.Second
	// morePart is the most of a lender's free tokens that one loan takes beyond what its request needs.
	morePart = 0.05
)

// errEnded is the cause of loans that a router which has returned its shares doesn't give.
var errEnded = errors.New("shares are returned")

// Lend pays a request of another router from this one's share, drawing if it must, and lends more if that is free. What is
// lent counts as used here until it is repaid. An error says that this router lends nothing for now.
func (h *Holder) Lend(ctx context.Context, from string, r peer.LoanRequest) (peer.Loan, error) {
	if h.hasEnded() {
		return peer.Loan{}, errEnded
	}
	w, err := h.reserve(r.Team, r.Least)
	if err == nil && w != nil {
		wait := lendTime
		if !r.Patient && h.cutOff(r.Team) {
			wait = 0
		}
		err = h.await(ctx, r.Team, w, wait)
	}
	loan := peer.Loan{Spent: errors.Is(err, ErrSpent), CutOff: h.cutOff(r.Team)}
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
func (h *Holder) lendReserved(from string, r peer.LoanRequest) int64 {
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

// forgetLoans drops the records of loans that no message is on its way for.
func (h *Holder) forgetLoans(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
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
