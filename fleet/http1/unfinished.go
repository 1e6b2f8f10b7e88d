package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// ResetUnfinished makes a server reset a caller's connection if it ends before an answer that ends with the connection is complete. That holds
// for a process that is killed, too: the kernel would otherwise end the connection like that of a complete answer. It returns the listener on
// which the server must serve, and must be called before that.
func ResetUnfinished(server *http.Server, listener net.Listener) net.Listener {
	server.Handler, server.ConnContext = resettingHandler{next: server.Handler}, withConnection
	return resettingListener{Listener: listener}
}

// resettingListener accepts connections that can be reset when the process ends.
type resettingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l resettingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if tcp, ok := accepted.(*net.TCPConn); ok && err == nil {
		return &resettingConnection{TCPConn: tcp}, nil
	}
	return accepted, err
}

// resettingConnection is a caller's connection that is reset when it is closed or its process ends while an answer is unfinished.
type resettingConnection struct {
	*net.TCPConn

	mu sync.Mutex
	// resets reports whether the kernel resets the connection when it is closed, isUnfinished whether the newest answer is not yet complete,
	// hasFailed whether a write failed, so that no answer can be completed.
	resets, isUnfinished, hasFailed bool
}

// NetConn returns the wrapped connection.
func (c *resettingConnection) NetConn() net.Conn { return c.TCPConn }

// begin is called before an answer begins.
func (c *resettingConnection) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets, c.isUnfinished = true, true
	_ = c.SetLinger(0)
}

// finish is called after the handler has written the whole answer. The connection still resets until Close, because net/http's buffers hold the
// end of the answer.
func (c *resettingConnection) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isUnfinished = false
}

// Write implements net.Conn.
func (c *resettingConnection) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hasFailed = true
	}
	return n, err
}

// Close implements net.Conn. After a whole answer, the kernel still sends what it holds of it.
func (c *resettingConnection) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resets && !c.isUnfinished && !c.hasFailed {
		_ = c.SetLinger(-1)
	}
	return c.TCPConn.Close()
}

type connectionKey struct{}

// withConnection adds a connection to the context of its requests. It is the hook http.Server.ConnContext.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	if c, ok := Unwrap[*resettingConnection](connection); ok {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	return ctx
}

// resettingHandler has the connections of HTTP/1.0 callers reset until their answers are complete. Answers of HTTP/1.1 have a length or chunks.
type resettingHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h resettingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(*resettingConnection)
	if !ok || r.ProtoAtLeast(1, 1) {
		h.next.ServeHTTP(w, r)
		return
	}
	c.begin()
	isWhole := false
	defer func() {
		if isWhole || w.Header().Get("Content-Length") != "" {
			c.finish()
		}
	}()
	h.next.ServeHTTP(w, r)
	isWhole = true
}
