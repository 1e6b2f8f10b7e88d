package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

const (
	// shortestAttempt is the least time left with which a request is sent to an endpoint.
	shortestAttempt = 5 * time.Millisecond
	// answerMargin is the part of the time left, up to a way between regions and back, by which an endpoint is told to give up
	// before the router does: so the router hears whether a request that waited there has run.
	answerMargin = 25 * time.Millisecond
	answerPart   = 10
	// mostTried bounds the endpoints that a request tries to reach.
	mostTried = 5
	// heldBytes bounds an endpoint's error that is held back while the request is tried elsewhere.
	heldBytes = 64 << 10
)

var (
	// errForeign is the cause of answers that belong to another request.
	errForeign = errors.New("answer to another request")
	// errUnsealed is the cause of successes that no endpoint vouches for.
	errUnsealed = errors.New("success without a seal")
)

// exchange sends the request to one endpoint and passes the answer on.
func (j *job) exchange(ctx context.Context, e *target) attempt {
	left := time.Until(j.deadline)
	if left < shortestAttempt {
		return attempt{verdict: verdict.NotRun, reason: verdict.DeadlineTooShort, cause: context.DeadlineExceeded}
	}
	var writes atomic.Int32
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { writes.Add(1) },
	})
	response, err := e.transport.RoundTrip(j.request(traced, e, left))
	out := attempt{}
	if err != nil {
		out = j.failed(ctx, err, writes.Load() > 0)
	} else {
		defer func() { _ = response.Body.Close() }()
		out = j.answered(ctx, response)
		out.answered = !errors.Is(out.cause, errForeign)
	}
	out.writes = writes.Load()
	return out
}

// request builds the request to the endpoint. Its body can't be read twice, so that the transport has nothing to send
// again by itself.
func (j *job) request(ctx context.Context, e *target, left time.Duration) *http.Request {
	out := &http.Request{
		Method:        j.r.Method,
		URL:           &url.URL{Scheme: "http", Host: e.Address, Opaque: j.r.RequestURI},
		Host:          j.r.Host,
		Header:        j.header(e, left),
		Body:          io.NopCloser(bytes.NewReader(j.body)),
		ContentLength: int64(len(j.body)),
	}
	return out.WithContext(ctx)
}

// header returns the headers that the endpoint gets.
func (j *job) header(e *target, left time.Duration) http.Header {
	wire := &j.server.wire
	header := j.r.Header.Clone()
	headers.RemoveHop(header)
	header.Del("Authorization")
	header.Del("Expect")
	for _, name := range wire.Reserved {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		// Without an entry the transport adds one of its own.
		header["User-Agent"] = nil
	}
	header.Del(wire.Team)
	if j.team != nil {
		header.Set(wire.Team, j.team.Name)
	}
	header.Set(wire.ExpectedEndpoint, e.Name)
	if j.events.last != "" {
		header.Set(wire.ResumeAfter, j.events.last)
	}
	if j.engine != nil && wire.Urgency != "" {
		header.Set(wire.Urgency, strconv.Itoa(urgency(j.route.Target-time.Since(j.received), j.work, j.priority())))
	}
	left -= min(answerMargin, left/answerPart)
	header.Set(wire.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	return header
}

// failed classifies an exchange without an answer by where it broke.
func (j *job) failed(ctx context.Context, err error, written bool) attempt {
	out := attempt{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: err}
	if !written || isDial(err) {
		out.verdict, out.unsent = verdict.NotRun, true
	}
	switch {
	case j.r.Context().Err() != nil:
		out.reason = verdict.CallerWentAway
	case ctx.Err() != nil:
		out.reason = verdict.OutcomeUnknown
		if out.verdict == verdict.NotRun {
			out.reason = verdict.DeadlineTooShort
		}
	default:
		out.broken = true
	}
	return out
}

// isDial reports whether no connection was had.
func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// answered checks whose answer it is and passes it on.
func (j *job) answered(ctx context.Context, response *http.Response) attempt {
	wire := &j.server.wire
	if response.StatusCode == http.StatusMisdirectedRequest {
		return attempt{
			verdict: verdict.NotRun, reason: verdict.EndpointRefused, cause: errors.New(response.Status), misdirected: true,
		}
	}
	if response.Header.Get(wire.RequestID) != j.identifier() {
		return attempt{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: errForeign}
	}
	if response.Header.Get(wire.NotRun) != "" {
		_, _ = io.CopyN(io.Discard, response.Body, heldBytes)
		return attempt{
			verdict: verdict.NotRun, reason: verdict.EndpointRefused, cause: errors.New(response.Status),
			retryAfter: retryAfter(response.Header),
		}
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if success && response.Header.Get(wire.Seal) == "" {
		return attempt{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: errUnsealed, broken: true}
	}
	if j.started && response.StatusCode != http.StatusOK {
		return attempt{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: errors.New(response.Status)}
	}
	if response.StatusCode >= http.StatusInternalServerError && j.route.Repeatable() {
		return j.hold(response)
	}
	return j.pass(ctx, response)
}

// hold keeps an endpoint's error while the request may be tried elsewhere.
func (j *job) hold(response *http.Response) attempt {
	body, err := io.ReadAll(io.LimitReader(response.Body, heldBytes))
	if err != nil {
		return attempt{verdict: verdict.MayHaveRun, reason: verdict.EndpointFailed, cause: err, broken: true}
	}
	return attempt{
		verdict: verdict.Ran, reason: verdict.EndpointFailed,
		cause: fmt.Errorf("endpoint answered %s", response.Status),
		held:  &heldAnswer{status: response.StatusCode, header: response.Header, body: body},
	}
}

// retryAfter reads a Retry-After header in seconds; zero if there is none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > longestWait.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// copyHeader copies the headers of an answer but those of its connection.
func copyHeader(to, from http.Header) {
	headers.RemoveHop(from)
	for name, values := range from {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		// Without an entry the server guesses one.
		to["Content-Type"] = nil
	}
}
