package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// malformedStatuses are answers whose status lines have no status of HTTP, malformedNames those in whose heads the name of a field is none.
func malformedStatuses() []string {
	const rest = "Id: id-1\r\nSeal: s\r\nContent-Length: 4\r\n\r\npart"
	return []string{
		"HTTP/1.1 000 None\r\n" + rest, "HTTP/1.0 000 None\r\n" + rest, "HTTP/1.1 001 None\r\n" + rest, "HTTP/1.1 099 None\r\n" + rest,
		"HTTP/1.1 600 None\r\n" + rest, "HTTP/1.1 999 None\r\n" + rest, "HTTP/2.0 200 OK\r\n" + rest,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n" + rest,
	}
}

func malformedNames() []string {
	const head, rest = "HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\n", "Content-Length: 4\r\n\r\npart"
	return []string{
		head + "A B: c\r\n" + rest, head + "A : c\r\n" + rest, head + "A\t: c\r\n" + rest, head + "A\x01B: c\r\n" + rest, head + "A\x00: c\r\n" + rest,
		head + "Transfer-Encoding : chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", head + "Content-Length : 1\r\n\r\npart",
		strings.Replace(head, "200 OK", "404 Not Found", 1) + "A B: c\r\n" + rest, strings.Replace(head, "200 OK", "503 Full", 1) + "Unrun : 1\r\n" + rest,
		"HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\n" + head + rest,
	}
}

// assertMalformed asserts that answers reach callers as none, directly and through another router, and that a log line says why.
func assertMalformed(t *testing.T, answers []string) {
	t.Helper()
	for _, answer := range answers {
		t.Run(strconv.Quote(answer[:min(len(answer), 60)]), func(t *testing.T) {
			e := newRawEndpoint(t, func(connection net.Conn, _ string) {
				_, _ = io.WriteString(connection, answer)
				_ = connection.Close()
			})
			f := newCutOffFleet(t, 2)
			for _, g := range f.routers {
				g.setEndpoints(e)
			}
			for _, g := range f.routers {
				for _, path := range []string{"/order/", "/read/", "/chat/", "/talk/", "/whole/"} {
					got := g.call(http.MethodPost, path, "", nil)
					assert.Equal(t, http.StatusBadGateway, got.status)
					assert.Equal(t, false, strings.Contains(got.body, "part"))
				}
				g.assertNoneAnswered()
				assert.Equal(t, true, g.hasLoggedFailure("malformed head of a response"))
			}
		})
	}
}

// TestAnswersWithoutStatus guards against answers whose status is none, which reached callers or ended their connections.
func TestAnswersWithoutStatus(t *testing.T) { assertMalformed(t, malformedStatuses()) }

// TestAnswersWithMalformedNames guards against answers in whose heads the name of a field is none, which reached callers without that field.
func TestAnswersWithMalformedNames(t *testing.T) { assertMalformed(t, malformedNames()) }

// TestContinuationsWithMalformedHeads guards against a stream that goes on, or ends as complete, with an answer whose head is none.
func TestContinuationsWithMalformedHeads(t *testing.T) {
	for _, answer := range append(malformedStatuses(), malformedNames()...) {
		assertCutAfterFirst(t, "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n", false, func(connection net.Conn) {
			_, _ = io.WriteString(connection, answer)
			_ = connection.Close()
		})
	}
}

// TestCarriedStatusThatIsNone guards against a status that is none from a router of an earlier version.
func TestCarriedStatusThatIsNone(t *testing.T) {
	f := newCutOffFleet(t, 2, answerSealed("answer"))
	f.routers[1].server.targets.routers.ServeExchange = func(_ context.Context, _ string, x *peer.Exchange, out *peer.ExchangeWriter) {
		header := http.Header{"Id": fieldsHeader(x.Header)["Id"], "Seal": {"s"}}
		_, _ = out.Accept(), out.WriteHead(&peer.ExchangeHead{Header: headerFields(header), ContentLength: 0, Writes: 1})
		_ = out.End(&peer.ExchangeEnd{Outcome: peer.ExchangeComplete, Writes: 1})
	}
	// The roster's lock orders the assignment before the first exchange.
	_ = f.routers[1].server.targets.routers.Roster.Len()
	assert.Equal(t, http.StatusBadGateway, f.routers[0].call(http.MethodPost, "/order/", "", nil).status)
}

// hasLoggedFailure reports whether a log line has an error with a text.
func (g *gatewayTest) hasLoggedFailure(text string) bool {
	for _, line := range g.lines.Entries {
		for _, name := range []string{"error", "Cause"} {
			if failure, ok := line.Fields.Get(name).(string); ok && strings.Contains(failure, text) {
				return true
			}
		}
	}
	return false
}
