package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

const (
	// minAttemptTime is the minimum time left before the deadline for sending a request to an endpoint.
	minAttemptTime = 5 * time.Millisecond
	// endpointDeadlineMargin is subtracted from the time left before the value is sent to an endpoint, so that the
	// endpoint gives up before the router does and the router still learns whether a request that was queued at the
	// endpoint has run. The margin is about a round trip between regions, and at most the time left divided by
	// endpointDeadlineDivisor.
	endpointDeadlineMargin  = 25 * time.Millisecond
	endpointDeadlineDivisor = 10
	// maxEndpointsTried bounds the endpoints that are tried for one request.
	maxEndpointsTried = 5
	// maxBufferedErrorBytes bounds an endpoint's error answer that is buffered while the request is tried at another
	// endpoint. A longer one is forwarded in place of a retry.
	maxBufferedErrorBytes = 64 << 10
	// maxRefusalBytes and refusalReadTime bound reading the body of an endpoint's refusal, after which the connection can
	// be used again.
	maxRefusalBytes = 64 << 10
	refusalReadTime = 50 * time.Millisecond
)

var (
	// errWrongRequest is the cause of a failed attempt whose answer has the identifier of another request.
	errWrongRequest = errors.New("answer to another request")
	// errProtocolSwitch is the cause of a failed attempt whose answer ends the use of HTTP on the connection.
	errProtocolSwitch = errors.New("answer switches protocols")
	// errContradiction is the cause of a failed attempt whose answer is no error and states that the request has not run.
	errContradiction = errors.New("answer is no error and states that the request has not run")
	// errUnsealed is the cause of a failed attempt whose successful answer lacks the seal header of an endpoint.
	errUnsealed = errors.New("success without a seal")
)

// responseFraming is how an answer marks the end of its body.
type responseFraming string

const (
	framedByLength responseFraming = "length"
	framedByChunks responseFraming = "chunks"
	// framedByClose: the body ends where the connection does.
	framedByClose responseFraming = "close"
)

func framingOf(response *http.Response) responseFraming {
	switch {
	case http1.EndsWithConnection(response):
		return framedByClose
	case response.ContentLength >= 0:
		return framedByLength
	default:
		return framedByChunks
	}
}

// exchange sends the request to one endpoint and forwards its answer to the caller.
func (j *job) exchange(ctx context.Context, e *target) attemptResult {
	timeLeft := time.Until(j.deadline)
	if timeLeft < minAttemptTime {
		return attemptResult{verdict: verdict.NotRun, reason: verdict.DeadlineTooShort, cause: context.DeadlineExceeded}
	}
	if err := j.checkCaller(); err != nil {
		return attemptResult{verdict: verdict.NotRun, reason: verdict.CallerDisconnected, cause: err, notSent: true}
	}
	var writes atomic.Int32
	sentAt := time.Now()
	response, err := j.roundTrip(ctx, e, timeLeft, &writes)
	result := attemptResult{}
	if err != nil {
		result = j.classifyFailure(ctx, err, writes.Load() > 0)
	} else {
		defer func() { _ = response.Body.Close() }()
		j.framing = framingOf(response)
		if j.isOwnAnswer(response) {
			j.server.recordNotices(e, sentAt, response)
		}
		result = j.handleResponse(ctx, response)
		result.responded = !errors.Is(result.cause, errWrongRequest)
	}
	result.writeCount = writes.Load()
	return result
}

// newRequest builds the request to the endpoint.
func (j *job) newRequest(ctx context.Context, e *target, timeLeft time.Duration) *http.Request {
	u := *j.targetURL
	u.Host = e.Address
	return endpointRequest(ctx, j.r.Method, &u, j.r.Host, j.requestHeader(e, timeLeft), j.body.Open(), j.body.Length())
}

// endpointRequest builds a request to an endpoint. Its body can be read only once, so that the HTTP transport can't resend the request
// by itself.
func endpointRequest(ctx context.Context, method string, u *url.URL, host string, header http.Header, body io.ReadCloser, length int64) *http.Request {
	outgoing := &http.Request{
		Method: method, URL: u, Host: host, Header: header,
		Body: body, ContentLength: length,
	}
	return outgoing.WithContext(ctx)
}

// requestHeader returns the headers of the request to the endpoint.
func (j *job) requestHeader(e *target, timeLeft time.Duration) http.Header {
	protocol := &j.server.protocol
	header := j.r.Header.Clone()
	headers.RemoveHopByHop(header)
	header.Del("Authorization")
	header.Del("Expect")
	for _, name := range protocol.Reserved {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		// If the User-Agent key is missing, the HTTP transport adds a value of its own.
		header["User-Agent"] = nil
	}
	header.Del(protocol.Team)
	if j.team != nil {
		header.Set(protocol.Team, j.team.Name)
	}
	header.Set(protocol.ExpectedEndpoint, e.Name)
	if j.events.Completed() > 0 {
		header.Set(protocol.ResumeAfter, j.events.Last())
	}
	j.continuesAfter = header.Get(protocol.ResumeAfter)
	if j.engine != nil && protocol.Urgency != "" {
		header.Set(protocol.Urgency, strconv.Itoa(urgency(j.route.Target-time.Since(j.received), j.readTime, j.priority())))
	}
	j.setTimeLeft(header, timeLeft)
	return header
}

// setTimeLeft tells the endpoint how much time is left.
func (j *job) setTimeLeft(header http.Header, timeLeft time.Duration) {
	timeLeft -= min(endpointDeadlineMargin, timeLeft/endpointDeadlineDivisor)
	header.Set(j.server.protocol.Deadline, strconv.FormatInt(timeLeft.Milliseconds(), 10))
}

// classifyFailure classifies an exchange without an answer. If the connection could not be opened or nothing was
// written to it, the request has not run.
func (j *job) classifyFailure(ctx context.Context, err error, written bool) attemptResult {
	result := attemptResult{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: err}
	if !written || isDialError(err) {
		result.verdict, result.notSent = verdict.NotRun, true
	}
	switch {
	case isStopped(j.r):
		result.reason = verdict.ShuttingDown
	case j.r.Context().Err() != nil:
		result.reason = verdict.CallerDisconnected
	case ctx.Err() != nil:
		result.reason = verdict.OutcomeUnknown
		if result.verdict == verdict.NotRun {
			result.reason = verdict.DeadlineTooShort
		}
	default:
		result.endpointFailed = isEndpointsFailure(err)
	}
	return result
}

// isEndpointsFailure reports whether an endpoint is to blame for the error of an exchange. An end that isn't confirmed may be a crash or a stop.
func isEndpointsFailure(err error) bool {
	return !isRoutersFailure(err) && !errors.Is(err, http1.ErrUnconfirmedEnd)
}

// isDialError reports whether an exchange failed because no connection could be opened.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// isOwnAnswer reports whether an answer names this request.
func (j *job) isOwnAnswer(response *http.Response) bool {
	return response.Header.Get(j.server.protocol.RequestID) == j.callerIdentifier()
}

// handleResponse checks that an answer belongs to this request and was given by the intended endpoint, then forwards or
// buffers it.
func (j *job) handleResponse(ctx context.Context, response *http.Response) attemptResult {
	protocol := &j.server.protocol
	if !j.isOwnAnswer(response) {
		// The request's own answer may still come, and would be read as the answer to the next request.
		j.connection.close()
		return attemptResult{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: errWrongRequest}
	}
	if cause := inconsistency(response, protocol.NotRun); cause != nil {
		return attemptResult{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: cause, endpointFailed: true}
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		j.connection.recordRefusal(j.callerIdentifier())
		return attemptResult{
			verdict: verdict.NotRun, reason: verdict.EndpointRefused, cause: errors.New(response.Status), misdirected: true,
		}
	}
	if response.Header.Get(protocol.NotRun) != "" {
		j.connection.recordRefusal(j.callerIdentifier())
		discardRefusal(response.Body)
		return attemptResult{
			verdict: verdict.NotRun, reason: verdict.EndpointRefused, cause: errors.New(response.Status), isRefusal: true,
			retryAfter: endpoint.ParsePause(response.Header.Get("Retry-After")),
		}
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if success && response.Header.Get(protocol.Seal) == "" {
		return attemptResult{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: errUnsealed, endpointFailed: true}
	}
	if j.responseStarted && response.StatusCode != http.StatusOK {
		return attemptResult{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: errors.New(response.Status)}
	}
	if response.StatusCode >= http.StatusInternalServerError && j.route.IsRetryable() {
		return j.bufferError(ctx, response)
	}
	return j.forwardResponse(ctx, response)
}

// inconsistency returns why an answer says nothing about its request: it switches protocols, which routers don't ask for, or is
// no error although it states that the request has not run. It returns nil for other answers.
func inconsistency(response *http.Response, notRun string) error {
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errProtocolSwitch
	case response.StatusCode < http.StatusBadRequest && response.Header.Get(notRun) != "":
		return errContradiction
	default:
		return nil
	}
}

// discardRefusal reads the body of an endpoint's refusal. It closes the body, and with it the connection, if the body is too
// long or doesn't end in time.
func discardRefusal(body io.ReadCloser) {
	timer := time.AfterFunc(refusalReadTime, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, maxRefusalBytes)
}

// bufferError reads an endpoint's error answer into memory, so that the request may be tried at another endpoint first. An
// answer that is too long for that is forwarded.
func (j *job) bufferError(ctx context.Context, response *http.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedErrorBytes+1))
	if err != nil {
		return j.classifyFailure(ctx, err, true)
	}
	if len(body) > maxBufferedErrorBytes {
		response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), response.Body), Closer: response.Body}
		return j.forwardResponse(ctx, response)
	}
	return attemptResult{
		verdict: verdict.Ran, reason: verdict.EndpointFailed,
		cause:    fmt.Errorf("endpoint answered %s", response.Status),
		buffered: &bufferedResponse{status: response.StatusCode, header: response.Header, body: body},
	}
}

// prefixedBody is the body of an answer of which a part was read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// copyHeader copies the headers of an answer except the hop-by-hop ones.
func copyHeader(to, from http.Header) {
	headers.RemoveHopByHop(from)
	for name, values := range from {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		// If the Content-Type key is missing, net/http sets a type that it guesses from the body.
		to["Content-Type"] = nil
	}
}
