// Package verdict defines the errors that callers of the fleet get.
//
// Each is a *Refusal. It carries a verdict, which says whether an endpoint may have
// executed the request, a reason from the table in reason.go, and the time after
// which a retry may succeed.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether an endpoint executed a request, as far as the router knows.
type Verdict uint8

// MayHaveRun is the zero value, so that an error without an explicit verdict never
// claims that the request was not executed.
const (
	// MayHaveRun means that the router can't tell whether the request was executed.
	MayHaveRun Verdict = iota
	// NotRun means that no endpoint has executed the request or will execute it later.
	NotRun
	// Ran means that an endpoint has executed the request.
	Ran
)

// String returns the verdict's value in the Dragonfly-Verdict response header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "MayHaveRun"
	}
}

// Refusal is the error that is returned to the caller of a request that the fleet refused or could not complete.
type Refusal struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the time after which a retry may succeed. Zero selects the default of the reason.
	RetryAfter time.Duration
	// Detail is a message for the caller. It must not contain a bearer key.
	Detail string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error returns the reason, followed by the detail and the cause where they are set.
func (r *Refusal) Error() string {
	text := string(r.Reason)
	if r.Detail != "" {
		text = fmt.Sprintf("%s: %s", text, r.Detail)
	}
	if r.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, r.Cause)
	}
	return text
}

// Unwrap returns the cause for errors.Is and errors.As.
func (r *Refusal) Unwrap() error { return r.Cause }

// Refuse returns a Refusal with the verdict NotRun, for requests that no endpoint has executed or will execute.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Verdict: NotRun, Reason: reason, Detail: detail}
}

// FromError returns the verdict of the Refusal that an error is or wraps, and MayHaveRun for any other error.
func FromError(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict
	}
	return MayHaveRun
}
