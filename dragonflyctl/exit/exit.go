// Package exit holds the exit codes of dragonflyctl and the errors that lead to them.
package exit

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Code is an exit code of the program.
type Code int

// The exit codes; their meaning stands in Codes.
const (
	OK Code = iota
	Failed
	Usage
	Refused
	Unreachable
	TimedOut
)

// Description says what a code means.
type Description struct {
	Code    Code
	Name    string
	Meaning string
}

// Codes lists every exit code.
func Codes() []Description {
	return []Description{
		{OK, "ok", "The verb did what it was asked."},
		{Failed, "failed", "A file can't be read, a ticket has mistakes, or what was asked for doesn't exist."},
		{Usage, "usage", "A flag or an argument isn't allowed."},
		{Refused, "refused", "The log shows that the ticket, or a budget of it, was refused."},
		{Unreachable, "unreachable", "The platform gave no usable answer."},
		{TimedOut, "timeout", "The time was up before the log or the ledger showed the outcome."},
	}
}

// Types of errors that have an exit code of their own; all others lead to Failed.
//
//nolint:gochecknoglobals // errorx types are constants that Go can't declare as such
var (
	errorNamespace   = errorx.NewNamespace("dragonflyctl")
	ErrUsage         = errorNamespace.NewType("usage")
	ErrRefused       = errorNamespace.NewType("refused")
	ErrTimedOut      = errorNamespace.NewType("timeout")
	ErrUnknownObject = errorNamespace.NewType("unknown_object")
)

// CodeOf returns the exit code of an error.
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

// isOfType looks through the errors that others wrapped around a typed one.
func isOfType(err error, t *errorx.Type) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(t)
}

// NotAllowed returns the error for a flag whose value is not allowed.
func NotAllowed(flag string, value any, allowed string) error {
	return ErrUsage.New("--%s is %q; allowed: %s", flag, fmt.Sprint(value), allowed)
}

// Message returns the text of an error without the name of its type.
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
