// Package connection injects connection faults into a server: open connections that stop answering while new ones work, and
// reused connections that are closed when the next request arrives.
package connection

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// Faults controls the connection faults of one server. The zero value injects none.
type Faults struct {
	mutex sync.Mutex
	open  map[*Connection]struct{}
	// silenceNew reports whether each connection becomes silent at its first request.
	silenceNew bool
	// abortsBeforeRun and abortsAfterRun are the numbers of upcoming requests on reused connections that are aborted before
	// and after their run.
	abortsBeforeRun int
	abortsAfterRun  int
}

// Connection is an accepted connection that can become silent: open, but without any data from the server.
type Connection struct {
	net.Conn
	faults   *Faults
	silent   atomic.Bool
	requests atomic.Int64
}

// Write discards the data if the connection is silent, and reports success.
func (c *Connection) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection and removes it from the set of open connections.
func (c *Connection) Close() error {
	c.faults.mutex.Lock()
	delete(c.faults.open, c)
	c.faults.mutex.Unlock()
	return c.Conn.Close()
}

// WrapListener wraps a listener so that faults can be injected into its connections.
func (f *Faults) WrapListener(listener net.Listener) net.Listener {
	return &faultyListener{Listener: listener, faults: f}
}

type faultyListener struct {
	net.Listener
	faults *Faults
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Connection{Conn: accepted, faults: l.faults}
	l.faults.mutex.Lock()
	defer l.faults.mutex.Unlock()
	if l.faults.open == nil {
		l.faults.open = make(map[*Connection]struct{})
	}
	l.faults.open[c] = struct{}{}
	return c, nil
}

type contextKey struct{}

// ConnContext stores the connection in the context of its requests. It has the signature of http.Server.ConnContext.
func (f *Faults) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

func connectionOf(ctx context.Context) *Connection {
	c, _ := ctx.Value(contextKey{}).(*Connection)
	return c
}

// SilenceOpen silences all open connections except the given one, which may be nil.
func (f *Faults) SilenceOpen(except *Connection) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for c := range f.open {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// SilenceNew sets whether connections become silent at their first request.
func (f *Faults) SilenceNew(on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.silenceNew = on
}

// AbortReused makes the server abort the next beforeRun requests on reused connections before they run, and the following
// afterRun requests after their run. None of them gets an answer.
func (f *Faults) AbortReused(beforeRun, afterRun int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.abortsBeforeRun, f.abortsAfterRun = beforeRun, afterRun
}

// Middleware applies the faults to all requests except those of the control paths.
func (f *Faults) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if c == nil || strings.HasPrefix(r.URL.Path, "/control/") {
			next.ServeHTTP(w, r)
			return
		}
		first := c.requests.Add(1) == 1
		if f.applySilence(c, first) {
			// net/http detects that the caller has closed the connection only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		switch f.nextAbort(first) {
		case abortBeforeRun:
			panic(http.ErrAbortHandler)
		case abortAfterRun:
			next.ServeHTTP(&discardingWriter{}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (f *Faults) applySilence(c *Connection, first bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if first && f.silenceNew {
		c.silent.Store(true)
	}
	return c.silent.Load()
}

// abort tells whether the server aborts a request and, if so, at which point.
type abort int

const (
	abortNone abort = iota
	abortBeforeRun
	abortAfterRun
)

func (f *Faults) nextAbort(first bool) abort {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case first:
		return abortNone
	case f.abortsBeforeRun > 0:
		f.abortsBeforeRun--
		return abortBeforeRun
	case f.abortsAfterRun > 0:
		f.abortsAfterRun--
		return abortAfterRun
	default:
		return abortNone
	}
}

// discardingWriter discards the answer to a request that is aborted after its run.
type discardingWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardingWriter) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}

// Write implements http.ResponseWriter.
func (d *discardingWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardingWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discardingWriter) Flush() {}

// HandleSilence handles the control request that silences connections. The parameter Open=true silences all open
// connections except that of the control request. New=true makes later connections silent; without it they are not.
func (f *Faults) HandleSilence(w http.ResponseWriter, r *http.Request) {
	serve.ControlHandler(func(q *serve.Query) func() {
		open, silenceNew := q.Bool("Open"), q.Bool("New")
		return func() {
			f.SilenceNew(silenceNew)
			if open {
				f.SilenceOpen(connectionOf(r.Context()))
			}
		}
	})(w, r)
}

// HandleCloseReused handles the control request that closes reused connections. The parameters Unrun and Ran are the
// numbers of requests to abort before and after their run.
func (f *Faults) HandleCloseReused(w http.ResponseWriter, r *http.Request) {
	serve.ControlHandler(func(q *serve.Query) func() {
		beforeRun, afterRun := q.Int("Unrun"), q.Int("Ran")
		return func() { f.AbortReused(beforeRun, afterRun) }
	})(w, r)
}
