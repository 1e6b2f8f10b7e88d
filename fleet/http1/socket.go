package http1

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Unwrap returns the connection of a type inside a connection, or false if there is none.
func Unwrap[T net.Conn](connection net.Conn) (T, bool) {
	for {
		if inner, ok := connection.(T); ok {
			return inner, true
		}
		wrapper, ok := connection.(interface{ NetConn() net.Conn })
		if !ok {
			var none T
			return none, false
		}
		connection = wrapper.NetConn()
	}
}

// Control calls f with the socket of a connection. It returns false if the connection was closed or has none.
func Control(connection net.Conn, f func(fd int)) bool {
	tcp, ok := Unwrap[*net.TCPConn](connection)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// UnreadBytes returns the number of bytes that a connection has received and the process hasn't read; zero if that can't be determined.
func UnreadBytes(connection net.Conn) int {
	count := 0
	Control(connection, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCINQ); err == nil {
			count = n
		}
	})
	return count
}

// tcpInfo returns what the kernel knows of a connection. It fails with net.ErrClosed if this end has closed the connection, and with another error if the
// connection isn't TCP or the kernel doesn't tell.
func tcpInfo(connection net.Conn) (*unix.TCPInfo, error) {
	if _, ok := Unwrap[*net.TCPConn](connection); !ok {
		return nil, errors.ErrUnsupported
	}
	var info *unix.TCPInfo
	var err error
	if !Control(connection, func(fd int) { info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) }) {
		return nil, net.ErrClosed
	}
	return info, err
}

// SinceArrival returns how long ago the newest data arrived on a connection; zero if that can't be determined.
func SinceArrival(connection net.Conn) time.Duration {
	info, err := tcpInfo(connection)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// sinceEnd returns how long ago the other end ended a connection, also if this process was late to see it. It returns zero and false if the kernel doesn't
// tell.
func sinceEnd(connection net.Conn) (ago time.Duration, isTold bool) {
	info, err := tcpInfo(connection)
	if err != nil || info.State != unix.BPF_TCP_CLOSE_WAIT {
		return 0, false
	}
	// What ends the connection acknowledges what came before, and nothing does after it.
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}

// HasLeft reports whether the other end has ended or reset a connection, or this end has closed it, as far as the kernel knows: also before a read returns
// that. It returns false if the kernel doesn't tell.
func HasLeft(connection net.Conn) bool { return stateOf(connection).isOver() }

// socketState is what the kernel tells of a connection.
type socketState int

const (
	// socketUnknown means that the kernel doesn't tell or the connection isn't TCP. Only reads show the end of such a connection.
	socketUnknown socketState = iota
	socketOpen
	// socketEnded means that the other end has ended the connection, socketReset that it has reset it or this end has closed it.
	socketEnded
	socketReset
)

// isOver reports whether the kernel tells that the other end has ended or reset a connection, or this end has closed it.
func (s socketState) isOver() bool { return s == socketEnded || s == socketReset }

// stateOf returns the state of a connection.
func stateOf(connection net.Conn) socketState { return toldState(tcpInfo(connection)) }

// toldState returns the state of a connection from the answer of the kernel.
func toldState(info *unix.TCPInfo, err error) socketState {
	switch {
	case errors.Is(err, net.ErrClosed):
		return socketReset
	case err != nil, info.State == 0:
		return socketUnknown
	case info.State == unix.BPF_TCP_ESTABLISHED:
		return socketOpen
	case info.State == unix.BPF_TCP_CLOSE_WAIT:
		return socketEnded
	default:
		return socketReset
	}
}
