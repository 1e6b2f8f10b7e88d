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
func (s *Server) serve(w http.ResponseWriter, r *http.Request, o *order) {
	w.Header().Set(HeaderRequestID, o.key)
	done, err := s.limits.enter(o.team, o.demand.Amount)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer done()
	ctx, cancel := context.WithTimeout(r.Context(), o.timeout)
	defer cancel()
	reservation, err := s.accounts.Reserve(ctx, o.demand)
	if err != nil {
		s.refuse(w, err)
		return
	}
	o.call.CheckDispatch = reservation.CheckDispatch
	w.Header().Set(HeaderVerdict, verdict.Ran.String())
	result, err := s.caller.Do(ctx, o.call, w)
	s.settle(ctx, w, settlement{order: o, reservation: reservation, result: result, err: err})
}

// settlement is what is known when an order has been performed.
type settlement struct {
	order       *order
	reservation ledgerstream.Reservation
	result      endpoint.Result
	err         error
}

// settle bills or releases a reservation, and answers the caller if nothing was written to it yet.
func (s *Server) settle(ctx context.Context, w http.ResponseWriter, d settlement) {
	switch {
	case d.err == nil:
		s.board.Count(requestCompleted)
		s.settleAnswered(ctx, w, d)
	case d.result.Verdict == verdict.NotRun:
		s.refuse(w, s.release(ctx, d))
	case d.deliveredNothing():
		// The answer goes first: the caller learns nothing more from the release.
		s.refuse(w, d.err)
		_ = s.release(ctx, d)
	default:
		d.reservation.Bill(d.result.Usage)
		s.finishBroken(w, d)
	}
}

// settleAnswered bills an answer. An endpoint's error that costs nothing frees the identifier instead, for the
// reason that deliveredNothing gives; the caller has its answer before the release is waited for.
func (s *Server) settleAnswered(ctx context.Context, w http.ResponseWriter, d settlement) {
	if !d.order.demand.Idempotent || d.result.Usage > 0 {
		d.reservation.Bill(d.result.Usage)
		return
	}
	_ = http.NewResponseController(w).Flush()
	_ = s.release(ctx, d)
}

// deliveredNothing says that an idempotent request left nothing to bill. Its identifier is freed, because a
// bill of zero would make the caller's retry free of charge.
func (d *settlement) deliveredNothing() bool {
	return d.order.demand.Idempotent && !d.result.Started && d.result.Usage == 0
}

// release frees the reservation and returns what to tell the caller: "not run" holds for the bill only
// once the release has been read back.
func (s *Server) release(ctx context.Context, d settlement) error {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settings.ReleaseTimeout)
	defer cancel()
	err := d.reservation.Release(bounded)
	if err == nil {
		return d.err
	}
	s.board.Count(releaseUnconfirmed)
	var refusal *verdict.Refusal
	if !errors.As(d.err, &refusal) {
		return d.err
	}
	cautious := *refusal
	cautious.Verdict = verdict.MayHaveRun
	return &cautious
}

// finishBroken ends an answer that can't be completed. One that doesn't show this by itself, as an event stream
// does by its error event, is cut, so that it can't be taken for a whole one.
func (s *Server) finishBroken(w http.ResponseWriter, d settlement) {
	if !d.result.Started {
		s.refuse(w, d.err)
		return
	}
	_ = s.count(d.err)
	if d.result.Abort {
		panic(http.ErrAbortHandler)
	}
}
