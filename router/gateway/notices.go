package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// recordCold records for how much longer an endpoint says that it is cold. Answers to health checks say so.
func (s *Server) recordCold(e *target, response *http.Response) {
	if s.protocol.Cold == "" || response.Header.Get(s.protocol.Cold) == "" {
		return
	}
	coldFor, ok := endpoint.ParseColdTime(response.Header.Get(s.protocol.Cold))
	if ok {
		s.targets.cold.RecordAnswer(time.Now(), &e.Endpoint, coldFor)
	}
}

// recordNotices records what an endpoint asks for in the headers of the answer to a request that was sent at a time: no new requests
// because it leaves, none for some time, no more than some rate, or no more than it has room for.
func (s *Server) recordNotices(e *target, sentAt time.Time, response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		// Another endpoint answered at the address.
		return
	}
	s.recordRateLimit(e, sentAt, response)
	s.recordBrittleness(e, sentAt, response)
	s.recordCold(e, response)
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
