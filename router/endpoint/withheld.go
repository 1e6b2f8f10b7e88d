package endpoint

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// withheldResponse is an endpoint's error response that is relayed to the caller only if no further attempt gives
// another response.
type withheldResponse struct {
	exchange *exchange
	response *http.Response
	body     []byte
}

// isServerError reports whether a response is an error of the endpoint itself, which a retry at another endpoint may
// avoid.
func isServerError(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// withhold keeps an error response from the caller, so that the call can be retried.
func (x *exchange) withhold(out outcome, response *http.Response, body []byte) outcome {
	out.verdict, out.reason, out.cause = verdict.MayHaveRun, verdict.EndpointFailed, errors.New(response.Status)
	out.retryAfter = parseRetryAfter(response.Header)
	out.withheld = &withheldResponse{exchange: x, response: response, body: bytes.Clone(body)}
	return out
}

// relay writes the response to the caller with the verdict MayHaveRun, because an error response does not show
// whether the request ran.
func (r *withheldResponse) relay() error {
	r.exchange.w.Header().Set(verdictHeader, verdict.MayHaveRun.String())
	return r.exchange.writeResponse(r.response, r.body)
}

// relayWithheld ends the call with the most recent error response of an endpoint.
func (j *job) relayWithheld() (Result, error) {
	err := j.withheld.relay()
	j.result.ResponseStarted = true
	if err == nil {
		return j.result, nil
	}
	j.result.MustAbort = true
	return j.result, &verdict.Refusal{Verdict: j.result.Verdict, Reason: verdict.CallerDisconnected, Cause: err}
}
