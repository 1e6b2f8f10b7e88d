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

const (
	simulatedSteps = 400
	healedRounds   = 200
)

// packet is an order or a record on its way.
type packet struct {
	arriveAt time.Time
	from     *fakeOrderer
	target   Target
	send     *Send
	payload  []byte
	lost     bool
}

// simulation runs orderers over one log before engines of both kinds.
type simulation struct {
	t         *rapid.T
	now       time.Time
	log       []platform.Entry
	oracle    State
	packets   []packet
	orderers  []*fakeOrderer
	starts    uint64
	engines   map[string]*fakeEngine
	targets   [][]Target
	loadLimit uint64
	healed    bool
	// unreachable is set once an order was given up: its load is then no longer counted.
	unreachable bool
	seen        map[string]int
}

func (s *simulation) oneIn(n int, label string) bool {
	return !s.healed && rapid.IntRange(1, n).Draw(s.t, label) == 1
}

func (s *simulation) upTo(d time.Duration, label string) time.Duration {
	if s.healed {
		return 0
	}
	return time.Duration(rapid.IntRange(0, int(d/time.Millisecond)).Draw(s.t, label)) * time.Millisecond
}

func (s *simulation) routers() []Router {
	routers := []Router{}
	for _, f := range s.orderers {
		if !f.cutOff {
			routers = append(routers, Router{Instance: f.self.Instance})
		}
	}
	return routers
}

func (s *simulation) alive() []string {
	names := []string{}
	for name, e := range s.engines {
		if e.alive {
			names = append(names, name)
		}
	}
	return names
}

// append sends the outstanding record to the log; it may get lost, come late or come twice.
func (s *simulation) append(f *fakeOrderer) {
	payload, err := Encode(*f.outstanding)
	if err != nil {
		s.t.Fatal(err)
	}
	if f.cutOff || s.oneIn(8, "append lost") {
		return
	}
	delay := lease / 20
	if s.oneIn(8, "append late") {
		delay = 3 * lease
	}
	p := packet{arriveAt: s.now.Add(s.upTo(delay, "append delay")), payload: payload}
	s.packets = append(s.packets, p)
	if s.oneIn(10, "append twice") {
		p.arriveAt = p.arriveAt.Add(s.upTo(2*lease, "copy delay"))
		s.packets = append(s.packets, p)
	}
}

// send puts an order on its way: the pause between check and arrival is bounded only for an engine that
// doesn't check.
func (s *simulation) send(f *fakeOrderer, t Target, a *Send) {
	s.seen["send"]++
	if s.oneIn(8, "order lost") {
		return
	}
	pause := s.upTo(time.Second, "delay")
	if s.oneIn(2, "pause") {
		pause = s.upTo(longestPause, "pause length")
		f.dying = s.oneIn(2, "crash after a send")
		if f.dying {
			pause = longestPause - s.upTo(2*time.Second, "rest of the pause")
		}
		if t.ChecksFencing {
			pause *= 8
		}
	}
	s.packets = append(s.packets, packet{
		arriveAt: s.now.Add(pause), from: f, target: t, send: a, lost: s.oneIn(5, "answer lost"),
	})
}

// advance lets time pass and delivers what is due.
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
			e.finish(s.now)
		}
		s.deliver()
		if !next.Before(end) {
			return
		}
	}
}

func (s *simulation) deliver() {
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
			s.arrive(p)
		} else {
			s.enter(p.payload)
		}
		s.check()
	}
}

// enter adds a payload to the log and follows it with the fold of the simulation.
func (s *simulation) enter(payload []byte) {
	entry := platform.Entry{Offset: platform.Offset(len(s.log)), Payload: payload}
	s.log = append(s.log, entry)
	result, _ := s.oracle.Apply(entry)
	s.seen[fmt.Sprintf("%T%s", result.Entry.Record, result.Refused)]++
	if d, ok := result.Entry.Record.(*Done); ok && d.Outcome == Unreachable {
		s.unreachable = true
	}
}

func (s *simulation) arrive(p packet) {
	e := s.engines[p.target.Endpoint]
	if !e.alive {
		return
	}
	taken, overlaps := e.take(p.send.FencingNumber, p.send.Order, s.now.Add(loadTime))
	if overlaps && !e.target.ChecksFencing {
		s.t.Fatalf("orders overlap at %s: %v", p.target.Endpoint, e.running)
	}
	if !taken {
		s.seen["fenced"]++
	}
	if !p.lost && slices.Contains(s.orderers, p.from) {
		p.from.answer(s, p.target.Endpoint, p.send.FencingNumber, Answered)
	}
}

// check verifies what must hold at every moment.
func (s *simulation) check() {
	loading := 0
	served := []string{}
	for name, e := range s.engines {
		if !slices.IsSorted(e.effects) {
			s.t.Fatalf("an older order took effect after a newer one at %s: %v", name, e.effects)
		}
		if e.loading() {
			loading++
		}
		served = append(served, models(e.loaded)...)
	}
	if uint64(s.oracle.LoadsInProgress("")) > s.loadLimit {
		s.t.Fatalf("%d loads in progress in the log", s.oracle.LoadsInProgress(""))
	}
	if !s.unreachable && uint64(loading) > s.loadLimit {
		s.t.Fatalf("%d engines load", loading)
	}
	for _, model := range []string{"brush", "palette"} {
		if !slices.Contains(served, model) {
			s.t.Fatalf("no engine serves %s", model)
		}
	}
}

// step lets something happen.
func (s *simulation) step() {
	s.advance(s.upTo(lease/10, "time"))
	for _, f := range slices.Clone(s.orderers) {
		if !s.oneIn(3, "idle") {
			s.disturb(f)
		}
	}
}

// disturb lets an orderer act, perhaps after a fault.
func (s *simulation) disturb(f *fakeOrderer) {
	switch {
	case s.oneIn(300, "crash"):
		s.restart(f)
		return
	case s.oneIn(120, "cut off"):
		f.cutOff = !f.cutOff
	case s.oneIn(300, "engine"):
		name := s.targets[0][rapid.IntRange(0, len(s.targets[0])-1).Draw(s.t, "engine")].Endpoint
		s.engines[name].alive = !s.engines[name].alive
	case s.oneIn(12, "ticket"):
		f.wanted = rapid.IntRange(0, len(s.targets)-1).Draw(s.t, "ticket number")
	}
	s.run(f)
	if f.dying {
		s.restart(f)
	}
}

// run lets an orderer read the log and act at each endpoint.
func (s *simulation) run(f *fakeOrderer) map[string]Action {
	if f.outstanding != nil {
		s.append(f)
	}
	f.poll(s)
	actions := map[string]Action{}
	for _, t := range s.targets[f.wanted] {
		actions[t.Endpoint] = f.act(s, t)
		if w, ok := actions[t.Endpoint].(*Wait); ok {
			s.seen[string(w.Reason)]++
		}
	}
	return actions
}

// decoded returns the newest state as a snapshot gives it back.
func (s *simulation) decoded() *State {
	payload, err := s.oracle.EncodeSnapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	state, err := DecodeSnapshot(payload)
	if err != nil {
		s.t.Fatal(err)
	}
	if diff := cmp.Diff(&s.oracle, state, cmp.AllowUnexported(State{}, orderer{}, endpoint{}, unfinished{})); diff != "" {
		s.t.Fatalf("a snapshot differs from its state:\n%s", diff)
	}
	s.seen["snapshot"]++
	return state
}

func (s *simulation) restart(f *fakeOrderer) {
	s.starts++
	next := newFakeOrderer(ledger.Incarnation{Instance: f.self.Instance, Number: s.starts}, s.targets[0])
	if s.starts%16 == 0 {
		next.state = s.decoded()
	}
	s.orderers[slices.Index(s.orderers, f)] = next
}

// start draws orderers, engines and targets. With an anchor, the first engine serves everything for good.
func (s *simulation) start(anchor bool) {
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
		e := &fakeEngine{alive: true, loaded: all, target: Target{Endpoint: name, ChecksFencing: checks}}
		s.engines[name] = e
		for number := range s.targets {
			t := Target{Endpoint: name, Declared: true, ChecksFencing: checks, Wanted: wanted.Draw(s.t, "wanted"), Role: "Decode"}
			if anchor && i == 0 {
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

// heal ends the faults and returns the newest decision of each endpoint's holder that was not to read its state.
func (s *simulation) heal() map[string]Action {
	s.healed = true
	for _, e := range s.engines {
		e.alive = true
	}
	for _, f := range s.orderers {
		f.cutOff = false
		f.wanted = len(s.targets) - 1
	}
	final := map[string]Action{}
	for range healedRounds {
		s.advance(2 * time.Second)
		for _, f := range s.orderers {
			for name, action := range s.run(f) {
				_, isRead := action.(*Read)
				if v := f.state.Endpoint(name); !isRead && (!v.Held || v.Holder == f.self) {
					final[name] = action
				}
			}
		}
	}
	return final
}

func TestOrdersKeepTheirRules(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, seen: seen}
		anchor := rapid.Bool().Draw(t, "anchor")
		s.start(anchor)
		for range simulatedSteps {
			s.step()
		}
		for name, action := range s.heal() {
			e := s.engines[name]
			target := s.targets[len(s.targets)-1][slices.IndexFunc(s.targets[0], func(t Target) bool { return t.Endpoint == name })]
			if w, ok := action.(*Wait); ok && w.Reason == LastEndpoint && !anchor {
				seen["blocked"]++
				continue
			}
			seen["reached"]++
			if diff := cmp.Diff(sorted(target.Wanted), sorted(e.loaded)); diff != "" {
				t.Fatalf("%s differs from the wanted state, last %T %v (-want +got):\n%s", name, action, action, diff)
			}
		}
		for _, f := range s.orderers {
			for _, target := range s.targets[0] {
				if diff := cmp.Diff(s.oracle.Endpoint(target.Endpoint), f.state.Endpoint(target.Endpoint)); diff != "" {
					t.Fatalf("two folds of one log differ:\n%s", diff)
				}
			}
		}
	})
	t.Log(seen)
	for _, kind := range []string{
		"*order.Claim", "*order.Yield", "*order.Fence", "*order.Report", "*order.Order", "*order.Done",
		"*order.ClaimHeld", "*order.FenceHeard", "*order.OrderLastLoaded", "*order.OrderLoadLimit",
		"*order.OrderNotHolder", "fenced", "blocked", "reached", string(AnswerLost), string(FormerLease), string(LeaseLapsed), "snapshot",
	} {
		if seen[kind] == 0 {
			t.Errorf("the simulation never led to %s", kind)
		}
	}
}
