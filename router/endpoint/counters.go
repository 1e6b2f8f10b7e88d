package endpoint

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Names of the counters. A name ending in a dot is a prefix that is completed by a reason or a failure kind.
const (
	retryPrefix        = "retry."
	retryBudgetSpent   = "retry.budget_spent"
	retryEndpointError = "retry.endpoint_error"
	retryFallback      = "retry.fallback"
	ejectedPrefix      = "endpoint.ejected."
	endpointAdmitted   = "endpoint.admitted"
	endpointCleared    = "endpoint.cleared"
	requestQuarantined = "quarantine.caught"
	crashReportDropped = "quarantine.report_dropped"
	modelNotLoaded     = "endpoint.none_loaded"
	callQueued         = "queue.waited"
	listingIgnored     = "listing.ignored"
	responseTruncated  = "answer.cut"
	callWithdrawn      = "call.withdrawn"
)

// Description describes a counter.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of all counters of this package in the order of the documentation.
func Counters() []Description {
	return []Description{
		{retryPrefix + string(verdict.EndpointRefused), "Retries because the endpoint refused the request before running it."},
		{retryPrefix + string(verdict.EndpointFailed), "Retries because no connection could be established or the exchange was interrupted."},
		{retryPrefix + string(verdict.EndpointUnresponsive), "Retries because the endpoint sent nothing before the timeout."},
		{retryPrefix + string(verdict.NoEndpoint), "Retries because the allowed regions or an evacuation changed after the endpoint was chosen; nothing was sent."},
		{retryEndpointError, "Retries because the endpoint answered 500, 502, 503 or 504 without reporting that the request did not run."},
		{retryBudgetSpent, "Retries not made because the service's retry budget was spent."},
		{retryFallback, "Calls switched to a fallback route because no endpoint of their route was available."},
		{ejectedPrefix + string(endpoint.Unreachable), "Endpoints ejected because no connection could be established, and the probe failed too or it was the fifth failure in a row."},
		{ejectedPrefix + string(endpoint.Interrupted), "Endpoints ejected because an exchange was interrupted, and the probe failed or it was the fifth failure in a row."},
		{ejectedPrefix + string(endpoint.Unresponsive), "Endpoints ejected because they were unresponsive, and the probe failed or it was the fifth failure in a row."},
		{ejectedPrefix + string(endpoint.ErrorResponses), "Endpoints ejected because they answered five different requests in a row with 500, 502, 503 or 504."},
		{endpointAdmitted, "Ejected endpoints that answered a probe and receive requests again."},
		{endpointCleared, "Endpoints that answered the probe after a failure, which is then attributed to the connection and not to the endpoint."},
		{requestQuarantined, "Requests quarantined because they were in progress at two crashes, detected by this router or by others."},
		{crashReportDropped, "Requests in progress at crashes that were not reported to other routers, because too many endpoints crashed or too many requests were in progress at once."},
		{modelNotLoaded, "Calls sent to any endpoint of the route because, according to the orders stream, none serves the model."},
		{callQueued, "Calls that waited in a queue for a free endpoint."},
		{listingIgnored, "Instance lists ignored because they were empty or older than the previous one."},
		{callWithdrawn, "Attempts given up before anything was sent, because the allowed regions or an evacuation no longer allowed the endpoint."},
		{responseTruncated, "Answers truncated at the length for which tokens were reserved."},
	}
}
