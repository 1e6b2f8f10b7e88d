package allowance

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const modelTeam = "studio"

// machine is an instance of the model with its clocks and the process that runs on it.
type machine struct {
	name string
	// uptime and wall are the machine's clocks; a loss of power sets uptime anew.
	uptime time.Duration
	wall   time.Time
	starts int
	holder *Holder
	open   []*Reservation
}

// fleetModel plays routers on one account against a log that loses, delays and refuses calls. It counts the use that
// endpoints delivered and knows nothing of shares.
type fleetModel struct {
	log           memory.KeyedLog
	machines      []*machine
	configuration *site.Configuration
	// used is what endpoints delivered, highest the highest total that was in force.
	used, highest int64
	// loans counts loans, lost are those that did not arrive.
	loans uint64
	lost  []lostLoan
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{}
	m.configure(rapid.Int64Range(500, 4_000).Draw(t, "prepaid"))
	for i := range rapid.IntRange(1, 3).Draw(t, "machines") {
		one := &machine{name: fmt.Sprintf("router-%d", i), uptime: time.Hour, wall: time.Unix(1_800_000_000, 0)}
		m.machines = append(m.machines, one)
		m.start(one)
	}
	return m
}

// configure states the team's total. The fleet may use the highest total that was ever in force.
func (m *fleetModel) configure(prepaid int64) {
	version := int64(1)
	if m.configuration != nil {
		version = m.configuration.Version + 1
	}
	m.configuration = &site.Configuration{
		Version: version, Teams: []site.Team{{Name: modelTeam, Prepaid: prepaid, HasPrepaid: true}},
	}
	m.configuration.Index()
	m.highest = max(m.highest, prepaid)
}

func (m *fleetModel) start(one *machine) {
	one.starts++
	one.holder = NewHolder(&m.log, Settings{
		Holder: fmt.Sprintf("%s/%d", one.name, one.starts), Instance: one.name,
		Now:    func() Moment { return Moment{Uptime: one.uptime, Wall: one.wall} },
		Logger: &log.Logger{Handler: discard.New()},
	})
	one.holder.Configure(m.configuration)
	one.open = nil
}

// pass lets time go by on all machines.
func (m *fleetModel) pass(d time.Duration) {
	for _, one := range m.machines {
		one.uptime += d
		one.wall = one.wall.Add(d)
	}
}

func (m *fleetModel) pick(t *rapid.T) *machine {
	return m.machines[rapid.IntRange(0, len(m.machines)-1).Draw(t, "machine")]
}

// reserve admits a request that may wait for a draw.
func (m *fleetModel) reserve(t *rapid.T) {
	one := m.pick(t)
	one.request(rapid.Int64Range(1, 120).Draw(t, "most"), rapid.Bool().Draw(t, "waits"))
}

// request reserves tokens and reports whether it could. A request that waits sees one update.
func (one *machine) request(most int64, waits bool) bool {
	w, err := one.holder.reserve(modelTeam, most)
	if err != nil {
		return false
	}
	if w != nil {
		if waits {
			_ = one.holder.books[0].update(context.Background(), false)
		}
		if one.holder.giveUp(modelTeam, w) {
			return false
		}
	}
	one.open = append(one.open, &Reservation{holder: one.holder, team: modelTeam, most: most})
	return true
}

// useAll ends the disturbances and lets every router reserve as much as it gets, so that tokens that count twice show.
func (m *fleetModel) useAll() {
	m.log.LoseAnswers(0, 1)
	m.log.SetOutage(false)
	m.log.RefuseCalls(0)
	m.log.HoldBack(false)
	m.log.Release()
	for more := true; more; {
		more = false
		for _, one := range m.machines {
			m.pass(time.Second)
			_ = one.holder.books[0].update(context.Background(), false)
			for _, most := range []int64{400, 40, 4} {
				more = one.request(most, true) || more
			}
		}
	}
}

// settle ends a request that used a part of what it had reserved.
func (m *fleetModel) settle(t *rapid.T) {
	one := m.pick(t)
	if len(one.open) == 0 {
		return
	}
	r := one.open[0]
	one.open = one.open[1:]
	used := rapid.Int64Range(0, r.most).Draw(t, "used")
	m.used += used
	r.Settle(used)
}

func (m *fleetModel) update(t *rapid.T) {
	one := m.pick(t)
	one.holder.Configure(m.configuration)
	_ = one.holder.books[0].update(context.Background(), false)
}

// hand moves tokens between two routers; the answer may be lost.
func (m *fleetModel) hand(t *rapid.T) {
	from, to := m.pick(t), m.pick(t)
	if from == to {
		return
	}
	given := from.holder.Give(to.name, modelTeam, rapid.Int64Range(1, 600).Draw(t, "wanted"), rapid.Bool().Draw(t, "cutOff"))
	if given > 0 && rapid.Bool().Draw(t, "arrives") {
		to.holder.Take(from.name, modelTeam, given)
	}
}

// lend moves a loan between two routers, or a part of one back; the answer may be lost.
func (m *fleetModel) lend(t *rapid.T) {
	from, to := m.pick(t), m.pick(t)
	if from == to {
		return
	}
	wanted := rapid.Int64Range(1, 200).Draw(t, "loan")
	if rapid.Bool().Draw(t, "repays") {
		to.holder.settings.Lenders = &courier{to: from.holder, arrives: rapid.Bool().Draw(t, "arrives")}
		to.holder.repay(context.Background(), 0)
		to.holder.settings.Lenders = nil
		return
	}
	w, err := from.holder.reserve(modelTeam, wanted)
	if err != nil || w != nil && from.holder.giveUp(modelTeam, w) {
		return
	}
	m.loans++
	lent := from.holder.lendReserved(to.name, peer.LoanRequest{
		Team: modelTeam, Least: wanted, Wanted: wanted + rapid.Int64Range(0, 500).Draw(t, "more"), Identifier: m.loans,
	})
	if !rapid.Bool().Draw(t, "arrives") {
		m.lost = append(m.lost, lostLoan{from: from, to: to.name, identifier: m.loans})
		return
	}
	if lent > 0 {
		to.holder.settings.Lenders = &courier{loan: peer.Loan{Tokens: lent}}
		_, _ = to.holder.borrowFrom(context.Background(), from.name, peer.LoanRequest{Team: modelTeam, Least: wanted})
		to.holder.settings.Lenders = nil
		one := &Reservation{holder: to.holder, team: modelTeam, most: wanted}
		to.open = append(to.open, one)
	}
}

// lostLoan is a loan that did not arrive.
type lostLoan struct {
	from       *machine
	to         string
	identifier uint64
}

// void gives a loan back that did not arrive, perhaps once more, perhaps to a later process.
func (m *fleetModel) void(t *rapid.T) {
	if len(m.lost) == 0 {
		return
	}
	lost := m.lost[rapid.IntRange(0, len(m.lost)-1).Draw(t, "lost")]
	lost.from.holder.Void(lost.to, modelTeam, lost.identifier)
}

// courier brings a loan that was decided on, or a repayment to its lender unless it gets lost.
type courier struct {
	loan    peer.Loan
	to      *Holder
	arrives bool
}

func (c *courier) Hand(context.Context, string, string, int64) error { return errApart }

func (c *courier) Ask(context.Context, string, string, int64, bool) (int64, error) {
	return 0, errApart
}

func (c *courier) Holders(string) []string { return []string{"lender"} }

func (c *courier) Others(string) []string { return nil }

func (c *courier) Borrow(context.Context, string, peer.LoanRequest) (peer.Loan, error) {
	return c.loan, nil
}

func (c *courier) Void(context.Context, string, string, uint64) error { return errApart }

func (c *courier) Repay(_ context.Context, _, team string, tokens int64) error {
	if c.arrives && c.to.Repay("borrower", team, tokens) {
		return nil
	}
	return errApart
}

// stop ends a process: it returns its shares, or is killed in the middle of its requests, which use all that they reserved.
func (m *fleetModel) stop(t *rapid.T) {
	one := m.pick(t)
	if rapid.Bool().Draw(t, "gracefully") {
		for _, r := range one.open {
			m.used += r.most
			r.Settle(r.most)
		}
		one.holder.Leave()
		_ = one.holder.books[0].update(context.Background(), true)
	} else {
		for _, r := range one.open {
			m.used += r.most
		}
	}
	m.pass(rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 7 * time.Second}).Draw(t, "down"))
	if rapid.Bool().Draw(t, "losesPower") {
		one.uptime = rapid.SampledFrom([]time.Duration{time.Second, time.Hour, 30 * time.Hour}).Draw(t, "uptime")
	}
	if rapid.Bool().Draw(t, "clockStep") {
		one.wall = one.wall.Add(rapid.SampledFrom([]time.Duration{-4 * time.Second, 4 * time.Second}).Draw(t, "step"))
	}
	m.start(one)
}

func (m *fleetModel) disturb(t *rapid.T) {
	switch rapid.SampledFrom([]string{"refuse", "lose", "well", "outage", "holdBack", "release", "expire"}).Draw(t, "disturbance") {
	case "refuse":
		m.log.RefuseCalls(1)
	case "lose":
		m.log.LoseAnswers(0.5, 1)
	case "well":
		m.log.LoseAnswers(0, 1)
		m.log.SetOutage(false)
		m.log.HoldBack(false)
	case "outage":
		m.log.SetOutage(true)
	case "holdBack":
		m.log.HoldBack(true)
	case "release":
		m.log.Release()
	case "expire":
		m.log.Expire()
	}
}

// check compares the use, with what requests in progress may still use, with the total.
func (m *fleetModel) check(t *rapid.T) {
	most := m.used
	for _, one := range m.machines {
		for _, r := range one.open {
			most += r.most
		}
	}
	if most > m.highest {
		t.Fatalf("%d tokens are used or reserved of %d prepaid", most, m.highest)
	}
}

// modelSteps is the length of a play.
const modelSteps = 150

// TestNoOverspend plays arbitrary interleavings of requests, draws, handovers, ends and disturbances.
func TestNoOverspend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		actions := []func(*rapid.T){
			m.reserve, m.reserve, m.reserve, m.reserve, m.update, m.update, m.update, m.settle, m.settle, m.hand, m.hand,
			m.lend, m.lend, m.void, m.stop, m.disturb, m.passSome, m.passSome, m.topUp,
		}
		for range modelSteps {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			m.check(t)
		}
		m.useAll()
		m.check(t)
	})
}

func (m *fleetModel) passSome(t *rapid.T) {
	m.pass(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second}).Draw(t, "time"))
}

// topUp raises the total now and then.
func (m *fleetModel) topUp(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "raises") == 0 {
		m.configure(m.highest + rapid.Int64Range(1, 1_000).Draw(t, "more"))
	}
}

// TestEverythingCanBeUsed checks that a single router without disturbances refuses nothing that the total covers.
func TestEverythingCanBeUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{}
		m.configure(rapid.Int64Range(1, 50_000).Draw(t, "prepaid"))
		m.machines = []*machine{{name: "router", uptime: time.Hour, wall: time.Unix(1_800_000_000, 0)}}
		m.start(m.machines[0])
		one := m.machines[0]
		left := m.highest
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			most := rapid.Int64Range(1, 5_000).Draw(t, "most")
			_ = one.holder.books[0].update(context.Background(), false)
			w, err := one.holder.reserve(modelTeam, most)
			if w != nil {
				_ = one.holder.books[0].update(context.Background(), false)
				if one.holder.giveUp(modelTeam, w) {
					err = one.holder.refuse(modelTeam, most)
				}
			}
			if want := most > left; want != errors.Is(err, ErrSpent) {
				t.Fatalf("request %d for %d of %d: %v", i, most, left, err)
			}
			if err == nil {
				left -= most
			}
			m.pass(100 * time.Millisecond)
		}
	})
}
