package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// serverModeVariable is the environment variable that makes the test binary serve answers that never end instead of the tests.
const serverModeVariable = "DRAGONFLYWORKS_ENDLESS_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(serverModeVariable) != "" {
		serveUnfinished()
	}
	os.Exit(m.Run())
}

// writePart writes a part of an answer to the caller.
func writePart(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
}

// serveUnfinished prints the server's address and writes a part of the answer to each request.
func serveUnfinished() {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	_, _ = fmt.Fprintln(os.Stdout, listener.Addr())
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writePart(w)
		<-r.Context().Done()
	})}
	_ = server.Serve(ResetUnfinished(server, listener))
}

// newServer starts a server that resets unfinished answers.
func newServer(t *testing.T, answer http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(answer)
	server.Listener = ResetUnfinished(server.Config, server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// sendOld sends a request of HTTP/1.0 with some headers.
func sendOld(t *testing.T, address, header string) *net.TCPConn {
	t.Helper()
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(address, "http://"))
	assert.Must(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "GET / HTTP/1.0\r\nHost: h\r\n%s\r\n", header)
	assert.Must(t, err)
	return connection.(*net.TCPConn) //nolint:forcetypeassert // TCP only
}

// readPart reads an answer as far as writePart writes it.
func readPart(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	for {
		line, err := reader.ReadString('\n')
		assert.Must(t, err)
		if line == "\r\n" {
			break
		}
	}
	part := make([]byte, len("half"))
	_, err := io.ReadFull(reader, part)
	assert.Must(t, err)
	assert.Equal(t, "half", string(part))
}

// TestUnfinishedAnswerIsReset guards against a part of an answer to an HTTP/1.0 caller that ends as a whole one does.
func TestUnfinishedAnswerIsReset(t *testing.T) {
	assertReset := func(t *testing.T, reader *bufio.Reader) {
		t.Helper()
		_, err := io.ReadAll(reader)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
	t.Run("process killed", func(t *testing.T) {
		process := exec.CommandContext(t.Context(), os.Args[0])
		process.Env = append(os.Environ(), serverModeVariable+"=1")
		output, err := process.StdoutPipe()
		assert.Must(t, err)
		assert.Must(t, process.Start())
		address, err := bufio.NewReader(output).ReadString('\n')
		assert.Must(t, err)
		reader := bufio.NewReader(sendOld(t, strings.TrimSpace(address), ""))
		readPart(t, reader)
		assert.Must(t, process.Process.Kill())
		assertReset(t, reader)
		_ = process.Wait()
	})
	t.Run("server closed", func(t *testing.T) {
		server := newServer(t, func(w http.ResponseWriter, r *http.Request) {
			writePart(w)
			<-r.Context().Done()
		})
		reader := bufio.NewReader(sendOld(t, server.URL, ""))
		readPart(t, reader)
		assert.NoError(t, server.Config.Close())
		assertReset(t, reader)
	})
	t.Run("last write failed", func(t *testing.T) {
		server := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
			writePart(w)
			// net/http writes the rest when the handler has returned, after the deadline.
			_, _ = io.WriteString(w, "rest")
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		})
		reader := bufio.NewReader(sendOld(t, server.URL, ""))
		readPart(t, reader)
		assertReset(t, reader)
	})
}

// slowReaderPause is how long a slow caller waits before it reads.
const slowReaderPause = 50 * time.Millisecond

// TestWholeAnswerIsNotReset guards against whole answers to HTTP/1.0 callers that lose their end to a reset.
func TestWholeAnswerIsNotReset(t *testing.T) {
	for _, size := range []int{0, 1, 3000, 8 << 20} {
		for _, isSlow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, slow reader %v", size, isSlow), func(t *testing.T) {
				server := newServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", size)) })
				connection := sendOld(t, server.URL, "")
				if isSlow {
					time.Sleep(slowReaderPause)
				}
				response, err := http.ReadResponse(bufio.NewReader(connection), nil)
				assert.Must(t, err)
				defer func() { _ = response.Body.Close() }()
				read, err := io.Copy(io.Discard, response.Body)
				assert.NoError(t, err)
				assert.Equal(t, int64(size), read)
			})
		}
	}
	t.Run("answers with a length on a kept connection", func(t *testing.T) {
		server := newServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
		connection := sendOld(t, server.URL, "Connection: keep-alive\r\n")
		reader := bufio.NewReader(connection)
		for range 2 {
			response, err := http.ReadResponse(reader, nil)
			assert.Must(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NoError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, "whole", string(body))
			_, err = io.WriteString(connection, "GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n")
			assert.Must(t, err)
		}
	})
	t.Run("answer with a length before a panic", func(t *testing.T) {
		server := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			writePart(w)
			panic(http.ErrAbortHandler)
		})
		body, err := io.ReadAll(sendOld(t, server.URL, ""))
		assert.NoError(t, err)
		assert.Equal(t, true, strings.HasSuffix(string(body), "half"))
	})
}
