package cold

// Prefixes and names of counters.
const (
	coldPrefix     = "cold.begun."
	coldSentPrefix = "cold.sent."
	coldWithheld   = "cold.withheld"
)

// Description is the name of a counter and what it measures.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of the package's counters.
func Counters() []Description {
	return []Description{
		{coldPrefix + "REASON", "Times at which an endpoint became cold for this router, or for another reason: entry, answer, loss, return or evacuation."},
		{coldSentPrefix + "SERVICE", "Requests that this router sent to cold endpoints of the service."},
		{coldWithheld, "Requests not sent to an endpoint that turned out to be cold after it was chosen; they go to another one."},
	}
}
