package main

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/router/listener"
	"github.com/dragonflyworks/dragonflyworks/router/tcptest"
)

// TestSocketsHaveNoUserTimeout guards against a TCP user timeout, which would give up silent callers and platforms before the keep-alives do.
func TestSocketsHaveNoUserTimeout(t *testing.T) {
	want := tcptest.Timeouts{Idle: 15 * time.Second, Interval: 15 * time.Second, Count: 9}
	l, err := listen(t.Context(), "127.0.0.1:0", &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}, listener.Settings{})
	assert.Must(t, err)
	defer func() { _ = l.socket.Close() }()
	dialed, err := newPlatformClient().Transport.(*http1.Transport).DialContext(t.Context(), "tcp", l.address())
	assert.Must(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := l.socket.Accept()
	assert.Must(t, err)
	defer func() { _ = accepted.Close() }()
	socket, ok := http1.Unwrap[*net.TCPConn](accepted)
	assert.Equal(t, true, ok)
	t.Run("callers and metrics", func(t *testing.T) { assert.Equal(t, want, tcptest.Read(t, socket)) })
	t.Run("platform", func(t *testing.T) { assert.Equal(t, want, tcptest.Read(t, dialed)) })
	assert.Equal(t, 150*time.Second, want.GivenUpAfter())
}
