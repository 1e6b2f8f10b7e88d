package gateway

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestLimitedEndpointGetsNoMoreThanItNames guards against requests that reach an endpoint beyond the rate which it names in its answers.
func TestLimitedEndpointGetsNoMoreThanItNames(t *testing.T) {
	// rate is so low that no second request is due during the test.
	const rate = "0.02"
	for _, c := range []struct {
		name, method, path string
		limited            http.HandlerFunc
	}{
		{"complete answer", http.MethodPost, "/order/", answerSealed("answer")},
		{"stream", http.MethodPost, "/talk/", answerSealed("id: 1\n\n")},
		{"refusal", http.MethodPost, "/order/", answerNotRun},
		{"error that is not passed on", http.MethodGet, "/read/", answerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, withHeader("Limit", rate, c.limited), answerSealed("id: 1\n\n"))
			for range 24 {
				g.call(c.method, c.path, "", nil)
			}
			assert.Equal(t, true, g.endpoints[0].requestCount() <= 1)
		})
	}
	t.Run("the only endpoint", func(t *testing.T) {
		g := newGatewayTest(t, withHeader("Limit", rate, answerSealed("answer")))
		assert.Equal(t, http.StatusOK, g.call(http.MethodPost, "/order/", "", nil).status)
		got := g.call(http.MethodPost, "/order/", "", nil)
		g.assertRequestCounts(1)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NoError(t, err)
		assert.Equal(t, true, seconds > 45 && seconds < 60)
	})
}
