package verdict

import (
	"net/http"
	"time"
)

// Reason identifies why a request was refused. Callers get it as the code of the error response, so values never change.
type Reason string

// The reasons for refusing a request. Reasons describes each of them.
const (
	InvalidKey            Reason = "invalid_key"
	BudgetForbidden       Reason = "budget_forbidden"
	BudgetUnknown         Reason = "budget_unknown"
	BudgetAmbiguous       Reason = "budget_ambiguous"
	BudgetExhausted       Reason = "budget_exhausted"
	BudgetFrozen          Reason = "budget_frozen"
	PrepaidSpent          Reason = "prepaid_spent"
	PrepaidHeldElsewhere  Reason = "prepaid_elsewhere"
	BudgetNotYetInLedger  Reason = "budget_not_yet_in_ledger"
	RouteUnknown          Reason = "route_unknown"
	ModelUnknown          Reason = "model_unknown"
	InvalidBody           Reason = "invalid_body"
	BodyTooLarge          Reason = "body_too_large"
	HeadersTooLarge       Reason = "headers_too_large"
	SenderTooSlow         Reason = "sender_too_slow"
	InvalidHeader         Reason = "invalid_header"
	InvalidTarget         Reason = "invalid_target"
	IdempotencyKeyMissing Reason = "idempotency_key_missing"
	IdempotencyKeyInvalid Reason = "idempotency_key_invalid"
	IdempotencyKeyReused  Reason = "idempotency_key_reused"
	IdempotencyKeyUndated Reason = "idempotency_key_undated"
	IdempotencyKeyTooOld  Reason = "idempotency_key_too_old"
	RequestInProgress     Reason = "request_in_progress"
	RequestAlreadyRan     Reason = "request_already_ran"
	RateLimited           Reason = "rate_limited"
	ConcurrencyLimited    Reason = "concurrency_limited"
	Overloaded            Reason = "overloaded"
	DeadlineTooShort      Reason = "deadline_too_short"
	NoEndpoint            Reason = "no_endpoint"
	NoEndpointInRegion    Reason = "no_endpoint_in_region"
	RegionsDisjoint       Reason = "regions_disjoint"
	ZoneEvacuated         Reason = "zone_evacuated"
	EndpointsCold         Reason = "endpoints_cold"
	MemoryExhausted       Reason = "memory_exhausted"
	TooManyHeaders        Reason = "too_many_headers"
	NoRoom                Reason = "no_room"
	TeamShareUsed         Reason = "team_share_used"
	EndpointFailed        Reason = "endpoint_failed"
	EndpointUnresponsive  Reason = "endpoint_silent"
	EndpointRefused       Reason = "endpoint_refused"
	StreamVersionUnknown  Reason = "stream_version_unknown"
	StreamVersionGone     Reason = "stream_version_gone"
	Quarantined           Reason = "request_quarantined"
	Suspected             Reason = "request_suspected"
	LedgerUnreachable     Reason = "ledger_unreachable"
	LeaseExpired          Reason = "lease_lapsed"
	NotReady              Reason = "router_not_ready"
	ShuttingDown          Reason = "router_shutting_down"
	CallerDisconnected    Reason = "caller_went_away"
	OutcomeUnknown        Reason = "outcome_unknown"
	Internal              Reason = "internal_error"
)

// Default values of the Retry-After header, graded by how long the cause of a refusal usually lasts. noRetryAfter leaves the
// header out, for refusals for which no wait can be suggested.
const (
	retrySoon    = 1 * time.Second
	retryLater   = 5 * time.Second
	retryOutage  = 15 * time.Second
	noRetryAfter = 0
)

// Description holds the HTTP status, the default Retry-After and the text of a refusal reason.
type Description struct {
	Reason Reason
	// Status is the HTTP status code of the response.
	Status int
	// RetryAfter is the default value of the Retry-After header; the header is omitted if it is zero.
	RetryAfter time.Duration
	// Meaning explains the reason to callers and operators in one sentence.
	Meaning string
}

// Reasons returns the descriptions of all refusal reasons in the order in which the documentation lists them.
func Reasons() []Description {
	return []Description{
		{InvalidKey, http.StatusUnauthorized, noRetryAfter, "The bearer key belongs to no team."},
		{BudgetForbidden, http.StatusForbidden, noRetryAfter, "The budget belongs to another team."},
		{BudgetUnknown, http.StatusNotFound, noRetryAfter, "No budget has this name."},
		{BudgetAmbiguous, http.StatusBadRequest, noRetryAfter, "The team has several budgets and the request names none."},
		{BudgetExhausted, http.StatusTooManyRequests, retryLater, "The budget can't pay for the request's highest possible cost."},
		{PrepaidSpent, http.StatusPaymentRequired, noRetryAfter, "The team's remaining prepaid tokens don't cover the request at its most."},
		{PrepaidHeldElsewhere, http.StatusServiceUnavailable, retrySoon, "The team's remaining prepaid tokens are held by other routers, or the platform can't be reached."},
		{BudgetFrozen, http.StatusForbidden, noRetryAfter, "The budget is frozen by its operators."},
		{BudgetNotYetInLedger, http.StatusServiceUnavailable, retrySoon, "The budget's ticket is accepted, its prepaid total isn't in the ledger yet."},
		{RouteUnknown, http.StatusNotFound, noRetryAfter, "No route serves this path."},
		{ModelUnknown, http.StatusNotFound, noRetryAfter, "No route serves this model."},
		{InvalidBody, http.StatusBadRequest, noRetryAfter, "The body can't be read as the request that the path expects."},
		{BodyTooLarge, http.StatusRequestEntityTooLarge, noRetryAfter, "The body is longer than the route allows."},
		{HeadersTooLarge, http.StatusRequestHeaderFieldsTooLarge, noRetryAfter, "The headers are longer than the router allows."},
		{SenderTooSlow, http.StatusRequestTimeout, noRetryAfter, "The body didn't arrive in time."},
		{InvalidHeader, http.StatusBadRequest, noRetryAfter, "A header of the request has a value that is not allowed."},
		{InvalidTarget, http.StatusBadRequest, noRetryAfter, "The request's path has characters that are not allowed there."},
		{IdempotencyKeyMissing, http.StatusBadRequest, noRetryAfter, "A non-idempotent request needs an Idempotency-Key."},
		{IdempotencyKeyInvalid, http.StatusBadRequest, noRetryAfter, "The Idempotency-Key is empty, too long or holds control characters."},
		{IdempotencyKeyReused, http.StatusUnprocessableEntity, noRetryAfter, "The Idempotency-Key was used with other contents."},
		{IdempotencyKeyUndated, http.StatusBadRequest, noRetryAfter, "The route asks for a UUID of version 7, made now, as Idempotency-Key of a non-idempotent request."},
		{IdempotencyKeyTooOld, http.StatusConflict, noRetryAfter, "The Idempotency-Key is so old that a request with it may have run and been forgotten."},
		{RequestInProgress, http.StatusConflict, retrySoon, "A non-idempotent request with this key is running or may be running elsewhere."},
		{RequestAlreadyRan, http.StatusConflict, noRetryAfter, "A non-idempotent request with this key has run."},
		{RateLimited, http.StatusTooManyRequests, retrySoon, "The team's requests or tokens a second are used up."},
		{ConcurrencyLimited, http.StatusTooManyRequests, retrySoon, "The team has too many requests in progress."},
		{Overloaded, http.StatusServiceUnavailable, retrySoon, "Every endpoint's queue is full."},
		{DeadlineTooShort, http.StatusServiceUnavailable, retrySoon, "The request can't be served before its deadline."},
		{NoEndpoint, http.StatusServiceUnavailable, retryLater, "No endpoint of the service is available."},
		{NoEndpointInRegion, http.StatusServiceUnavailable, retryLater, "No endpoint of the service is available in the regions that the route and the team allow."},
		{RegionsDisjoint, http.StatusServiceUnavailable, noRetryAfter, "The route and the team allow no region in common."},
		{ZoneEvacuated, http.StatusServiceUnavailable, retryLater, "Every endpoint of the service is in an evacuated availability zone."},
		{EndpointsCold, http.StatusServiceUnavailable, retrySoon, "Every available endpoint of the service has just started and takes no more requests yet."},
		{MemoryExhausted, http.StatusServiceUnavailable, retrySoon, "The router has no memory left for the request."},
		{TooManyHeaders, http.StatusRequestHeaderFieldsTooLarge, noRetryAfter, "The request has more header fields than the router allows."},
		{NoRoom, http.StatusServiceUnavailable, retrySoon, "The engines have no room for the request before its deadline."},
		{TeamShareUsed, http.StatusServiceUnavailable, retrySoon, "The team uses its share of a service that is fully used."},
		{EndpointFailed, http.StatusBadGateway, retrySoon, "The endpoint broke off the exchange."},
		{EndpointUnresponsive, http.StatusGatewayTimeout, retrySoon, "The endpoint sent nothing in time."},
		{EndpointRefused, http.StatusBadGateway, retrySoon, "The endpoint refused the request before running it."},
		{StreamVersionUnknown, http.StatusServiceUnavailable, retrySoon, "No router knows which software version of the endpoints began the stream, so it can't be resumed; it can begin anew."},
		{StreamVersionGone, http.StatusServiceUnavailable, retrySoon, "No endpoint of the software version that began the stream is left, so it can't be resumed; it can begin anew."},
		{Quarantined, http.StatusUnprocessableEntity, noRetryAfter, "The same request was in progress when two endpoints crashed."},
		{Suspected, http.StatusServiceUnavailable, retryOutage, "Endpoints crashed while the same request, or one with the same part in its prompt, was in progress there, so it is not sent for some minutes."},
		{LedgerUnreachable, http.StatusServiceUnavailable, retryOutage, "The log can't be reached, so nothing new can be paid for."},
		{LeaseExpired, http.StatusServiceUnavailable, retrySoon, "The router's lease ended before the request was sent."},
		{NotReady, http.StatusServiceUnavailable, retrySoon, "The router hasn't read the log to its end yet."},
		{ShuttingDown, http.StatusServiceUnavailable, retrySoon, "The router is shutting down."},
		{CallerDisconnected, statusClientClosedRequest, noRetryAfter, "The caller closed the connection."},
		{OutcomeUnknown, http.StatusBadGateway, retrySoon, "The request may have run; its outcome isn't known."},
		{Internal, http.StatusInternalServerError, retrySoon, "The router met an error of its own."},
	}
}

// statusClientClosedRequest is the non-standard status, introduced by nginx, of requests whose caller closed the connection
// before the response.
const statusClientClosedRequest = 499

// Describe returns the description of a refusal reason, or the description of Internal if Reasons doesn't list the reason.
func Describe(reason Reason) Description {
	fallback := Description{}
	for _, d := range Reasons() {
		if d.Reason == reason {
			return d
		}
		if d.Reason == Internal {
			fallback = d
		}
	}
	return fallback
}
