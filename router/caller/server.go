// Package caller is the HTTP server for callers. It authenticates requests, reserves the maximum cost of each in the ledger,
// dispatches it to an endpoint, and bills the actual cost of the answer.
package caller

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/bodies"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

// HTTP headers that the server reads from requests or sets in answers.
const (
	HeaderAuthorization  = "Authorization"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderBudget         = "Dragonfly-Budget"
	HeaderIdempotent     = "Dragonfly-Idempotent"
	HeaderTimeout        = "Dragonfly-Timeout"
	HeaderRequestID      = "Dragonfly-Request-Id"
	HeaderVerdict        = "Dragonfly-Verdict"
)

// Defaults of the fields MaxHeaderBytes, BodyTimeout and ReleaseTimeout of Settings.
const (
	DefaultHeaderBytes    = 16 << 10
	DefaultBodyTimeout    = 10 * time.Second
	DefaultReleaseTimeout = 5 * time.Second
)

// Settings are the limits of the server. A field that is zero gets its default, unless it says otherwise.
type Settings struct {
	// MaxHeaderBytes is the maximum size of the names and values of a request's headers.
	MaxHeaderBytes int
	// BodyTimeout is the maximum time for reading a request's body.
	BodyTimeout time.Duration
	// BodyMemory is the memory in bytes for the bodies of all requests; zero for no bound.
	BodyMemory int64
	// ReleaseTimeout is the maximum time to wait until the release of a reservation has been read back from the log.
	ReleaseTimeout time.Duration
	// MaxKeyAge is the maximum age of the Idempotency-Key of a non-idempotent request on a route with DatedKeys. The
	// default is derived from the ledger's window and the default append rate of the fleet.
	MaxKeyAge time.Duration
}

// Server handles the requests of callers.
type Server struct {
	board       *blackboard.Board
	accounts    ledgerstream.Accounts
	dispatcher  endpoint.CallSender
	teamLimiter teamLimiter
	bodies      *bodies.Store
	settings    Settings
}

// NewServer returns a server that reserves the cost of requests in accounts and sends them through dispatcher.
func NewServer(board *blackboard.Board, accounts ledgerstream.Accounts, dispatcher endpoint.CallSender, settings Settings) *Server {
	if settings.MaxHeaderBytes == 0 {
		settings.MaxHeaderBytes = DefaultHeaderBytes
	}
	if settings.BodyTimeout == 0 {
		settings.BodyTimeout = DefaultBodyTimeout
	}
	if settings.ReleaseTimeout == 0 {
		settings.ReleaseTimeout = DefaultReleaseTimeout
	}
	if settings.MaxKeyAge == 0 {
		settings.MaxKeyAge = ledger.Window{}.MaxKeyAge(ledgerstream.DefaultFleetAppendsPerSecond)
	}
	return &Server{
		board: board, accounts: accounts, dispatcher: dispatcher, settings: settings,
		bodies: bodies.NewStore(settings.BodyMemory, settings.BodyTimeout, board.Count),
	}
}

// Handler returns the handler of the callers' listener. Requests that match no path and
// method of the OpenAI API go to plain services.
func (s *Server) Handler() http.Handler {
	routes := chi.NewRouter()
	routes.Use(s.endKeptConnections)
	routes.Post("/v1/chat/completions", s.handle(s.readModelRequest))
	routes.Post("/v1/completions", s.handle(s.readModelRequest))
	routes.Get("/v1/models", s.listModels)
	plain := s.handle(s.readPlainRequest)
	routes.NotFound(plain)
	routes.MethodNotAllowed(plain)
	return routes
}

// endKeptConnections asks the callers of a router that is leaving to open a new connection for their next request, so that the connection is not
// closed as idle while that request is on its way.
func (s *Server) endKeptConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.board.Leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// requestReader reads and validates an authenticated request. Model routes and plain routes have one each.
type requestReader func(w http.ResponseWriter, r *http.Request, c *authenticatedCaller) (*checkedRequest, error)

// handle returns a handler that serves the requests that read accepts. Invalid requests are refused before anything is
// reserved.
func (s *Server) handle(read requestReader) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := &startedAnswer{ResponseWriter: w}
		defer s.answerPanic(a)
		c, err := s.admit(r)
		if err != nil {
			s.refuse(w, err)
			return
		}
		defer func() { c.body.Release() }()
		checked, err := read(w, r, c)
		if err != nil {
			s.refuse(w, err)
			return
		}
		s.serve(a, r, checked)
	}
}

// admit refuses a request that can be refused without its body: while the router drains or is not ready, for oversized
// headers, and for an invalid key.
func (s *Server) admit(r *http.Request) (*authenticatedCaller, error) {
	if s.board.Draining.Load() {
		return nil, verdict.Refuse(verdict.ShuttingDown, "send the request to another router")
	}
	if !s.board.CaughtUp() {
		return nil, verdict.Refuse(verdict.NotReady, "send the request to another router")
	}
	if headers.Size(r.Header) > s.settings.MaxHeaderBytes {
		return nil, verdict.Refuse(verdict.HeadersTooLarge, "")
	}
	if headers.Count(r.Header) > headers.MaxFields {
		return nil, verdict.Refuse(verdict.TooManyHeaders, "")
	}
	return s.authenticate(r)
}
