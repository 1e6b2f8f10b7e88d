// Package connection gives a server faults of its callers' connections: connections that go silent
// while new ones work, and reused connections that are closed as the next request arrives.
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

// Faults switches the faults of one server's connections. The zero value has none.
type Faults struct {
	mutex sync.Mutex
	open  map[*Connection]struct{}
	// silentNew silences each connection at its first request.
	silentNew bool
	// closeUnrun and closeRan count the requests on reused connections that are still to be broken off.
	closeUnrun int
	closeRan   int
}

// Connection is an accepted connection that can go silent.
type Connection struct {
	net.Conn
	faults   *Faults
	silent   atomic.Bool
	requests atomic.Int64
}

// Write drops what is written to a silent connection.
func (c *Connection) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close forgets the connection.
func (c *Connection) Close() error {
	c.faults.mutex.Lock()
	delete(c.faults.open, c)
	c.faults.mutex.Unlock()
	return c.Conn.Close()
}

// Listener returns a listener whose connections obey the faults.
func (f *Faults) Listener(listener net.Listener) net.Listener {
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

// Context makes the connection known to the handlers of its requests; it fits http.Server.ConnContext.
func (f *Faults) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

func of(ctx context.Context) *Connection {
	c, _ := ctx.Value(contextKey{}).(*Connection)
	return c
}

// SilenceOpen silences every connection that is open now, except for one.
func (f *Faults) SilenceOpen(except *Connection) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for c := range f.open {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// SilenceNew says whether connections go silent at their first request.
func (f *Faults) SilenceNew(on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.silentNew = on
}

// CloseReused closes reused connections as the next request arrives: unrun requests are broken off
// before they run, ran requests afterwards, without an answer.
func (f *Faults) CloseReused(unrun, ran int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closeUnrun, f.closeRan = unrun, ran
}

// Handler applies the faults to every request but those of the control path.
func (f *Faults) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := of(r.Context())
		if c == nil || strings.HasPrefix(r.URL.Path, "/control/") {
			next.ServeHTTP(w, r)
			return
		}
		first := c.requests.Add(1) == 1
		if f.silences(c, first) {
			// The server notices that the caller goes away only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		switch f.breaksOff(first) {
		case breakUnrun:
			panic(http.ErrAbortHandler)
		case breakRan:
			next.ServeHTTP(&discardingWriter{}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (f *Faults) silences(c *Connection, first bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if first && f.silentNew {
		c.silent.Store(true)
	}
	return c.silent.Load()
}

type breakOff int

const (
	breakNone breakOff = iota
	breakUnrun
	breakRan
)

func (f *Faults) breaksOff(first bool) breakOff {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case first:
		return breakNone
	case f.closeUnrun > 0:
		f.closeUnrun--
		return breakUnrun
	case f.closeRan > 0:
		f.closeRan--
		return breakRan
	default:
		return breakNone
	}
}

// discardingWriter takes the answer of a request that is broken off after it ran.
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

// Silence is the control request that silences connections: Open=true those that are open now,
// New=true or New=false whether later ones go silent.
func (f *Faults) Silence(w http.ResponseWriter, r *http.Request) {
	serve.Control(func(q *serve.Query) func() {
		open, later := q.Bool("Open"), q.Bool("New")
		return func() {
			f.SilenceNew(later)
			if open {
				f.SilenceOpen(of(r.Context()))
			}
		}
	})(w, r)
}

// Close is the control request that closes reused connections: Unrun and Ran say how often.
func (f *Faults) Close(w http.ResponseWriter, r *http.Request) {
	serve.Control(func(q *serve.Query) func() {
		unrun, ran := q.Int("Unrun"), q.Int("Ran")
		return func() { f.CloseReused(unrun, ran) }
	})(w, r)
}
