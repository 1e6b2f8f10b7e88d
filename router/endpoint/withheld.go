package endpoint

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// withheldResponse is an endpoint's error that the caller gets only if no further attempt gives another answer.
type withheldResponse struct {
	exchange *exchange
	response *http.Response
	body     []byte
}

// isServerError reports whether an answer is an error of the endpoint itself, after which another one may do better.
func isServerError(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// withhold keeps an error back, so that the call can be tried again.
func (x *exchange) withhold(out outcome, response *http.Response, body []byte) outcome {
	out.verdict, out.reason, out.cause = verdict.MayHaveRun, verdict.EndpointFailed, errors.New(response.Status)
	out.retryAfter = parseRetryAfter(response.Header)
	out.withheld = &withheldResponse{exchange: x, response: response, body: bytes.Clone(body)}
	return out
}

// relay writes the answer to the caller, as one that says nothing of whether the request ran.
func (h *withheldResponse) relay() error {
	h.exchange.w.Header().Set(verdictHeader, verdict.MayHaveRun.String())
	return h.exchange.writeResponse(h.response, h.body)
}

// relayWithheld ends the call with the newest error of an endpoint.
func (j *job) relayWithheld() (Result, error) {
	err := j.withheld.relay()
	j.result.Started = true
	if err == nil {
		return j.result, nil
	}
	j.result.Abort = true
	return j.result, &verdict.Refusal{Verdict: j.result.Verdict, Reason: verdict.CallerWentAway, Cause: err}
}
