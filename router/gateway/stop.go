package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

const (
	// acceptShare is the part of the grace period after which no more connections are accepted, if drainDelay is longer.
	acceptShare = 0.6
	// requestShare is the part of the grace period after which the requests in progress are ended, and answerShare that after which handlers
	// must have answered those.
	requestShare = 0.875
	answerShare  = 0.925
	// returnShare is the part of the grace period after which shares must have been returned. The rest stays unused, so that the router ends
	// before it is killed.
	returnShare = 0.975
	// lateRetryAfter is the Retry-After of requests that come too late in a stop: any other router serves them.
	lateRetryAfter = 50 * time.Millisecond
)

// errStopping is the cause with which the contexts of requests end that a router stops with.
var errStopping = errors.New("the router stops")

// isStopped reports whether a request's context ended because the router stops, and not because the caller left.
func isStopped(r *http.Request) bool { return errors.Is(context.Cause(r.Context()), errStopping) }

// stopSchedule holds the times of a stop. Its zero value is that of a router that doesn't stop.
type stopSchedule struct {
	// AcceptUntil is when the router stops to accept connections, EndAt when it ends the requests in progress.
	AcceptUntil, EndAt time.Time
	// AnswerUntil is when the requests that are ended must have been answered, ReturnUntil when shares must have been returned.
	AnswerUntil, ReturnUntil time.Time
}

func newStopSchedule(now time.Time, grace time.Duration) stopSchedule {
	after := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }
	return stopSchedule{
		AcceptUntil: now.Add(min(drainDelay, after(acceptShare))), EndAt: now.Add(after(requestShare)),
		AnswerUntil: now.Add(after(answerShare)), ReturnUntil: now.Add(after(returnShare)),
	}
}

// admits reports whether a request whose body was read by now may be sent to an endpoint: a late one only if its deadline is before the
// requests in progress are ended.
func (s stopSchedule) admits(now, deadline time.Time) bool {
	return s.EndAt.IsZero() || !now.After(s.AcceptUntil) || deadline.Before(s.EndAt)
}

// stopCallers serves on until the load balancer has noticed that the router is leaving, then accepts no more connections, waits for the requests
// in progress, and has those that are left answered before it closes their connections.
func (n *Node) stopCallers(ctx context.Context, callerServer *http.Server, schedule stopSchedule) {
	clock.Sleep(ctx, time.Until(schedule.AcceptUntil))
	if n.callers.drainUntil(ctx, schedule.EndAt) {
		return
	}
	n.Logger.WithField("Connections", n.callers.count()).Warn("grace period is over; ending the remaining requests")
	n.endRequests(errStopping)
	n.callers.drainUntil(ctx, schedule.AnswerUntil)
	_ = callerServer.Close()
}
