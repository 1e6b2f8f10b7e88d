// Package exit defines the exit codes of dragonflyctl and the error types that are mapped to them.
package exit

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Code is an exit code of dragonflyctl.
type Code int

// Exit codes of dragonflyctl. Codes returns their descriptions.
const (
	OK Code = iota
	Failed
	Usage
	Refused
	Unreachable
	TimedOut
)

// Description holds the name and the meaning of an exit code, as the help text prints them.
type Description struct {
	Code    Code
	Name    string
	Meaning string
}

// Codes returns the descriptions of all exit codes in ascending order.
func Codes() []Description {
	return []Description{
		{OK, "ok", "The command succeeded."},
		{Failed, "failed", "A file can't be read, a ticket has errors, or the requested object doesn't exist."},
		{Usage, "usage", "A flag or an argument is invalid."},
		{Refused, "refused", "The log shows that the ticket, or one of its budgets, was refused."},
		{Unreachable, "unreachable", "The platform did not return a usable answer."},
		{TimedOut, "timeout", "The timeout expired before the log or the ledger showed the outcome."},
	}
}

// Error types that CodeOf and Message distinguish. ErrUsage, ErrRefused and ErrTimedOut have their own exit codes;
// ErrNotFound, for an object that doesn't exist, leads to Failed.
//
//nolint:gochecknoglobals // errorx types are constants that Go can't declare as such
var (
	errorNamespace = errorx.NewNamespace("dragonflyctl")
	ErrUsage       = errorNamespace.NewType("usage")
	ErrRefused     = errorNamespace.NewType("refused")
	ErrTimedOut    = errorNamespace.NewType("timeout")
	ErrNotFound    = errorNamespace.NewType("unknown_object")
)

// CodeOf returns the exit code for an error, and OK for nil. An error that wraps platform.ErrUnavailable has the code Unreachable
// unless it also has a type with its own code.
func CodeOf(err error) Code {
	switch {
	case err == nil:
		return OK
	case isOfType(err, ErrUsage):
		return Usage
	case isOfType(err, ErrRefused):
		return Refused
	case isOfType(err, ErrTimedOut):
		return TimedOut
	case errors.Is(err, platform.ErrUnavailable):
		return Unreachable
	default:
		return Failed
	}
}

// isOfType reports whether the first errorx error in the chain of err is of type t. errorx.IsOfType looks at err alone and
// doesn't unwrap it.
func isOfType(err error, t *errorx.Type) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(t)
}

// NewInvalidFlagError returns an ErrUsage error for an invalid value of a flag. The flag is named without dashes, and
// allowed describes the valid values.
func NewInvalidFlagError(flag string, value any, allowed string) error {
	return ErrUsage.New("--%s is %q; allowed: %s", flag, fmt.Sprint(value), allowed)
}

// Message returns the text of an error without the errorx type name, which Error would put in front of it.
func Message(err error) string {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return err.Error()
	}
	if cause := typed.Cause(); cause != nil {
		return fmt.Sprintf("%s: %v", typed.Message(), cause)
	}
	return typed.Message()
}
