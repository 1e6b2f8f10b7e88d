package endpoint

import (
	"net/http"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestOwnHeadersStayWithTheRouter(t *testing.T) {
	to := http.Header{"Dragonfly-Request-Id": {"router"}}
	copyResponseHeader(to, http.Header{"Dragonfly-Request-Id": {"endpoint"}, "Dragonfly-Verdict": {"NotRun"}, "X-Seed": {"1"}})
	assert.Equal(t, http.Header{"Dragonfly-Request-Id": {"router"}, "X-Seed": {"1"}}, to)
}
