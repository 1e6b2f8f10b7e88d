package ledgerstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// scheduleReserveShare is the reserve share of each router in tokens.
const scheduleReserveShare = 400

// canStop reports whether one more router may stop, and counts it. With the relay at most two may stop, and the
// second only if it is not the last holder of records that are not in the log: spending without the log does not
// tolerate the loss of a router together with all holders of its copies.
func (r *scheduleRun) canStop(m *clusterMember) bool {
	if r.relay == nil {
		return true
	}
	if r.stopped == 2 || r.stopped == 1 && r.holdsLastCopy(m) {
		return false
	}
	r.stopped++
	return true
}

// isSettled reports whether no reservation is open, no record or copy waits to be appended, and each router has
// exactly one incarnation, which is not suspended.
func (r *scheduleRun) isSettled() bool {
	r.check()
	budget, _ := r.audit.Budget(testBudget)
	remaining := budget.OpenRequests
	for _, v := range r.audit.Incarnations() {
		remaining += countIf(v.Suspended)
	}
	for _, m := range r.members {
		s := m.Status()
		remaining += s.Outbox + s.Copies + s.Attempts
	}
	return remaining == 0 && len(r.audit.Incarnations()) == len(r.members)
}

// groupKey identifies a group of records by its writer and its first sequence number.
type groupKey struct {
	Writer ledger.Incarnation
	First  uint64
}

// holdsLastCopy reports whether a router holds a group that was copied but that neither the log nor another router
// has.
func (r *scheduleRun) holdsLastCopy(m *clusterMember) bool {
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

// heldGroups returns the last sequence numbers of the copies that a router holds and of its own groups that were
// copied.
func (m *clusterMember) heldGroups() map[groupKey]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	lastSequences := map[groupKey]uint64{}
	for _, h := range m.heldCopies {
		lastSequences[groupKey{h.writer, h.first}] = h.last
	}
	for _, o := range m.outboxes() {
		for _, g := range o.groups {
			if len(g.copies) > 0 {
				lastSequences[groupKey{o.incarnation, g.first}] = g.last()
			}
		}
	}
	return lastSequences
}

// startWithRelay starts a router that can spend reserve shares without the log.
func (r *scheduleRun) startWithRelay(index int) *clusterMember {
	name := fmt.Sprintf("router-%d", index)
	m := r.start(Settings{
		Instance:         name,
		Region:           fmt.Sprintf("region-%d", index/2),
		AvailabilityZone: fmt.Sprintf("zone-%d", index),
		PeerAddress:      "127.0.0.1:1",
		Relay:            &fakeRelayClient{relay: r.relay, from: name},
		ReserveTerm:      scheduleReserveTerm,
		PollInterval:     schedulePoll,
	})
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	r.relay.clients[name] = m.Client
	return m
}

// scheduleReserveTerm is short enough for reserve shares of a disconnected router to end within a schedule.
const scheduleReserveTerm = 3 * time.Minute

// TestSchedulesWithRelay guards against overspending, lost bills and wrong verdicts under random faults while
// routers spend reserve shares without the log.
func TestSchedulesWithRelay(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(3, 6).Draw(rt, "routers")
		steps := rapid.SliceOfN(rapid.Custom(generateStep), 10, 60).Draw(rt, "steps")
		violation := error(nil)
		synctest.Test(t, func(t *testing.T) {
			r := &scheduleRun{requests: map[uint64]*requestHistory{}, ticket: 1, prepaid: 20_000}
			r.relay = &fakeRelay{clients: map[string]*Client{}, disconnected: map[string]bool{}}
			r.cluster = &cluster{tb: t, log: newFakeLog(testSeed)}
			defer r.stop()
			for i := range routers {
				r.startWithRelay(i)
			}
			time.Sleep(time.Second)
			for _, m := range r.members {
				m.DeclarePrepaid([]ledger.Prepaid{r.newestPrepaid()})
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
