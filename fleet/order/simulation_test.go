package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Number of steps with random faults in each simulation, and of the rounds without faults that follow.
const (
	faultySteps     = 400
	faultFreeRounds = 200
)

// packet is an order or a log record in transit.
type packet struct {
	arriveAt   time.Time
	sender     *fakeOrderer
	target     Target
	send       *Send
	payload    []byte
	answerLost bool
}

// simulation runs orderers that share a log and send orders to engines, some of which check fencing numbers and some
// don't.
type simulation struct {
	t         *rapid.T
	now       time.Time
	log       []platform.Entry
	reference State
	packets   []packet
	orderers  []*fakeOrderer
	restarts  uint64
	engines   map[string]*fakeEngine
	targets   [][]Target
	loadLimit uint64
	faultFree bool
	// hasUnreachableOrder is true once an order was closed as Unreachable: the log then no longer counts its load.
	hasUnreachableOrder bool
	counts              map[string]int
}

func (s *simulation) drawOneIn(n int, label string) bool {
	return !s.faultFree && rapid.IntRange(1, n).Draw(s.t, label) == 1
}

func (s *simulation) drawDuration(limit time.Duration, label string) time.Duration {
	if s.faultFree {
		return 0
	}
	return time.Duration(rapid.IntRange(0, int(limit/time.Millisecond)).Draw(s.t, label)) * time.Millisecond
}

func (s *simulation) reachableRouters() []Router {
	routers := []Router{}
	for _, f := range s.orderers {
		if !f.isPartitioned {
			routers = append(routers, Router{Instance: f.self.Instance})
		}
	}
	return routers
}

func (s *simulation) reachableEndpoints() []string {
	names := []string{}
	for name, e := range s.engines {
		if e.isReachable {
			names = append(names, name)
		}
	}
	return names
}

// sendRecord sends the orderer's pending record to the log; the record may be lost, delayed or duplicated.
func (s *simulation) sendRecord(f *fakeOrderer) {
	payload, err := Encode(*f.pendingEntry)
	if err != nil {
		s.t.Fatal(err)
	}
	if f.isPartitioned || s.drawOneIn(8, "append lost") {
		return
	}
	delay := leaseDuration / 20
	if s.drawOneIn(8, "append late") {
		delay = 3 * leaseDuration
	}
	p := packet{arriveAt: s.now.Add(s.drawDuration(delay, "append delay")), payload: payload}
	s.packets = append(s.packets, p)
	if s.drawOneIn(10, "append twice") {
		p.arriveAt = p.arriveAt.Add(s.drawDuration(2*leaseDuration, "copy delay"))
		s.packets = append(s.packets, p)
	}
}

// sendOrder puts an order in transit. The delay between lease check and arrival is bounded by maxSendDelay only for an
// engine that doesn't check fencing numbers.
func (s *simulation) sendOrder(sender *fakeOrderer, t Target, a *Send) {
	s.counts["send"]++
	if s.drawOneIn(8, "order lost") {
		return
	}
	pause := s.drawDuration(time.Second, "delay")
	if s.drawOneIn(2, "pause") {
		pause = s.drawDuration(maxSendDelay, "pause length")
		sender.crashesAfterStep = s.drawOneIn(2, "crash after a send")
		if sender.crashesAfterStep {
			pause = maxSendDelay - s.drawDuration(2*time.Second, "rest of the pause")
		}
		if t.ChecksFencing {
			pause *= 8
		}
	}
	s.packets = append(s.packets, packet{
		arriveAt: s.now.Add(pause), sender: sender, target: t, send: a, answerLost: s.drawOneIn(5, "answer lost"),
	})
}

// advance moves the clock forward by d; it completes the orders and delivers the packets that are due in that time.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		next := end
		for _, p := range s.packets {
			if p.arriveAt.Before(next) {
				next = p.arriveAt
			}
		}
		for _, e := range s.engines {
			for _, x := range e.running {
				if x.finishAt.Before(next) {
					next = x.finishAt
				}
			}
		}
		s.now = next
		for _, e := range s.engines {
			e.completeDue(s.now)
		}
		s.deliverDue()
		if !next.Before(end) {
			return
		}
	}
}

func (s *simulation) deliverDue() {
	due := []packet{}
	s.packets = slices.DeleteFunc(s.packets, func(p packet) bool {
		if p.arriveAt.After(s.now) {
			return false
		}
		due = append(due, p)
		return true
	})
	for _, p := range due {
		if p.send != nil {
			s.deliverOrder(p)
		} else {
			s.appendToLog(p.payload)
		}
		s.checkInvariants()
	}
}

// appendToLog adds a payload to the log and folds it into the reference state.
func (s *simulation) appendToLog(payload []byte) {
	entry := platform.Entry{Offset: platform.Offset(len(s.log)), Payload: payload}
	s.log = append(s.log, entry)
	result, _ := s.reference.Apply(entry)
	s.counts[fmt.Sprintf("%T%s", result.Entry.Record, result.Refused)]++
	if d, ok := result.Entry.Record.(*Done); ok && d.Outcome == Unreachable {
		s.hasUnreachableOrder = true
	}
}

func (s *simulation) deliverOrder(p packet) {
	e := s.engines[p.target.Endpoint]
	if !e.isReachable {
		return
	}
	accepted, overlaps := e.accept(p.send.FencingNumber, p.send.Order, s.now.Add(loadDuration))
	if overlaps && !e.target.ChecksFencing {
		s.t.Fatalf("orders overlap at %s: %v", p.target.Endpoint, e.running)
	}
	if !accepted {
		s.counts["fenced"]++
	}
	if !p.answerLost && slices.Contains(s.orderers, p.sender) {
		p.sender.recordAnswer(s, p.target.Endpoint, p.send.FencingNumber, Answered)
	}
}

// checkInvariants fails the test if orders took effect out of order, if too many engines load, or if no engine serves
// a model.
func (s *simulation) checkInvariants() {
	loading := 0
	served := []string{}
	for name, e := range s.engines {
		if !slices.IsSorted(e.appliedNumbers) {
			s.t.Fatalf("an older order took effect after a newer one at %s: %v", name, e.appliedNumbers)
		}
		if e.isLoading() {
			loading++
		}
		served = append(served, baseModels(e.loaded)...)
	}
	if uint64(s.reference.LoadsInProgress("")) > s.loadLimit {
		s.t.Fatalf("%d loads in progress in the log, more than the load limit", s.reference.LoadsInProgress(""))
	}
	if !s.hasUnreachableOrder && uint64(loading) > s.loadLimit {
		s.t.Fatalf("%d engines load at the same time, more than the load limit", loading)
	}
	for _, model := range []string{"brush", "palette"} {
		if !slices.Contains(served, model) {
			s.t.Fatalf("no engine serves %s", model)
		}
	}
}

// step advances the clock by a random time and runs a random subset of the orderers, with random faults.
func (s *simulation) step() {
	s.advance(s.drawDuration(leaseDuration/10, "time"))
	for _, f := range slices.Clone(s.orderers) {
		if !s.drawOneIn(3, "idle") {
			s.runWithFaults(f)
		}
	}
}

// runWithFaults runs an orderer, possibly after a crash, a partition, an engine failure or recovery, or a change of its
// targets.
func (s *simulation) runWithFaults(f *fakeOrderer) {
	switch {
	case s.drawOneIn(300, "crash"):
		s.restart(f)
		return
	case s.drawOneIn(120, "cut off"):
		f.isPartitioned = !f.isPartitioned
	case s.drawOneIn(300, "engine"):
		name := s.targets[0][rapid.IntRange(0, len(s.targets[0])-1).Draw(s.t, "engine")].Endpoint
		s.engines[name].isReachable = !s.engines[name].isReachable
	case s.drawOneIn(12, "ticket"):
		f.targetSet = rapid.IntRange(0, len(s.targets)-1).Draw(s.t, "ticket number")
	}
	s.runOrderer(f)
	if f.crashesAfterStep {
		s.restart(f)
	}
}

// runOrderer lets an orderer read the log and act on each endpoint; it returns the actions by endpoint.
func (s *simulation) runOrderer(f *fakeOrderer) map[string]Action {
	if f.pendingEntry != nil {
		s.sendRecord(f)
	}
	f.poll(s)
	actions := map[string]Action{}
	for _, t := range s.targets[f.targetSet] {
		actions[t.Endpoint] = f.actOn(s, t)
		if w, ok := actions[t.Endpoint].(*Wait); ok {
			s.counts[string(w.Reason)]++
		}
	}
	return actions
}

// restoredState encodes the reference state as a snapshot and returns the decoded state, which must be equal.
func (s *simulation) restoredState() *State {
	payload, err := s.reference.EncodeSnapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	state, err := DecodeSnapshot(payload)
	if err != nil {
		s.t.Fatal(err)
	}
	if diff := cmp.Diff(&s.reference, state, cmp.AllowUnexported(State{}, orderer{}, endpoint{}, unfinishedOrder{})); diff != "" {
		s.t.Fatalf("the decoded snapshot differs from the encoded state:\n%s", diff)
	}
	s.counts["snapshot"]++
	return state
}

func (s *simulation) restart(f *fakeOrderer) {
	s.restarts++
	next := newFakeOrderer(ledger.Incarnation{Instance: f.self.Instance, Number: s.restarts}, s.targets[0])
	if s.restarts%16 == 0 {
		next.state = s.restoredState()
	}
	s.orderers[slices.Index(s.orderers, f)] = next
}

// drawSetup draws orderers, engines and targets. With hasFixedEndpoint, every target of the first engine wants all
// models in version 1, so that the other engines may drop theirs.
func (s *simulation) drawSetup(hasFixedEndpoint bool) {
	s.now = time.Date(2026, time.December, 3, 0, 0, 0, 0, time.UTC)
	s.engines = map[string]*fakeEngine{}
	s.loadLimit = uint64(rapid.IntRange(1, 2).Draw(s.t, "load limit"))
	endpoints := rapid.IntRange(2, 4).Draw(s.t, "endpoints")
	s.targets = make([][]Target, 4)
	all := []Artifact{{Model: "brush", Version: "1"}, {Model: "palette", Version: "1"}}
	wanted := rapid.SliceOfNDistinct(rapid.SampledFrom([]Artifact{
		all[0], all[1], {Model: "brush", Version: "2"}, {Model: "palette", Version: "2"},
		{Model: "brush", Adapter: "cats", Version: "1"},
	}), 1, 4, rapid.ID)
	for i := range endpoints {
		name := fmt.Sprint("runner-", i)
		checks := rapid.Bool().Draw(s.t, "checks")
		e := &fakeEngine{isReachable: true, loaded: all, target: Target{Endpoint: name, ChecksFencing: checks}}
		s.engines[name] = e
		for number := range s.targets {
			t := Target{Endpoint: name, Declared: true, ChecksFencing: checks, Wanted: wanted.Draw(s.t, "wanted"), Role: "Decode"}
			if hasFixedEndpoint && i == 0 {
				t.Wanted = all
			}
			s.targets[number] = append(s.targets[number], t)
		}
	}
	for i := range rapid.IntRange(3, 6).Draw(s.t, "orderers") {
		self := ledger.Incarnation{Instance: fmt.Sprint("router-", i)}
		s.orderers = append(s.orderers, newFakeOrderer(self, s.targets[0]))
	}
}

// runFaultFree runs the simulation without faults for a fixed number of rounds. It returns, by endpoint, the last
// action other than a Read that the claim holder took, or any orderer while no claim was held.
func (s *simulation) runFaultFree() map[string]Action {
	s.faultFree = true
	for _, e := range s.engines {
		e.isReachable = true
	}
	for _, f := range s.orderers {
		f.isPartitioned = false
		f.targetSet = len(s.targets) - 1
	}
	final := map[string]Action{}
	for range faultFreeRounds {
		s.advance(2 * time.Second)
		for _, f := range s.orderers {
			for name, action := range s.runOrderer(f) {
				_, isRead := action.(*Read)
				if v := f.state.Endpoint(name); !isRead && (!v.Held || v.Holder == f.self) {
					final[name] = action
				}
			}
		}
	}
	return final
}

// TestOrdersKeepTheirRules checks the invariants of the orders under lost, late and duplicated messages, crashes and
// partitions, and guards against endpoints that don't reach their target state once the faults end.
func TestOrdersKeepTheirRules(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, counts: counts}
		hasFixedEndpoint := rapid.Bool().Draw(t, "anchor")
		s.drawSetup(hasFixedEndpoint)
		for range faultySteps {
			s.step()
		}
		for name, action := range s.runFaultFree() {
			e := s.engines[name]
			target := s.targets[len(s.targets)-1][slices.IndexFunc(s.targets[0], func(t Target) bool { return t.Endpoint == name })]
			if w, ok := action.(*Wait); ok && w.Reason == LastEndpoint && !hasFixedEndpoint {
				counts["blocked"]++
				continue
			}
			counts["reached"]++
			if diff := cmp.Diff(sortedUnique(target.Wanted), sortedUnique(e.loaded)); diff != "" {
				t.Fatalf("%s differs from its target state after the last action %T %v (-want +got):\n%s", name, action, action, diff)
			}
		}
		for _, f := range s.orderers {
			for _, target := range s.targets[0] {
				if diff := cmp.Diff(s.reference.Endpoint(target.Endpoint), f.state.Endpoint(target.Endpoint)); diff != "" {
					t.Fatalf("an orderer's fold of the log differs from the reference state:\n%s", diff)
				}
			}
		}
	})
	t.Log(counts)
	for _, kind := range []string{
		"*order.Claim", "*order.Yield", "*order.Fence", "*order.Report", "*order.Order", "*order.Done",
		"*order.ClaimHeld", "*order.FenceHeard", "*order.OrderLastLoaded", "*order.OrderLoadLimit",
		"*order.OrderNotHolder", "fenced", "blocked", "reached", string(AnswerLost), string(FormerLease), string(LeaseLapsed), "snapshot",
	} {
		if counts[kind] == 0 {
			t.Errorf("the simulation never produced %s", kind)
		}
	}
}
