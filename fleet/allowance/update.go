package allowance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// update reads the accounts of the partition and writes those that the policy changes. ending is true if all shares are
// to be returned.
func (p *accountPartition) update(ctx context.Context, ending bool) error {
	h := p.holder
	if !p.hasTeams() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, h.settings.CallTimeout)
	defer cancel()
	p.beginCall()
	state, err := h.keyedLog.Newest(ctx, Topic, p.number)
	p.endCall(err)
	if err != nil {
		h.count(readFailed)
		return fmt.Errorf("read accounts: %w", err)
	}
	planned, records := p.plan(state, ending)
	if len(records) == 0 {
		return nil
	}
	p.beginCall()
	_, err = h.keyedLog.AppendAt(ctx, Topic, p.number, state.End, records)
	p.endCall(err)
	switch {
	case err == nil:
		h.count(writeDone)
		h.applyWritten(planned)
		return nil
	case errors.Is(err, platform.ErrConflict):
		h.count(writeConflict)
		h.dropWrittenBounds(planned)
	case errors.Is(err, platform.ErrRefused):
		h.count(writeFailed)
		h.dropWrittenBounds(planned)
	default:
		h.count(writeFailed)
	}
	return fmt.Errorf("write accounts: %w", err)
}

// hasTeams reports whether this router updates any account of the partition.
func (p *accountPartition) hasTeams() bool {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	return len(p.teamsLocked()) > 0
}

// plannedAccount is an account that is to be written.
type plannedAccount struct {
	account Account
	// usable is the granted amount in tokens that the holder may treat as valid once the account is written.
	usable int64
}

// plan computes the new accounts of the partition and their records. Tokens to be returned become unusable immediately,
// before the outcome of the write is known.
func (p *accountPartition) plan(state platform.KeyedState, ending bool) (map[string]plannedAccount, []platform.KeyedRecord) {
	h := p.holder
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.platformReachedAt, p.readAt = now, now
	teams := p.teamsLocked()
	accounts := h.decodeAccounts(state, teams)
	planned := make(map[string]plannedAccount)
	var records []platform.KeyedRecord
	for _, team := range teams {
		teamHolding := h.holdingLocked(team.Name)
		account, readable := accounts[team.Name]
		if !readable {
			continue
		}
		teamHolding.account, teamHolding.accountRead = account, true
		teamHolding.recordUse(now, 0)
		position := h.positionLocked(teamHolding, team, ending)
		target, write := h.settings.Policy.Plan(account, position)
		if !write {
			continue
		}
		value, err := target.Encode()
		if err != nil {
			h.settings.Logger.WithField(fieldTeam, team.Name).WithError(err).Error("account not encoded; its write is skipped")
			continue
		}
		share, hasShare := target.Shares[h.settings.Holder]
		usable := share.Granted
		if !hasShare {
			// A retired share leaves the holder what it was settled at, which is negative after receipts from other routers.
			usable = position.NetUsed + position.Reserved
		}
		teamHolding.usable = min(teamHolding.usable, usable)
		teamHolding.spendingBounds = append(teamHolding.spendingBounds, share.SpendingBound)
		planned[team.Name] = plannedAccount{account: target, usable: usable}
		records = append(records, platform.KeyedRecord{Key: team.Name, Value: value})
	}
	return planned, records
}

func (h *Holder) positionLocked(teamHolding *holding, team *site.Team, ending bool) Position {
	clocks := h.clocks()
	h.recordStartLocked(clocks)
	position := Position{
		Holder: h.settings.Holder, Instance: h.settings.Instance, Version: h.configuration.Version, Prepaid: team.Prepaid,
		Usable: teamHolding.usable, Spent: teamHolding.reported(), Reserved: teamHolding.reserved, NetUsed: teamHolding.netUsed(), Rate: teamHolding.rate(),
		LargestRequest: max(teamHolding.largestRequest, int64(idleBurstRequests*h.meanRequest)), MeanRequest: int64(h.meanRequest), Now: clocks, Start: h.startClocks,
		AwaitsAgreement: h.settings.Agreement.IsPending() && time.Since(h.startedAt) < agreementWait,
		BoundExceeded:   teamHolding.boundExceeded, BorrowsOnly: len(h.lenders(team.Name)) > 0, Ending: ending,
	}
	waitingTokens := int64(0)
	unused, free := teamHolding.unused(), teamHolding.free(position.Now.Uptime)
	for _, w := range teamHolding.waiters {
		waitingTokens += w.maxTokens
		position.BoundExceeded = position.BoundExceeded || w.maxTokens > free && w.maxTokens <= unused
	}
	position.Demand = max(teamHolding.currentRetryDemand(time.Now()), waitingTokens)
	return position
}

// decodeAccounts returns the accounts of the teams by name. A team without a record has an empty account. Undecodable
// accounts are omitted, so that nothing is drawn from them, and all are if one record has no key.
func (h *Holder) decodeAccounts(state platform.KeyedState, teams []*site.Team) map[string]Account {
	accounts := make(map[string]Account, len(teams))
	for _, team := range teams {
		accounts[team.Name] = Account{}
	}
	for _, r := range state.Records {
		if r.Key == "" {
			// The record may be any team's.
			h.settings.Logger.Error("account without a key; nothing is drawn from any")
			return nil
		}
		account, err := DecodeAccount(r.Value)
		if err != nil {
			h.settings.Logger.WithField(fieldTeam, r.Key).WithError(err).Error("account not decoded; nothing is drawn from it")
			delete(accounts, r.Key)
			continue
		}
		accounts[r.Key] = account
	}
	return accounts
}

// dropWrittenBounds discards the spending bounds of a write that certainly did not and will not take effect.
func (h *Holder) dropWrittenBounds(planned map[string]plannedAccount) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for team := range planned {
		teamHolding := h.holdingLocked(team)
		teamHolding.spendingBounds = teamHolding.spendingBounds[:len(teamHolding.spendingBounds)-1]
	}
}

// applyWritten applies accounts whose write succeeded to the local state.
func (h *Holder) applyWritten(planned map[string]plannedAccount) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for team, written := range planned {
		account, teamHolding := written.account, h.holdingLocked(team)
		share := account.Shares[h.settings.Holder]
		if share.Granted != teamHolding.account.Shares[h.settings.Holder].Granted {
			h.settings.Logger.WithFields(log.Fields{
				fieldTeam: team, "Granted": share.Granted, "Net": share.SpendingBound.Base - teamHolding.reserved, "Reserved": teamHolding.reserved,
				"Rate": int64(share.Rate), "Lacking": share.UnmetDemand, "Available": account.Available(), "Remaining": account.Remaining(),
				"Prepaid": account.Prepaid, "Version": account.Version, "WrittenOff": account.WrittenOff,
			}).Info("share changed")
		}
		teamHolding.usable = written.usable
		teamHolding.account, teamHolding.boundExceeded = account, false
		teamHolding.spendingBounds = append(teamHolding.spendingBounds[:0], share.SpendingBound)
		h.serveWaitersLocked(teamHolding)
	}
}
