package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/router/tcptest"
)

// TestSilentPeersAreGivenUpInTime guards against sockets that give up a sound peer which is silent for 2 s, or keep one that has ended.
func TestSilentPeersAreGivenUpInTime(t *testing.T) {
	const soundSilence = 2 * time.Second
	socket, err := listen(t.Context(), "127.0.0.1:0", 0)
	assert.Must(t, err)
	defer func() { _ = socket.Close() }()
	dialed, err := NewTransport(&Traffic{}).DialContext(t.Context(), "tcp", socket.Addr().String())
	assert.Must(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := socket.Accept()
	assert.Must(t, err)
	defer func() { _ = accepted.Close() }()
	for _, c := range []struct {
		name        string
		connection  net.Conn
		userTimeout time.Duration
		count       int
	}{
		{"callers, balancer and metrics", accepted, 0, callerKeepAliveCount},
		{"endpoints and platform", dialed.(interface{ NetConn() net.Conn }).NetConn(), acknowledgmentTimeout, keepAliveCount},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := tcptest.Read(t, c.connection)
			assert.Equal(t, tcptest.Timeouts{UserTimeout: c.userTimeout, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: c.count}, got)
			assert.Equal(t, 3*time.Second, got.GivenUpAfter())
			assert.Equal(t, true, got.ShortestSilence() >= soundSilence)
		})
	}
}
