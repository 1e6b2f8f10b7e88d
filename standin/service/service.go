// Package service is a plain service that answers every method and path and counts how often the
// request of each Idempotency-Key ran.
package service

import (
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/standin/connection"
	"github.com/dragonflyworks/dragonflyworks/standin/runs"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// NonceHeader names the header that an answer repeats from its request.
const NonceHeader = "Nonce"

const maxBodyBytes = 1 << 20

// Service is the plain service. Its zero value answers at once.
type Service struct {
	// Name is repeated in every answer.
	Name string
	// Delay is how long a run takes.
	Delay  time.Duration
	Faults connection.Faults
	Runs   runs.Counter
}

// Answer is the body of every answer.
type Answer struct {
	Service string
	Method  string
	Path    string
	Key     string
	Nonce   string
	// Body is the request's body.
	Body string
	// Run is 1 for the first run of the key.
	Run int
}

// Handler returns the service's paths.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(s.Faults.Handler)
	router.Get("/control/runs", s.Runs.ServeHTTP)
	router.Post("/control/silence", s.Faults.Silence)
	router.Post("/control/close-reused", s.Faults.Close)
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.NotFound(s.run)
	router.MethodNotAllowed(s.run)
	return router
}

// run counts a run once its request has been read. A caller that goes away doesn't undo it.
func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, err)
		return
	}
	key := r.Header.Get(runs.Header)
	before := s.Runs.Start(key)
	if s.Delay > 0 {
		time.Sleep(s.Delay)
	}
	nonce := r.Header.Get(NonceHeader)
	w.Header().Set(NonceHeader, nonce)
	serve.WriteJSON(w, http.StatusOK, Answer{
		Service: s.Name,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Key:     key,
		Nonce:   nonce,
		Body:    string(body),
		Run:     before + 1,
	})
	s.Runs.End(key, 1, r.Context().Err() == nil)
}
