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
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// verdictHeader is the header with which an endpoint says that it did not run a request.
const verdictHeader = "Dragonfly-Verdict"

// timeoutHeader tells the endpoint how long the caller will wait, in milliseconds.
const timeoutHeader = "Dragonfly-Timeout-Milliseconds"

// errUnexpectedResponse is the cause of answers that are not what the call asked for.
var errUnexpectedResponse = errors.New("answer has the wrong format")

// outcome is how one attempt ended. A nil cause means that the caller got the endpoint's answer.
type outcome struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	cause   error
	// isFinal failures concern the call, not the endpoint.
	isFinal    bool
	retryAfter time.Duration
	usage      ledger.Tokens
	// failureKind is how the endpoint failed; empty if it is not to blame.
	failureKind endpoint.FailureKind
	// startedAt is when the attempt began.
	startedAt time.Time
	// isInterrupted says that the connection broke after the request was sent.
	isInterrupted bool
	// isEndpointError says that the endpoint answered with an error of its own, held is that answer if it was not passed on.
	isEndpointError bool
	withheld        *withheldResponse
	// mustAbort says that the caller must not take the answer for complete.
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
	guard      *writeGuard
	watchdog   *watchdog
	startedAt  time.Time
	// responseStarted says that a part of the answer has been written to the caller.
	responseStarted bool
}

// perform sends the call and passes the answer on.
func (x *exchange) perform(parent context.Context) outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	x.startedAt = time.Now()
	x.guard = &writeGuard{check: x.call.CheckDispatch}
	defer x.guard.detach()
	x.watchdog = newWatchdog(cancel, x.headerTimeout())
	defer x.watchdog.stop()
	response, err := x.peer.transport().RoundTrip(x.newRequest(ctx))
	if err != nil {
		return x.classifyFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case isNotRunRefusal(response):
		_, _ = x.guard.end()
		_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
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

// headerTimeout bounds the wait for the answer's headers. An engine that gives a whole answer sends
// them after its last token.
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

// newRequest builds the newRequest without GetBody, so that the transport has nothing to send again.
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
		// The router reads these answers.
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
	return request.WithContext(x.guard.withTrace(ctx))
}

// classifyFailure classifies an attempt without a complete answer by where it broke.
func (x *exchange) classifyFailure(ctx context.Context, err error) outcome {
	written, dispatchRefusal := x.guard.end()
	out := outcome{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: err, startedAt: x.startedAt}
	if !written {
		out.verdict = verdict.NotRun
	}
	cause := context.Cause(ctx)
	switch {
	case dispatchRefusal != nil:
		out.reason, out.cause, out.isFinal = verdict.LeaseLapsed, dispatchRefusal, true
		var refusal *verdict.Refusal
		if errors.As(dispatchRefusal, &refusal) {
			out.reason, out.retryAfter = refusal.Reason, refusal.RetryAfter
		}
	case errors.Is(cause, errUnresponsive):
		out.reason, out.cause, out.failureKind = verdict.EndpointSilent, errUnresponsive, endpoint.Unresponsive
	case errors.Is(cause, errRequestTimeout), errors.Is(cause, context.DeadlineExceeded):
		out.reason, out.cause, out.isFinal = verdict.OutcomeUnknown, cause, true
		if !written {
			out.reason = verdict.DeadlineTooShort
		}
	case cause != nil:
		out.reason, out.cause, out.isFinal = verdict.CallerWentAway, cause, true
	case written:
		out.failureKind, out.isInterrupted = endpoint.Interrupted, !isResponseError(err)
	case isDialError(err):
		out.failureKind = endpoint.Unreachable
	default:
		// The endpoint closed an idle connection, which it may do at any time.
	}
	return out
}

// isResponseError reports whether an error is about the contents of the answer and not about the connection.
func isResponseError(err error) bool {
	for _, responseError := range []error{errUnexpectedResponse, errMissingDone, errLineTooLong, errEventTooLong} {
		if errors.Is(err, responseError) {
			return true
		}
	}
	return false
}

// isDialError reports whether no connection was had.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// callerDisconnected ends an attempt whose answer could not be written.
func callerDisconnected(err error, v verdict.Verdict) outcome {
	return outcome{verdict: v, reason: verdict.CallerWentAway, cause: err, isFinal: true, mustAbort: true}
}

// isNotRunRefusal reports whether the endpoint says that it did not run the request.
func isNotRunRefusal(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return response.Header.Get(verdictHeader) == verdict.NotRun.String()
	default:
		return false
	}
}

// parseRetryAfter reads a Retry-After header in seconds; zero if there is none.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// writeToCaller sends a part of the answer to the caller within the writeToCaller timeout. The endpoint is not
// watched meanwhile: its silence would be the caller's fault.
func (x *exchange) writeToCaller(p []byte) error {
	x.watchdog.stop()
	x.responseStarted = true
	// Writers without deadlines, such as recorders, never block.
	_ = x.controller.SetWriteDeadline(time.Now().Add(x.dispatcher.settings.WriteTimeout))
	_, err := x.w.Write(p)
	return err
}
