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
	// maxVersions bounds the versions that are known.
	maxVersions = 256
)

// Version is what an endpoint runs: a service and the version of its software; the latter is empty if the endpoint names none.
type Version struct{ Service, Software string }

// Numberings knows how versions number the events of their streams. The zero value has seen no stream. Its methods may be called concurrently.
type Numberings struct {
	mu        sync.Mutex
	byVersion map[Version]*versionNumbering
}

// versionNumbering is what is known of a version.
type versionNumbering struct {
	Numbering

	// inProgress is the number of streams in progress, usedAt when the newest one began or ended.
	inProgress int
	usedAt     time.Time
}

// Begin begins the observation of a stream in progress, which Observation.End ends.
func (n *Numberings) Begin(v Version) *Observation {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byVersion[v]
	if known == nil {
		known = &versionNumbering{}
		n.addLocked(v, known)
	}
	known.inProgress++
	known.usedAt = time.Now()
	return &Observation{Version: v, owner: n, known: known}
}

// addLocked adds a version in place of the one without streams in progress that was last used the longest ago if there are too many.
func (n *Numberings) addLocked(v Version, known *versionNumbering) {
	if n.byVersion == nil {
		n.byVersion = make(map[Version]*versionNumbering)
	}
	if len(n.byVersion) >= maxVersions {
		var oldest *Version
		for candidate, k := range n.byVersion {
			if k.inProgress == 0 && (oldest == nil || k.usedAt.Before(n.byVersion[*oldest].usedAt)) {
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
	seen                    sight
	stepsByOne, largerSteps int
	// doubtedSince is when the larger step came that is held back.
	doubtedSince time.Time
}

// sight is what a stream has shown of its version's numbering.
type sight int

const (
	sightNone sight = iota
	sightByOne
	sightUneven
	sightCertain
)

// record records what a stream has shown since the last call. It has no effect on nil.
func (o *Observation) record(s *Stream) {
	if o == nil || s.sight() <= o.seen && s.allStepsByOne < o.stepsByOne+recordedSteps {
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
	seen := s.sight()
	if seen <= o.seen {
		return
	}
	switch {
	case seen == sightByOne:
		o.known.OpenByOne++
	case o.seen == sightByOne:
		o.known.OpenByOne--
		o.known.count(false)
	case o.seen == sightNone:
		o.known.count(false)
	}
	if seen == sightCertain {
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
	s.Known = o.known.Numbering
	s.MayWait = o.known.inProgress > 1 && time.Since(o.doubtedSince) < MaxDoubt
}

// End ends the observation of a stream. It has no effect on nil.
func (o *Observation) End(s *Stream) {
	if o == nil {
		return
	}
	o.owner.mu.Lock()
	defer o.owner.mu.Unlock()
	o.recordLocked(s)
	o.known.inProgress--
	o.known.usedAt = time.Now()
	if o.seen == sightByOne {
		o.known.OpenByOne--
	}
	if byOne, ok := s.IsNumberedByOne(); ok && byOne && o.seen < sightUneven {
		o.known.count(true)
	}
}
