package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// verdictHeader is the response header in which an endpoint states that it did not run a request.
const verdictHeader = "Dragonfly-Verdict"

// timeoutHeader is the request header that tells the endpoint how long the caller will wait, in milliseconds.
const timeoutHeader = "Dragonfly-Timeout-Milliseconds"

// errUnexpectedResponse is the cause of a failed attempt or load poll whose response has a status, content type or
// body that does not fit the request.
var errUnexpectedResponse = errors.New("response has an unexpected status, content type or body")

// outcome is the result of one attempt. A nil cause means that the endpoint's response is complete, even if it is an
// error.
type outcome struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	cause   error
	// isFinal reports whether the failure concerns the call and not the endpoint, so that a retry would not help.
	isFinal    bool
	retryAfter time.Duration
	usage      ledger.Tokens
	// failureKind classifies the failure for the endpoint's health; it is empty if the endpoint is not at fault.
	failureKind endpoint.FailureKind
	startedAt   time.Time
	// isInterrupted reports whether the connection broke after the request was sent, which may mean that the endpoint
	// crashed.
	isInterrupted bool
	// isEndpointError reports whether the endpoint responded with a server error. withheld is this response if it was
	// not relayed to the caller.
	isEndpointError bool
	withheld        *withheldResponse
	// mustAbort reports whether the connection to the caller must be aborted, so that the caller does not take the
	// response for complete.
	mustAbort bool
}

// exchange is one attempt of a call at one endpoint.
type exchange struct {
	dispatcher *Dispatcher
	call       *Call
	body       []byte
	limits     operator.RouteLimits
	peer       *peer
	w          http.ResponseWriter
	controller *http.ResponseController
	// allows reports whether the call may be sent to the endpoint now.
	allows    func() bool
	guard     *writeGuard
	watchdog  *watchdog
	startedAt time.Time
	// responseStarted reports whether a part of the response has been written to the caller.
	responseStarted bool
}

// perform sends the request to the endpoint and relays the response to the caller.
func (x *exchange) perform(parent context.Context) outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	x.startedAt = time.Now()
	x.guard = &writeGuard{check: x.checkDispatch}
	defer func() { x.guard.detach() }()
	x.watchdog = newWatchdog(cancel, x.headerTimeout())
	defer x.watchdog.stop()
	response, err := x.roundTrip(ctx)
	if err != nil {
		return x.classifyFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case isNotRunRefusal(response):
		_, _ = x.guard.end()
		return outcome{
			verdict: verdict.NotRun, reason: verdict.EndpointRefused, cause: errors.New(response.Status),
			retryAfter: parseRetryAfter(response.Header), startedAt: x.startedAt,
		}
	case response.StatusCode == http.StatusSwitchingProtocols:
		return x.classifyFailure(ctx, errUnexpectedResponse)
	case x.call.isStreaming() && response.StatusCode == http.StatusOK:
		return x.relayStream(ctx, response)
	default:
		return x.relayBuffered(ctx, response)
	}
}

// roundTrip sends the request and returns the response. It sends it on another connection if the one that the transport
// selected is unclean.
func (x *exchange) roundTrip(ctx context.Context) (*http.Response, error) {
	for {
		response, err := x.peer.transport().RoundTrip(x.newRequest(ctx))
		isRejected, isReused := x.guard.rejection()
		if !isRejected {
			x.guard.conclude(err == nil && isNotRunRefusal(response))
			return response, x.guard.responseError(err)
		}
		if err == nil {
			_ = response.Body.Close()
		}
		if !isReused || ctx.Err() != nil {
			return nil, errUnclean
		}
		x.guard = &writeGuard{check: x.checkDispatch}
	}
}

// checkDispatch is called right before the first byte of the attempt is written.
func (x *exchange) checkDispatch() error {
	if !x.allows() {
		return errPlaceWithdrawn
	}
	if x.call.CheckDispatch == nil {
		return nil
	}
	return x.call.CheckDispatch()
}

// headerTimeout returns the maximum wait for the response headers. An engine that does not stream sends them only
// after it has generated the last token.
func (x *exchange) headerTimeout() time.Duration {
	model := x.call.Model
	if model == nil || model.Stream {
		return x.limits.HeaderTimeout
	}
	perToken := min(x.limits.TokenTimeout, x.limits.RequestTimeout)
	if model.MaxTokens > int64(x.limits.RequestTimeout/perToken) {
		return x.limits.RequestTimeout
	}
	return min(x.limits.RequestTimeout, x.limits.FirstTokenTimeout+time.Duration(model.MaxTokens)*perToken)
}

// newRequest builds the request for the endpoint. It leaves GetBody unset, so that net/http's transport can't send
// the body a second time by itself.
func (x *exchange) newRequest(ctx context.Context) *http.Request {
	target, err := url.ParseRequestURI(x.call.Path)
	if err != nil {
		target = &url.URL{Path: x.call.Path}
	}
	request := &http.Request{
		Method: x.call.Method,
		URL: &url.URL{
			Scheme: "http", Host: x.peer.address,
			Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery,
		},
		Header: requestHeader(x.call.Header),
		Host:   x.peer.address,
	}
	if x.call.Model != nil {
		// The router parses the response of a model engine, so it must not be compressed.
		request.Header.Del("Accept-Encoding")
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline).Milliseconds()
		request.Header.Set(timeoutHeader, strconv.FormatInt(remaining, 10))
	}
	if len(x.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(x.body))
		request.ContentLength = int64(len(x.body))
	}
	return request.WithContext(x.peer.witness.WithTrace(x.guard.withTrace(ctx)))
}

// classifyFailure ends an attempt without a complete response and derives the verdict from whether any byte of the
// request was sent.
func (x *exchange) classifyFailure(ctx context.Context, err error) outcome {
	written, dispatchRefusal := x.guard.end()
	out := outcome{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: err, startedAt: x.startedAt}
	if !written {
		out.verdict = verdict.NotRun
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(dispatchRefusal, errPlaceWithdrawn):
		x.dispatcher.board.Count(callWithdrawn)
		out.reason, out.cause = verdict.NoEndpoint, dispatchRefusal
	case dispatchRefusal != nil:
		out.reason, out.cause, out.isFinal = verdict.LeaseExpired, dispatchRefusal, true
		var refusal *verdict.Refusal
		if errors.As(dispatchRefusal, &refusal) {
			out.reason, out.retryAfter = refusal.Reason, refusal.RetryAfter
		}
	case errors.Is(cause, errUnresponsive):
		out.reason, out.cause, out.failureKind = verdict.EndpointUnresponsive, errUnresponsive, endpoint.Unresponsive
	case errors.Is(cause, errRequestTimeout), errors.Is(cause, context.DeadlineExceeded):
		out.reason, out.cause, out.isFinal = verdict.OutcomeUnknown, cause, true
		if !written {
			out.reason = verdict.DeadlineTooShort
		}
	case cause != nil:
		out.reason, out.cause, out.isFinal = verdict.CallerDisconnected, cause, true
	case written:
		out.failureKind, out.isInterrupted = endpoint.Interrupted, !isResponseError(err)
	case isDialError(err), errors.Is(err, errUnclean):
		out.failureKind = endpoint.Unreachable
	default:
		// The endpoint closed an idle connection, as HTTP allows at any time, so the endpoint is not at fault.
	}
	return out
}

// isResponseError reports whether an error concerns the content of the response, as opposed to the connection.
func isResponseError(err error) bool {
	for _, responseError := range []error{errUnexpectedResponse, errMissingDone, errLineTooLong, errEventTooLong, http1.ErrMalformedHead} {
		if errors.Is(err, responseError) {
			return true
		}
	}
	return false
}

// isDialError reports whether an error means that no connection could be established.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// callerDisconnected returns the outcome of an attempt whose response could not be written to the caller.
func callerDisconnected(err error, v verdict.Verdict) outcome {
	return outcome{verdict: v, reason: verdict.CallerDisconnected, cause: err, isFinal: true, mustAbort: true}
}

// isNotRunRefusal reports whether an endpoint refused a request and states that it did not run it.
func isNotRunRefusal(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return response.Header.Get(verdictHeader) == verdict.NotRun.String()
	default:
		return false
	}
}

// parseRetryAfter returns the delay in a Retry-After header that is given in seconds, or zero if there is none.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// writeToCaller writes a part of the response to the caller within the write timeout. It stops the watchdog first,
// because a delay while the caller receives is not the endpoint's fault.
func (x *exchange) writeToCaller(p []byte) error {
	x.watchdog.stop()
	x.responseStarted = true
	// A writer without support for deadlines, such as a test recorder, never blocks, so the error is ignored.
	_ = x.controller.SetWriteDeadline(time.Now().Add(x.dispatcher.settings.WriteTimeout))
	_, err := x.w.Write(p)
	return err
}
