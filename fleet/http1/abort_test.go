package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestAbortedAnswerIsNotComplete guards against a cut answer that ends as a complete one of the same HTTP version does.
func TestAbortedAnswerIsNotComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		Abort(w, r)
	}))
	t.Cleanup(server.Close)
	for _, c := range []struct {
		version string
		want    error
	}{{"1.0", syscall.ECONNRESET}, {"1.1", io.ErrUnexpectedEOF}} {
		t.Run(c.version, func(t *testing.T) {
			connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(server.URL, "http://"))
			assert.Must(t, err)
			defer func() { _ = connection.Close() }()
			_, err = fmt.Fprintf(connection, "GET / HTTP/%s\r\nHost: h\r\n\r\n", c.version)
			assert.Must(t, err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			assert.Equal(t, true, errors.Is(err, c.want))
		})
	}
}
