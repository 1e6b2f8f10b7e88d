// Package service simulates a plain HTTP service. It answers every method and path, and counts the runs of each
// Idempotency-Key.
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

// NonceHeader is the request header whose value the answer repeats in its header and body.
const NonceHeader = "Nonce"

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Service is the simulated service. The zero value answers without delay.
type Service struct {
	// Name is the service name in every answer.
	Name string
	// Delay is the duration of a run.
	Delay  time.Duration
	Faults connection.Faults
	Runs   runs.Counter
}

// Answer is the JSON body of every answer.
type Answer struct {
	Service string
	Method  string
	Path    string
	Key     string
	Nonce   string
	// Body is the body of the request.
	Body string
	// Run is the number of runs of the key so far, including this one; 1 for the first run.
	Run int
}

// Handler returns the HTTP handler for all paths of the service.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(s.Faults.Middleware)
	router.Get("/control/runs", s.Runs.ServeHTTP)
	router.Post("/control/silence", s.Faults.HandleSilence)
	router.Post("/control/close-reused", s.Faults.HandleCloseReused)
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.NotFound(s.handleRun)
	router.MethodNotAllowed(s.handleRun)
	return router
}

// handleRun counts a run once the request body has been read. A run whose caller disconnects during it
// counts as started, but not as finished.
func (s *Service) handleRun(w http.ResponseWriter, r *http.Request) {
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
	s.Runs.Finish(key, 1, r.Context().Err() == nil)
}
