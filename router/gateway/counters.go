package gateway

// Names of log fields that several messages share.
const (
	fieldRequest      = "Request"
	fieldEndpoint     = "Endpoint"
	fieldFingerprint  = "Fingerprint"
	fieldFrom         = "From"
	fieldVersion      = "SoftwareVersion"
	fieldMilliseconds = "Milliseconds"
	fieldThrough      = "Through"
)

// Names of the counters, or prefixes that end in a dot: the reason why the previous attempt failed follows
// retryReasonPrefix, the service follows the others.
const (
	retryReasonPrefix        = "retry."
	retryBudgetSpent         = "repeat.budget_spent"
	firstWritePrefix         = "sent.first."
	retryWritePrefix         = "sent.repeat."
	transportWritePrefix     = "sent.by_transport."
	nothingWrittenPrefix     = "sent.nothing."
	requestQuarantined       = "request.held"
	partsBlocked             = "parts.held"
	endpointLeaving          = "endpoint.leaving"
	endpointPaused           = "endpoint.paused"
	endpointLimited          = "endpoint.limited"
	endpointLimitUnreadable  = "endpoint.limit_unreadable"
	reachCutOffPrefix        = "reach.cut_off."
	reachHealedPrefix        = "reach.healed."
	exchangeHandedOver       = "exchange.handed_over"
	exchangeNotCarried       = "exchange.not_carried"
	exchangeCarried          = "exchange.carried"
	exchangeDeclinedPrefix   = "exchange.declined."
	endpointBrittle          = "endpoint.brittle"
	endpointBounded          = "endpoint.bounded"
	streamRunRejected        = "stream.run_rejected"
	streamVersionsNotSent    = "stream.versions_not_sent"
	streamVersionsNotStored  = "stream.versions_not_stored"
	streamVersionUnconfirmed = "stream.version_unconfirmed"
	streamWritesFailed       = "stream.writes_failed"
	configurationUnreadable  = "configuration.unreadable"
	endpointEntryUnreadable  = "directory.unreadable"
	platformConnectionSilent = "platform.connection_silent"
	callerSilent             = "caller.silent"
	callerLeftUnnoticed      = "caller.left_unnoticed"
	callerUndelivered        = "caller.undelivered"
	handlerPanicked          = "request.panicked"
	requestWithdrawn         = "request.withdrawn"
)

// Description is the name of a counter or histogram and what it measures.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of the package's counters.
func Counters() []Description {
	return []Description{
		{retryReasonPrefix + "REASON", "Retries at a further endpoint, by the reason why the previous attempt failed."},
		{retryBudgetSpent, "Retries not made because the service's retry budget was spent."},
		{firstWritePrefix + "SERVICE", "Requests that were sent to a first endpoint of the service."},
		{retryWritePrefix + "SERVICE", "Requests that were sent to a further endpoint of the service."},
		{transportWritePrefix + "SERVICE", "Requests that the HTTP transport sent again on its own; expected to stay zero."},
		{nothingWrittenPrefix + "SERVICE", "Attempts that ended before anything was sent to an endpoint of the service."},
		{requestQuarantined, "Requests that are no longer sent because endpoints crashed one after the other while they were in progress."},
		{partsBlocked, "Groups of prompt parts that are no longer sent because endpoints crashed one after the other while answers on them began."},
		{endpointLeaving, "Endpoints that said in an answer that they leave, and get no new requests."},
		{endpointPaused, "Pauses for which endpoints asked in a refusal."},
		{endpointLimited, "Changes of the rate limit that an endpoint names, its begin and end included."},
		{endpointLimitUnreadable, "Answers with a rate limit that can't be read; the previous limit stays in force."},
		{reachCutOffPrefix + "SERVICE", "Times at which this router found that it can open no connection to the endpoints of the service."},
		{reachHealedPrefix + "SERVICE", "Times at which this router could open connections to the endpoints of the service again."},
		{exchangeHandedOver, "Exchanges with endpoints that another router carried out for this one, up to the answer's headers."},
		{exchangeNotCarried, "Exchanges that no other router carried out; nothing was sent."},
		{exchangeCarried, "Exchanges with endpoints that this router carried out for others."},
		{exchangeDeclinedPrefix + "REASON", "Exchanges of other routers that this one did not carry out, by reason."},
		{endpointBrittle, "Changes of the refusals a second that an endpoint says it can bear, the begin and end of that included."},
		{endpointBounded, "Brittle endpoints at which a request that was refused found no room left for this router, one for each endpoint and request."},
		{streamRunRejected, "Answers with events of which the rest was not forwarded, since they don't go on as the caller's stream."},
		{streamVersionsNotSent, "Streams whose software version no other router keeps, since too many waited to be sent."},
		{streamVersionsNotStored, "Streams whose software version the platform doesn't store, since too many waited to be written."},
		{streamVersionUnconfirmed, "Resumptions of streams whose only possible software version was not confirmed, since the platform could not be read."},
		{streamWritesFailed, "Writes of streams' software versions that failed or timed out; they are repeated."},
		{configurationUnreadable, "Configurations that can't be decoded; the previous configuration stays in force."},
		{requestWithdrawn, "Attempts given up before anything was sent, because the regions, an evacuation or the endpoint's cold time no longer allowed the endpoint."},
		{platformConnectionSilent, "Reads of the endpoints' entries that were answered on a new connection to the platform only."},
		{callerLeftUnnoticed, "Requests that were not sent on because their caller had left, which the server had not read yet."},
		{callerSilent, "Connections that were closed because their callers acknowledged nothing."},
		{callerUndelivered, "Connections that ended before their callers had acknowledged what was written to them."},
		{handlerPanicked, "Requests that were answered with an error because their handler panicked; expected to stay zero."},
		{endpointEntryUnreadable, "Endpoint entries that can't be decoded, or whose address or numbers are out of range; they name no endpoint to use."},
	}
}
