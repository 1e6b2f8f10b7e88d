package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// recordNotices records what an endpoint asks for in the headers of an answer: no new requests because it leaves, or none for
// some time.
func (s *Server) recordNotices(e *target, response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		// Another endpoint answered at the address.
		return
	}
	s.recordRateLimit(e, response)
	now := time.Now()
	pause := time.Duration(0)
	if response.StatusCode == http.StatusServiceUnavailable {
		pause = endpoint.ParsePause(response.Header.Get("Retry-After"))
	}
	leaving := s.protocol.Leaving != "" && response.Header.Get(s.protocol.Leaving) == "1"
	if !leaving && pause == 0 {
		return
	}
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	if leaving && e.notices.RecordLeaving(now) {
		s.state.Count(endpointLeaving)
		s.logger.WithField(fieldEndpoint, e.Name).Info("endpoint leaves")
	}
	if e.notices.RecordPause(now, pause, rand.Float64()) { //nolint:gosec // spreads load
		s.state.Count(endpointPaused)
		s.logger.WithFields(log.Fields{fieldEndpoint: e.Name, fieldMilliseconds: pause.Milliseconds()}).Info("endpoint asks for a pause")
	}
}

// recordRateLimit records the rate of requests that an endpoint names in an answer.
func (s *Server) recordRateLimit(e *target, response *http.Response) {
	if s.protocol.RateLimit == "" {
		return
	}
	rate, err := endpoint.ParseRateLimit(response.Header.Get(s.protocol.RateLimit))
	if err != nil {
		s.state.Count(endpointLimitUnreadable)
		return
	}
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	if rate == e.rateLimit {
		return
	}
	s.state.Count(endpointLimited)
	s.logger.WithFields(log.Fields{fieldEndpoint: e.Name, "Rate": rate, "Previous": e.rateLimit}).Info("endpoint limit changed")
	e.rateLimit = rate
}
