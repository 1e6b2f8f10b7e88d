package order

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Durations of the simulation. readGapLimit is also the timeout for the answer to an order and the maximum age of a
// reading.
const (
	leaseDuration       = 10 * time.Second
	leaseMargin         = 2 * time.Second
	leaseExpiry         = leaseDuration + leaseMargin
	unresponsiveTimeout = 40 * time.Second
	readGapLimit        = 5 * time.Second
	loadDuration        = 8 * time.Second
	// maxSendDelay is the longest simulated time between the sender's lease check and the arrival of an order at an
	// engine that doesn't check fencing numbers. The next orderer waits one lease expiry until it fences the sender
	// and another one until it sends; the sender's lease check may follow its newest record by up to the usable lease
	// (term minus margin), which is subtracted.
	maxSendDelay = 2*leaseExpiry - (leaseDuration - leaseMargin) - 500*time.Millisecond
)

// fakeOrderer is a simulated router process that performs the actions which Next returns.
type fakeOrderer struct {
	self               ledger.Incarnation
	state              *State
	lease              decision.Lease
	readContinuity     decision.ReadContinuity
	unresponsiveTimers map[ledger.Incarnation]*decision.Inactivity
	claimEnds          map[string]*ClaimEndTimer
	readings           map[string]Reading
	readingAt          map[string]time.Time
	lastReadAt         map[string]time.Time
	sent               map[string]SendStatus
	sentAt             map[string]time.Time
	lostAt             map[string]time.Time
	sequence           uint64
	pendingEntry       *Entry
	firstSentAt        time.Time
	// isPartitioned is true while the orderer can't reach the log. targetSet is the index of the targets that it
	// knows.
	isPartitioned bool
	targetSet     int
	// crashesAfterStep is true if the orderer crashes at the end of its current step.
	crashesAfterStep bool
}

func newFakeOrderer(self ledger.Incarnation, targets []Target) *fakeOrderer {
	f := &fakeOrderer{
		self: self, state: &State{},
		lease:              decision.Lease{Term: leaseDuration, Margin: leaseMargin},
		readContinuity:     decision.ReadContinuity{GapLimit: readGapLimit},
		unresponsiveTimers: map[ledger.Incarnation]*decision.Inactivity{}, claimEnds: map[string]*ClaimEndTimer{},
		readings: map[string]Reading{}, readingAt: map[string]time.Time{}, lastReadAt: map[string]time.Time{},
		sent: map[string]SendStatus{}, sentAt: map[string]time.Time{}, lostAt: map[string]time.Time{},
	}
	for _, t := range targets {
		f.claimEnds[t.Endpoint] = &ClaimEndTimer{GapLimit: readGapLimit}
	}
	return f
}

// renewLease appends a Renew while the orderer holds claims and a third of the lease has passed since its newest
// record.
func (f *fakeOrderer) renewLease(s *simulation) {
	holds := slices.ContainsFunc(f.state.Orderers(), func(v OrdererView) bool { return v.Incarnation == f.self })
	if holds && s.now.Sub(f.firstSentAt) > leaseDuration/3 {
		f.appendRecord(s, &Renew{})
	}
}

// poll reads the log to its end, then renews the lease and fences unresponsive orderers.
func (f *fakeOrderer) poll(s *simulation) {
	if f.isPartitioned {
		f.readContinuity.Interrupt()
		return
	}
	for _, e := range s.log[f.state.Next():] {
		result, _ := f.state.Apply(e)
		if o := f.pendingEntry; o != nil && result.Entry.Writer == f.self && result.Entry.Sequence == o.Sequence {
			f.lease.Renew(f.firstSentAt)
			f.pendingEntry = nil
		}
	}
	f.readContinuity.RecordRead(s.now)
	f.observeClaimEnds(s)
	f.renewLease(s)
	f.fenceUnresponsive(s)
}

func (f *fakeOrderer) observeClaimEnds(s *simulation) {
	for _, t := range s.targets[0] {
		f.claimEnds[t.Endpoint].Read(s.now, f.state.Endpoint(t.Endpoint).FormerEnd)
	}
}

// fenceUnresponsive appends a Fence for each orderer that has written no record for the time leaseExpiry.
func (f *fakeOrderer) fenceUnresponsive(s *simulation) {
	for _, v := range f.state.Orderers() {
		if v.Incarnation == f.self {
			continue
		}
		timer := f.unresponsiveTimers[v.Incarnation]
		if timer == nil {
			timer = &decision.Inactivity{}
			f.unresponsiveTimers[v.Incarnation] = timer
		}
		timer.Update(&f.readContinuity, v.LastSeen)
		terms := decision.FenceTerms{Working: leaseExpiry, Reserve: leaseExpiry}
		if _, due := decision.FenceDue(&f.readContinuity, timer, false, terms); due {
			f.appendRecord(s, &Fence{Target: v.Incarnation, LastSeen: v.LastSeen})
		}
	}
}

// appendRecord sends a record to the log unless another record of the orderer is not yet read back.
func (f *fakeOrderer) appendRecord(s *simulation, r Record) {
	if f.pendingEntry != nil {
		return
	}
	f.sequence++
	f.pendingEntry = &Entry{Writer: f.self, Sequence: f.sequence, Record: r}
	f.firstSentAt = s.now
	s.sendRecord(f)
}

// input returns the decision input for an endpoint.
func (f *fakeOrderer) input(s *simulation, t Target) *Input {
	in := &Input{
		Self: f.self, State: f.state, Target: t, LeaseRemaining: f.lease.Left(s.now),
		Preferred:      PreferredInstance(t.Endpoint, "", s.reachableRouters()) == f.self.Instance,
		Reading:        f.readings[t.Endpoint],
		LatestSend:     f.sent[t.Endpoint],
		EndObservedFor: f.claimEnds[t.Endpoint].ObservedFor(s.now, f.state.Endpoint(t.Endpoint).FormerEnd),
		Limits:         Limits{LeaseExpiry: leaseExpiry, UnresponsiveTimeout: unresponsiveTimeout, LoadLimit: s.loadLimit},
		Healthy:        s.reachableEndpoints(),
	}
	in.Reading.Age = s.now.Sub(f.readingAt[t.Endpoint])
	in.UnresponsiveFor = s.now.Sub(f.lastReadAt[t.Endpoint])
	if in.LatestSend.Progress == Lost {
		in.LatestSend.LostFor = s.now.Sub(f.lostAt[t.Endpoint])
	}
	return in
}

// actOn performs the next action for an endpoint and returns it.
func (f *fakeOrderer) actOn(s *simulation, t Target) Action {
	f.expireAnswersAndReadings(s, t.Endpoint)
	action := Next(f.input(s, t))
	switch a := action.(type) {
	case *Append:
		f.appendRecord(s, a.Record)
	case *Send:
		delete(f.readings, t.Endpoint)
		f.sent[t.Endpoint] = SendStatus{FencingNumber: a.FencingNumber, Progress: InFlight}
		f.sentAt[t.Endpoint] = s.now
		s.sendOrder(f, t, a)
	case *Read:
		f.readState(s, t.Endpoint)
	}
	return action
}

// expireAnswersAndReadings marks an order as Lost if its answer has timed out, and discards a reading that is too old.
func (f *fakeOrderer) expireAnswersAndReadings(s *simulation, name string) {
	if sent := f.sent[name]; sent.Progress == InFlight && s.now.Sub(f.sentAt[name]) > readGapLimit {
		f.recordAnswer(s, name, sent.FencingNumber, Lost)
	}
	if s.now.Sub(f.readingAt[name]) > readGapLimit {
		delete(f.readings, name)
	}
}

// recordAnswer records the progress of an order in flight. It ignores answers to earlier orders.
func (f *fakeOrderer) recordAnswer(s *simulation, name string, number platform.Offset, progress Progress) {
	if sent := f.sent[name]; sent.FencingNumber != number || sent.Progress != InFlight {
		return
	}
	delete(f.readings, name)
	f.sent[name] = SendStatus{FencingNumber: number, Progress: progress}
	f.lostAt[name] = s.now
}

func (f *fakeOrderer) readState(s *simulation, name string) {
	e := s.engines[name]
	if _, ok := f.lastReadAt[name]; !ok {
		f.lastReadAt[name] = s.now
	}
	if !e.isReachable {
		return
	}
	f.lastReadAt[name], f.readingAt[name] = s.now, s.now
	f.readings[name] = Reading{
		Valid: true, FromOffset: f.state.Next(), Accepted: e.accepted, Busy: len(e.running) > 0,
		Loaded: sortedUnique(e.loaded), Role: e.role,
	}
}
