// Package caller speaks to callers: it authenticates a request, reserves its highest possible cost,
// hands it to an endpoint and bills what the answer cost.
package caller

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

// Headers of requests and answers.
const (
	HeaderAuthorization  = "Authorization"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderBudget         = "Dragonfly-Budget"
	HeaderIdempotent     = "Dragonfly-Idempotent"
	HeaderTimeout        = "Dragonfly-Timeout"
	HeaderRequestID      = "Dragonfly-Request-Id"
	HeaderVerdict        = "Dragonfly-Verdict"
)

// Defaults of Settings.
const (
	DefaultHeaderBytes    = 16 << 10
	DefaultBodyTimeout    = 10 * time.Second
	DefaultReleaseTimeout = 5 * time.Second
)

// Settings bounds what the server accepts; a zero takes the default.
type Settings struct {
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int
	// BodyTimeout bounds the time in which a body arrives.
	BodyTimeout time.Duration
	// ReleaseTimeout bounds the wait until a release has been read back.
	ReleaseTimeout time.Duration
	// KeyAge is the age up to which a route with DatedKeys accepts a key.
	KeyAge time.Duration
}

// Server answers callers.
type Server struct {
	board       *blackboard.Board
	accounts    ledgerstream.Accounts
	dispatcher  endpoint.Caller
	teamLimiter teamLimiter
	settings    Settings
}

// NewServer returns a server that pays from accounts and sends through caller.
func NewServer(board *blackboard.Board, accounts ledgerstream.Accounts, dispatcher endpoint.Caller, settings Settings) *Server {
	if settings.HeaderBytes == 0 {
		settings.HeaderBytes = DefaultHeaderBytes
	}
	if settings.BodyTimeout == 0 {
		settings.BodyTimeout = DefaultBodyTimeout
	}
	if settings.ReleaseTimeout == 0 {
		settings.ReleaseTimeout = DefaultReleaseTimeout
	}
	if settings.KeyAge == 0 {
		settings.KeyAge = ledger.Window{}.MaxKeyAge(ledgerstream.DefaultFleetAppendsPerSec)
	}
	return &Server{board: board, accounts: accounts, dispatcher: dispatcher, settings: settings}
}

// Handler returns the routes of the callers' listener.
func (s *Server) Handler() http.Handler {
	routes := chi.NewRouter()
	routes.Post("/v1/chat/completions", s.handle(s.readModelRequest))
	routes.Post("/v1/completions", s.handle(s.readModelRequest))
	routes.Get("/v1/models", s.listModels)
	plain := s.handle(s.readPlainRequest)
	routes.NotFound(plain)
	routes.MethodNotAllowed(plain)
	return routes
}

// requestReader turns an authenticated request into an order; each kind of route has its own.
type requestReader func(w http.ResponseWriter, r *http.Request, c *authenticatedCaller) (*checkedRequest, error)

// handle returns a handler that refuses early what can't be served and pays for the rest.
func (s *Server) handle(read requestReader) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := s.admit(r)
		if err != nil {
			s.refuse(w, err)
			return
		}
		checked, err := read(w, r, c)
		if err != nil {
			s.refuse(w, err)
			return
		}
		s.serve(w, r, checked)
	}
}

// admit checks what can be told from the headers alone.
func (s *Server) admit(r *http.Request) (*authenticatedCaller, error) {
	if s.board.Draining.Load() {
		return nil, verdict.Refuse(verdict.ShuttingDown, "send the request to another router")
	}
	if !s.board.CaughtUp() {
		return nil, verdict.Refuse(verdict.NotReady, "send the request to another router")
	}
	if headers.Bytes(r.Header) > s.settings.HeaderBytes {
		return nil, verdict.Refuse(verdict.HeadersTooLarge, "")
	}
	return s.authenticate(r)
}
