package gateway

import "time"

const (
	// mostUrgent leaves room above for requests that have begun elsewhere, leastUrgent is below the engines' default.
	mostUrgent  = 2
	leastUrgent = 6
	// urgencyStep is the slack that one step of urgency stands for.
	urgencyStep = 150 * time.Millisecond
	// priorityStep is how many ranks of priority one step of urgency stands for.
	priorityStep = 2
)

// urgency ranks requests at an engine by the time that is left until they must begin, less what the engine needs to read
// them, and by their operators' priority. One that can't begin in time any more lets the others pass. A target of zero
// stands for no objective.
func urgency(target, work time.Duration, priority int) int {
	slack := target - work
	if target <= 0 || slack < 0 {
		return leastUrgent
	}
	return min(leastUrgent-1, mostUrgent+int(slack/urgencyStep)+priority/priorityStep)
}

// priority returns the team's priority, or else the route's.
func (j *job) priority() int {
	if j.team != nil && j.team.HasPriority {
		return j.team.Priority
	}
	return j.route.Priority
}
