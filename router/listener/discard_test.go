package listener

import (
	"net/http"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/connections"
)

// TestAnswerBeforeTheBody guards against an answer that waits for the rest of a body which the client doesn't send: net/http reads it first.
func TestAnswerBeforeTheBody(t *testing.T) {
	for _, body := range []string{"Content-Length: 1000\r\n\r\nb", "Transfer-Encoding: chunked\r\n\r\n5\r\nbo"} {
		s := newServerTest(t, connections.Limits{})
		c := s.dial(t)
		c.send(t, "POST / HTTP/1.1\r\nHost: h\r\n"+body)
		c.assertAnswer(t, http.StatusOK, "served")
		c.assertClosed(t)
	}
	t.Run("the connection is kept after a whole body", func(t *testing.T) {
		c := newServerTest(t, connections.Limits{}).dial(t)
		for range 3 {
			c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
			c.assertAnswer(t, http.StatusOK, "served")
		}
	})
}
