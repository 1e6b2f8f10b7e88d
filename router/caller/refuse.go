package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/listener"
)

// refuse answers a request with an error object of the OpenAI API, and counts the error under its reason.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	refusal := s.countRefusal(err)
	description := verdict.Describe(refusal.Reason)
	body, _ := json.Marshal(newErrorResponse(refusal, description))
	header := w.Header()
	// The failed answer of an endpoint may have left a Content-Encoding, which would make this body unreadable.
	header.Del("Content-Encoding")
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderVerdict, refusal.Verdict.String())
	retryAfter := refusal.RetryAfter
	if retryAfter == 0 {
		retryAfter = description.RetryAfter
	}
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(description.Status)
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
}

// RefuseHead returns the whole answer to a request whose head is refused before it is complete.
func RefuseHead(reason verdict.Reason) []byte {
	refusal := &verdict.Refusal{Verdict: verdict.NotRun, Reason: reason}
	header := http.Header{HeaderVerdict: {verdict.NotRun.String()}}
	return listener.FormatRefusal(reason, header, newErrorResponse(refusal, verdict.Describe(reason)))
}

// countRefusal increments the counter of the error's reason. It wraps an error that is not a *verdict.Refusal in one with the
// reason Internal.
func (s *Server) countRefusal(err error) *verdict.Refusal {
	var refusal *verdict.Refusal
	if !errors.As(err, &refusal) {
		refusal = &verdict.Refusal{Verdict: verdict.FromError(err), Reason: verdict.Internal, Cause: err}
	}
	s.board.CountRefusal(refusal.Reason)
	return refusal
}

// errorResponse is the body of an error answer in the OpenAI API.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func newErrorResponse(refusal *verdict.Refusal, description verdict.Description) errorResponse {
	message := description.Meaning
	if refusal.Detail != "" {
		message += " (" + refusal.Detail + ")"
	}
	return errorResponse{Error: errorDetail{Message: message, Type: errorType(description.Status), Code: string(refusal.Reason)}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
