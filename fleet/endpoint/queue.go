package endpoint

import (
	"cmp"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// DefaultQueueLength bounds a queue that states no length.
const DefaultQueueLength = 256

// intervalWeight is the weight of a new sample of the time between two departures.
const intervalWeight = 0.1

// Waiter describes a request that waits for a place.
type Waiter struct {
	Team string
	// Weight is the team's part of the queue; zero counts as 1.
	Weight int
	// Deadline is the time until which waiting is of use.
	Deadline time.Time
}

// Entry is a waiting request.
type Entry[T any] struct {
	Value T
	Waiter
	queued bool
}

// Queue is bounded, knows deadlines and is fair among teams by weight: each departure goes to the team
// with the least service for its weight (start-time fair queueing). Its zero value is ready for use.
type Queue[T any] struct {
	// Length bounds the waiting requests; zero counts as DefaultQueueLength.
	Length int
	teams  []*teamQueue[T]
	length int
	// ahead holds the start tags of teams that have nothing waiting and were served beyond virtual.
	ahead map[string]float64
	// virtual is the start tag of the newest departure.
	virtual float64
	// departed is the time of the newest departure since the queue was last empty.
	departed time.Time
	interval time.Duration
}

// teamQueue holds the waiting requests of one team in order of arrival.
type teamQueue[T any] struct {
	team   string
	weight float64
	// start is the start tag of the first entry.
	start   float64
	entries []*Entry[T]
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request, or says for which reason it is refused. A full queue drops the newest request of
// the team that holds the most for its weight, which is returned; that may be the one that was pushed.
func (q *Queue[T]) Push(now time.Time, w Waiter, value T) (entry, dropped *Entry[T], reason verdict.Reason) {
	w.Weight = max(1, w.Weight)
	if !w.Deadline.IsZero() && now.Add(q.estimate(w)).After(w.Deadline) {
		return nil, nil, verdict.DeadlineTooShort
	}
	entry = &Entry[T]{Value: value, Waiter: w, queued: true}
	t := q.team(w)
	t.entries = append(t.entries, entry)
	q.length++
	if q.length <= cmp.Or(q.Length, DefaultQueueLength) {
		return entry, nil, ""
	}
	dropped = q.dropLongest()
	if dropped == entry {
		return nil, nil, verdict.Overloaded
	}
	return entry, dropped, ""
}

// Pop takes the next request whose deadline has not passed. Those that are too late leave the queue.
func (q *Queue[T]) Pop(now time.Time) (*Entry[T], bool) {
	for q.length > 0 {
		entry := q.next()
		if !entry.Deadline.IsZero() && now.After(entry.Deadline) {
			continue
		}
		q.depart(now)
		return entry, true
	}
	return nil, false
}

// Return puts a request that was popped back, behind the others of its team.
func (q *Queue[T]) Return(entry *Entry[T]) {
	t := q.team(entry.Waiter)
	entry.queued = true
	t.entries = append(t.entries, entry)
	q.length++
}

// Remove takes a request out and reports whether it was still waiting.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	if !entry.queued {
		return false
	}
	for _, t := range q.teams {
		for i, e := range t.entries {
			if e == entry {
				t.entries = append(t.entries[:i], t.entries[i+1:]...)
				q.leave(t, entry)
				return true
			}
		}
	}
	return false
}

// team returns the queue of a team. One that was idle starts at the present virtual time, so that it
// has saved up nothing, but not before the end of what it was served already.
func (q *Queue[T]) team(w Waiter) *teamQueue[T] {
	for _, t := range q.teams {
		if t.team == w.Team {
			t.weight = float64(w.Weight)
			return t
		}
	}
	t := &teamQueue[T]{team: w.Team, weight: float64(w.Weight), start: max(q.virtual, q.ahead[w.Team])}
	q.teams = append(q.teams, t)
	return t
}

// next takes the first entry of the team with the lowest start tag.
func (q *Queue[T]) next() *Entry[T] {
	var first *teamQueue[T]
	for _, t := range q.teams {
		if first == nil || t.start < first.start {
			first = t
		}
	}
	entry := first.entries[0]
	first.entries = first.entries[1:]
	q.virtual = max(q.virtual, first.start)
	first.start += 1 / first.weight
	q.leave(first, entry)
	return entry
}

// dropLongest takes the newest entry of the team that holds the most for its weight.
func (q *Queue[T]) dropLongest() *Entry[T] {
	var longest *teamQueue[T]
	for _, t := range q.teams {
		if longest == nil || t.share() >= longest.share() {
			longest = t
		}
	}
	last := len(longest.entries) - 1
	entry := longest.entries[last]
	longest.entries = longest.entries[:last]
	q.leave(longest, entry)
	return entry
}

func (t *teamQueue[T]) share() float64 { return float64(len(t.entries)) / t.weight }

// leave accounts for an entry that was taken out of its team's queue.
func (q *Queue[T]) leave(t *teamQueue[T], entry *Entry[T]) {
	entry.queued = false
	q.length--
	if len(t.entries) > 0 {
		return
	}
	for i, other := range q.teams {
		if other == t {
			q.teams = append(q.teams[:i], q.teams[i+1:]...)
			break
		}
	}
	if t.start > q.virtual {
		if q.ahead == nil {
			q.ahead = make(map[string]float64)
		}
		q.ahead[t.team] = t.start
	}
	if q.length == 0 {
		clear(q.ahead)
		q.departed = time.Time{}
	}
}

// depart measures the time between two departures of a queue that was not empty in between.
func (q *Queue[T]) depart(now time.Time) {
	if !q.departed.IsZero() {
		sample := now.Sub(q.departed)
		q.interval += time.Duration(intervalWeight * float64(sample-q.interval))
	}
	q.departed = now
	if q.length == 0 {
		q.departed = time.Time{}
	}
}

// estimate returns how long a new request would wait: its place among the entries that a fair queue
// serves before it, times the time between departures.
func (q *Queue[T]) estimate(w Waiter) time.Duration {
	own, weights := 0, float64(w.Weight)
	for _, t := range q.teams {
		if t.team == w.Team {
			own = len(t.entries)
			continue
		}
		weights += t.weight
	}
	place := min(float64(q.length), float64(own+1)*weights/float64(w.Weight))
	return time.Duration(place * float64(q.interval))
}
