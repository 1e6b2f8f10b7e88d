package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// streamOf returns the body of a stream with identifiers.
func streamOf(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: a\n\n", id)
	}
	return b.String()
}

// newStreamEndpoint starts an endpoint whose streams have a body.
func newStreamEndpoint(t *testing.T, body string) *rawEndpoint {
	t.Helper()
	return newRawEndpoint(t, func(connection net.Conn, _ string) {
		_, _ = io.WriteString(connection, eventsHead+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	})
}

// TestStreamsNumberedOtherwise guards against whole streams that are cut because a router doesn't know yet how their service numbers events: at its start, after
// a change of the configuration, and while endpoints of one service number differently (review/13).
func TestStreamsNumberedOtherwise(t *testing.T) {
	byOne := streamOf(1, 2, 3, 4, 5, 6, 7, 8)
	for _, c := range []struct {
		name, after string
		bodies      []string
	}{
		{"by fives", "", []string{streamOf(5, 10, 15, 20)}},
		{"by fives from zero on", "", []string{streamOf(0, 5, 10, 15)}},
		{"by tokens", "", []string{streamOf(4, 8, 9, 13)}},
		{"by tokens, resumed", "8", []string{streamOf(9, 13, 14, 18)}},
		{"half of the endpoints by tokens", "", []string{byOne, streamOf(4, 8, 9, 13)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayTest(t)
			var endpoints []*rawEndpoint
			for _, body := range c.bodies {
				endpoints = append(endpoints, newStreamEndpoint(t, body))
			}
			g.setEndpoints(endpoints...)
			resume := func(r *http.Request) {
				if c.after != "" {
					r.Header.Set("After", c.after)
				}
			}
			for i := range 20 {
				got := g.call(http.MethodPost, []string{"/chat/", "/talk/"}[i%2], "", resume)
				assert.Equal(t, "200 false", fmt.Sprint(got.status, " ", got.truncated))
			}
		})
	}
}

// TestNumberingThatChanges guards against whole streams that are cut after a service that numbers by one begins to number otherwise, at all of its endpoints or
// at one, without an entry that says so.
func TestNumberingThatChanges(t *testing.T) {
	byOne := streamOf(1, 2, 3, 4, 5, 6, 7, 8)
	for _, c := range []struct {
		name    string
		changed int
	}{{"all endpoints", 8}, {"one of eight", 1}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var hasChanged atomic.Bool
			var endpoints []*rawEndpoint
			for i := range 8 {
				endpoints = append(endpoints, newRawEndpoint(t, func(connection net.Conn, _ string) {
					body := byOne
					if i < c.changed && hasChanged.Load() {
						body = streamOf(1, 6, 11, 16)
					}
					_, _ = io.WriteString(connection, eventsHead+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
				}))
			}
			g := newGatewayTest(t)
			g.setEndpoints(endpoints...)
			for i := range 60 {
				hasChanged.Store(i >= 20)
				got := g.call(http.MethodPost, "/chat/", "", nil)
				assert.Equal(t, "200 false", fmt.Sprint(got.status, " ", got.truncated))
			}
		})
	}
}

// TestStreamsWithVaryingSteps guards against whole streams that are cut because each has one larger step at a service of which nothing is known, and against a
// missing event that reaches the caller because other streams are in progress.
func TestStreamsWithVaryingSteps(t *testing.T) {
	const events, streams = 14, 7
	for _, c := range []struct {
		name string
		// uneven is the number of streams that leave out a number.
		uneven int
		want   int
	}{{"each stream", streams, 0}, {"one stream", 1, 1}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var begun atomic.Int32
			endpoint := newRawEndpoint(t, func(connection net.Conn, _ string) {
				stream := int(begun.Add(1))
				_, _ = io.WriteString(connection, eventsHead+"Transfer-Encoding: chunked\r\n\r\n")
				for id := 1; id <= events; id++ {
					if event := streamOf(id); stream > c.uneven || id != 3+stream {
						_, _ = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
					}
					time.Sleep(20 * time.Millisecond)
				}
				_, _ = io.WriteString(connection, "0\r\n\r\n")
			})
			g := newGatewayTest(t)
			g.setEndpoints(endpoint)
			var truncated atomic.Int32
			var calls sync.WaitGroup
			for range streams {
				calls.Go(func() {
					if got := g.call(http.MethodPost, "/chat/", "", nil); got.truncated {
						truncated.Add(1)
					}
				})
			}
			calls.Wait()
			assert.Equal(t, c.want, int(truncated.Load()))
		})
	}
}

// TestMissingEventAtUnknownService guards against a stream by one without an event that reaches the caller as whole, because it is the router's first one of its
// service.
func TestMissingEventAtUnknownService(t *testing.T) {
	for _, c := range []struct{ body, passed string }{
		{streamOf(1, 3, 4, 5, 6), streamOf(1)},
		{streamOf(1, 2, 3, 5, 6, 7), streamOf(1, 2, 3)},
		{streamOf(1, 2, 3, 4, 6), streamOf(1, 2, 3, 4)},
	} {
		g := newGatewayTest(t)
		g.setEndpoints(newStreamEndpoint(t, c.body))
		got := g.call(http.MethodPost, "/chat/", "", nil)
		assert.Equal(t, c.passed, got.body)
		assert.Equal(t, true, got.truncated)
	}
}
