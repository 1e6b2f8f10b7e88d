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

// errFormat is the cause of answers that are not what the call asked for.
var errFormat = errors.New("answer has the wrong format")

// outcome is how one attempt ended. A nil cause means that the caller got the endpoint's answer.
type outcome struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	cause   error
	// final failures concern the call, not the endpoint.
	final      bool
	retryAfter time.Duration
	usage      ledger.Tokens
	// fault is how the endpoint failed; empty if it is not to blame.
	fault endpoint.FailureKind
	// begun is when the attempt began.
	begun time.Time
	// crash says that the connection broke after the request was sent.
	crash bool
	// errored says that the endpoint answered with an error of its own, held is that answer if it was not passed on.
	errored bool
	held    *heldAnswer
	// abort says that the caller must not take the answer for complete.
	abort bool
}

// exchange is one attempt of a call at one endpoint.
type exchange struct {
	dispatcher *Dispatcher
	call       *Call
	body       []byte
	limits     operator.RouteLimits
	peer       *peer
	w          http.ResponseWriter
	control    *http.ResponseController
	gate       *gate
	watch      *watchdog
	begun      time.Time
	// started says that a part of the answer has been written to the caller.
	started bool
}

// perform sends the call and passes the answer on.
func (x *exchange) perform(parent context.Context) outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	x.begun = time.Now()
	x.gate = &gate{check: x.call.CheckDispatch}
	defer x.gate.forget()
	x.watch = newWatchdog(cancel, x.headerTimeout())
	defer x.watch.stop()
	response, err := x.peer.transport().RoundTrip(x.request(ctx))
	if err != nil {
		return x.failed(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case refusedUnrun(response):
		_, _ = x.gate.seal()
		_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
		return outcome{
			verdict: verdict.NotRun, reason: verdict.EndpointRefused, cause: errors.New(response.Status),
			retryAfter: retryAfter(response.Header), begun: x.begun,
		}
	case response.StatusCode == http.StatusSwitchingProtocols:
		return x.failed(ctx, errFormat)
	case x.call.streams() && response.StatusCode == http.StatusOK:
		return x.passStream(ctx, response)
	default:
		return x.passWhole(ctx, response)
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

// request builds the request without GetBody, so that the transport has nothing to send again.
func (x *exchange) request(ctx context.Context) *http.Request {
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
		left := time.Until(deadline).Milliseconds()
		request.Header.Set(timeoutHeader, strconv.FormatInt(left, 10))
	}
	if len(x.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(x.body))
		request.ContentLength = int64(len(x.body))
	}
	return request.WithContext(x.gate.trace(ctx))
}

// failed classifies an attempt without a complete answer by where it broke.
func (x *exchange) failed(ctx context.Context, err error) outcome {
	written, refused := x.gate.seal()
	out := outcome{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: err, begun: x.begun}
	if !written {
		out.verdict = verdict.NotRun
	}
	cause := context.Cause(ctx)
	switch {
	case refused != nil:
		out.reason, out.cause, out.final = verdict.LeaseLapsed, refused, true
		var refusal *verdict.Refusal
		if errors.As(refused, &refusal) {
			out.reason, out.retryAfter = refusal.Reason, refusal.RetryAfter
		}
	case errors.Is(cause, errSilent):
		out.reason, out.cause, out.fault = verdict.EndpointSilent, errSilent, endpoint.Unresponsive
	case errors.Is(cause, errRequestTimeout), errors.Is(cause, context.DeadlineExceeded):
		out.reason, out.cause, out.final = verdict.OutcomeUnknown, cause, true
		if !written {
			out.reason = verdict.DeadlineTooShort
		}
	case cause != nil:
		out.reason, out.cause, out.final = verdict.CallerWentAway, cause, true
	case written:
		out.fault, out.crash = endpoint.Interrupted, !isFormat(err)
	case isDial(err):
		out.fault = endpoint.Unreachable
	default:
		// The endpoint closed an idle connection, which it may do at any time.
	}
	return out
}

// isFormat reports whether an error is about the contents of the answer and not about the connection.
func isFormat(err error) bool {
	for _, format := range []error{errFormat, errNoEnd, errLineTooLong, errEventTooLong} {
		if errors.Is(err, format) {
			return true
		}
	}
	return false
}

// isDial reports whether no connection was had.
func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// callerGone ends an attempt whose answer could not be written.
func callerGone(err error, v verdict.Verdict) outcome {
	return outcome{verdict: v, reason: verdict.CallerWentAway, cause: err, final: true, abort: true}
}

// refusedUnrun reports whether the endpoint says that it did not run the request.
func refusedUnrun(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return response.Header.Get(verdictHeader) == verdict.NotRun.String()
	default:
		return false
	}
}

// retryAfter reads a Retry-After header in seconds; zero if there is none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// write sends a part of the answer to the caller within the write timeout. The endpoint is not
// watched meanwhile: its silence would be the caller's fault.
func (x *exchange) write(p []byte) error {
	x.watch.stop()
	x.started = true
	// Writers without deadlines, such as recorders, never block.
	_ = x.control.SetWriteDeadline(time.Now().Add(x.dispatcher.settings.WriteTimeout))
	_, err := x.w.Write(p)
	return err
}
