package caller

import (
	"errors"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// startedAnswer is a response writer that records whether an answer has begun.
type startedAnswer struct {
	http.ResponseWriter

	hasStarted bool
}

// Unwrap returns the wrapped writer. http.ResponseController calls it.
func (a *startedAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (a *startedAnswer) WriteHeader(status int) {
	a.hasStarted = true
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *startedAnswer) Write(p []byte) (int, error) {
	a.hasStarted = true
	return a.ResponseWriter.Write(p)
}

// answerPanic answers a request whose handler panics, unless an answer has begun, and panics on: net/http logs the panic and closes the
// connection. It must be deferred.
func (s *Server) answerPanic(a *startedAnswer) {
	fault := recover()
	if fault == nil {
		return
	}
	if !isAbort(fault) && !a.hasStarted {
		s.refuse(a, &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.Internal})
	}
	panic(fault)
}

// billPanic bills the whole reservation of a request whose handler panics, since it may have run, and panics on. After another bill or release
// it has no effect. It must be deferred.
func billPanic(reservation ledgerstream.Reservation, checked *checkedRequest) {
	fault := recover()
	if fault == nil {
		return
	}
	if !isAbort(fault) {
		reservation.Bill(checked.demand.Amount)
	}
	panic(fault)
}

// isAbort reports whether a handler panicked to abort its answer.
func isAbort(fault any) bool {
	err, ok := fault.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}
