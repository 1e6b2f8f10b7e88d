// Package tcptest helps tests of sockets: it reads off one after how long without any news TCP gives up its peer, and serves from processes that end.
package tcptest

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
)

// Timeouts are the options of a socket by which TCP gives up a peer that sends nothing. A UserTimeout of zero means none.
type Timeouts struct {
	UserTimeout, Idle, Interval time.Duration
	Count                       int
}

// GivenUpAfter returns the time after the peer's last packet at which Linux resets an idle connection. A user timeout takes the place of the
// count of probes.
func (o Timeouts) GivenUpAfter() time.Duration {
	limit := o.UserTimeout
	if limit == 0 {
		limit = o.Idle + time.Duration(o.Count)*o.Interval
	}
	at := o.Idle + o.Interval
	for at < limit {
		at += o.Interval
	}
	return at
}

// ShortestSilence returns how long a peer must at least be silent for Linux to reset an idle connection: it may fall silent when the first probe
// is due.
func (o Timeouts) ShortestSilence() time.Duration { return o.GivenUpAfter() - o.Idle }

// Read returns the options of the socket of a connection, and fails the test if it has none or sends no keep-alives.
func Read(t *testing.T, connection net.Conn) Timeouts {
	t.Helper()
	socket, ok := http1.Unwrap[*net.TCPConn](connection)
	if !ok {
		t.Fatal("the connection has no socket")
	}
	raw, err := socket.SyscallConn()
	assert.Must(t, err)
	var o Timeouts
	assert.Must(t, raw.Control(func(fd uintptr) {
		read := func(level, option int) int {
			value, err := unix.GetsockoptInt(int(fd), level, option)
			assert.NoError(t, err)
			return value
		}
		assert.Equal(t, 1, read(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
		o.UserTimeout = time.Duration(read(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		o.Idle = time.Duration(read(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
		o.Interval = time.Duration(read(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
		o.Count = read(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	}))
	return o
}
