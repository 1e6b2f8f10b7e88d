package caller

// Counter names in the metrics registry.
const (
	requestCompleted   = "request.completed"
	releaseUnconfirmed = "release.unconfirmed"
)

// Description is the name of a counter and its meaning for the documentation.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the counters of this package in the order of the documentation. The counters of refusals are not among
// them: their names are blackboard.RefusalPrefix followed by the reason.
func Counters() []Description {
	return []Description{
		{requestCompleted, "Requests whose complete answer was forwarded to the caller and billed."},
		{releaseUnconfirmed, "Releases that were not read back from the log in time, so that the caller received the verdict MayHaveRun."},
	}
}
