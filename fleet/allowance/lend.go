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
	lendTimeout = DefaultDrawTimeout / 2
	// loanMemory is how long a lender remembers a loan: some times as long as any message about it is under way.
	loanRecordLifetime = 30 * time.Second
	// morePart is the most of a lender's free tokens that one loan takes beyond what its request needs.
	maxExtraFraction = 0.05
)

// errEnded is the cause of loans that a router which has returned its shares doesn't give.
var errClosed = errors.New("shares are returned")

// Lend pays a request of another router from this one's share, drawing if it must, and lends more if that is free. What is
// lent counts as used here until it is repaid. An error says that this router lends nothing for now.
func (h *Holder) Lend(ctx context.Context, from string, request peer.LoanRequest) (peer.Loan, error) {
	if h.isClosed() {
		return peer.Loan{}, errClosed
	}
	w, err := h.reserve(request.Team, request.Least)
	if err == nil && w != nil {
		wait := lendTimeout
		if !request.Patient && h.platformUnreachable(request.Team) {
			wait = 0
		}
		err = h.awaitTokens(ctx, request.Team, w, wait)
	}
	loan := peer.Loan{Spent: errors.Is(err, ErrSpent), CutOff: h.platformUnreachable(request.Team)}
	if err == nil {
		loan.Tokens = h.lendReserved(from, request)
	}
	h.settings.Logger.WithFields(log.Fields{
		fieldTo: from, fieldTeam: request.Team, fieldTokens: loan.Tokens, fieldWanted: request.Wanted, "Spent": loan.Spent,
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
	tokens     int64
	recordedAt time.Time
	voided     bool
}

// lendReserved lends what was reserved, and of what is free as much as a loan may take ahead. It returns the loan: nothing if
// the borrower has given it up.
func (h *Holder) lendReserved(from string, request peer.LoanRequest) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdingLocked(request.Team)
	held.reserved -= request.Least
	key := loanKey{from: from, identifier: request.Identifier}
	if h.loanRecords[key].voided {
		h.serveWaitersLocked(held)
		return 0
	}
	free := max(0, held.free(h.uptime())-request.Least)
	lent := request.Least + min(request.Wanted-request.Least, int64(maxExtraFraction*float64(free)))
	held.spent += lent
	held.recordUse(time.Now(), lent-request.Least)
	h.loanRecords[key] = loanRecord{tokens: lent, recordedAt: time.Now()}
	return lent
}

// Void takes back a loan that the borrower did not get and never uses, and lends nothing for it any more. A process that
// started since knows no loan: what the former one lent was settled as used.
func (h *Holder) Void(from, team string, identifier uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := loanKey{from: from, identifier: identifier}
	record := h.loanRecords[key]
	h.loanRecords[key] = loanRecord{recordedAt: time.Now(), voided: true}
	if record.tokens == 0 {
		return true
	}
	held := h.holdingLocked(team)
	held.spent -= record.tokens
	held.recordUse(time.Now(), -record.tokens)
	h.serveWaitersLocked(held)
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: record.tokens}).Info("loan voided")
	return true
}

// forgetLoans drops the records of loans that no message is on its way for.
func (h *Holder) expireLoanRecords(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, record := range h.loanRecords {
		if now.Sub(record.recordedAt) > loanRecordLifetime {
			delete(h.loanRecords, key)
		}
	}
}

// Repay takes back what another router did not use of its loans. It is right after a restart too: what the former process
// lent was settled as used.
func (h *Holder) Repay(from, team string, tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	held := h.holdingLocked(team)
	held.spent -= tokens
	held.recordUse(time.Now(), -tokens)
	h.serveWaitersLocked(held)
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: tokens}).Info("loan repaid")
	return true
}

func (h *Holder) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// cutOff reports whether a team's account seems to be out of reach.
func (h *Holder) platformUnreachable(team string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitionOf(team).platformUnreachableLocked(time.Now())
}
