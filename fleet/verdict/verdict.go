// Package verdict says whether a request may have run and why it was refused.
//
// Every error that reaches a caller of the fleet is a *Refusal: it carries the
// verdict, a stable reason from the table in reason.go, and the time after which
// a retry is worthwhile.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have been executed by an endpoint.
type Verdict uint8

// The zero value is the cautious one: an error of unknown origin never claims
// that nothing was run.
const (
	// MayHaveRun means that the request may or may not have been executed.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not executed and will not be.
	NotRun
	// Ran means that an endpoint executed the request.
	Ran
)

// String returns the value of the Dragonfly-Verdict header.
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

// Refusal is the error with which the fleet turns a request down.
type Refusal struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the time after which a retry may succeed; zero if the reason's default applies.
	RetryAfter time.Duration
	// Detail is a message for the caller; it never contains a key.
	Detail string
	// Cause is the underlying error, if there is one.
	Cause error
}

// Error returns the reason with its detail and cause.
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

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Cause }

// Refuse returns a refusal of a request that was not run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Verdict: NotRun, Reason: reason, Detail: detail}
}

// Of returns the verdict that an error carries; MayHaveRun if it carries none.
func Of(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict
	}
	return MayHaveRun
}
