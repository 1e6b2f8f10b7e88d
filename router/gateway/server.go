package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/placement"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

const (
	// bodyTimeout bounds the time in which a body arrives.
	bodyTimeout = 5 * time.Second
	// longestWait bounds requests whose caller and route set no time.
	longestWait = 60 * time.Second
)

// Server answers callers.
type Server struct {
	board   *Board
	wire    Wire
	payer   *allowance.Holder
	logger  log.Interface
	targets targets
	retries retryBudgets
	crashes *crashes
	// notes tells other routers of prompts; nil if there are none to tell.
	notes *noter
}

// NewServer returns a server that pays from a holder's shares.
func NewServer(board *Board, wire Wire, place Place, payer *allowance.Holder, logger log.Interface) *Server {
	crashes := newCrashes(board, logger)
	return &Server{
		board: board, wire: wire, payer: payer, logger: logger, crashes: crashes,
		targets: targets{place: place, traffic: &board.Traffic, crashed: crashes.crash},
		retries: retryBudgets{bounds: endpoint.DefaultRepeatBounds()},
	}
}

// BoundRepeats sets what operators allow the fleet to repeat. It may be called while requests are served.
func (s *Server) BoundRepeats(bounds endpoint.RepeatBounds) { s.retries.bound(bounds) }

// TellRouters lets the server exchange notes and crashes with other routers. It must be called before the first request.
func (s *Server) TellRouters(routers *Routers) {
	s.notes = newNoter(routers)
	routers.Noted = s.Note
	routers.Crashed = func(router string, value []byte) {
		s.crashes.take(time.Now(), router, router == routers.Self.Instance, value)
	}
	s.retries.fleet = routers.Roster.Len
}

// job is one request on its way.
type job struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	// received is when its headers were read, deadline when its caller or its route gives up.
	received time.Time
	deadline time.Time

	route   *site.Route
	service string
	engine  *site.Engine
	team    *site.Team
	demand  site.Demand
	body    []byte
	random  uint64
	// fingerprint is what requests have in common that a caller sends again; zero until it is asked for.
	fingerprint ledger.Fingerprint

	tried       []*target
	reservation *allowance.Reservation
	// started says that a part of an answer has been written to the caller.
	started bool
	// mayHaveRun says that an attempt may have run.
	mayHaveRun bool
	// sent counts the endpoints to which the request was sent.
	sent int
	// events follows the events of a stream that were read from endpoints.
	events events
	// paid is how long it waited for its tokens, first when the first part of its answer came; zero if none did.
	paid  time.Duration
	first time.Time
	// beside is how many requests this router had at the endpoint when it was chosen.
	beside int
	// dispatch is the prompt at its engine until its first event, miss the tokens that the engine has to read, work how long
	// that takes, wait what it was predicted to be busy with.
	dispatch *placement.Dispatch
	miss     int64
	work     time.Duration
	wait     time.Duration
	// status and outcome are what the caller got.
	status  int
	outcome string
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{server: s, w: w, r: r, received: time.Now(), random: rand.Uint64()} //nolint:gosec // spreads load
	abort := j.serve()
	j.note()
	if abort {
		panic(http.ErrAbortHandler)
	}
}

// serve answers the request. It reports whether the connection must end because the answer is not whole.
func (j *job) serve() bool {
	if err := j.admit(); err != nil {
		j.refuse(err)
		return false
	}
	if err := j.mayCrash(); err != nil {
		j.refuse(err)
		return false
	}
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	if err := j.pay(ctx); err != nil {
		j.refuse(err)
		return false
	}
	abort := j.attempts(ctx)
	j.reservation.Settle(j.used())
	return abort
}

// admit finds the request's route and team and reads its body.
func (j *job) admit() error {
	configuration := j.server.board.Configuration.Load()
	if configuration == nil || j.server.board.Directory.Load() == nil {
		return verdict.Refuse(verdict.NotReady, "")
	}
	route, ok := configuration.Route(j.r.Host, path(j.r))
	if !ok {
		return verdict.Refuse(verdict.RouteUnknown, "")
	}
	j.route = route
	if err := j.authenticate(configuration); err != nil {
		return err
	}
	demand, err := j.server.wire.Demand(j.r.Header)
	if err != nil {
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.InvalidHeader, Cause: err}
	}
	j.demand = demand
	j.service = route.Pick(float64(j.random>>11) / (1 << 53))
	if service, ok := configuration.Service(j.service); ok {
		j.engine = service.Engine
	}
	j.setDeadline()
	return j.readBody(configuration.Limits)
}

// path returns the request's path as the caller sent it, without its query.
func path(r *http.Request) string {
	before, _, _ := strings.Cut(r.RequestURI, "?")
	return before
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

// setDeadline takes the earlier of what the caller and the route allow.
func (j *job) setDeadline() {
	wait := longestWait
	if left, err := strconv.ParseInt(j.r.Header.Get(j.server.wire.Deadline), 10, 64); err == nil && left > 0 {
		wait = min(wait, time.Duration(left)*time.Millisecond)
	}
	if j.route.Timeout > 0 {
		wait = min(wait, j.route.Timeout)
	}
	j.deadline = j.received.Add(wait)
}

func (j *job) readBody(limits site.Limits) error {
	if limits.HeaderBytes > 0 && headers.Bytes(j.r.Header) > limits.HeaderBytes {
		return verdict.Refuse(verdict.HeadersTooLarge, "")
	}
	source := j.r.Body
	if limits.BodyBytes > 0 {
		source = http.MaxBytesReader(j.w, source, limits.BodyBytes)
	}
	control := http.NewResponseController(j.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(source)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		j.body = body
		return nil
	case errors.As(err, &tooLarge):
		return verdict.Refuse(verdict.BodyTooLarge, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(verdict.SenderTooSlow, "")
	default:
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.CallerWentAway, Cause: err}
	}
}

// mayCrash refuses a request that crashed endpoints.
func (j *job) mayCrash() error {
	if !j.server.crashes.any.Load() {
		return nil
	}
	wait := j.server.crashes.held(j.received, j.identity())
	if wait == 0 {
		return nil
	}
	return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.Suspected, RetryAfter: wait}
}

// identity returns the request's fingerprint: its team, method, path and body.
func (j *job) identity() ledger.Fingerprint {
	if j.fingerprint == 0 {
		digest := xxhash.New()
		if j.team != nil {
			_, _ = digest.WriteString(j.team.Name)
		}
		for _, part := range []string{j.r.Method, j.r.Host, j.r.RequestURI} {
			_, _ = digest.WriteString("\n" + part)
		}
		_, _ = digest.WriteString("\n")
		_, _ = digest.Write(j.body)
		j.fingerprint = ledger.Fingerprint(digest.Sum64())
	}
	return j.fingerprint
}

// pay reserves the most that the request can use.
func (j *job) pay(ctx context.Context) error {
	begun := time.Now()
	reservation, err := j.server.payer.Reserve(ctx, j.identifier(), j.team, j.demand.Most())
	j.paid = time.Since(begun)
	switch {
	case err == nil:
		j.reservation = reservation
		return nil
	case errors.Is(err, allowance.ErrSpent):
		return &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.PrepaidSpent, Cause: err}
	default:
		return &verdict.Refusal{
			Verdict: verdict.NotRun, Reason: verdict.PrepaidElsewhere, RetryAfter: j.server.payer.ReturnAfter(), Cause: err,
		}
	}
}

// used returns the tokens that the request is billed: its prompt once if it may have run, and the events that an
// endpoint gave, each at its most.
func (j *job) used() int64 {
	if !j.mayHaveRun {
		return 0
	}
	if j.engine == nil {
		return 0
	}
	return j.demand.Prompt + min(j.demand.Output, j.events.count()*j.engine.EventTokens)
}

// identifier returns the caller's identifier of the request.
func (j *job) identifier() string { return j.r.Header.Get(j.server.wire.RequestID) }

// noteAttempt logs an attempt that did not end in a whole answer, and how the request goes on.
func (j *job) noteAttempt(e *target, begun time.Time, out attempt, following next) {
	j.server.logger.WithFields(log.Fields{
		fieldRequest: j.identifier(), fieldEndpoint: e.Name, "Verdict": out.verdict.String(), "Reason": string(out.reason),
		"Milliseconds": time.Since(begun).Milliseconds(), "Beside": j.beside, "WaitMilliseconds": j.wait.Milliseconds(),
		"Sent": !out.unsent, "Writes": out.writes, "Resumes": out.resume, "Service": j.service, "Next": string(following),
		"SavedRepeats": j.server.retries.saved(j.service),
	}).WithError(out.cause).Info("attempt failed")
}

// note logs how the request ended.
func (j *job) note() {
	j.measure(time.Since(j.received))
	fields := log.Fields{
		fieldRequest: j.identifier(), "Status": j.status, "Outcome": j.outcome,
		"Milliseconds": time.Since(j.received).Milliseconds(), "Attempts": len(j.tried),
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
	if j.demand.Most() > 0 {
		fields["Prompt"], fields["Output"], fields["Events"] = j.demand.Prompt, j.demand.Output, j.events.count()
		fields["PaidMilliseconds"] = j.paid.Milliseconds()
		fields["Unread"], fields["WaitMilliseconds"] = j.miss, j.wait.Milliseconds()
	}
	if n := len(j.tried); n > 0 {
		fields[fieldEndpoint], fields["Beside"] = j.tried[n-1].Name, j.beside
	}
	if !j.first.IsZero() {
		fields["FirstMilliseconds"] = j.first.Sub(j.received).Milliseconds()
	}
	j.server.logger.WithFields(fields).Info("request ended")
}
