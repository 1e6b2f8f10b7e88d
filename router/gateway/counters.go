package gateway

// Names of log fields that several messages share.
const (
	fieldRequest     = "Request"
	fieldEndpoint    = "Endpoint"
	fieldFingerprint = "Fingerprint"
)

// Names of the counters, or prefixes that end in a dot: the reason why the previous attempt failed follows
// retryReasonPrefix, the service follows the others.
const (
	retryReasonPrefix       = "retry."
	retryBudgetSpent        = "repeat.budget_spent"
	firstWritePrefix        = "sent.first."
	retryWritePrefix        = "sent.repeat."
	transportWritePrefix    = "sent.by_transport."
	nothingWrittenPrefix    = "sent.nothing."
	requestQuarantined      = "request.held"
	configurationUnreadable = "configuration.unreadable"
	endpointEntryUnreadable = "directory.unreadable"
)

// Description is the name of a counter or histogram and what it measures.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of the package's counters.
func Counters() []Description {
	return []Description{
		{retryReasonPrefix + "REASON", "Attempts at a further endpoint, by why the one before failed."},
		{retryBudgetSpent, "Requests that were not repeated because the budget of repeats was spent."},
		{firstWritePrefix + "SERVICE", "Requests that were written to a first endpoint of the service."},
		{retryWritePrefix + "SERVICE", "Requests that were written to a further endpoint of the service."},
		{transportWritePrefix + "SERVICE", "Requests that the HTTP transport wrote once more by itself; there should be none."},
		{nothingWrittenPrefix + "SERVICE", "Attempts that ended before anything was written to an endpoint of the service."},
		{requestQuarantined, "Requests that crashed endpoints, one after the other, and are not sent any more."},
		{configurationUnreadable, "Configurations that can't be read; the one before stays in force."},
		{endpointEntryUnreadable, "Endpoints' entries that can't be read; they name no endpoint to use."},
	}
}
