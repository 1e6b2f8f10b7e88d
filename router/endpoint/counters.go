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
)

// Description describes a counter.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of all counters of this package in the order of the documentation.
func Counters() []Description {
	return []Description{
		{retryPrefix + string(verdict.EndpointRefused), "Attempts sent again because the endpoint refused the request before running it."},
		{retryPrefix + string(verdict.EndpointFailed), "Attempts sent again because no connection was had or the exchange was broken off."},
		{retryPrefix + string(verdict.EndpointUnresponsive), "Attempts sent again because the endpoint sent nothing in time."},
		{retryEndpointError, "Attempts sent again because the endpoint answered 500, 502, 503 or 504 without saying that it ran nothing."},
		{retryBudgetSpent, "Attempts not made because the service's retry budget was spent."},
		{retryFallback, "Calls that went over to a fallback route because no endpoint of theirs was available."},
		{ejectedPrefix + string(endpoint.Unreachable), "Endpoints ejected because no connection was had, also by a probe."},
		{ejectedPrefix + string(endpoint.Interrupted), "Endpoints ejected because exchanges were broken off and the probe failed, or five broke in a row."},
		{ejectedPrefix + string(endpoint.Unresponsive), "Endpoints ejected because they were silent and the probe failed, or five calls in a row got nothing."},
		{ejectedPrefix + string(endpoint.ErrorResponses), "Endpoints ejected because they answered five different requests in a row with 500, 502, 503 or 504."},
		{endpointAdmitted, "Ejected endpoints that answered a probe and get work again."},
		{endpointCleared, "Endpoints that answered a probe after a failure: the connection was at fault, not the endpoint."},
		{requestQuarantined, "Requests quarantined because they were in progress at two crashes, seen by this router or by others."},
		{crashReportDropped, "Requests in progress at crashes of which other routers were not told, because too many endpoints crashed at once."},
		{modelNotLoaded, "Calls for which any endpoint was taken, because by the orders stream none serves the model."},
		{callQueued, "Calls that waited for a place at an endpoint."},
		{listingIgnored, "Instance lists not taken in because they were empty or older than the one before."},
		{responseTruncated, "Answers cut at their reserved length."},
	}
}
