package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/cold"
	"github.com/dragonflyworks/dragonflyworks/router/places"
)

const (
	// maxExchanges and maxExchangesPerRouter bound the exchanges that a router carries out for all other routers, and for one.
	maxExchanges          = 256
	maxExchangesPerRouter = 128
	// exchangeWaitInterval is the interval at which a router that stops looks whether it still carries out exchanges.
	exchangeWaitInterval = 20 * time.Millisecond
)

// declineReason is why a router doesn't carry out an exchange. It is empty if it does.
type declineReason string

const (
	declineLeaving     declineReason = "leaving"
	declineOverloaded  declineReason = "overloaded"
	declineTooMany     declineReason = "too_many"
	declineCutOff      declineReason = "cut_off"
	declineNotListed   declineReason = "endpoint_not_listed"
	declineNotAdmitted declineReason = "endpoint_not_admitted"
	declineCold        declineReason = "endpoint_cold"
	declineRegion      declineReason = "outside_regions"
	declineEvacuated   declineReason = "zone_evacuated"
)

// outcome tells whether the router or the endpoint is the reason.
func (d declineReason) outcome() peer.ExchangeOutcome {
	switch d {
	case declineNotListed, declineNotAdmitted, declineCold, declineRegion, declineEvacuated:
		return peer.ExchangeNotAdmitted
	default:
		return peer.ExchangeDeclined
	}
}

// exchangeServer carries out exchanges with endpoints for other routers.
type exchangeServer struct {
	server *Server

	mu sync.Mutex
	// inProgress counts the exchanges by router, total all of them.
	inProgress map[string]int
	total      int
}

// HandleExchange implements peer.ExchangeHandler.
func (r *Routers) HandleExchange(ctx context.Context, from string, x *peer.Exchange, out *peer.ExchangeWriter) {
	if r.ServeExchange == nil {
		_ = out.End(&peer.ExchangeEnd{Outcome: peer.ExchangeDeclined, Cause: string(declineLeaving)})
		return
	}
	r.ServeExchange(ctx, from, x, out)
}

// serve carries out an exchange over this router's own connections.
func (s *exchangeServer) serve(ctx context.Context, from string, x *peer.Exchange, out *peer.ExchangeWriter) {
	startedAt := time.Now()
	place := s.server.placeOf(x)
	e, pass, reason := s.admit(from, x, &place)
	if reason != "" {
		s.server.state.Count(exchangeDeclinedPrefix + string(reason))
		_ = out.End(&peer.ExchangeEnd{Outcome: reason.outcome(), Cause: string(reason)})
		return
	}
	defer s.release(from)
	defer pass.End()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(x.TimeLeftMilliseconds)*time.Millisecond)
	defer cancel()
	c := &carriedExchange{server: s.server, target: e, exchange: x, out: out, place: place, pass: pass}
	end, result := c.run(ctx)
	_ = out.End(&end)
	s.server.targets.releaseCarried(e, startedAt, result)
	s.server.state.Count(exchangeCarried)
	s.server.logger.WithFields(log.Fields{
		fieldRequest: fieldsHeader(x.Header).Get(s.server.protocol.RequestID), fieldFrom: from, fieldEndpoint: e.Name, "Outcome": int(end.Outcome),
		"Writes": end.Writes, "Cause": end.Cause, "Status": c.status, fieldMilliseconds: time.Since(startedAt).Milliseconds(),
	}).Info("exchange for another router ended")
}

// admit counts an exchange, or returns why this router doesn't carry it out. A router that is cut off itself never asks a further one.
func (s *exchangeServer) admit(from string, x *peer.Exchange, place *places.Request) (*target, *cold.Pass, declineReason) {
	state := s.server.state
	directory := state.Directory.Load()
	switch {
	case state.Leaving.Load():
		return nil, nil, declineLeaving
	case state.Overloaded.Load():
		return nil, nil, declineOverloaded
	case directory == nil:
		return nil, nil, declineNotListed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total >= maxExchanges || s.inProgress[from] >= maxExchangesPerRouter {
		return nil, nil, declineTooMany
	}
	e, pass, reason := s.server.targets.acquireCarried(directory, x, place)
	if reason == "" {
		s.total++
		s.inProgress[from]++
	}
	return e, pass, reason
}

func (s *exchangeServer) release(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if s.inProgress[from]--; s.inProgress[from] == 0 {
		delete(s.inProgress, from)
	}
}

// waitUntil waits until no exchange is in progress or the time has come. It has no effect on nil.
func (s *exchangeServer) waitUntil(ctx context.Context, end time.Time) {
	if s == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for s.count() > 0 && clock.Sleep(ctx, exchangeWaitInterval) {
	}
}

func (s *exchangeServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// acquireCarried returns the endpoint of an exchange for another router and counts the exchange as in flight there. What the endpoint's
// process has asked of this router applies.
func (t *targets) acquireCarried(directory *site.Directory, x *peer.Exchange, place *places.Request) (*target, *cold.Pass, declineReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateDirectoryLocked(directory, []site.WeightedService{{Service: x.Service}})
	if t.reachLocked(x.Service).IsCutOff() {
		return nil, nil, declineCutOff
	}
	for _, e := range t.services[x.Service] {
		if e.Name != x.Endpoint || e.Address != x.Address || e.StartedAt != x.StartedAt {
			continue
		}
		if e.isReplaced || e.notices.Admission(time.Now(), e.inFlight) == endpoint.AdmissionClosed {
			return nil, nil, declineNotAdmitted
		}
		if reason := t.checkCarried(place, e); reason != "" {
			return nil, nil, reason
		}
		pass, isPassed := t.cold.Reserve(time.Now(), &e.Endpoint)
		if !isPassed {
			return nil, nil, declineCold
		}
		e.inFlight++
		return e, pass, ""
	}
	return nil, nil, declineNotListed
}

// releaseCarried removes an exchange for another router from those in flight at an endpoint.
func (t *targets) releaseCarried(e *target, startedAt time.Time, result attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.inFlight--
	t.updateStateLocked(e, startedAt, result, true)
}

// carriedExchange is an exchange with an endpoint for another router.
type carriedExchange struct {
	server   *Server
	target   *target
	exchange *peer.Exchange
	out      *peer.ExchangeWriter
	place    places.Request
	pass     *cold.Pass
	status   int
}

// run sends the request and passes the answer on.
func (c *carriedExchange) run(ctx context.Context) (peer.ExchangeEnd, attemptResult) {
	u, err := http1.TargetURL(c.exchange.Address, c.exchange.Target)
	if err == nil {
		err = c.out.Accept()
	}
	if err != nil {
		return peer.ExchangeEnd{Outcome: peer.ExchangeDeclined, Cause: err.Error()}, attemptResult{verdict: verdict.NotRun, cause: err}
	}
	var writes atomic.Int32
	sentAt, x, header := time.Now(), c.exchange, fieldsHeader(c.exchange.Header)
	silence := c.server.targets.watchSilence(c.target)
	identifier := header.Get(c.server.protocol.RequestID)
	direct := &directExchange{
		transport: c.target.transport, identifier: identifier, identifierHeader: c.server.protocol.RequestID, writes: &writes,
		permit: c.server.targets.permit(&c.place, c.target, c.pass), witness: &c.target.witness, bodyBytes: int64(len(x.Body)),
	}
	response, err := direct.roundTrip(ctx, func(ctx context.Context) *http.Request {
		return endpointRequest(ctx, x.Method, u, x.Host, header, io.NopCloser(bytes.NewReader(x.Body)), int64(len(x.Body)))
	})
	silence.Stop()
	if err != nil {
		return c.fail(ctx, err, int(writes.Load()))
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	isOwn := response.Header.Get(c.server.protocol.RequestID) == identifier
	isRefusal := response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(c.server.protocol.NotRun) != ""
	switch {
	case !isOwn:
		// The request's own answer may still come, and would be read as the answer to the next request.
		defer direct.connection.close()
	case isRefusal:
		direct.connection.recordRefusal(identifier)
	}
	if isOwn {
		c.server.recordNotices(c.target, sentAt, response)
	}
	head := &peer.ExchangeHead{
		Status: response.StatusCode, StatusText: response.Status, Header: headerFields(response.Header), ContentLength: response.ContentLength,
		IsChunked: !http1.EndsWithConnection(response) && response.ContentLength < 0, Writes: int(writes.Load()),
	}
	if err := c.out.WriteHead(head); err != nil {
		return c.fail(ctx, err, head.Writes)
	}
	result := attemptResult{verdict: verdict.Ran, responded: isOwn}
	if isOwn && isRefusal {
		isMisdirected := response.StatusCode == http.StatusMisdirectedRequest
		result = attemptResult{verdict: verdict.NotRun, cause: errors.New(response.Status), misdirected: isMisdirected, responded: !isMisdirected}
	}
	if _, err := io.CopyBuffer(c.out, bodyToCarry(response, isRefusal), make([]byte, copyBufferBytes)); err != nil {
		end, failed := c.fail(ctx, err, head.Writes)
		if !result.misdirected {
			result = failed
		}
		return end, result
	}
	return peer.ExchangeEnd{Outcome: peer.ExchangeComplete, Writes: head.Writes}, result
}

// bodyToCarry returns what of an answer's body is sent to the router that has the exchange carried, which reads no more than the first bytes of a
// refusal.
func bodyToCarry(response *http.Response, isRefusal bool) io.Reader {
	if isRefusal {
		return io.LimitReader(response.Body, maxRefusalBytes)
	}
	return onlyReader{response.Body}
}

// onlyReader hides the other methods of a body.
type onlyReader struct{ io.Reader }

// fail classifies an exchange that failed after the request was written a number of times.
func (c *carriedExchange) fail(ctx context.Context, err error, writes int) (peer.ExchangeEnd, attemptResult) {
	end := peer.ExchangeEnd{Outcome: peer.ExchangeFailed, Writes: writes, Cause: err.Error()}
	result := attemptResult{verdict: verdict.MayHaveRun, cause: err, endpointFailed: ctx.Err() == nil, writeCount: int32(writes)}
	switch {
	case isDialError(err) && errors.Is(err, syscall.ECONNREFUSED):
		end.Outcome = peer.ExchangeRefused
	case isDialError(err):
		end.Outcome = peer.ExchangeNotConnected
	}
	if errors.Is(err, errWithdrawn) {
		end.Outcome, result.endpointFailed = peer.ExchangeNotAdmitted, false
	}
	if isDialError(err) || errors.Is(err, errWithdrawn) {
		end.Writes, result.notSent, result.verdict = 0, true, verdict.NotRun
	}
	return end, result
}
