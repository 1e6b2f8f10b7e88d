package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/router/listener"
)

// TestRouterThatEndsResetsUnfinishedAnswers guards against a part of an answer that a caller of HTTP/1.0 takes for the whole, because the router has
// closed its connection.
func TestRouterThatEndsResetsUnfinishedAnswers(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	l, err := listen(t.Context(), "127.0.0.1:0", &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, listener.Settings{})
	assert.Must(t, err)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { assert.NoError(t, l.run(ctx)) })
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.address())
	assert.Must(t, err)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	assert.Must(t, err)
	reader := bufio.NewReader(connection)
	for line := ""; line != "half\n"; {
		line, err = reader.ReadString('\n')
		assert.Must(t, err)
	}
	end()
	_, err = io.ReadAll(reader)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
