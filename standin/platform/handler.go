// Package platform serves an in-memory log and instance list over HTTP in place of the real platform, with control paths that
// inject faults into both.
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

// maxBodyBytes is the maximum size of a request body. It leaves room for the longest payload in base64.
const maxBodyBytes = 2 * platform.MaxPayloadBytes

// Service is the simulated platform. The zero value is empty and has no faults.
type Service struct {
	Log       memory.Log
	Instances memory.InstanceList
	callers   callerFaults
}

// Handler returns the HTTP handler for all paths of the platform.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	s.registerAPI(router)
	router.Route("/callers/{caller}", func(named chi.Router) {
		named.Use(s.callers.middleware)
		s.registerAPI(named)
	})
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Route("/control", s.registerControl)
	return router
}

// registerAPI registers the paths that routers and tools call.
func (s *Service) registerAPI(router chi.Router) {
	router.Post("/streams/{stream}", s.handleAppend)
	router.Get("/streams/{stream}", s.handleRead)
	router.Get("/instances", s.handleList)
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
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
		writePlatformError(w, err)
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{ Offset platform.Offset }{offset})
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	query := serve.Query{Values: r.URL.Query()}
	from, limit := query.Unsigned("From"), query.Int("Limit")
	if query.Err != nil {
		serve.WriteError(w, http.StatusBadRequest, query.Err)
		return
	}
	entries, err := s.Log.Read(r.Context(), chi.URLParam(r, "stream"), platform.Offset(from), limit)
	if err != nil {
		writePlatformError(w, err)
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{ Entries []platform.Entry }{entries})
}

func (s *Service) handleList(w http.ResponseWriter, r *http.Request) {
	listing, err := s.Instances.Instances(r.Context())
	if err != nil {
		writePlatformError(w, err)
		return
	}
	serve.WriteJSON(w, http.StatusOK, listing)
}

// writePlatformError writes the answer to a failed call of the log or the instance list: status 410 with the first available
// offset for a read of truncated entries, status 503 for any other error.
func writePlatformError(w http.ResponseWriter, err error) {
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		serve.WriteJSON(w, http.StatusGone, truncated)
		return
	}
	serve.WriteError(w, http.StatusServiceUnavailable, err)
}
