package eventstream

import (
	"sync"
	"time"
)

const (
	// MaxDoubt is how long a larger step is held back at most while other streams of its version are in progress, which may show how the version
	// numbers events. Callers give up a stream after a pause of two seconds.
	MaxDoubt = 1500 * time.Millisecond
	// recordedSteps is the number of steps by one after which a stream in progress records them.
	recordedSteps = 4
	// maxVersions bounds the versions that are known, maxOthers the other routers whose observations of a version are.
	maxVersions, maxOthers = 256, 64
)

// Version is what an endpoint runs: a service and the version of its software; the latter is empty if the endpoint names none.
type Version struct{ Service, Software string }

// Numberings knows how versions number the events of their streams, from streams here and at other routers. The zero value has seen no stream. Its methods
// may be called concurrently.
type Numberings struct {
	mu        sync.Mutex
	byVersion map[Version]*versionNumbering
	// wanted signals that other routers should be asked; nil if nobody asks them. askedAt is when the newest question began that has been answered.
	wanted  chan struct{}
	askedAt time.Time
}

// versionNumbering is what is known of a version: what was observed here and, by instance, at other routers.
type versionNumbering struct {
	Numbering

	others map[string]Numbering
	// usedAt is when the newest stream began or ended.
	usedAt time.Time
}

// total returns what is known from all routers.
func (v *versionNumbering) total() Numbering {
	total := v.Numbering
	for _, o := range v.others {
		total.add(o)
	}
	return total
}

// Wanted returns a channel that signals when other routers should be asked what they have observed. Streams wait for the answers from then on.
func (n *Numberings) Wanted() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wanted == nil {
		n.wanted = make(chan struct{}, 1)
	}
	return n.wanted
}

// wantLocked asks for the observations of other routers.
func (n *Numberings) wantLocked() {
	select {
	case n.wanted <- struct{}{}:
	default:
	}
}

// Observed returns what has been observed here.
func (n *Numberings) Observed() map[Version]Numbering {
	n.mu.Lock()
	defer n.mu.Unlock()
	observed := make(map[Version]Numbering, len(n.byVersion))
	for v, known := range n.byVersion {
		if !known.isEmpty() {
			observed[v] = known.Numbering
		}
	}
	return observed
}

// Learn replaces what is known of another router's observations. Those that no streams can show are left out.
func (n *Numberings) Learn(instance string, observed map[Version]Numbering) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for v, numbering := range observed {
		if !numbering.isValid() {
			continue
		}
		known := n.knownLocked(v)
		if known.others == nil {
			known.others = make(map[string]Numbering)
		}
		if _, ok := known.others[instance]; ok || len(known.others) < maxOthers {
			known.others[instance] = numbering
		}
	}
}

// RecordAnswers records that other routers have answered, or will not, a question that began at a time.
func (n *Numberings) RecordAnswers(askedAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.askedAt = askedAt
}

// Begin begins the observation of a stream in progress, which Observation.End ends.
func (n *Numberings) Begin(v Version) *Observation {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.knownLocked(v)
	known.InProgress++
	known.usedAt = time.Now()
	return &Observation{Version: v, owner: n, known: known}
}

// knownLocked returns what is known of a version. One that this router meets for the first time is added, and other routers are asked about it.
func (n *Numberings) knownLocked(v Version) *versionNumbering {
	known := n.byVersion[v]
	if known == nil {
		known = &versionNumbering{usedAt: time.Now()}
		n.addLocked(v, known)
		n.wantLocked()
	}
	return known
}

// addLocked adds a version in place of the one without streams in progress that was last used the longest ago if there are too many.
func (n *Numberings) addLocked(v Version, known *versionNumbering) {
	if n.byVersion == nil {
		n.byVersion = make(map[Version]*versionNumbering)
	}
	if len(n.byVersion) >= maxVersions {
		var oldest *Version
		for candidate, k := range n.byVersion {
			if k.InProgress == 0 && (oldest == nil || k.usedAt.Before(n.byVersion[*oldest].usedAt)) {
				oldest = &candidate
			}
		}
		if oldest != nil {
			delete(n.byVersion, *oldest)
		}
	}
	n.byVersion[v] = known
}

// Observation is a stream in progress whose events show how its version numbers them. Its methods may not be called concurrently.
type Observation struct {
	Version Version

	owner *Numberings
	known *versionNumbering
	// seen, stepsByOne and largerSteps are what was recorded of the stream.
	seen                    evidence
	stepsByOne, largerSteps int
	// doubtedSince is when the larger step came that is held back.
	doubtedSince time.Time
}

// evidence is what a stream has shown of its version's numbering.
type evidence int

const (
	evidenceNone evidence = iota
	// evidenceByOne means that all steps are by one, evidenceUneven that one isn't, which may be that of a missing event, and evidenceCertain that the events
	// show by themselves that they aren't numbered by one.
	evidenceByOne
	evidenceUneven
	evidenceCertain
)

// record records what a stream has shown since the last call. It has no effect on nil.
func (o *Observation) record(s *Stream) {
	if o == nil || s.evidence() <= o.seen && s.allStepsByOne < o.stepsByOne+recordedSteps {
		return
	}
	o.owner.mu.Lock()
	defer o.owner.mu.Unlock()
	o.recordLocked(s)
}

func (o *Observation) recordLocked(s *Stream) {
	o.known.StepsByOne += s.allStepsByOne - o.stepsByOne
	o.known.LargerSteps += s.largerSteps - o.largerSteps
	o.stepsByOne, o.largerSteps = s.allStepsByOne, s.largerSteps
	seen := s.evidence()
	if seen <= o.seen {
		return
	}
	switch {
	case seen == evidenceByOne:
		o.known.OpenByOne++
	case o.seen == evidenceByOne:
		o.known.OpenByOne--
		o.known.count(false)
	case o.seen == evidenceNone:
		o.known.count(false)
	}
	if seen == evidenceCertain {
		o.known.Certain++
	}
	o.seen = seen
}

// consult tells a stream what is known of its version, and whether more may become known while a larger step is held back. It has no effect on nil.
func (o *Observation) consult(s *Stream) {
	if o == nil {
		return
	}
	if !s.doubt.isOpen {
		o.doubtedSince = time.Now()
	}
	o.owner.mu.Lock()
	defer o.owner.mu.Unlock()
	o.recordLocked(s)
	s.Known = o.known.total()
	isAsked := o.owner.wanted != nil && !o.owner.askedAt.After(o.doubtedSince)
	s.MayWait = (s.Known.InProgress > 1 || isAsked) && time.Since(o.doubtedSince) < MaxDoubt
	if s.doubt.isOpen && !s.Known.IsSettled() {
		o.owner.wantLocked()
	}
}

// End ends the observation of a stream. It has no effect on nil.
func (o *Observation) End(s *Stream) {
	if o == nil {
		return
	}
	o.owner.mu.Lock()
	defer o.owner.mu.Unlock()
	o.recordLocked(s)
	o.known.InProgress--
	o.known.usedAt = time.Now()
	if o.seen == evidenceByOne {
		o.known.OpenByOne--
	}
	if byOne, ok := s.IsNumberedByOne(); ok && byOne && o.seen < evidenceUneven {
		o.known.count(true)
	}
}
