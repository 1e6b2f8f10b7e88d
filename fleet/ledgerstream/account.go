package ledgerstream

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// account holds this router's demand, waiting requests and draws of one budget.
type account struct {
	budget       string
	demand       decision.Demand
	lastDemandAt time.Time
	// waiting holds the attempts that have no share yet, in order of arrival.
	waiting []*attempt
	// drawPending is true while a draw of a working share has not been read back.
	drawPending bool
	drawnAt     time.Time
	// refusedAt is the time at which a draw of this router was last refused. recalledUntil is the time until which
	// the refused draw of another router requires this router to return its free shares.
	refusedAt     time.Time
	recalledUntil time.Time
}

// account returns the account of a budget and creates it if needed.
func (c *Client) account(budget string) *account {
	b := c.accounts[budget]
	if b == nil {
		b = &account{budget: budget}
		c.accounts[budget] = b
	}
	return b
}

// heldAccount returns the account of a budget of which this incarnation holds a share, or nil if it holds none.
func (c *Client) heldAccount(budget string) *account {
	if b := c.accounts[budget]; b != nil {
		return b
	}
	if c.current == nil {
		return nil
	}
	h := c.state.Holder(budget, c.current.incarnation)
	if h.WorkingFree+h.WorkingReserved+h.ReserveFree+h.ReserveReserved == 0 {
		return nil
	}
	return c.account(budget)
}

// isRecalled reports whether a refused draw of another router still requires this router to return its free shares.
func (b *account) isRecalled(now time.Time) bool { return now.Before(b.recalledUntil) }

// waitingAmounts returns the amounts, in tokens, of the waiting requests.
func (b *account) waitingAmounts() []ledger.Tokens {
	amounts := make([]ledger.Tokens, 0, len(b.waiting))
	for _, a := range b.waiting {
		amounts = append(amounts, a.demand.Amount)
	}
	return amounts
}

// freeTokens returns the unreserved tokens of this incarnation's shares of a budget, minus what records in the
// outbox will take from them.
func (c *Client) freeTokens(budget string) (working, reserve ledger.Tokens) {
	if c.current == nil || !c.current.joined {
		return 0, 0
	}
	holder := c.state.Holder(budget, c.current.incarnation)
	working = holder.WorkingFree - c.current.pendingTokens[shareKey{budget: budget, kind: ledger.Working}]
	reserve = holder.ReserveFree - c.current.pendingTokens[shareKey{budget: budget, kind: ledger.Reserve}]
	return working, reserve
}

// serveWaiting serves every account that has waiting requests.
func (c *Client) serveWaiting() {
	for _, b := range c.accountsWithWaiting {
		c.serve(b)
	}
}

// serve queues the opens of an account's waiting requests that the working share can pay for, and draws tokens for
// the other requests.
func (c *Client) serve(b *account) {
	if c.current == nil || !c.current.joined {
		return
	}
	c.refuseUnaffordable(b)
	free, _ := c.freeTokens(b.budget)
	unserved := b.waiting[:0]
	for _, a := range b.waiting {
		if a.demand.Amount > free {
			unserved = append(unserved, a)
			continue
		}
		free -= a.demand.Amount
		a.queue()
	}
	clear(b.waiting[len(unserved):])
	b.waiting = unserved
	if len(b.waiting) == 0 {
		delete(c.accountsWithWaiting, b.budget)
	}
	c.draw(b, free)
}

// refuseUnaffordable refuses the waiting requests whose amount exceeds the unspent part of the budget: only a top-up
// could pay for them.
func (c *Client) refuseUnaffordable(b *account) {
	if len(b.waiting) == 0 {
		return
	}
	view, known := c.state.Budget(b.budget)
	if !known {
		return
	}
	c.refuseWaitingIf(b, func(a *attempt) *verdict.Refusal {
		if a.demand.Amount > view.Prepaid-view.Spent {
			return refusalOf(ledger.Insufficient)
		}
		return nil
	})
}

// draw queues a draw of a working share unless one is pending. After a refusal a draw that the budget cannot grant
// is repeated only once per DrawInterval, and draws in advance of requests are made at most once per DrawInterval.
func (c *Client) draw(b *account, free ledger.Tokens) {
	if b.drawPending || c.draining && len(b.waiting) == 0 {
		return
	}
	view, known := c.state.Budget(b.budget)
	if !known || view.Frozen {
		c.refuseWaiting(b, known)
		return
	}
	now := time.Now()
	contended := b.isRecalled(now) || now.Before(b.refusedAt.Add(c.settings.DrawWait))
	working, reserve := ledger.Tokens(0), ledger.Tokens(0)
	if contended && len(b.waiting) > 0 {
		// A draw sized for a free share that is recalled before the draw is applied would be too small, and so
		// would its successors. The free parts of contended shares are therefore returned in the same group, and
		// the draw asks for the full amount.
		_, reserve = c.freeTokens(b.budget)
		working, free = free, 0
	}
	available := view.Available() + max(working, 0) + max(reserve, 0)
	size := decision.SizeDraw(decision.DrawInput{
		Waiting:   b.waitingAmounts(),
		Free:      free,
		Expected:  b.demand.Within(now, c.settings.DrawHorizon),
		Available: available,
		Routers:   c.routers,
		Contended: contended,
	})
	if size.Wanted == 0 {
		return
	}
	refusalExpected := available < size.Minimum && now.Before(b.refusedAt.Add(c.settings.DrawInterval))
	advanceTooSoon := len(b.waiting) == 0 && now.Before(b.drawnAt.Add(c.settings.DrawInterval))
	if refusalExpected || advanceTooSoon {
		return
	}
	c.queueReturn(b.budget, ledger.Working, working)
	c.queueReturn(b.budget, ledger.Reserve, reserve)
	b.drawPending = true
	b.drawnAt = now
	c.count(drawSent, 1)
	c.enqueue(&ledger.Draw{Budget: b.budget, Kind: ledger.Working, Wanted: size.Wanted, Minimum: size.Minimum})
}

// refuseWaiting refuses the waiting requests of a budget that is frozen or not in the ledger.
func (c *Client) refuseWaiting(b *account, known bool) {
	reason := ledger.FrozenBudget
	if !known {
		reason = ledger.UnknownBudget
	}
	c.refuseWaitingIf(b, func(*attempt) *verdict.Refusal { return refusalOf(reason) })
}

func (c *Client) onGranted(e *ledger.Granted) {
	if e.Kind != ledger.Working || c.current == nil || e.Incarnation != c.current.incarnation {
		return
	}
	b := c.account(e.Budget)
	b.drawPending = false
	c.serve(b)
	if b.isRecalled(time.Now()) {
		c.returnShares(b, true)
	}
}

func (c *Client) onDrawRefused(e *ledger.DrawRefused) {
	if c.current != nil && e.Incarnation == c.current.incarnation {
		c.onOwnDrawRefused(e)
		return
	}
	if e.Reason != ledger.Insufficient || !c.caughtUp || e.Draw.Kind != ledger.Working {
		return
	}
	b := c.heldAccount(e.Draw.Budget)
	if b == nil {
		return
	}
	c.count(recallSeen, 1)
	b.recalledUntil = time.Now().Add(c.drawDeadline())
	c.returnShares(b, true)
}

func (c *Client) onOwnDrawRefused(e *ledger.DrawRefused) {
	if e.Draw.Kind != ledger.Working {
		return
	}
	c.count(drawRefused, 1)
	b := c.account(e.Draw.Budget)
	b.drawPending = false
	b.refusedAt = time.Now()
	for _, a := range b.waiting {
		if a.refusedDraws == 0 {
			a.recalledAt, a.recallEnd = b.refusedAt, c.state.Next()
		}
		a.refusedDraws++
	}
}

// returnShares returns free tokens of this router's shares of a budget to the budget: those of both shares if
// recalled is true, and otherwise the idle or excess tokens of the working share.
func (c *Client) returnShares(b *account, recalled bool) {
	if c.current == nil || !c.current.joined {
		return
	}
	now := time.Now()
	working, reserve := c.freeTokens(b.budget)
	amount := decision.SizeReturn(decision.ReturnInput{
		Free:     working,
		Expected: b.demand.Within(now, c.settings.DrawHorizon),
		Recalled: recalled,
		Idle:     now.After(b.lastDemandAt.Add(c.settings.IdleTerm)),
	})
	c.queueReturn(b.budget, ledger.Working, amount)
	if recalled {
		c.queueReturn(b.budget, ledger.Reserve, reserve)
	}
}

// queueReturn queues the return of a positive amount.
func (c *Client) queueReturn(budget string, kind ledger.ShareKind, amount ledger.Tokens) {
	if amount <= 0 {
		return
	}
	c.count(returnSent, 1)
	c.enqueue(&ledger.Return{Budget: budget, Kind: kind, Amount: amount})
	if kind == ledger.Reserve {
		c.queueReserveCheck(budget)
	}
}

// tickAccounts returns idle and excess shares, serves waiting requests and deletes idle accounts. A budget of which
// this router holds only a reserve share needs no account.
func (c *Client) tickAccounts(now time.Time) {
	for name, b := range c.accounts {
		c.serve(b)
		c.returnShares(b, b.isRecalled(now) && len(b.waiting) == 0)
		working, _ := c.freeTokens(name)
		idle := now.After(b.lastDemandAt.Add(c.settings.IdleTerm)) && !b.isRecalled(now)
		if idle && !b.drawPending && len(b.waiting) == 0 && working == 0 {
			delete(c.accounts, name)
		}
	}
}
