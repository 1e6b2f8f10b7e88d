package ledgerstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// scheduleReserve is the reserve share of each router.
const scheduleReserve = 400

// mayLose says whether one more router may end. With the relay two do, unless the second is the last holder of what the
// log lacks: to lose a router and all holders of its copies is the stated limit of spending without the log.
func (r *trial) mayLose(m *node) bool {
	if r.relay == nil {
		return true
	}
	if r.losses == 2 || r.losses == 1 && r.isLastHolder(m) {
		return false
	}
	r.losses++
	return true
}

// settled says that nothing is left that a bill or a fence could change.
func (r *trial) settled() bool {
	r.check()
	budget, _ := r.audit.Budget(testBudget)
	left := budget.OpenRequests
	for _, v := range r.audit.Incarnations() {
		left += countIf(v.Suspended)
	}
	for _, m := range r.members {
		s := m.Status()
		left += s.Outbox + s.Copies + s.Attempts
	}
	return left == 0 && len(r.audit.Incarnations()) == len(r.members)
}

// groupKey names a group.
type groupKey struct {
	Writer ledger.Incarnation
	First  uint64
}

// isLastHolder says whether a router holds a group that was copied and that neither the log nor another router has.
func (r *trial) isLastHolder(m *node) bool {
	r.check()
	elsewhere := map[groupKey]bool{}
	for _, other := range r.members {
		if other == m {
			continue
		}
		for key := range other.heldGroups() {
			elsewhere[key] = true
		}
	}
	for key, last := range m.heldGroups() {
		if !elsewhere[key] && r.audit.AppliedSequence(key.Writer) < last {
			return true
		}
	}
	return false
}

// heldGroups returns the last sequence numbers of the groups that a router holds: copies, and own ones that were copied.
func (m *node) heldGroups() map[groupKey]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := map[groupKey]uint64{}
	for _, h := range m.heldCopies {
		held[groupKey{h.writer, h.first}] = h.last
	}
	for _, o := range m.outboxes() {
		for _, g := range o.groups {
			if len(g.copies) > 0 {
				held[groupKey{o.incarnation, g.first}] = g.last()
			}
		}
	}
	return held
}

// startRelayed starts a router that spends reserve shares without the log.
func (r *trial) startRelayed(at int) *node {
	name := fmt.Sprintf("router-%d", at)
	m := r.start(Settings{
		Instance:         name,
		Region:           fmt.Sprintf("region-%d", at/2),
		AvailabilityZone: fmt.Sprintf("zone-%d", at),
		PeerAddress:      "127.0.0.1:1",
		Relay:            &fakeRelayEnd{relay: r.relay, from: name},
		ReserveTerm:      scheduleReserveTerm,
		PollInterval:     schedulePoll,
	})
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	r.relay.clients[name] = m.Client
	return m
}

// scheduleReserveTerm ends the reserve shares of a router that is cut off within a schedule.
const scheduleReserveTerm = 3 * time.Minute

// TestSchedulesWithRelay runs schedules in which routers spend reserve shares while the log is away.
func TestSchedulesWithRelay(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(3, 6).Draw(rt, "routers")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 60).Draw(rt, "steps")
		violation := error(nil)
		synctest.Test(t, func(t *testing.T) {
			r := &trial{requests: map[uint64]*history{}, ticket: 1, prepaid: 20_000}
			r.relay = &fakeRelay{clients: map[string]*Client{}, cut: map[string]bool{}}
			r.cluster = &cluster{tb: t, log: newFakeLog(testSeed)}
			defer r.stop()
			for i := range routers {
				r.startRelayed(i)
			}
			time.Sleep(time.Second)
			for _, m := range r.members {
				m.DeclarePrepaid([]ledger.Prepaid{r.total()})
			}
			time.Sleep(10 * time.Second)
			r.run(steps)
			violation = r.violation
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}
