package gateway

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/router/unacked"
)

// SetUserTimeout sets the TCP user timeout of a socket. It is meant as the Control function of a net.Dialer.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var socketErr error
	err := c.Control(func(fd uintptr) { socketErr = setUserTimeout(int(fd), acknowledgmentTimeout) })
	if err != nil {
		return err
	}
	return socketErr
}

func setUserTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// unacknowledged returns what the kernel knows of data that the peer of a connection has not acknowledged, and whether the connection has ended. It
// reports nothing if that can't be determined.
func unacknowledged(connection net.Conn) (report unacked.Report, isClosed bool) {
	isOpen := http1.Control(connection, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != nil || n == 0 {
			return
		}
		report.Bytes = n
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// The kernel has ended the connection, because the peer reset it or was given up.
			isClosed = info.State == unix.BPF_TCP_CLOSE
			report.Retransmissions, report.Probes = int(info.Retransmits), int(info.Probes)
			report.SinceAcknowledgment = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return report, isClosed || !isOpen
}
