package caller

// Names of the counters.
const (
	requestCompleted   = "request.completed"
	releaseUnconfirmed = "release.unconfirmed"
)

// Description tells what a counter counts.
type Description struct {
	Name    string
	Meaning string
}

// Counters lists every counter of this package in the order of the documentation. Refusals are counted under
// blackboard.RefusalPrefix and their reason.
func Counters() []Description {
	return []Description{
		{requestCompleted, "Requests whose whole answer was passed on and billed."},
		{releaseUnconfirmed, "Releases that were not read back in time, so that the caller heard MayHaveRun."},
	}
}
