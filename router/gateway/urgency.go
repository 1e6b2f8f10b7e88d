package gateway

import "time"

const (
	// highestUrgency leaves more urgent levels, with lower numbers, to requests that have begun elsewhere. lowestUrgency
	// ranks below the engines' default.
	highestUrgency = 2
	lowestUrgency  = 6
	// urgencyStep is the slack that makes a request one level less urgent.
	urgencyStep = 150 * time.Millisecond
	// priorityStep is the number of priority ranks that make a request one level less urgent.
	priorityStep = 2
)

// urgency returns a request's level at an engine, lower numbers being more urgent. The level follows the slack, which
// is the time left until the request must begin minus the time that the engine takes to read the prompt, and the
// operators' priority. A request that can't begin in time any more yields to all others. A timeLeft of zero or less
// means that the request has no objective or has missed it.
func urgency(timeLeft, readTime time.Duration, priority int) int {
	slack := timeLeft - readTime
	if timeLeft <= 0 || slack < 0 {
		return lowestUrgency
	}
	return min(lowestUrgency-1, highestUrgency+int(slack/urgencyStep)+priority/priorityStep)
}

// priority returns the priority of the team if it has one, else that of the route.
func (j *job) priority() int {
	if j.team != nil && j.team.HasPriority {
		return j.team.Priority
	}
	return j.route.Priority
}
