package caller

import (
	"context"
	"errors"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// serve pays for an order, performs it and settles its reservation.
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
		s.refuse(w, err)
		return
	}
	checked.call.CheckDispatch = reservation.CheckDispatch
	w.Header().Set(HeaderVerdict, verdict.Ran.String())
	result, err := s.dispatcher.Do(ctx, checked.call, w)
	s.settle(ctx, w, callOutcome{request: checked, reservation: reservation, result: result, err: err})
}

// callOutcome is what is known when an order has been performed.
type callOutcome struct {
	request     *checkedRequest
	reservation ledgerstream.Reservation
	result      endpoint.Result
	err         error
}

// settle bills or releases a reservation, and answers the caller if nothing was written to it yet.
func (s *Server) settle(ctx context.Context, w http.ResponseWriter, outcome callOutcome) {
	switch {
	case outcome.err == nil:
		s.board.Count(requestCompleted)
		s.settleCompleted(ctx, w, outcome)
	case outcome.result.Verdict == verdict.NotRun:
		s.refuse(w, s.release(ctx, outcome))
	case outcome.hasNothingToBill():
		// The answer goes first: the caller learns nothing more from the release.
		s.refuse(w, outcome.err)
		_ = s.release(ctx, outcome)
	default:
		outcome.reservation.Bill(outcome.result.Usage)
		s.endIncompleteAnswer(w, outcome)
	}
}

// settleCompleted bills an answer. An endpoint's error that costs nothing frees the identifier instead, for the
// reason that deliveredNothing gives; the caller has its answer before the release is waited for.
func (s *Server) settleCompleted(ctx context.Context, w http.ResponseWriter, outcome callOutcome) {
	if !outcome.request.demand.Idempotent || outcome.result.Usage > 0 {
		outcome.reservation.Bill(outcome.result.Usage)
		return
	}
	_ = http.NewResponseController(w).Flush()
	_ = s.release(ctx, outcome)
}

// hasNothingToBill says that an idempotent request left nothing to bill. Its identifier is freed, because a
// bill of zero would make the caller's retry free of charge.
func (o *callOutcome) hasNothingToBill() bool {
	return o.request.demand.Idempotent && !o.result.Started && o.result.Usage == 0
}

// release frees the reservation and returns what to tell the caller: "not run" holds for the bill only
// once the release has been read back.
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

// endIncompleteAnswer ends an answer that can't be completed. One that doesn't show this by itself, as an event stream
// does by its error event, is cut, so that it can't be taken for a whole one.
func (s *Server) endIncompleteAnswer(w http.ResponseWriter, outcome callOutcome) {
	if !outcome.result.Started {
		s.refuse(w, outcome.err)
		return
	}
	_ = s.countRefusal(outcome.err)
	if outcome.result.Abort {
		panic(http.ErrAbortHandler)
	}
}
