package gateway

import (
	"net/http"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// TestPanicIsAnswered guards against a panic in a handler that closes the connection without an answer and keeps the tokens reserved.
func TestPanicIsAnswered(t *testing.T) {
	runStopTest(t, answerSealed("fine"), func(s *stopTest) {
		demand := s.gateway.server.protocol.Demand
		s.gateway.server.protocol.Demand = func(http.Header) (site.Demand, error) { panic("fault") }
		caller := s.newCaller()
		caller.send("/order/1", "30000")
		assert.Equal(t, http.StatusInternalServerError, caller.receive())
		s.gateway.server.protocol.Demand = demand
		caller.send("/order/1", "30000")
		assert.Equal(t, http.StatusOK, caller.receive())
	})
}
