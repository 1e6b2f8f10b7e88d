package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// pipelineBytes is more than the sockets of a connection hold.
const pipelineBytes = 32 << 20

// dialEnding opens a connection of DialForResponses to a server that, after the first byte, writes "part" and then ends the connection as given.
func dialEnding(t *testing.T, end func(connection *net.TCPConn)) net.Conn {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = accepted.Close() }()
		_, _ = accepted.Read(make([]byte, 1))
		_, _ = io.WriteString(accepted, "part")
		tcp, _ := accepted.(*net.TCPConn)
		end(tcp)
	}()
	connection, err := DialForResponses(nil)(t.Context(), "tcp", listener.Addr().String())
	assert.Must(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// TestResetThatWriteMeets guards against a reset that is read as the end of a response.
func TestResetThatWriteMeets(t *testing.T) {
	for range 20 {
		connection := dialEnding(t, func(connection *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			_ = connection.SetLinger(0)
		})
		written := make(chan error)
		go func() {
			_, err := connection.Write(make([]byte, pipelineBytes))
			written <- err
		}()
		content, err := io.ReadAll(connection)
		assert.Equal(t, "part", string(content))
		assert.ErrorIs(t, err, syscall.ECONNRESET)
		assert.Fails(t, <-written)
	}
}

// TestResetAfterEnd guards against whole responses that are cut because the server reset the connection after it had ended it, before the client has read.
func TestResetAfterEnd(t *testing.T) {
	reset := make(chan struct{})
	connection := dialEnding(t, func(connection *net.TCPConn) {
		_ = connection.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		_ = connection.SetLinger(0)
		_ = connection.Close()
		close(reset)
	})
	_, err := connection.Write(make([]byte, pipelineBytes))
	assert.Equal(t, true, errors.Is(err, syscall.EPIPE))
	<-reset
	content, err := io.ReadAll(connection)
	assert.NoError(t, err)
	assert.Equal(t, "part", string(content))
}

// TestEndDuringWrite guards against a response that is read only when the server has read the request to its end.
func TestEndDuringWrite(t *testing.T) {
	goesOn := make(chan struct{})
	defer close(goesOn)
	connection := dialEnding(t, func(connection *net.TCPConn) {
		_ = connection.CloseWrite()
		<-goesOn
	})
	go func() { _, _ = connection.Write(make([]byte, pipelineBytes)) }()
	content, err := io.ReadAll(connection)
	assert.NoError(t, err)
	assert.Equal(t, "part", string(content))
}
