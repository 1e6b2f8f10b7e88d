package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// SoundAnswerTime is how long an endpoint has to survive the beginning of an answer for the parts of its prompt to count as
	// sound. A part that crashes endpoints does so when they begin an answer on it.
	SoundAnswerTime = 1 * time.Second
	// partCrashLimit is the number of crashes, one after the other, that block a part of prompts. soundPartCrashLimit is that
	// for a part under which answers have been sound: such a part is in many prompts, and thus often in progress when
	// another one crashes an endpoint.
	partCrashLimit      = 3
	soundPartCrashLimit = 10
	// tiedCrashes is the number of further crashes that may tell parts apart that were in progress at the same crashes, in
	// different prompts, before all of them are blocked.
	tiedCrashes = 2
	// partProbation is how long a part is blocked before the first trial, after which the block lasts quarantineDuration.
	partProbation = 30 * time.Second
	// partTrialTime is how long a prompt that is let through on trial keeps others with the same parts blocked.
	partTrialTime = 5 * time.Second
	// maxPartBlockDoublings bounds the time between two trials, which doubles with each that crashes an endpoint.
	maxPartBlockDoublings = 6
	// maxPartCrashes bounds the crashes that are remembered, maxBlockedParts the groups of parts that are blocked, and
	// maxSoundParts the parts known to be sound; twice as many are remembered for a while.
	maxPartCrashes  = 64
	maxBlockedParts = 64
	maxSoundParts   = 4096
)

// partCrash is a crash with the shared parts of the prompts that the endpoint had just begun to answer, or was yet to answer.
type partCrash struct {
	name  string
	at    time.Time
	parts map[string]exposedPart
}

// exposedPart is a part of prompts that were in progress at a crash.
type exposedPart struct {
	// sentAt is when the newest of these prompts was sent. companions are the parts that all of them contain, sorted; this
	// part is one of them.
	sentAt     time.Time
	companions []string
}

// merge combines two views of the same part at the same crash.
func (p exposedPart) merge(other exposedPart) exposedPart {
	if p.companions == nil {
		return other
	}
	return exposedPart{sentAt: later(p.sentAt, other.sentAt), companions: intersect(p.companions, other.companions)}
}

// intersect returns the parts of a that b contains as well.
func intersect(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(part string) bool { return !slices.Contains(b, part) })
}

// containsAll reports whether all parts were in progress at the crash.
func (c *partCrash) containsAll(parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool {
		_, ok := c.parts[part]
		return !ok
	})
}

// partGroup is a set of parts that came together in all prompts that count against them. A prompt with all of them is
// blocked.
type partGroup struct {
	parts []string
	// decidedAt is when the group was blocked or last failed a trial, until when the next trial is due, and trialUntil when
	// the present one ends.
	decidedAt, until, trialUntil time.Time
	failedTrials                 int
}

// blockTime returns the time until the next trial.
func (g *partGroup) blockTime() time.Duration {
	if g.failedTrials == 0 {
		return partProbation
	}
	return quarantineDuration << (min(g.failedTrials, maxPartBlockDoublings) - 1)
}

// PartSuspects detects parts of prompts that crash each endpoint that begins an answer on them, in requests that have nothing
// else in common. It answers a load in which such requests arrive at any router, beside sound ones with the same other parts, and
// endpoints crash faster than they come back. A part is blocked by crashes that no part blocked before explains. The zero value is
// ready for use.
type PartSuspects struct {
	// TrialDelay is added to the time until each trial of a blocked part. Routers with different delays don't let
	// the part through at the same time.
	TrialDelay time.Duration

	// crashes are in the order of their times.
	crashes []partCrash
	blocked []*partGroup
	// sound holds the parts under which answers were sound, olderSound those of some time before.
	sound, olderSound map[string]time.Time
}

// Len returns the number of groups of parts that are blocked.
func (s *PartSuspects) Len() int { return len(s.blocked) }

// RecordCrash records what one router saw of a crash with a unique name. It returns the groups of parts that are blocked because of
// it.
func (s *PartSuspects) RecordCrash(now time.Time, name string, exposures []InterruptedExchange) [][]string {
	crash := s.addCrash(now, name, exposures)
	if crash == nil {
		return nil
	}
	s.removeOldBlocks(now)
	s.extendBlocks(now, crash)
	var decided [][]string
	for groups := s.worstGroups(); len(groups) > 0; groups = s.worstGroups() {
		for _, group := range groups {
			if !s.Block(now, group) {
				return decided
			}
			decided = append(decided, group)
		}
	}
	return decided
}

// addCrash merges the exposures into the crash of that name. It returns nil if they contain no parts.
func (s *PartSuspects) addCrash(now time.Time, name string, exposures []InterruptedExchange) *partCrash {
	added := partCrash{name: name, parts: make(map[string]exposedPart)}
	for _, e := range exposures {
		companions := slices.Sorted(slices.Values(e.Parts))
		for _, part := range e.Parts {
			added.at = later(added.at, e.InterruptedAt)
			added.parts[part] = added.parts[part].merge(exposedPart{sentAt: e.SentAt, companions: companions})
		}
	}
	if len(added.parts) == 0 {
		return nil
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c partCrash) bool { return now.Sub(c.at) > quarantineDuration })
	for i := range s.crashes {
		known := &s.crashes[i]
		if known.name == name {
			for part, exposed := range added.parts {
				known.parts[part] = known.parts[part].merge(exposed)
			}
			return known
		}
	}
	s.crashes = append(s.crashes, added)
	slices.SortStableFunc(s.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	s.crashes = s.crashes[max(0, len(s.crashes)-maxPartCrashes):]
	i := slices.IndexFunc(s.crashes, func(c partCrash) bool { return c.name == name })
	if i < 0 {
		return nil
	}
	return &s.crashes[i]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// removeOldBlocks removes the groups for which no prompt has come on trial for long.
func (s *PartSuspects) removeOldBlocks(now time.Time) {
	s.blocked = slices.DeleteFunc(s.blocked, func(g *partGroup) bool { return now.Sub(g.until) > quarantineDuration+g.blockTime() })
}

// extendBlocks extends the block of each group that failed a trial, here or at another router.
func (s *PartSuspects) extendBlocks(now time.Time, crash *partCrash) {
	for _, g := range s.blocked {
		if crash.containsAll(g.parts) && crash.at.Sub(g.decidedAt) > partProbation {
			g.failedTrials++
			g.decidedAt, g.until = now, now.Add(g.blockTime()+s.TrialDelay)
		}
	}
}

// worstGroups returns the groups of parts against which most crashes count, if these are enough to block them. Usually it is one;
// several are returned only if further crashes have not told them apart.
func (s *PartSuspects) worstGroups() [][]string {
	groups := make(map[string][]string)
	most := 0
	for _, part := range s.candidates() {
		counted := s.countedCrashes(part)
		if len(counted) < max(most, s.crashLimit(part)) {
			continue
		}
		group := s.groupOf(part, counted)
		if s.isBlocked(group) {
			continue
		}
		if len(counted) > most {
			clear(groups)
			most = len(counted)
		}
		groups[strings.Join(group, ",")] = group
	}
	if len(groups) > 1 && most < partCrashLimit+tiedCrashes {
		return nil
	}
	return slices.Collect(maps.Values(groups))
}

// groupOf returns the part with those that came with it in all prompts at the crashes and are not known to be sound.
func (s *PartSuspects) groupOf(part string, crashes []int) []string {
	group := s.crashes[crashes[0]].parts[part].companions
	for _, i := range crashes[1:] {
		group = intersect(group, s.crashes[i].parts[part].companions)
	}
	return slices.DeleteFunc(slices.Clone(group), func(other string) bool { return other != part && s.IsSound(other) })
}

// candidates returns the parts that were in progress at enough crashes to be blocked, sorted.
func (s *PartSuspects) candidates() []string {
	crashes := s.crashesByPart()
	maps.DeleteFunc(crashes, func(_ string, count int) bool { return count < partCrashLimit })
	return slices.Sorted(maps.Keys(crashes))
}

// crashesByPart returns at how many crashes each part was in progress.
func (s *PartSuspects) crashesByPart() map[string]int {
	crashes := make(map[string]int)
	for i := range s.crashes {
		for part := range s.crashes[i].parts {
			crashes[part]++
		}
	}
	return crashes
}

// countedCrashes returns the crashes that count against a part: those after its last sound answer that no other blocked group
// explains, each with a prompt that was sent after the crash before.
func (s *PartSuspects) countedCrashes(part string) []int {
	soundAt, _ := s.soundAt(part)
	var counted []int
	var last time.Time
	for i := range s.crashes {
		crash := &s.crashes[i]
		exposed, ok := crash.parts[part]
		if !ok || !crash.at.After(soundAt) || exposed.sentAt.Before(last) || s.isExplained(crash, part) {
			continue
		}
		counted, last = append(counted, i), crash.at
	}
	return counted
}

// isExplained reports whether a blocked group without the part was in progress at the crash.
func (s *PartSuspects) isExplained(crash *partCrash, part string) bool {
	return slices.ContainsFunc(s.blocked, func(g *partGroup) bool {
		return crash.containsAll(g.parts) && !slices.Contains(g.parts, part)
	})
}

// isBlocked reports whether prompts with all of the parts are blocked.
func (s *PartSuspects) isBlocked(parts []string) bool {
	return slices.ContainsFunc(s.blocked, func(g *partGroup) bool { return containsAll(parts, g.parts) })
}

// containsAll reports whether all of the wanted parts are among the parts.
func containsAll(parts, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(part string) bool { return !slices.Contains(parts, part) })
}

func (s *PartSuspects) crashLimit(part string) int {
	if _, ok := s.soundAt(part); ok {
		return soundPartCrashLimit
	}
	return partCrashLimit
}

// Block blocks prompts with all of the parts, in place of larger groups that contain them. It reports whether they were not
// blocked before.
func (s *PartSuspects) Block(now time.Time, parts []string) bool {
	if len(parts) == 0 || len(s.blocked) >= maxBlockedParts || s.isBlocked(parts) {
		return false
	}
	s.blocked = slices.DeleteFunc(s.blocked, func(g *partGroup) bool { return containsAll(g.parts, parts) })
	s.blocked = append(s.blocked, &partGroup{parts: slices.Clone(parts), decidedAt: now, until: now.Add(partProbation + s.TrialDelay)})
	return true
}

// BlockTimeLeft returns for how long a prompt with these parts must not be sent; zero if it may be sent now. Once a block has
// ended, one prompt at a time may be sent on trial; isTrial reports whether it is this one.
func (s *PartSuspects) BlockTimeLeft(now time.Time, parts []string) (wait time.Duration, isTrial bool) {
	var due []*partGroup
	for _, g := range s.blocked {
		if !containsAll(parts, g.parts) {
			continue
		}
		wait = max(wait, g.until.Sub(now), g.trialUntil.Sub(now))
		due = append(due, g)
	}
	if wait > 0 {
		return wait, false
	}
	for _, g := range due {
		g.trialUntil = now.Add(partTrialTime)
	}
	return 0, len(due) > 0
}

// RecordSound records that an endpoint survived the beginning of an answer on the parts, which are then blocked no longer.
func (s *PartSuspects) RecordSound(at time.Time, parts []string) {
	s.rememberSound(at, parts)
	for _, g := range s.blocked {
		g.parts = slices.DeleteFunc(g.parts, func(part string) bool { return slices.Contains(parts, part) })
	}
	s.blocked = slices.DeleteFunc(s.blocked, func(g *partGroup) bool { return len(g.parts) == 0 })
}

// RememberSound records that answers on the parts were sound some time ago, as another process has seen.
func (s *PartSuspects) RememberSound(parts []string) { s.rememberSound(time.Time{}, parts) }

func (s *PartSuspects) rememberSound(at time.Time, parts []string) {
	if len(s.sound) >= maxSoundParts {
		s.olderSound, s.sound = s.sound, nil
	}
	if s.sound == nil {
		s.sound = make(map[string]time.Time)
	}
	for _, part := range parts {
		s.sound[part] = later(s.sound[part], at)
	}
}

// SoundParts returns up to n parts under which answers were sound, the newest first.
func (s *PartSuspects) SoundParts(n int) []string {
	parts := slices.SortedFunc(maps.Keys(s.sound), func(a, b string) int {
		return cmp.Or(s.sound[b].Compare(s.sound[a]), strings.Compare(a, b))
	})
	return parts[:min(n, len(parts))]
}

// IsSound reports whether an answer on the part was sound.
func (s *PartSuspects) IsSound(part string) bool {
	_, ok := s.soundAt(part)
	return ok
}

func (s *PartSuspects) soundAt(part string) (time.Time, bool) {
	at, ok := s.sound[part]
	older, wasSound := s.olderSound[part]
	return later(at, older), ok || wasSound
}
