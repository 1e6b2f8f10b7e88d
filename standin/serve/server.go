// Package serve contains the HTTP server and the helpers for requests and answers that all simulated services share.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
)

const (
	// headerTimeout is the time limit for reading the headers of a request.
	headerTimeout = 10 * time.Second
	// drainTimeout is the time that requests in flight have to finish at shutdown, before their connections are closed.
	drainTimeout = 5 * time.Second
)

// Server serves an HTTP handler at one address.
type Server struct {
	// Listen is an IP address with a port.
	Listen  string
	Handler http.Handler
	Logger  log.Interface
	// Wrap wraps the listener; nil leaves it unchanged.
	Wrap func(net.Listener) net.Listener
	// Context derives the context for the requests of a connection; nil leaves it unchanged.
	Context func(context.Context, net.Conn) context.Context
}

// Run serves until the context is done. Requests in flight then have drainTimeout to finish, but Run returns without
// waiting for them.
func (s *Server) Run(ctx context.Context) error {
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		return fmt.Errorf("listen address %q is not an IP address with a port: %w", s.Listen, err)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if s.Wrap != nil {
		listener = s.Wrap(listener)
	}
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout, ConnContext: s.Context}
	s.Logger.WithField("Listen", s.Listen).Info("serving")
	stop := context.AfterFunc(ctx, func() { shutDown(server) })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
