package http1

import (
	"net"

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

// socketState is what is known of the other end of a connection.
type socketState int

const (
	// socketOpen also stands for a connection that isn't TCP, of which nothing is known.
	socketOpen socketState = iota
	// socketEnded means that the other end has ended the connection, socketReset that it has reset it or this end has closed it.
	socketEnded
	socketReset
)

// stateOf returns the state of a connection.
func stateOf(connection net.Conn) socketState {
	tcp, ok := Unwrap[*net.TCPConn](connection)
	if !ok {
		return socketOpen
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return socketReset
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil || infoErr != nil:
		return socketReset
	case info.State == unix.BPF_TCP_ESTABLISHED:
		return socketOpen
	case info.State == unix.BPF_TCP_CLOSE_WAIT:
		return socketEnded
	default:
		return socketReset
	}
}
