package allowance

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

const (
	// lendTimeout bounds how long a loan request waits for a draw at the lender: half of DefaultDrawTimeout, so that
	// the borrower can still ask a second router.
	lendTimeout = DefaultDrawTimeout / 2
	// loanRecordLifetime is how long a lender remembers a loan: several times the maximum time that a message about the
	// loan can be in transit.
	loanRecordLifetime = 30 * time.Second
	// maxExtraFraction is the maximum fraction of a lender's unused tokens that one loan takes in addition to what its
	// request needs, maxExtraFreeFraction that of the tokens that the spending bound leaves free.
	maxExtraFraction     = 0.05
	maxExtraFreeFraction = 0.5
)

// errClosed is returned for loan requests that arrive after the router has begun to return its shares.
var errClosed = errors.New("shares are returned")

// Lend reserves tokens of this router's share for a request at another router, drawing more if necessary. If there are
// more free tokens, the loan includes a part of them, up to request.Maximum in total. Lent tokens count as used by this
// router until they are repaid. An error means that this router currently lends nothing, peer.ErrRetrySoon that its spending
// bound allows more soon.
func (h *Holder) Lend(ctx context.Context, from string, request peer.LoanRequest) (peer.Loan, error) {
	if h.isClosed() {
		return peer.Loan{}, errClosed
	}
	w, err := h.reserve(request.Team, request.Minimum)
	if err == nil && w != nil {
		wait := lendTimeout
		if !request.MayWait && h.platformUnreachable(request.Team) {
			wait = 0
		}
		waitContext, cancel := context.WithTimeout(ctx, wait)
		err = h.awaitTokens(waitContext, request.Team, w, wait)
		cancel()
		if err != nil && request.MayWait && h.boundWait(request.Team, request.Minimum) > 0 {
			return peer.Loan{}, peer.ErrRetrySoon
		}
	}
	loan := peer.Loan{Spent: errors.Is(err, ErrExhausted), CutOff: h.platformUnreachable(request.Team)}
	if err == nil {
		loan.Tokens = h.lendReserved(from, request)
	}
	h.settings.Logger.WithFields(log.Fields{
		fieldTo: from, fieldTeam: request.Team, fieldTokens: loan.Tokens, fieldWanted: request.Maximum, "Spent": loan.Spent,
		fieldCutOff: loan.CutOff,
	}).Info("loan decided")
	return loan, nil
}

// loanKey identifies a loan at its lender by the borrower's instance and the loan's identifier.
type loanKey struct {
	from       string
	identifier uint64
}

// loanRecord is the lender's record of a granted or voided loan.
type loanRecord struct {
	tokens     int64
	recordedAt time.Time
	voided     bool
}

// lendReserved lends the reserved tokens of a request and, up to the request's maximum, at most maxExtraFraction of the
// unused ones. It returns the lent amount in tokens, which is zero if the borrower has already voided the loan.
func (h *Holder) lendReserved(from string, request peer.LoanRequest) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	teamHolding := h.holdingLocked(request.Team)
	teamHolding.reserved -= request.Minimum
	key := loanKey{from: from, identifier: request.Identifier}
	if h.loanRecords[key].voided {
		h.serveWaitersLocked(teamHolding)
		return 0
	}
	free := max(0, teamHolding.free(h.uptime())-request.Minimum)
	extra := min(int64(maxExtraFreeFraction*float64(free)), int64(maxExtraFraction*float64(max(0, teamHolding.unused()-request.Minimum))))
	lent := request.Minimum + min(request.Maximum-request.Minimum, extra)
	teamHolding.spent += lent
	teamHolding.recordUse(time.Now(), lent-request.Minimum)
	h.loanRecords[key] = loanRecord{tokens: lent, recordedAt: time.Now()}
	return lent
}

// Void cancels a loan that did not reach the borrower, and prevents the loan if its request arrives later. It always
// returns true. A process that started after the loan was granted has no record of it and adds nothing back: the tokens
// lent by its predecessor were settled as used.
func (h *Holder) Void(from, team string, identifier uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := loanKey{from: from, identifier: identifier}
	record := h.loanRecords[key]
	h.loanRecords[key] = loanRecord{recordedAt: time.Now(), voided: true}
	if record.tokens == 0 {
		return true
	}
	teamHolding := h.holdingLocked(team)
	teamHolding.spent -= record.tokens
	teamHolding.recordUse(time.Now(), -record.tokens)
	h.serveWaitersLocked(teamHolding)
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: record.tokens}).Info("loan voided")
	return true
}

// expireLoanRecords removes loan records so old that no message about the loan can still arrive.
func (h *Holder) expireLoanRecords(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, record := range h.loanRecords {
		if now.Sub(record.recordedAt) > loanRecordLifetime {
			delete(h.loanRecords, key)
		}
	}
}

// Repay adds unused tokens of another router's loans back to this router's share and returns false once this router has
// begun to return its shares. A repayment is also correct after a restart of this router, since the tokens that its
// former process lent were settled as used.
func (h *Holder) Repay(from, team string, tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	teamHolding := h.holdingLocked(team)
	teamHolding.spent -= tokens
	teamHolding.recordUse(time.Now(), -tokens)
	h.serveWaitersLocked(teamHolding)
	h.settings.Logger.WithFields(log.Fields{fieldFrom: from, fieldTeam: team, fieldTokens: tokens}).Info("loan repaid")
	return true
}

func (h *Holder) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// platformUnreachable reports whether the partition with a team's account appears unreachable.
func (h *Holder) platformUnreachable(team string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitionOf(team).platformUnreachableLocked(time.Now())
}
