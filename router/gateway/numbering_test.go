package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// numberedStream returns the body of a stream with identifiers in equal steps.
func numberedStream(step, events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: a\n\n", i*step)
	}
	return b.String()
}

// newStreamEndpoint starts an endpoint whose streams have a body.
func newStreamEndpoint(t *testing.T, body func() string) *rawEndpoint {
	t.Helper()
	return newRawEndpoint(t, func(connection net.Conn, _ string) {
		text := body()
		_, _ = io.WriteString(connection, eventsHead+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text))
	})
}

// TestStreamsNumberedOtherwise guards against whole streams that are cut because a router doesn't know yet how their endpoint numbers events: at its start, after
// a change of the configuration, and while endpoints of one service number differently (review/13).
func TestStreamsNumberedOtherwise(t *testing.T) {
	body := func(step int) func() string { return func() string { return numberedStream(step, 8) } }
	for _, steps := range [][]int{{5}, {1, 5}, {1, 5, 7}} {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			g := newGatewayTest(t)
			var endpoints []*rawEndpoint
			for _, step := range steps {
				endpoints = append(endpoints, newStreamEndpoint(t, body(step)))
			}
			g.setEndpoints(endpoints...)
			for i := range 40 {
				got := g.call(http.MethodPost, []string{"/chat/", "/talk/"}[i%2], "", nil)
				assert.Equal(t, "200 false", fmt.Sprint(got.status, " ", got.truncated))
			}
		})
	}
}

// TestMissingEvents guards against streams that miss an event of a process that has numbered events by one, and against a new process that
// is taken for the one before.
func TestMissingEvents(t *testing.T) {
	bodies := make(chan string, 1)
	g := newGatewayTest(t)
	g.setEndpoints(newStreamEndpoint(t, func() string { return <-bodies }))
	call := func(body string) callResult {
		bodies <- body
		return g.call(http.MethodPost, "/chat/", "", nil)
	}
	gap := numberedStream(1, 2) + "id: 4\ndata: a\n\n"
	for range 5 {
		assert.Equal(t, false, call(numberedStream(1, 8)).truncated)
	}
	got := call(gap)
	assert.Equal(t, numberedStream(1, 2), got.body)
	assert.Equal(t, true, got.truncated)
	listed := g.state.Directory.Load().Endpoints("engine")[0]
	listed.StartedAt = 1
	skipped := numberedStream(1, 1) + "id: 3\ndata: a\n\n"
	g.state.Directory.Store(site.NewDirectory([]site.Endpoint{listed}))
	assert.Equal(t, skipped, call(skipped).body)
}
