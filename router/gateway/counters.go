package gateway

// Names of the fields that several log lines have.
const (
	fieldRequest     = "Request"
	fieldEndpoint    = "Endpoint"
	fieldFingerprint = "Fingerprint"
)

// Names of the counters; after retryPrefix stands the reason of the attempt before, after the names with sent the service.
const (
	retryPrefix             = "retry."
	repeatsSpent            = "repeat.budget_spent"
	sentFirst               = "sent.first."
	sentRepeat              = "sent.repeat."
	sentByTransport         = "sent.by_transport."
	sentNothing             = "sent.nothing."
	requestHeld             = "request.held"
	configurationUnreadable = "configuration.unreadable"
	entryUnreadable         = "directory.unreadable"
)

// Description says what a counter counts.
type Description struct {
	Name    string
	Meaning string
}

// Counters lists the counters of the package.
func Counters() []Description {
	return []Description{
		{retryPrefix + "REASON", "Attempts at a further endpoint, by why the one before failed."},
		{repeatsSpent, "Requests that were not repeated because the budget of repeats was spent."},
		{sentFirst + "SERVICE", "Requests that were written to a first endpoint of the service."},
		{sentRepeat + "SERVICE", "Requests that were written to a further endpoint of the service."},
		{sentByTransport + "SERVICE", "Requests that the HTTP transport wrote once more by itself; there should be none."},
		{sentNothing + "SERVICE", "Attempts that ended before anything was written to an endpoint of the service."},
		{requestHeld, "Requests that crashed endpoints, one after the other, and are not sent any more."},
		{configurationUnreadable, "Configurations that can't be read; the one before stays in force."},
		{entryUnreadable, "Endpoints' entries that can't be read; they name no endpoint to use."},
	}
}
