package tcptest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// Process is an HTTP server whose connections end together when its process does. The next process listens at once.
type Process struct {
	// IdleTimeout is how long a connection without a request stays open; zero for ever.
	IdleTimeout time.Duration
	// Answer answers a request, after which its connection is closed.
	Answer func(p *Process, connection net.Conn)

	listener net.Listener

	mu   sync.Mutex
	open map[net.Conn]bool
}

// Start listens until the end of the test and returns the address.
func (p *Process) Start(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	p.listener, p.open = listener, make(map[net.Conn]bool)
	t.Cleanup(func() {
		_ = listener.Close()
		p.End()
	})
	go p.loop()
	return listener.Addr().String()
}

func (p *Process) loop() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.open[connection] = true
		p.mu.Unlock()
		go p.run(connection)
	}
}

func (p *Process) run(connection net.Conn) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, connection)
		_ = connection.Close()
	}()
	if p.IdleTimeout > 0 {
		_ = connection.SetReadDeadline(time.Now().Add(p.IdleTimeout))
	}
	if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
		p.Answer(p, connection)
	}
}

// End closes all connections, as the kernel does when a process ends.
func (p *Process) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
	clear(p.open)
}
