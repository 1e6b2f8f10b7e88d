package gateway

import "time"

const (
	// mostUrgent leaves room above for requests that have begun elsewhere, leastUrgent is below the engines' default.
	mostUrgent  = 2
	leastUrgent = 6
	// urgencyStep is the objective that one step of urgency stands for.
	urgencyStep = 200 * time.Millisecond
)

// urgency ranks requests at an engine by their objective: one that must begin soon passes one that may wait, which it
// delays by little, since tight objectives go with short prompts. Zero stands for no objective.
func urgency(target time.Duration) int {
	if target <= 0 {
		return leastUrgent
	}
	return min(leastUrgent, mostUrgent+int((target-1)/urgencyStep))
}
