// Package platform serves the platform's log and instance list over HTTP, with a control path that
// switches their faults.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// maxBodyBytes leaves room for the base64 form of the longest payload.
const maxBodyBytes = 2 * platform.MaxPayloadBytes

// Service is the stand-in platform. Its zero value is empty and has no faults.
type Service struct {
	Log       memory.Log
	Instances memory.InstanceList
	callers   callers
}

// Handler returns the service's paths.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	s.serve(router)
	router.Route("/callers/{caller}", func(named chi.Router) {
		named.Use(s.callers.handler)
		s.serve(named)
	})
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Route("/control", s.control)
	return router
}

// serve registers what the platform gives to its callers.
func (s *Service) serve(router chi.Router) {
	router.Post("/streams/{stream}", s.append)
	router.Get("/streams/{stream}", s.read)
	router.Get("/instances", s.list)
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	body := struct{ Payload []byte }{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		serve.WriteError(w, http.StatusBadRequest, fmt.Errorf("decode append: %w", err))
		return
	}
	if len(body.Payload) > platform.MaxPayloadBytes {
		serve.WriteError(w, http.StatusRequestEntityTooLarge, errors.New("payload is too long"))
		return
	}
	offset, err := s.Log.Append(r.Context(), chi.URLParam(r, "stream"), body.Payload)
	if err != nil {
		writeFailure(w, err)
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{ Offset platform.Offset }{offset})
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	query := serve.Query{Values: r.URL.Query()}
	from, limit := query.Unsigned("From"), query.Int("Limit")
	if query.Err != nil {
		serve.WriteError(w, http.StatusBadRequest, query.Err)
		return
	}
	entries, err := s.Log.Read(r.Context(), chi.URLParam(r, "stream"), platform.Offset(from), limit)
	if err != nil {
		writeFailure(w, err)
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{ Entries []platform.Entry }{entries})
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	listing, err := s.Instances.Instances(r.Context())
	if err != nil {
		writeFailure(w, err)
		return
	}
	serve.WriteJSON(w, http.StatusOK, listing)
}

// writeFailure answers a truncation with its first offset and everything else as unavailable.
func writeFailure(w http.ResponseWriter, err error) {
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		serve.WriteJSON(w, http.StatusGone, truncated)
		return
	}
	serve.WriteError(w, http.StatusServiceUnavailable, err)
}
