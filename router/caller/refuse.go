package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// refuse writes an error in the shape of the OpenAI API and counts it under its reason.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	refusal := s.count(err)
	description := verdict.Describe(refusal.Reason)
	body, _ := json.Marshal(errorBody(refusal, description))
	header := w.Header()
	// What an endpoint's answer had set doesn't describe this one.
	header.Del("Content-Encoding")
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderVerdict, refusal.Verdict.String())
	wait := refusal.RetryAfter
	if wait == 0 {
		wait = description.RetryAfter
	}
	if wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	w.WriteHeader(description.Status)
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
}

// count counts a refusal under its reason; an error without one counts as internal.
func (s *Server) count(err error) *verdict.Refusal {
	var refusal *verdict.Refusal
	if !errors.As(err, &refusal) {
		refusal = &verdict.Refusal{Verdict: verdict.Of(err), Reason: verdict.Internal, Cause: err}
	}
	s.board.CountRefusal(refusal.Reason)
	return refusal
}

// errorShape is the error object of the OpenAI API.
type errorShape struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func errorBody(refusal *verdict.Refusal, description verdict.Description) errorShape {
	message := description.Meaning
	if refusal.Detail != "" {
		message += " (" + refusal.Detail + ")"
	}
	return errorShape{Error: errorDetail{Message: message, Type: errorType(description.Status), Code: string(refusal.Reason)}}
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
