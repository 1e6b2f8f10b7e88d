package caller

import (
	"context"
	"errors"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// serve reserves the cost of a request, sends the request to an endpoint, and bills or releases the reservation.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, checked *checkedRequest) {
	w.Header().Set(HeaderRequestID, checked.key)
	releaseSlot, err := s.teamLimiter.acquire(checked.team, checked.demand.Amount)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer releaseSlot()
	ctx, cancel := context.WithTimeout(r.Context(), checked.timeout)
	defer cancel()
	reservation, err := s.accounts.Reserve(ctx, checked.demand)
	if err != nil {
		s.refuse(w, endedByRouter(r, err))
		return
	}
	defer billPanic(reservation, checked)
	checked.call.CheckDispatch = reservation.CheckDispatch
	w.Header().Set(HeaderVerdict, verdict.Ran.String())
	result, err := s.dispatcher.Do(ctx, checked.call, w)
	s.settle(ctx, w, callOutcome{received: r, request: checked, reservation: reservation, result: result, err: endedByRouter(r, err)})
}

// endedByRouter returns the error for the caller of a request that ended with err. If the router ended the request's context, with a refusal as
// the cause, the caller did not leave and gets that refusal, or one that promises nothing if the request may have run.
func endedByRouter(r *http.Request, err error) error {
	var stop, refusal *verdict.Refusal
	if !errors.As(context.Cause(r.Context()), &stop) || !errors.As(err, &refusal) || refusal.Reason != verdict.CallerDisconnected {
		return err
	}
	ended := *refusal
	ended.Reason, ended.RetryAfter = stop.Reason, stop.RetryAfter
	if ended.Verdict != verdict.NotRun {
		ended.Reason = verdict.OutcomeUnknown
	}
	return &ended
}

// callOutcome is a request with its reservation and the result of the call to an endpoint.
type callOutcome struct {
	// received is the request as the caller sent it.
	received    *http.Request
	request     *checkedRequest
	reservation ledgerstream.Reservation
	result      endpoint.Result
	err         error
}

// settle bills or releases the reservation of a call that has ended. If the call failed before any part of an answer was
// written, it also answers the caller with the error.
func (s *Server) settle(ctx context.Context, w http.ResponseWriter, outcome callOutcome) {
	switch {
	case outcome.err == nil:
		s.board.Count(requestCompleted)
		s.settleCompleted(ctx, w, outcome)
	case outcome.result.Verdict == verdict.NotRun:
		s.refuse(w, s.release(ctx, outcome))
	case outcome.hasNothingToBill():
		// The caller gets the error before the release, whose result would not change the answer.
		s.refuse(w, outcome.err)
		_ = s.release(ctx, outcome)
	default:
		outcome.reservation.Bill(outcome.result.Usage)
		s.endIncompleteAnswer(w, outcome)
	}
}

// settleCompleted bills a completed answer. If the answer to an idempotent request cost nothing, as an endpoint's error may,
// it releases the reservation instead: a bill of zero would make the caller's retry free of charge. The answer is flushed
// first, so that the caller does not wait for the release.
func (s *Server) settleCompleted(ctx context.Context, w http.ResponseWriter, outcome callOutcome) {
	if !outcome.request.demand.Idempotent || outcome.result.Usage > 0 {
		outcome.reservation.Bill(outcome.result.Usage)
		return
	}
	_ = http.NewResponseController(w).Flush()
	_ = s.release(ctx, outcome)
}

// hasNothingToBill reports whether a failed idempotent request used no tokens and wrote no part of an answer. Its reservation
// is released, because a bill of zero would mark the request as billed and make the caller's retry free of charge.
func (o *callOutcome) hasNothingToBill() bool {
	return o.request.demand.Idempotent && !o.result.ResponseStarted && o.result.Usage == 0
}

// release releases the reservation and returns the error for the caller. If the release is not read back within
// Settings.ReleaseTimeout, the error's verdict becomes MayHaveRun: NotRun promises that the request is not billed, which
// is certain only after the read-back.
func (s *Server) release(ctx context.Context, outcome callOutcome) error {
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settings.ReleaseTimeout)
	defer cancel()
	err := outcome.reservation.Release(releaseCtx)
	if err == nil {
		return outcome.err
	}
	s.board.Count(releaseUnconfirmed)
	var refusal *verdict.Refusal
	if !errors.As(outcome.err, &refusal) {
		return outcome.err
	}
	unconfirmed := *refusal
	unconfirmed.Verdict = verdict.MayHaveRun
	return &unconfirmed
}

// endIncompleteAnswer ends an answer that failed part-way. Event streams already contain an error event; for other answers it
// aborts the connection, so that the caller can't mistake the part for a complete answer.
func (s *Server) endIncompleteAnswer(w http.ResponseWriter, outcome callOutcome) {
	if !outcome.result.ResponseStarted {
		s.refuse(w, outcome.err)
		return
	}
	_ = s.countRefusal(outcome.err)
	if outcome.result.MustAbort {
		http1.Abort(w, outcome.received)
	}
}
