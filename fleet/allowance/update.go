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

// update reads the partition's accounts and writes those that the policy wants changed.
func (b *book) update(ctx context.Context, ending bool) error {
	h := b.holder
	if !b.takesPart() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, h.settings.CallTimeout)
	defer cancel()
	b.begin()
	state, err := h.log.Newest(ctx, Topic, b.partition)
	b.done(err)
	if err != nil {
		h.count(readFailed)
		return fmt.Errorf("read accounts: %w", err)
	}
	planned, records := b.plan(state, ending)
	if len(records) == 0 {
		return nil
	}
	b.begin()
	_, err = h.log.AppendAt(ctx, Topic, b.partition, state.End, records)
	b.done(err)
	switch {
	case err == nil:
		h.count(writeDone)
		h.adopt(planned)
		return nil
	case errors.Is(err, platform.ErrMoved):
		h.count(writeMoved)
		h.withdraw(planned)
	case errors.Is(err, platform.ErrRefused):
		h.count(writeFailed)
		h.withdraw(planned)
	default:
		h.count(writeFailed)
	}
	return fmt.Errorf("write accounts: %w", err)
}

// takesPart reports whether this router takes part in any account of the partition.
func (b *book) takesPart() bool {
	b.holder.mu.Lock()
	defer b.holder.mu.Unlock()
	return len(b.teamsLocked()) > 0
}

// plan decides on the partition's accounts. Tokens that are returned are not used from now on, whatever becomes of the
// write.
func (b *book) plan(state platform.KeyedState, ending bool) (map[string]Account, []platform.KeyedRecord) {
	h := b.holder
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reached, b.looked = now, now
	teams := b.teamsLocked()
	accounts := h.decode(state, teams)
	planned := make(map[string]Account)
	var records []platform.KeyedRecord
	for _, team := range teams {
		held := h.holdingLocked(team.Name)
		account, readable := accounts[team.Name]
		if !readable {
			continue
		}
		held.account, held.read = account, true
		held.meter(now, 0)
		wanted, write := h.settings.Policy.Plan(account, h.positionLocked(held, team, ending))
		if !write {
			continue
		}
		value, err := wanted.Encode()
		if err != nil {
			h.settings.Logger.WithField(fieldTeam, team.Name).WithError(err).Error("account not written")
			continue
		}
		share := wanted.Shares[h.settings.Holder]
		held.usable = min(held.usable, share.Granted)
		held.pledges = append(held.pledges, share.Pledge)
		planned[team.Name] = wanted
		records = append(records, platform.KeyedRecord{Key: team.Name, Value: value})
	}
	return planned, records
}

func (h *Holder) positionLocked(held *holding, team *site.Team, ending bool) Position {
	own := Position{
		Holder: h.settings.Holder, Instance: h.settings.Instance, Version: h.configuration.Version, Prepaid: team.Prepaid,
		Usable: held.usable, Spent: held.reported(), Reserved: held.reserved, Net: held.net(), Rate: held.rate(),
		Largest: max(held.largest, int64(firstBurst*h.mean)), Mean: int64(h.mean), Now: h.settings.Now(),
		Pressed: held.pressed, Transient: len(h.lenders(team.Name)) > 0, Ending: ending,
	}
	waiting := int64(0)
	unused, free := held.usable-held.net()-held.reserved, held.free(own.Now.Uptime)
	for _, w := range held.waiters {
		waiting += w.most
		own.Pressed = own.Pressed || w.most > free && w.most <= unused
	}
	own.Wanted = max(held.keptFor(time.Now()), waiting)
	return own
}

// decode reads the accounts of teams; a team without a record has an empty one. A record that can't be read is left out:
// nothing is drawn from such an account.
func (h *Holder) decode(state platform.KeyedState, teams []*site.Team) map[string]Account {
	accounts := make(map[string]Account, len(teams))
	for _, team := range teams {
		accounts[team.Name] = Account{}
	}
	for _, r := range state.Records {
		a, err := DecodeAccount(r.Value)
		if err != nil {
			h.settings.Logger.WithField(fieldTeam, r.Key).WithError(err).Error("account can't be read")
			delete(accounts, r.Key)
			continue
		}
		accounts[r.Key] = a
	}
	return accounts
}

// withdraw takes the pledges of a write back that surely has not been and will not be done.
func (h *Holder) withdraw(planned map[string]Account) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for team := range planned {
		held := h.holdingLocked(team)
		held.pledges = held.pledges[:len(held.pledges)-1]
	}
}

// adopt takes accounts that were written as in force.
func (h *Holder) adopt(planned map[string]Account) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for team, a := range planned {
		held := h.holdingLocked(team)
		share := a.Shares[h.settings.Holder]
		if share.Granted != held.account.Shares[h.settings.Holder].Granted {
			h.settings.Logger.WithFields(log.Fields{
				fieldTeam: team, "Granted": share.Granted, "Net": share.Pledge.Base - held.reserved, "Reserved": held.reserved,
				"Rate": int64(share.Rate), "Lacking": share.Lacking, "Available": a.Available(), "Remaining": a.Remaining(),
				"Prepaid": a.Prepaid, "Version": a.Version,
			}).Info("share changed")
		}
		held.usable = share.Granted
		held.account, held.pressed = a, false
		held.pledges = append(held.pledges[:0], share.Pledge)
		h.serveWaitersLocked(held)
	}
}
