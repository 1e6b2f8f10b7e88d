package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// errCutOff is the cause of a failed attempt that this router gave up because it found itself cut off from the endpoints.
var errCutOff = errors.New("cut off from the endpoints before the answer")

// cutWatcher gives up an exchange that has no answer yet when the router finds itself cut off from the service.
type cutWatcher struct {
	service string
	giveUp  func()
}

// watchCut registers a watcher until stop is called.
func (t *targets) watchCut(w *cutWatcher) (stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cutWatchers == nil {
		t.cutWatchers = make(map[*cutWatcher]struct{})
	}
	t.cutWatchers[w] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.cutWatchers, w)
	}
}

// notifyCutLocked tells the watchers of a service that the router is cut off from it.
func (t *targets) notifyCutLocked(service string) {
	for w := range t.cutWatchers {
		if w.service == service {
			delete(t.cutWatchers, w)
			w.giveUp()
		}
	}
}

// roundTripDirectly sends the request over this router's own connections. If the router finds meanwhile that it is cut off, a request
// that may be repeated is given up, as long as its repeat can be paid from the budget.
func (j *job) roundTripDirectly(ctx context.Context, e *target, writes *atomic.Int32) (*http.Response, error) {
	silence := j.server.targets.watchSilence(e)
	defer silence.Stop()
	direct := &directExchange{
		transport: e.transport, identifier: j.callerIdentifier(), identifierHeader: j.server.protocol.RequestID, writes: writes,
		permit: j.withCaller(j.server.targets.permit(&j.place, e, j.pass)), witness: &e.witness, bodyBytes: j.body.Length(),
	}
	newRequest := func(ctx context.Context) *http.Request { return j.newRequest(ctx, e, time.Until(j.deadline)) }
	defer func() { j.connection = direct.connection }()
	if !j.mayRepeatAfterCut() {
		return direct.roundTrip(ctx, newRequest)
	}
	// The context must outlast this call, since the answer is read with it. The request's own context ends it.
	ctx, cancel := context.WithCancelCause(ctx)
	stop := j.server.targets.watchCut(&cutWatcher{service: j.service, giveUp: func() {
		if j.server.retries.takeRetry(j.service) {
			j.hasTakenRetry.Store(true)
			cancel(errCutOff)
		}
	}})
	response, err := direct.roundTrip(ctx, newRequest)
	stop()
	if err == nil && errors.Is(context.Cause(ctx), errCutOff) {
		// The answer came as the exchange was given up, and can't be read any more.
		_ = response.Body.Close()
		err = errCutOff
	}
	if err != nil {
		cancel(err)
		return nil, err
	}
	return response, nil
}

// mayRepeatAfterCut reports whether another attempt would be allowed after the present one, apart from the budget.
func (j *job) mayRepeatAfterCut() bool {
	return j.server.relays != nil && j.route.IsRetryable() && !j.responseStarted && j.endpointsSent+1 < max(1, j.route.Attempts) &&
		len(j.tried) < maxEndpointsTried
}
