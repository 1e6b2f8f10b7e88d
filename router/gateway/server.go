package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/billing"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/eventstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/placement"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/bodies"
	"github.com/dragonflyworks/dragonflyworks/router/cold"
	"github.com/dragonflyworks/dragonflyworks/router/headers"
	"github.com/dragonflyworks/dragonflyworks/router/places"
	"github.com/dragonflyworks/dragonflyworks/router/readahead"
)

const (
	// bodyReadTimeout bounds the time for reading a request's body.
	bodyReadTimeout = 5 * time.Second
	// maxRequestTime is the upper bound of a request's total time. It applies in full if neither the caller nor the
	// route sets a shorter one.
	maxRequestTime = 60 * time.Second
)

// Server is the HTTP handler for callers' requests.
type Server struct {
	state    *Board
	protocol Protocol
	payer    *allowance.Holder
	logger   log.Interface
	targets  targets
	retries  retryBudgets
	crashes  *crashTracker
	streams  *streamTracker
	// numberings know how the versions of services number the events of their streams.
	numberings eventstream.Numberings
	// limitChanges signals that a rate limit has changed.
	limitChanges changeSignal
	// bodies holds the bodies of requests in progress.
	bodies *bodies.Store
	// notices sends placement notices to other routers; nil if there are no other routers.
	notices *noticeSender
	// relays has exchanges carried out by other routers, and exchanges carries out theirs; nil if there are no other routers.
	relays    *relays
	exchanges *exchangeServer
	// reporter reports mistakes in the allowed regions of configurations.
	reporter *places.Reporter
}

// defaultMaxParts is the number of parts of prompts that are remembered if the memory for them isn't known.
const defaultMaxParts = 1 << 16

// NewServer returns a server that pays for requests from the shares of payer.
func NewServer(state *Board, protocol Protocol, location Location, payer *allowance.Holder, logger log.Interface) *Server {
	crashes := newCrashTracker(state, logger)
	s := &Server{
		state: state, protocol: protocol, payer: payer, logger: logger, crashes: crashes,
		targets:      targets{location: location, gate: newGate(state, location), cold: cold.NewTracker(logger, state.Count), traffic: &state.Traffic, onCrash: crashes.recordCrash, onSound: crashes.recordSound},
		retries:      retryBudgets{limits: endpoint.DefaultRepeatBounds()},
		limitChanges: newChangeSignal(),
		bodies:       bodies.NewStore(0, bodyReadTimeout, state.Count),
		streams:      newStreamTracker(state),
	}
	s.targets.onReachChange = s.logReachChange
	s.targets.partMemory.MaxParts = defaultMaxParts
	s.reporter = &places.Reporter{Gate: s.targets.gate, Count: state.Count, Logger: logger}
	return s
}

// SetRetryLimits sets the operators' limits on the retries of the fleet. It may be called while requests are served.
func (s *Server) SetRetryLimits(bounds endpoint.RepeatBounds) { s.retries.setLimits(bounds) }

// SetColdBounds sets the operators' bounds on the requests of the fleet to cold endpoints. It may be called while requests are served.
func (s *Server) SetColdBounds(bounds endpoint.ColdBounds) { s.targets.cold.SetBounds(bounds) }

// SetFirstStart tells the server that the site starts for the first time: no stream is older than this process. It must be called before
// the first request.
func (s *Server) SetFirstStart() { s.streams.isFirstStart = true }

// SetBodyMemory bounds the memory in bytes for the bodies of all requests. It must be called before the first request; without it there is no
// bound.
func (s *Server) SetBodyMemory(memory int64) {
	s.bodies = bodies.NewStore(memory, bodyReadTimeout, s.state.Count)
}

// SetPartMemory bounds the memory in bytes for what is known of prompts that engines have read; zero stands for the default. It must be called before
// the first request.
func (s *Server) SetPartMemory(memory int64) {
	if memory > 0 {
		s.targets.partMemory.MaxParts = max(1, int(memory/placement.PartBytes))
	}
}

// ConnectRouters makes the server exchange placement notices, crash records, rate limits and versions of streams with other routers. It must be
// called before the first request.
func (s *Server) ConnectRouters(routers *Routers) {
	s.notices = newNoticeSender(routers)
	s.relays = &relays{routers: routers}
	s.exchanges = &exchangeServer{server: s, inProgress: make(map[string]int)}
	routers.ServeExchange = s.exchanges.serve
	routers.ApplyNotice = s.ApplyNotice
	routers.MergeCrashes = func(router string, value []byte) {
		s.crashes.mergeRecord(time.Now(), router, router == routers.Self.Instance, value)
	}
	routers.MergeLimits = func(router string, value []byte) { s.mergeLimits(time.Now(), router, value) }
	s.targets.routers, routers.Streams, routers.Numberings = routers, s.streams, &s.numberings
	s.targets.cold.Connect(routers.Self.Instance, routers.Roster, routers.hasRoster.Load)
	s.streams.self, s.streams.roster, s.streams.peers = routers.Self.Instance, routers.Roster, routers
	s.streams.store = newStreamStore(routers, s.state, s.logger)
	s.streams.store.isWriter, s.streams.store.onRestored = s.streams.isAnyWriter, s.streams.restoreVersions
	s.retries.countRouters, s.crashes.countRouters = routers.Roster.Len, routers.Roster.Len
}

// job is the state of one request while the router serves it.
type job struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	// received is when the request's headers were read, deadline when the router gives the request up.
	received time.Time
	deadline time.Time

	route   *site.Route
	service string
	engine  *site.Engine
	team    *site.Team
	place   places.Request
	// pass permits the newest attempt at an endpoint that may be cold.
	pass   *cold.Pass
	demand site.Demand
	// targetURL is the URL of the requests to endpoints, without their address.
	targetURL *url.URL
	body      *bodies.Body
	random    uint64
	// fingerprint identifies the request and its resends by the caller; zero until it is computed.
	fingerprint ledger.Fingerprint

	// bound is the software version to which the stream is bound, isVersionKept whether other routers learn of it.
	bound         boundVersion
	isVersionKept bool

	tried []*target
	// withdrawn is the number of endpoints among tried to which the request was not sent although a connection was there.
	withdrawn int
	// unsent are the endpoints to which no connection could be opened, failedDials their number. through is the router through which
	// the newest attempt went; empty if it went over this router's own connections.
	unsent      []*target
	failedDials int
	// declined counts the other routers that didn't carry out an exchange for the request.
	declined int
	// hasTakenRetry reports whether the retry after the present attempt has been taken from the budget already.
	hasTakenRetry atomic.Bool
	through       string
	reservation   *allowance.Reservation
	// responseStarted is true once a part of the answer has been written to the caller.
	responseStarted bool
	// mayHaveRun reports whether any attempt may have run the request.
	mayHaveRun bool
	// connection is that of the newest attempt; nil if it had none.
	connection *endpointConnection
	// framing is how the newest answer of an endpoint marks its end; empty if there was none.
	framing responseFraming
	// answer is the endpoint's answer of which the next part is forwarded.
	answer *http.Response
	// ahead reads the newest answer that was forwarded.
	ahead *readahead.Reader
	// media is the content type of the newest answer that was forwarded.
	media string
	// endpointsSent counts the endpoints to which the request was sent.
	endpointsSent int
	// events tracks the events of the stream read from endpoints.
	events eventstream.Stream
	// hasEvents reports whether the newest answer that was forwarded holds events, continuesAfter is the identifier of the event after which the
	// newest endpoint was to continue the stream; empty for a run from the start.
	hasEvents      bool
	continuesAfter string
	// reserveTime is how long the request waited for the reservation of its tokens. firstByte is when the first part of
	// the answer arrived; zero if none has.
	reserveTime time.Duration
	firstByte   time.Time
	// caller is the caller's connection; nil if it isn't known. leave ends the context of the request.
	caller *callerConnection
	leave  context.CancelFunc
	// socketTime is how long the request waited in its caller's socket before it was read.
	socketTime time.Duration
	// attemptFirstByte is when the first part of the newest attempt's answer arrived; zero if none has.
	attemptFirstByte time.Time
	// inFlightAtChoice is the number of requests that this router had in flight at the endpoint when it selected the
	// endpoint.
	inFlightAtChoice int
	// dispatch is the prompt in its engine's backlog until the first event. unreadTokens is the number of prompt tokens
	// that the engine has to read, readTime how long reading them takes, engineWait how long the engine was predicted to
	// be busy with earlier prompts.
	dispatch     *placement.Dispatch
	unreadTokens int64
	readTime     time.Duration
	engineWait   time.Duration
	// isTrial reports whether the first attempt is a trial of blocked parts of prompts.
	isTrial bool
	// status is the HTTP status of the answer to the caller, outcome its classification in the log.
	status  int
	outcome string
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler to abort the connection to the caller after an
// incomplete answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{server: s, w: w, r: r, received: time.Now(), random: rand.Uint64()} //nolint:gosec // spreads load
	if c, ok := r.Context().Value(callerKey{}).(*callerConnection); ok {
		identifier := j.callerIdentifier()
		c.request.Store(&identifier)
		arrivedAt := c.arrival(j.received)
		j.socketTime, j.received, j.caller = j.received.Sub(arrivedAt), arrivedAt, c
	}
	ctx, leave := context.WithCancel(r.Context())
	defer leave()
	j.r, j.leave = r.WithContext(ctx), leave
	abort := j.serveRecovering()
	j.body.Release()
	j.logEnd()
	if abort {
		http1.Abort(w, r)
	}
}

// serveRecovering serves the request and answers it if that panics, so that the caller doesn't lose its connection without an answer. Tokens that
// were reserved are billed as if the request had run, since a panic may have come after an attempt.
func (j *job) serveRecovering() (abort bool) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		j.server.state.Count(handlerPanicked)
		j.server.logger.WithFields(log.Fields{fieldRequest: j.callerIdentifier(), "Stack": string(debug.Stack())}).Errorf("handler panicked: %v", fault)
		j.mayHaveRun = true
		j.reservation.Settle(j.billedTokens())
		if abort = j.responseStarted; !abort {
			j.refuse(&verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.Internal})
		}
	}()
	return j.serve()
}

// serve answers the request. It reports whether the connection to the caller must be aborted because the answer is
// incomplete.
func (j *job) serve() bool {
	if err := j.admit(); err != nil {
		j.refuse(err)
		return false
	}
	if err := j.checkQuarantine(); err != nil {
		j.refuse(err)
		return false
	}
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	if err := j.checkCaller(); err != nil {
		j.refuse(err)
		return false
	}
	if err := j.bindToVersion(ctx); err != nil {
		j.refuse(err)
		return false
	}
	if err := j.reserveTokens(ctx); err != nil {
		j.refuse(err)
		return false
	}
	defer func() { j.events.Observation.End(&j.events) }()
	abort := j.runAttempts(ctx)
	j.reservation.Settle(j.billedTokens())
	return abort
}

// errCallerLeft is the cause of a request that was not sent because its caller has left.
var errCallerLeft = errors.New("caller has closed its connection")

// checkCaller ends the request's context and returns a refusal if the caller has left. It is asked before work begins that only the caller needs.
func (j *job) checkCaller() error {
	if !j.caller.hasLeft() {
		return nil
	}
	j.server.state.Count(callerLeftUnnoticed)
	j.leave()
	return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.CallerDisconnected, Cause: errCallerLeft}
}

// withCaller returns a permit that is denied if the caller has left.
func (j *job) withCaller(permit sendPermit) sendPermit {
	return func(openedAt time.Time) error {
		if j.checkCaller() != nil {
			return errCallerLeft
		}
		return permit(openedAt)
	}
}

// admit finds the request's route, team and service and reads its body.
func (j *job) admit() error {
	if headers.Count(j.r.Header) > headers.MaxFields {
		return verdict.Refuse(verdict.TooManyHeaders, "")
	}
	configuration := j.server.state.Configuration.Load()
	if configuration == nil || j.server.state.Directory.Load() == nil || !j.server.targets.hasReadRecords() {
		return verdict.Refuse(verdict.NotReady, "")
	}
	route, ok := configuration.Route(j.r.Host, escapedPath(j.r))
	if !ok {
		return verdict.Refuse(verdict.RouteUnknown, "")
	}
	j.route = route
	if err := j.authenticate(configuration); err != nil {
		return err
	}
	demand, err := j.server.protocol.Demand(j.r.Header)
	if err != nil {
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.InvalidHeader, Cause: err}
	}
	j.demand = demand
	if j.targetURL, err = http1.TargetURL("", j.r.RequestURI); err != nil {
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.InvalidTarget, Cause: err}
	}
	j.setService(configuration, route.PickService(float64(j.random>>11)/(1<<53)))
	j.setDeadline()
	if j.isResumableStream() {
		j.events.Resume(j.r.Header.Get(j.server.protocol.ResumeAfter))
	}
	if err := j.checkPlaces(configuration); err != nil {
		return err
	}
	if err := j.readBody(configuration.Limits); err != nil {
		return err
	}
	if stop := j.server.state.Stop.Load(); stop != nil && !stop.admits(time.Now(), j.deadline) {
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.ShuttingDown, RetryAfter: lateRetryAfter}
	}
	return nil
}

func (j *job) setService(configuration *site.Configuration, name string) {
	j.service, j.engine = name, nil
	if service, ok := configuration.Service(name); ok {
		j.engine = service.Engine
	}
}

// escapedPath returns the request's path as the caller sent it, without decoding and without the query.
func escapedPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (j *job) authenticate(configuration *site.Configuration) error {
	if !configuration.HasTeams() {
		return nil
	}
	key, ok := strings.CutPrefix(j.r.Header.Get("Authorization"), "Bearer ")
	if ok {
		j.team, ok = configuration.TeamOfKey(key)
	}
	if !ok && !j.route.Public {
		return verdict.Refuse(verdict.InvalidKey, "")
	}
	return nil
}

// setDeadline sets the deadline to the earliest of those of the caller, the route and maxRequestTime.
func (j *job) setDeadline() {
	timeout := maxRequestTime
	if milliseconds, err := strconv.ParseInt(j.r.Header.Get(j.server.protocol.Deadline), 10, 64); err == nil && milliseconds > 0 {
		timeout = min(timeout, time.Duration(milliseconds)*time.Millisecond)
	}
	if j.route.Timeout > 0 {
		timeout = min(timeout, j.route.Timeout)
	}
	j.deadline = j.received.Add(timeout)
}

// readBody reads the body, or waits until there is memory for it. A request that waits keeps half of its time for the endpoint.
func (j *job) readBody(limits site.Limits) error {
	if limits.HeaderBytes > 0 && headers.Size(j.r.Header) > limits.HeaderBytes {
		return verdict.Refuse(verdict.HeadersTooLarge, "")
	}
	source := j.r.Body
	if limits.BodyBytes > 0 {
		source = http.MaxBytesReader(j.w, source, limits.BodyBytes)
	}
	now := time.Now()
	body, err := j.server.bodies.Read(j.r.Context(), bodies.Source{
		Body: source, Length: j.r.ContentLength, Limit: limits.BodyBytes, Deadline: http.NewResponseController(j.w),
		WaitUntil: now.Add(min(bodyReadTimeout, j.deadline.Sub(now)/2)),
	})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		j.body = body
		return nil
	case errors.As(err, &tooLarge):
		return verdict.Refuse(verdict.BodyTooLarge, "")
	case errors.Is(err, bodies.ErrNoRoom):
		return verdict.Refuse(verdict.MemoryExhausted, "")
	case errors.Is(err, bodies.ErrTooSlow), errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(verdict.SenderTooSlow, "")
	case isStopped(j.r):
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.ShuttingDown, RetryAfter: lateRetryAfter}
	default:
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.CallerDisconnected, Cause: err}
	}
}

// releaseBody gives the memory of the body back. The request can't be sent again after that.
func (j *job) releaseBody() {
	if j.body.Length() == 0 {
		return
	}
	// The fingerprint may be needed later, when the endpoint crashes.
	j.requestFingerprint()
	j.body.Release()
	j.body = nil
}

// checkQuarantine refuses a request that is quarantined because it, or a part of its prompt, crashed endpoints.
func (j *job) checkQuarantine() error {
	if j.server.crashes.hasSuspects.Load() {
		if wait := j.server.crashes.quarantineRemaining(j.received, j.requestFingerprint()); wait > 0 {
			return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.Suspected, RetryAfter: wait}
		}
	}
	return j.checkPartsBlocked()
}

// checkPartsBlocked refuses a request whose prompt has parts that crashed endpoints.
func (j *job) checkPartsBlocked() error {
	if !j.server.crashes.hasBlockedParts.Load() {
		return nil
	}
	wait, isTrial := j.server.crashes.partsBlockTimeLeft(time.Now(), j.demand.SharedParts())
	if wait == 0 {
		j.isTrial = isTrial
		return nil
	}
	return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.Suspected, RetryAfter: wait}
}

// requestFingerprint returns a hash of the request's team, method, host, path with query, and body.
func (j *job) requestFingerprint() ledger.Fingerprint {
	if j.fingerprint == 0 {
		digest := xxhash.New()
		if j.team != nil {
			_, _ = digest.WriteString(j.team.Name)
		}
		for _, part := range []string{j.r.Method, j.r.Host, j.r.RequestURI} {
			_, _ = digest.WriteString("\n" + part)
		}
		_, _ = digest.WriteString("\n")
		_, _ = j.body.WriteTo(digest)
		j.fingerprint = ledger.Fingerprint(digest.Sum64())
	}
	return j.fingerprint
}

// reserveTokens reserves the maximum number of tokens that the request can use.
func (j *job) reserveTokens(ctx context.Context) error {
	startedAt := time.Now()
	reservation, err := j.server.payer.Reserve(ctx, j.callerIdentifier(), j.team, j.demand.MaxTokens())
	j.reserveTime = time.Since(startedAt)
	switch {
	case err == nil:
		j.reservation = reservation
		return nil
	case errors.Is(err, allowance.ErrExhausted):
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.PrepaidSpent, Cause: err}
	default:
		return &verdict.Refusal{
			Verdict: verdict.NotRun, Reason: verdict.PrepaidHeldElsewhere, RetryAfter: j.server.payer.RetryAfter(), Cause: err,
		}
	}
}

// billedTokens returns the number of tokens that the request is billed: none if it didn't run or isn't for an engine. A lost answer is no proof that
// the prompt has not been read.
func (j *job) billedTokens() int64 {
	if j.engine == nil || !j.mayHaveRun {
		return 0
	}
	return billing.Delivery{
		PromptTokens: j.demand.PromptTokens, MaxOutputTokens: j.demand.MaxOutputTokens,
		Events: j.eventCount(), EventTokens: j.engine.EventTokens, IsUncounted: j.hasUncountedOutput(),
	}.Tokens()
}

// eventCount returns the number of events that endpoints sent. The body of an error answer counts as one.
func (j *job) eventCount() int64 {
	if !j.hasEvents && !j.firstByte.IsZero() {
		return max(1, j.events.Count())
	}
	return j.events.Count()
}

// hasUncountedOutput reports whether the caller got a part of a successful answer that doesn't consist of events.
func (j *job) hasUncountedOutput() bool {
	isSuccess := j.status >= http.StatusOK && j.status < http.StatusMultipleChoices
	return isSuccess && !j.hasEvents && !j.firstByte.IsZero() || j.events.IsOverlong()
}

// callerIdentifier returns the request identifier that the caller set.
func (j *job) callerIdentifier() string { return j.r.Header.Get(j.server.protocol.RequestID) }

// resumedIdentifier returns the identifier of the request that brought the first event of the stream that the caller resumes, or an
// empty string if it names none.
func (j *job) resumedIdentifier() string {
	if j.server.protocol.Resumes == "" {
		return ""
	}
	return j.r.Header.Get(j.server.protocol.Resumes)
}

// logAttempt logs an attempt that gave no complete answer, and how the request continues.
func (j *job) logAttempt(e *target, startedAt time.Time, result attemptResult, step nextStep) {
	fields := log.Fields{
		fieldRequest: j.callerIdentifier(), fieldEndpoint: e.Name, "Verdict": result.verdict.String(), "Reason": string(result.reason),
		fieldMilliseconds: time.Since(startedAt).Milliseconds(), "Beside": j.inFlightAtChoice, "WaitMilliseconds": j.engineWait.Milliseconds(),
		"Sent": !result.notSent, "Writes": result.writeCount, "Resumes": result.canResume, "Service": j.service, "Next": string(step),
		"SavedRepeats": j.server.retries.availableRetries(j.service), "Framing": string(j.framing),
	}
	if e.SoftwareVersion != "" {
		fields[fieldVersion] = e.SoftwareVersion
	}
	if j.through != "" {
		fields[fieldThrough] = j.through
	}
	j.addStreamFields(fields)
	if parts := j.demand.SharedParts(); len(parts) > 0 {
		fields["Parts"] = strings.Join(parts, ",")
	}
	if !j.attemptFirstByte.IsZero() {
		fields["AnsweredMilliseconds"] = time.Since(j.attemptFirstByte).Milliseconds()
	}
	j.server.logger.WithFields(fields).WithError(result.cause).Info("attempt failed")
}

// addStreamFields adds the identifiers of the first and the last event of the newest endpoint's stream, and the one after which it was to continue.
func (j *job) addStreamFields(fields log.Fields) {
	if j.route == nil || !j.isStream() || j.media == "" && j.events.Completed() == 0 {
		return
	}
	fields["Media"], fields["FirstEvent"], fields["LastEvent"] = j.media, j.events.First(), j.events.Last()
	if j.continuesAfter != "" {
		fields["ContinuesAfter"] = j.continuesAfter
	}
}

// writeHeader begins the answer. The caller of a router that is leaving or overloaded is asked to open a new connection for its next request,
// which the load balancer may route to another router.
func (j *job) writeHeader(status int) {
	if j.server.state.Leaving.Load() || j.server.state.Overloaded.Load() {
		j.w.Header().Set("Connection", "close")
	}
	j.w.WriteHeader(status)
}

// logEnd logs how the request ended and adds its times to the histograms.
func (j *job) logEnd() {
	j.observeStages(time.Since(j.received))
	fields := log.Fields{
		fieldRequest: j.callerIdentifier(), "Status": j.status, "Outcome": j.outcome,
		fieldMilliseconds: time.Since(j.received).Milliseconds(), "Attempts": len(j.tried),
	}
	if j.server.state.Leaving.Load() {
		fields["Leaving"], fields["Stopped"] = true, isStopped(j.r)
	}
	if j.socketTime >= minLoggedSocketTime {
		fields["SocketMilliseconds"] = j.socketTime.Milliseconds()
	}
	if j.route != nil {
		fields["Route"], fields["Kind"] = j.route.Name, j.route.Kind.String()
	}
	if j.team != nil {
		fields["Team"] = j.team.Name
	}
	if j.fingerprint != 0 {
		fields[fieldFingerprint] = formatFingerprint(j.fingerprint)
	}
	if j.demand.MaxTokens() > 0 {
		fields["Prompt"], fields["Output"], fields["Events"] = j.demand.PromptTokens, j.demand.MaxOutputTokens, j.eventCount()
		fields["PaidMilliseconds"], fields["Billed"] = j.reserveTime.Milliseconds(), j.billedTokens()
		fields["Unread"], fields["WaitMilliseconds"] = j.unreadTokens, j.engineWait.Milliseconds()
	}
	if j.outcome == string(verdict.Suspected) {
		fields["Parts"] = strings.Join(j.demand.SharedParts(), ",")
	}
	if n := len(j.tried); n > 0 {
		fields[fieldEndpoint], fields["Beside"] = j.tried[n-1].Name, j.inFlightAtChoice
		if version := j.tried[n-1].SoftwareVersion; version != "" {
			fields[fieldVersion] = version
		}
		if j.through != "" {
			fields[fieldThrough] = j.through
		}
	}
	if after := j.r.Header.Get(j.server.protocol.ResumeAfter); after != "" {
		fields["ResumesAfter"], fields["Resumes"] = after, j.resumedIdentifier()
	}
	if j.framing != "" {
		fields["Framing"], fields["InEvent"] = string(j.framing), j.events.IsInsideEvent()
	}
	j.addStreamFields(fields)
	if !j.firstByte.IsZero() {
		fields["FirstMilliseconds"] = j.firstByte.Sub(j.received).Milliseconds()
	}
	j.server.logger.WithFields(fields).Info("request ended")
}
