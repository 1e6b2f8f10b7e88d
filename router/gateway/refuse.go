package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/listener"
)

// refuse answers with an error of the router itself. A status that promises callers that the request has not run is
// sent only if the verdict says so.
func (j *job) refuse(err error) {
	var refusal *verdict.Refusal
	if !errors.As(err, &refusal) {
		refusal = &verdict.Refusal{Reason: verdict.Internal, Cause: err}
	}
	description := verdict.Describe(refusal.Reason)
	status := description.Status
	if refusal.Verdict != verdict.NotRun && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	j.outcome, j.status = string(refusal.Reason), status
	j.server.state.Count(blackboard.RefusalPrefix + string(refusal.Reason))
	header := j.w.Header()
	header.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		delay := refusal.RetryAfter
		if delay <= 0 {
			delay = description.RetryAfter
		}
		if delay > 0 {
			// Callers take zero for leave to come again at once.
			header.Set("Retry-After", formatSeconds(delay))
		}
	}
	encoded, err := json.Marshal(newRefusalBody(description))
	if err != nil {
		encoded = []byte("{}")
	}
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	j.writeHeader(status)
	_, _ = j.w.Write(encoded)
}

// refusalBody is the body of an answer with an error of the router itself.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

func newRefusalBody(description verdict.Description) refusalBody {
	return refusalBody{Error: refusalDetail{Message: description.Meaning, Code: string(description.Reason)}}
}

// refuseHead returns the answer to a request whose head is refused before it is complete.
func refuseHead(reason verdict.Reason) []byte {
	return listener.FormatRefusal(reason, nil, newRefusalBody(verdict.Describe(reason)))
}

// promisesNotRun reports whether callers take a status as a promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// formatSeconds formats a duration in seconds with up to three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Milliseconds())/1000, 'f', -1, 64)
}
