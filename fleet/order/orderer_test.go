package order

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Times of the simulation.
const (
	lease    = 10 * time.Second
	margin   = 2 * time.Second
	lapse    = lease + margin
	giveUp   = 40 * time.Second
	gapLimit = 5 * time.Second
	loadTime = 8 * time.Second
	// longestPause is the longest time between check and arrival at an engine that doesn't check: a lapse until
	// the fence and another one after it, less what the sender's lease had left at the check.
	longestPause = 2*lapse - (lease - margin) - 500*time.Millisecond
)

// fakeOrderer is a process that acts on the decisions.
type fakeOrderer struct {
	self        ledger.Incarnation
	state       *State
	lease       decision.Lease
	observation decision.Observation
	silences    map[ledger.Incarnation]*decision.Silence
	ends        map[string]*EndWatch
	readings    map[string]Reading
	readAt      map[string]time.Time
	heardAt     map[string]time.Time
	sent        map[string]Sent
	sentAt      map[string]time.Time
	lostAt      map[string]time.Time
	sequence    uint64
	outstanding *Entry
	firstSentAt time.Time
	// cutOff orderers can't reach the log; wanted is the number of the targets that they know.
	cutOff bool
	wanted int
	// dying orderers crash after their step.
	dying bool
}

func newFakeOrderer(self ledger.Incarnation, targets []Target) *fakeOrderer {
	f := &fakeOrderer{
		self: self, state: &State{},
		lease:       decision.Lease{Term: lease, Margin: margin},
		observation: decision.Observation{GapLimit: gapLimit},
		silences:    map[ledger.Incarnation]*decision.Silence{}, ends: map[string]*EndWatch{},
		readings: map[string]Reading{}, readAt: map[string]time.Time{}, heardAt: map[string]time.Time{},
		sent: map[string]Sent{}, sentAt: map[string]time.Time{}, lostAt: map[string]time.Time{},
	}
	for _, t := range targets {
		f.ends[t.Endpoint] = &EndWatch{GapLimit: gapLimit}
	}
	return f
}

// renew renews the lease while claims are held.
func (f *fakeOrderer) renew(s *simulation) {
	holds := slices.ContainsFunc(f.state.Orderers(), func(v OrdererView) bool { return v.Incarnation == f.self })
	if holds && s.now.Sub(f.firstSentAt) > lease/3 {
		f.append(s, &Renew{})
	}
}

// poll reads the log to its end.
func (f *fakeOrderer) poll(s *simulation) {
	if f.cutOff {
		f.observation.Break()
		return
	}
	for _, e := range s.log[f.state.Next():] {
		result, _ := f.state.Apply(e)
		if o := f.outstanding; o != nil && result.Entry.Writer == f.self && result.Entry.Sequence == o.Sequence {
			f.lease.Renew(f.firstSentAt)
			f.outstanding = nil
		}
	}
	f.observation.Read(s.now)
	f.watchEnds(s)
	f.renew(s)
	f.fence(s)
}

func (f *fakeOrderer) watchEnds(s *simulation) {
	for _, t := range s.targets[0] {
		f.ends[t.Endpoint].Read(s.now, f.state.Endpoint(t.Endpoint).FormerEnd)
	}
}

// fence ends the claims of the orderers that were silent.
func (f *fakeOrderer) fence(s *simulation) {
	for _, v := range f.state.Orderers() {
		if v.Incarnation == f.self {
			continue
		}
		silence := f.silences[v.Incarnation]
		if silence == nil {
			silence = &decision.Silence{}
			f.silences[v.Incarnation] = silence
		}
		silence.Update(&f.observation, v.LastSeen)
		terms := decision.FenceTerms{Working: lapse, Reserve: lapse}
		if _, due := decision.FenceDue(&f.observation, silence, false, terms); due {
			f.append(s, &Fence{Target: v.Incarnation, LastSeen: v.LastSeen})
		}
	}
}

// append gives a record its sequence number unless another one waits to be read back.
func (f *fakeOrderer) append(s *simulation, r Record) {
	if f.outstanding != nil {
		return
	}
	f.sequence++
	f.outstanding = &Entry{Writer: f.self, Sequence: f.sequence, Record: r}
	f.firstSentAt = s.now
	s.append(f)
}

// input gathers what the decision for an endpoint depends on.
func (f *fakeOrderer) input(s *simulation, t Target) *Input {
	in := &Input{
		Self: f.self, State: f.state, Target: t, LeaseLeft: f.lease.Left(s.now),
		Preferred:  Preferred(t.Endpoint, "", s.routers()) == f.self.Instance,
		Reading:    f.readings[t.Endpoint],
		Sent:       f.sent[t.Endpoint],
		EndSeenFor: f.ends[t.Endpoint].SeenFor(s.now, f.state.Endpoint(t.Endpoint).FormerEnd),
		Terms:      Terms{Lapse: lapse, GiveUp: giveUp, LoadLimit: s.loadLimit},
		Alive:      s.alive(),
	}
	in.Reading.Age = s.now.Sub(f.readAt[t.Endpoint])
	in.SilentFor = s.now.Sub(f.heardAt[t.Endpoint])
	if in.Sent.Progress == Lost {
		in.Sent.LostFor = s.now.Sub(f.lostAt[t.Endpoint])
	}
	return in
}

// act takes one step for an endpoint and returns what was decided.
func (f *fakeOrderer) act(s *simulation, t Target) Action {
	f.expire(s, t.Endpoint)
	action := Next(f.input(s, t))
	switch a := action.(type) {
	case *Append:
		f.append(s, a.Record)
	case *Send:
		delete(f.readings, t.Endpoint)
		f.sent[t.Endpoint] = Sent{FencingNumber: a.FencingNumber, Progress: InFlight}
		f.sentAt[t.Endpoint] = s.now
		s.send(f, t, a)
	case *Read:
		f.read(s, t.Endpoint)
	}
	return action
}

// expire gives a lost answer up and forgets old readings.
func (f *fakeOrderer) expire(s *simulation, name string) {
	if sent := f.sent[name]; sent.Progress == InFlight && s.now.Sub(f.sentAt[name]) > gapLimit {
		f.answer(s, name, sent.FencingNumber, Lost)
	}
	if s.now.Sub(f.readAt[name]) > gapLimit {
		delete(f.readings, name)
	}
}

// answer notes how a send ended.
func (f *fakeOrderer) answer(s *simulation, name string, number platform.Offset, progress Progress) {
	if sent := f.sent[name]; sent.FencingNumber != number || sent.Progress != InFlight {
		return
	}
	delete(f.readings, name)
	f.sent[name] = Sent{FencingNumber: number, Progress: progress}
	f.lostAt[name] = s.now
}

func (f *fakeOrderer) read(s *simulation, name string) {
	e := s.engines[name]
	if _, ok := f.heardAt[name]; !ok {
		f.heardAt[name] = s.now
	}
	if !e.alive {
		return
	}
	f.heardAt[name], f.readAt[name] = s.now, s.now
	f.readings[name] = Reading{
		Read: true, From: f.state.Next(), Accepted: e.accepted, Busy: len(e.running) > 0,
		Loaded: sorted(e.loaded), Role: e.role,
	}
}
