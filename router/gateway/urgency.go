package gateway

import "time"

const (
	// mostUrgent leaves room above for requests that have begun elsewhere, leastUrgent is below the engines' default.
	mostUrgent  = 2
	leastUrgent = 6
	// urgencyStep is the slack that one step of urgency stands for.
	urgencyStep = 150 * time.Millisecond
)

// urgency ranks requests at an engine by the time that is left until they must begin, less what the engine needs to read
// them. One that can't begin in time any more lets the others pass. Zero stands for no objective.
func urgency(target, work time.Duration) int {
	slack := target - work
	if target <= 0 || slack < 0 {
		return leastUrgent
	}
	return min(leastUrgent-1, mostUrgent+int(slack/urgencyStep))
}
