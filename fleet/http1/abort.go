// Package http1 tells how HTTP/1 answers end, and ends those that can't be completed.
package http1

import (
	"net"
	"net/http"
)

// Abort ends an answer of which a part was written, so that the caller can't take it for complete. It panics with
// http.ErrAbortHandler. An HTTP/1.0 answer without a length ends where its connection is closed, so the connection is reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if connection, _, err := http.NewResponseController(w).Hijack(); err == nil {
			Reset(connection)
		}
	}
	panic(http.ErrAbortHandler)
}

// Reset closes a connection with a TCP reset, after which the kernel holds nothing of it.
func Reset(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if tcp, ok := Unwrap[*net.TCPConn](connection); ok {
		_ = tcp.SetLinger(0)
	}
}
