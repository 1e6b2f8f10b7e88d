package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

const (
	// relayCandidates is the number of other routers among which a router chooses.
	relayCandidates = 6
	// maxRelayTries bounds the routers that are asked to carry out one exchange, and those that may decline for one request.
	maxRelayTries = 2
	// minRelayBackoff is how long a router is not asked after it declined or could not be reached, maxRelayBackoff the upper
	// bound after several consecutive times.
	minRelayBackoff = 1 * time.Second
	maxRelayBackoff = 8 * time.Second
	// relayRetestShare is the share of exchanges for which a router is asked again that declined before.
	relayRetestShare = 0.1
	// failedDialsBeforeRelay is the number of endpoints at which a request's connections fail before another router is asked.
	failedDialsBeforeRelay = 2
)

var (
	// errNoOtherRouter is the cause of a failed attempt for which no other router carried out the exchange. Nothing was sent.
	errNoOtherRouter = errors.New("no other router carries out the exchange")
	// errNotAdmittedElsewhere is the cause of a failed attempt that another router didn't carry out because of what it knows of the
	// endpoint. Nothing was sent.
	errNotAdmittedElsewhere = errors.New("another router sends the endpoint nothing")
	// errNotConnectedElsewhere is the cause of a failed attempt for which another router could open no connection either.
	errNotConnectedElsewhere = errors.New("endpoint can't be reached through another router")
)

// relays has exchanges with endpoints carried out by other routers.
type relays struct {
	routers *Routers

	mu sync.Mutex
	// ranked are the other routers in the order in which this one asks them, as of the roster's change count changes.
	ranked  []peer.Router
	changes int64
	states  map[string]*relayState
}

// relayState is what this router knows about another one that may carry out exchanges.
type relayState struct {
	// inFlight is the number of this router's exchanges in progress there.
	inFlight int
	// failures counts consecutive exchanges that the router declined or that could not be handed over. It is not asked before
	// blockedUntil.
	failures     int
	blockedUntil time.Time
}

// rankLocked orders the other routers: those of the same region first, else by a hash of both instances.
func (r *relays) rankLocked() {
	changes := r.routers.Roster.ChangeCount()
	if r.states != nil && changes == r.changes {
		return
	}
	self := r.routers.Self
	listed := slices.DeleteFunc(r.routers.Roster.Routers(), func(other peer.Router) bool { return other.Instance == self.Instance })
	rank := func(other peer.Router) uint64 {
		hash := endpoint.MixHash(xxhash.Sum64String(self.Instance + "\n" + other.Instance))
		if other.Region == self.Region {
			return hash >> 1
		}
		return hash>>1 | 1<<63
	}
	slices.SortFunc(listed, func(a, b peer.Router) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	states := make(map[string]*relayState, len(listed))
	for _, other := range listed {
		if states[other.Instance] = r.states[other.Instance]; states[other.Instance] == nil {
			states[other.Instance] = &relayState{}
		}
	}
	r.ranked, r.changes, r.states = listed, changes, states
}

// choose selects a router and counts the exchange as in progress there. It leaves out the router tried and those in regions that aren't
// allowed, and reports false if there is no other.
func (r *relays) choose(now time.Time, tried string, policy *locality.Policy) (peer.Router, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rankLocked()
	var usable, doubtful, blocked []peer.Router
	for _, other := range r.ranked {
		s := r.states[other.Instance]
		switch {
		case other.Instance == tried || !policy.AllowsRouter(other.Region):
		case now.Before(s.blockedUntil):
			blocked = append(blocked, other)
		case s.failures > 0:
			doubtful = append(doubtful, other)
		case len(usable) < relayCandidates:
			usable = append(usable, other)
		}
	}
	retests := tried == "" && rand.Float64() < relayRetestShare //nolint:gosec // spreads load
	switch {
	case len(doubtful) > 0 && (len(usable) == 0 || retests):
		usable = doubtful
	case len(usable) == 0:
		usable = blocked
	}
	if len(usable) == 0 {
		return peer.Router{}, false
	}
	first, second := usable[rand.IntN(len(usable))], usable[rand.IntN(len(usable))] //nolint:gosec // spreads load
	if r.states[second.Instance].inFlight < r.states[first.Instance].inFlight {
		first = second
	}
	r.states[first.Instance].inFlight++
	return first, true
}

// release removes an exchange from those in progress at a router.
func (r *relays) release(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[instance]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// record records whether a router carries out exchanges.
func (r *relays) record(now time.Time, instance string, carries bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[instance]
	switch {
	case s == nil:
	case carries:
		s.failures, s.blockedUntil = 0, time.Time{}
	case !now.Before(s.blockedUntil):
		s.blockedUntil = now.Add(min(minRelayBackoff<<min(s.failures, 3), maxRelayBackoff))
		s.failures++
	}
}

// needsOtherRouter reports whether the next attempt goes through another router.
func (j *job) needsOtherRouter() bool {
	if j.server.relays == nil {
		return false
	}
	draw := rand.Float64() //nolint:gosec // spreads load
	return j.failedDials >= failedDialsBeforeRelay || !j.server.targets.goesDirectly(j.service, draw)
}

// roundTrip sends the request to the endpoint over this router's connections, or through another router while this one is cut off. writes
// counts how often the request was written to the endpoint.
func (j *job) roundTrip(ctx context.Context, e *target, timeLeft time.Duration, writes *atomic.Int32) (*http.Response, error) {
	j.through, j.connection = "", nil
	if j.needsOtherRouter() {
		counted := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { writes.Add(1) }})
		response, err := j.roundTripThroughOther(e, j.newRequest(counted, e, timeLeft))
		if !errors.Is(err, errNoOtherRouter) || j.failedDials > 0 {
			return response, err
		}
		j.through = ""
	}
	return j.roundTripDirectly(ctx, e, writes)
}

// roundTripThroughOther has another router send the request to the endpoint. As long as nothing was sent, it asks a further one.
func (j *job) roundTripThroughOther(e *target, outgoing *http.Request) (*http.Response, error) {
	defer func() { _ = outgoing.Body.Close() }()
	r, err := j.server.relays, errNoOtherRouter
	for range maxRelayTries {
		if j.declined >= maxRelayTries {
			break
		}
		policy, refusal := j.server.targets.gate.Policy(&j.place)
		if refusal != nil {
			break
		}
		other, ok := r.choose(time.Now(), j.through, &policy)
		if !ok {
			break
		}
		j.through = other.Instance
		var response *http.Response
		response, err = j.exchangeThrough(e, outgoing, other)
		if err == nil {
			j.server.state.Count(exchangeHandedOver)
			return response, nil
		}
		if writes := writeCount(err); writes > 0 {
			countWritten(outgoing.Context(), writes)
			return nil, err
		}
		if outgoing.Context().Err() != nil {
			return nil, err
		}
		if errors.Is(err, errNoOtherRouter) {
			j.declined++
		}
		j.setTimeLeft(outgoing.Header, time.Until(j.deadline))
	}
	j.server.state.Count(exchangeNotCarried)
	return nil, err
}

// exchangeThrough hands the exchange over to a router and waits for the headers of the answer.
func (j *job) exchangeThrough(e *target, outgoing *http.Request, other peer.Router) (*http.Response, error) {
	ctx, r := outgoing.Context(), j.server.relays
	reader, err := r.routers.Node.OpenExchange(ctx, peer.Address{Instance: other.Instance, Address: other.Address}, &peer.Exchange{
		Service: e.Service, Endpoint: e.Name, Address: e.Address, StartedAt: e.StartedAt,
		Method: outgoing.Method, Target: j.r.RequestURI, Host: outgoing.Host, Header: headerFields(outgoing.Header), Body: j.body.Bytes(),
		TimeLeftMilliseconds: time.Until(j.deadline).Milliseconds(),
	}, j.permitRouter(e, other.Region))
	var head *peer.ExchangeHead
	if err == nil {
		if head, err = reader.ReadHead(); err == nil && !http1.IsStatus(head.Status) {
			err = fmt.Errorf("%w: %w: status code %d", peer.ErrExchangeBroken, http1.ErrMalformedHead, head.Status)
		}
		if err != nil {
			_ = reader.Close()
		}
	}
	if err != nil {
		r.release(other.Instance)
		if ctx.Err() == nil && !errors.Is(err, errWithdrawn) && !errors.Is(err, errCallerLeft) {
			r.record(time.Now(), other.Instance, carriesExchanges(err))
		}
		return nil, relayFailure(err)
	}
	r.record(time.Now(), other.Instance, true)
	countWritten(ctx, max(1, head.Writes))
	response := &http.Response{
		Status: head.StatusText, StatusCode: head.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: fieldsHeader(head.Header),
		ContentLength: head.ContentLength, Body: &relayBody{ExchangeReader: reader, relays: r, instance: other.Instance}, Request: outgoing,
	}
	if head.IsChunked {
		response.TransferEncoding = []string{"chunked"}
	}
	return response, nil
}

// relayBody is the body of an answer that another router passes on.
type relayBody struct {
	*peer.ExchangeReader

	relays   *relays
	instance string
	once     sync.Once
}

// Close implements io.Closer.
func (b *relayBody) Close() error {
	b.once.Do(func() { b.relays.release(b.instance) })
	return b.ExchangeReader.Close()
}

// carriesExchanges reports whether a router carries out exchanges although one has failed: the endpoint is to blame.
func carriesExchanges(err error) bool {
	var ended *peer.ExchangeEndError
	return errors.As(err, &ended) && ended.End.Outcome != peer.ExchangeDeclined
}

// writeCount returns how many times the request of an exchange may have been written to the endpoint.
func writeCount(err error) int {
	var ended *peer.ExchangeEndError
	switch {
	case errors.As(err, &ended):
		return ended.End.Writes
	case errors.Is(err, peer.ErrExchangeBroken):
		return 1
	default:
		return 0
	}
}

// countWritten tells the exchange's trace that the request was written to the endpoint.
func countWritten(ctx context.Context, writes int) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.WroteHeaders != nil {
		for range writes {
			trace.WroteHeaders()
		}
	}
}

// relayFailure returns the cause of a failed attempt for the error of an exchange through another router.
func relayFailure(err error) error {
	var ended *peer.ExchangeEndError
	if !errors.As(err, &ended) {
		if errors.Is(err, peer.ErrExchangeNotSent) {
			return fmt.Errorf("%w: %w", errNoOtherRouter, err)
		}
		return err
	}
	switch {
	case ended.End.Outcome == peer.ExchangeDeclined:
		return fmt.Errorf("%w: %w", errNoOtherRouter, err)
	case ended.End.Outcome == peer.ExchangeNotAdmitted:
		return fmt.Errorf("%w: %w", errNotAdmittedElsewhere, err)
	case ended.End.Outcome == peer.ExchangeRefused:
		return fmt.Errorf("%w: %w: %w", errNotConnectedElsewhere, syscall.ECONNREFUSED, err)
	case ended.End.Writes == 0:
		return fmt.Errorf("%w: %w", errNotConnectedElsewhere, err)
	default:
		return err
	}
}

// isRoutersFailure reports whether an exchange failed at this router or another one, so that the endpoint is not to blame.
func isRoutersFailure(err error) bool {
	return errors.Is(err, errNoOtherRouter) || errors.Is(err, errNotAdmittedElsewhere) || errors.Is(err, peer.ErrExchangeBroken) ||
		errors.Is(err, errCutOff) || errors.Is(err, errWithdrawn) || errors.Is(err, errCallerLeft)
}

// recordFailedDial counts the endpoints to which the request could open no connection. One that gives no answer counts as enough.
func (j *job) recordFailedDial(e *target, result attemptResult) {
	if j.through != "" || !result.notSent || !result.endpointFailed {
		return
	}
	j.failedDials++
	if !errors.Is(result.cause, syscall.ECONNREFUSED) {
		j.failedDials = max(j.failedDials, failedDialsBeforeRelay)
	}
	j.unsent = append(j.unsent, e)
}

// retryUnsent allows the endpoints to which no connection could be opened to be tried once more, through another router. It
// reports whether there are any.
func (j *job) retryUnsent(err error) bool {
	var refusal *verdict.Refusal
	if len(j.unsent) == 0 || j.server.relays == nil || !errors.As(err, &refusal) ||
		!slices.Contains([]verdict.Reason{verdict.NoEndpoint, verdict.NoEndpointInRegion, verdict.EndpointsCold, verdict.Overloaded}, refusal.Reason) {
		return false
	}
	j.tried = slices.DeleteFunc(j.tried, func(e *target) bool { return slices.Contains(j.unsent, e) })
	j.unsent, j.failedDials = nil, max(j.failedDials, failedDialsBeforeRelay)
	return true
}

func headerFields(header http.Header) []peer.HeaderField {
	fields := make([]peer.HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, peer.HeaderField{Name: name, Values: values})
	}
	return fields
}

func fieldsHeader(fields []peer.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, f := range fields {
		header[f.Name] = f.Values
	}
	return header
}
