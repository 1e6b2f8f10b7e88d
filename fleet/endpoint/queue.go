package endpoint

import (
	"cmp"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// DefaultQueueLength is the maximum number of requests in a queue with no length set.
const DefaultQueueLength = 256

// intervalWeight is the smoothing weight of a new sample of the time between two departures.
const intervalWeight = 0.1

// Waiter describes a request that waits for free capacity at an endpoint.
type Waiter struct {
	Team string
	// Weight is the team's share of the departures relative to other teams; zero counts as 1.
	Weight int
	// Deadline is the time after which the request must not leave the queue for an attempt; a zero time means none.
	Deadline time.Time
}

// Entry is a request in a Queue.
type Entry[T any] struct {
	Value T
	Waiter
	queued bool
}

// Queue is a bounded wait queue that observes deadlines and divides departures among teams by weight: the next
// departure goes to the team with the least service relative to its weight (start-time fair queueing). The zero value
// is ready for use.
type Queue[T any] struct {
	// MaxLength is the maximum number of waiting requests; zero means DefaultQueueLength.
	MaxLength int
	teams     []*teamQueue[T]
	length    int
	// idleStartTags holds the start tags of teams without waiting requests whose past service extends beyond
	// virtualTime.
	idleStartTags map[string]float64
	// virtualTime is the start tag of the most recent departure.
	virtualTime float64
	// lastDeparture is the time of the most recent departure; zero if the queue has been empty since.
	lastDeparture time.Time
	// departureInterval is the moving average of the time between two departures.
	departureInterval time.Duration
}

// teamQueue holds the waiting requests of one team in order of arrival.
type teamQueue[T any] struct {
	team   string
	weight float64
	// startTag is the start tag of the team's first waiting request.
	startTag float64
	entries  []*Entry[T]
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request, or returns the reason for its refusal: the estimated wait exceeds the deadline, or the queue is
// full. A full queue drops and returns the newest request of the team with the most waiting requests relative to its
// weight; if that is the pushed request, Push refuses it.
func (q *Queue[T]) Push(now time.Time, w Waiter, value T) (entry, dropped *Entry[T], reason verdict.Reason) {
	w.Weight = max(1, w.Weight)
	if !w.Deadline.IsZero() && now.Add(q.estimateWait(w)).After(w.Deadline) {
		return nil, nil, verdict.DeadlineTooShort
	}
	entry = &Entry[T]{Value: value, Waiter: w, queued: true}
	t := q.findOrAddTeam(w)
	t.entries = append(t.entries, entry)
	q.length++
	if q.length <= cmp.Or(q.MaxLength, DefaultQueueLength) {
		return entry, nil, ""
	}
	dropped = q.dropNewest()
	if dropped == entry {
		return nil, nil, verdict.Overloaded
	}
	return entry, dropped, ""
}

// Pop removes and returns the next request whose deadline has not passed. It discards requests with passed deadlines.
func (q *Queue[T]) Pop(now time.Time) (*Entry[T], bool) {
	for q.length > 0 {
		entry := q.popNext()
		if !entry.Deadline.IsZero() && now.After(entry.Deadline) {
			continue
		}
		q.recordDeparture(now)
		return entry, true
	}
	return nil, false
}

// Requeue puts a popped request back into the queue, behind the other requests of its team, even if the queue is full.
func (q *Queue[T]) Requeue(entry *Entry[T]) {
	t := q.findOrAddTeam(entry.Waiter)
	entry.queued = true
	t.entries = append(t.entries, entry)
	q.length++
}

// Remove takes a request out of the queue and reports whether it was still waiting.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	if !entry.queued {
		return false
	}
	for _, t := range q.teams {
		for i, e := range t.entries {
			if e == entry {
				t.entries = append(t.entries[:i], t.entries[i+1:]...)
				q.finishRemoval(t, entry)
				return true
			}
		}
	}
	return false
}

// findOrAddTeam returns the queue of a team. An idle team's queue starts at the current virtual time, so that the team
// has no credit for its idle time, but not before the end of the service that the team already received.
func (q *Queue[T]) findOrAddTeam(w Waiter) *teamQueue[T] {
	for _, t := range q.teams {
		if t.team == w.Team {
			t.weight = float64(w.Weight)
			return t
		}
	}
	t := &teamQueue[T]{team: w.Team, weight: float64(w.Weight), startTag: max(q.virtualTime, q.idleStartTags[w.Team])}
	q.teams = append(q.teams, t)
	return t
}

// popNext removes and returns the first entry of the team with the lowest start tag.
func (q *Queue[T]) popNext() *Entry[T] {
	var first *teamQueue[T]
	for _, t := range q.teams {
		if first == nil || t.startTag < first.startTag {
			first = t
		}
	}
	entry := first.entries[0]
	first.entries = first.entries[1:]
	q.virtualTime = max(q.virtualTime, first.startTag)
	first.startTag += 1 / first.weight
	q.finishRemoval(first, entry)
	return entry
}

// dropNewest removes and returns the newest entry of the team with the most waiting requests relative to its weight.
func (q *Queue[T]) dropNewest() *Entry[T] {
	var longest *teamQueue[T]
	for _, t := range q.teams {
		if longest == nil || t.weightedLength() >= longest.weightedLength() {
			longest = t
		}
	}
	last := len(longest.entries) - 1
	entry := longest.entries[last]
	longest.entries = longest.entries[:last]
	q.finishRemoval(longest, entry)
	return entry
}

func (t *teamQueue[T]) weightedLength() float64 { return float64(len(t.entries)) / t.weight }

// finishRemoval updates the queue's state after an entry was removed from its team's queue.
func (q *Queue[T]) finishRemoval(t *teamQueue[T], entry *Entry[T]) {
	entry.queued = false
	q.length--
	if len(t.entries) > 0 {
		return
	}
	for i, candidate := range q.teams {
		if candidate == t {
			q.teams = append(q.teams[:i], q.teams[i+1:]...)
			break
		}
	}
	if t.startTag > q.virtualTime {
		if q.idleStartTags == nil {
			q.idleStartTags = make(map[string]float64)
		}
		q.idleStartTags[t.team] = t.startTag
	}
	if q.length == 0 {
		clear(q.idleStartTags)
		q.lastDeparture = time.Time{}
	}
}

// recordDeparture samples the time between two departures if the queue was not empty in between.
func (q *Queue[T]) recordDeparture(now time.Time) {
	if !q.lastDeparture.IsZero() {
		sample := now.Sub(q.lastDeparture)
		q.departureInterval += time.Duration(intervalWeight * float64(sample-q.departureInterval))
	}
	q.lastDeparture = now
	if q.length == 0 {
		q.lastDeparture = time.Time{}
	}
}

// estimateWait returns how long a new request would wait: the number of entries that fair queueing serves before it,
// times the mean time between departures.
func (q *Queue[T]) estimateWait(w Waiter) time.Duration {
	ownLength, weightSum := 0, float64(w.Weight)
	for _, t := range q.teams {
		if t.team == w.Team {
			ownLength = len(t.entries)
			continue
		}
		weightSum += t.weight
	}
	position := min(float64(q.length), float64(ownLength+1)*weightSum/float64(w.Weight))
	return time.Duration(position * float64(q.departureInterval))
}
