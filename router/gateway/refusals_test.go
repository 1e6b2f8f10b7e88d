package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// place is where a repeatingEndpoint writes a refusal that belongs to no request in progress.
type place string

const (
	beforeFirstRequest place = "before the first request on the connection"
	withAnswer         place = "in one segment with the previous answer"
	onIdleConnection   place = "on the idle connection"
	inBody             place = "while the body is being sent"
	inTwoParts         place = "half of it with the previous answer, half with the next request"
	beforeAnswer       place = "before the request's own answer"
	afterInterim       place = "after an interim answer"
)

// repeatingEndpoint runs all requests except those whose identifiers begin with "refused". On each connection it writes a
// stray refusal once.
type repeatingEndpoint struct {
	*rawEndpoint
	place  place
	stray  string
	mu     sync.Mutex
	runs   map[string]int
	strays int
	// strayLimit is the number of connections on which it writes the stray refusal.
	strayLimit int
}

func newRepeatingEndpoint(t *testing.T, at place, stray string) *repeatingEndpoint {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	e := &repeatingEndpoint{
		rawEndpoint: &rawEndpoint{listener: listener}, place: at, stray: stray, runs: make(map[string]int), strayLimit: 1,
	}
	t.Cleanup(func() { _ = listener.Close() })
	go e.loop()
	return e
}

func (e *repeatingEndpoint) loop() {
	for {
		connection, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(connection)
	}
}

// takeStray returns the stray refusal if it is due at a place.
func (e *repeatingEndpoint) takeStray(at place) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at != e.place || e.strays >= e.strayLimit {
		return ""
	}
	e.strays++
	return e.stray
}

func (e *repeatingEndpoint) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	_, _ = io.WriteString(connection, e.takeStray(beforeFirstRequest))
	rest := ""
	for isFirst := true; ; isFirst = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		early := ""
		if !isFirst {
			early = rest + e.takeStray(inBody)
		}
		_, _ = io.WriteString(connection, early)
		_, _ = io.Copy(io.Discard, request.Body)
		if !isFirst {
			if stray := e.takeStray(afterInterim); stray != "" {
				_, _ = io.WriteString(connection, "HTTP/1.1 103 Early Hints\r\n\r\n"+stray)
			}
			_, _ = io.WriteString(connection, e.takeStray(beforeAnswer))
		}
		answer := e.answerTo(request.Header.Get("Id"))
		rest = ""
		if stray := e.takeStray(inTwoParts); stray != "" {
			answer, rest = answer+stray[:len(stray)/2], stray[len(stray)/2:]
		}
		_, _ = io.WriteString(connection, answer+e.takeStray(withAnswer))
		if stray := e.takeStray(onIdleConnection); stray != "" {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(connection, stray)
		}
	}
}

// answerTo runs a request, unless it is to be refused, and returns the answer.
func (e *repeatingEndpoint) answerTo(identifier string) string {
	if strings.HasPrefix(identifier, "refused") {
		return refusal(http.StatusServiceUnavailable, identifier)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[identifier]++
	body := "answer to " + identifier
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", identifier, len(body), body)
}

func (e *repeatingEndpoint) runCount(identifier string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[identifier]
}

// refusal returns an answer by which an endpoint states that it did not run a request. An empty identifier is left out.
func refusal(status int, identifier string) string {
	header := "Unrun: 1\r\n"
	if identifier != "" {
		header += "Id: " + identifier + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), header)
}

// assertTruthful checks a caller's answer against the number of times that the request ran.
func assertTruthful(t *testing.T, identifier string, got callResult, runs int) {
	t.Helper()
	assert.Equal(t, true, runs <= 1)
	switch got.status {
	case http.StatusOK:
		assert.Equal(t, "answer to "+identifier, got.body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		assert.Equal(t, 0, runs)
	}
}

// TestRepeatedRefusal guards against a refusal that an endpoint wrote once more and that is taken for the answer to a
// request which the endpoint runs.
func TestRepeatedRefusal(t *testing.T) {
	for _, at := range []place{beforeFirstRequest, withAnswer, onIdleConnection, inBody, inTwoParts, beforeAnswer, afterInterim} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
			for _, named := range []string{"", "earlier"} {
				t.Run(fmt.Sprintf("%s, %d, names %q", at, status, named), func(t *testing.T) {
					g := newGatewayTest(t)
					faulty := newRepeatingEndpoint(t, at, refusal(status, named))
					sound := newRepeatingEndpoint(t, "", "")
					g.setEndpoints(faulty.rawEndpoint)
					g.callAs("first", "")
					g.setEndpoints(faulty.rawEndpoint, sound.rawEndpoint)
					for i := range 6 {
						identifier := fmt.Sprintf("later-%d", i)
						got := g.callAs(identifier, strings.Repeat("x", 900))
						assertTruthful(t, identifier, got, faulty.runCount(identifier)+sound.runCount(identifier))
					}
				})
			}
		}
	}
}

// TestRepeatedRefusalOfSameIdentifier guards against a refusal of an earlier request that has the same identifier.
func TestRepeatedRefusalOfSameIdentifier(t *testing.T) {
	for _, identifier := range []string{"same", ""} {
		t.Run(fmt.Sprintf("identifier %q", identifier), func(t *testing.T) {
			g := newGatewayTest(t)
			runs := 0
			connections := make(map[net.Conn]int)
			var mu sync.Mutex
			g.setEndpoints(newRawEndpoint(t, func(connection net.Conn, _ string) {
				mu.Lock()
				defer mu.Unlock()
				connections[connection]++
				if len(connections) == 1 {
					_, _ = io.WriteString(connection, refusal(http.StatusServiceUnavailable, identifier))
				}
				if len(connections) > 1 || connections[connection] > 1 {
					runs++
					_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 3\r\n\r\nran", identifier)
				}
			}))
			assert.Equal(t, http.StatusServiceUnavailable, g.callAs(identifier, "").status)
			for range 3 {
				assert.Equal(t, "ran", g.callAs(identifier, "").body)
			}
			assert.Equal(t, 3, runs)
		})
	}
}

// TestMisdirectedAnswerToAnotherRequest guards against a sound endpoint that is given up for another request's 421.
func TestMisdirectedAnswerToAnotherRequest(t *testing.T) {
	g := newGatewayTest(t)
	e := newRepeatingEndpoint(t, beforeAnswer, refusal(http.StatusMisdirectedRequest, "earlier"))
	g.setEndpoints(e.rawEndpoint)
	g.callAs("first", "")
	assert.Equal(t, http.StatusBadGateway, g.callAs("second", "").status)
	assert.Equal(t, "answer to third", g.callAs("third", "").body)
}

// TestAnswersThatAreNoRefusals guards against answers that contradict themselves and are taken for proof that a request
// has not run.
func TestAnswersThatAreNoRefusals(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nUnrun: 1\r\nSeal: s\r\n", "HTTP/1.1 101 Switching Protocols\r\nUnrun: 1\r\nUpgrade: x\r\nConnection: Upgrade\r\n"} {
		t.Run(head[:16], func(t *testing.T) {
			g := newGatewayTest(t)
			e := newRawEndpoint(t, func(connection net.Conn, identifier string) {
				_, _ = fmt.Fprintf(connection, "%sId: %s\r\nContent-Length: 0\r\n\r\n", head, identifier)
			})
			g.setEndpoints(e)
			assert.Equal(t, http.StatusBadGateway, g.callAs("first", "").status)
		})
	}
}

// callAs sends a request that must not be repeated.
func (g *gatewayTest) callAs(identifier, body string) callResult {
	g.t.Helper()
	return g.call(http.MethodPost, "/order/", body, func(r *http.Request) {
		r.Header.Set("Id", identifier)
		r.Header.Set("Left", "2000")
	})
}
