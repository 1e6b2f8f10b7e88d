package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/router/admin"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/caller"
	"github.com/dragonflyworks/dragonflyworks/router/controller"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
	"github.com/dragonflyworks/dragonflyworks/router/order"
)

// errForced reports that a second signal came while requests were still running.
var errForced = errors.New("ended by a second signal with requests still running")

const (
	// readHeaderTimeout bounds the time in which a request's headers arrive.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout ends callers' connections without a request.
	idleTimeout = 2 * time.Minute
	// httpHeaderBytesLimit is where net/http itself gives up on headers; above --header-bytes, which answers with a counted refusal.
	httpHeaderBytesLimit = 2 << 20
	// readyPollInterval is the time between two looks at the ledger's client.
	readyPollInterval = 20 * time.Millisecond
)

// program is the router with all of its parts.
type program struct {
	dig.In

	Settings      *Settings
	Logger        log.Interface
	Board         *blackboard.Board
	Ledger        *ledgerstream.Client
	Dispatcher    *endpoint.Dispatcher
	Callers       *caller.Server
	Admin         *admin.Server
	Configuration *controller.Configuration
	Snapshots     *controller.ConfigurationSnapshots
	Instances     *controller.Instances
	Orders        *order.Orderer
	Peers         *peerService
}

// serve runs the router until a signal comes.
func serve(ctx context.Context, settings *Settings, stderr io.Writer, signals <-chan os.Signal) error {
	container, err := build(settings, stderr)
	if err != nil {
		return fmt.Errorf("building the program: %w", err)
	}
	return container.Invoke(func(p program) error { return p.run(ctx, signals) })
}

// run opens the listeners, starts every loop and ends them in order: callers first, the ledger last.
func (p *program) run(ctx context.Context, signals <-chan os.Signal) error {
	callers, err := p.listen(ctx, p.Settings.Listen, p.Callers.Handler())
	if err != nil {
		return fmt.Errorf("opening --listen: %w", err)
	}
	operators, err := p.listen(ctx, p.Settings.AdminListen, p.Admin.Handler())
	if err != nil {
		return fmt.Errorf("opening --admin-listen: %w", err)
	}
	if err := p.Peers.listen(ctx); err != nil {
		return fmt.Errorf("opening --peer-listen: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	loops, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{
		p.Ledger.Run, p.Dispatcher.Run, p.Configuration.Run, p.Snapshots.Run, p.Instances.Run, p.publishLedgerReady,
		p.Orders.Run, p.Peers.Run, callers.run, operators.run,
	} {
		loops.Go(func() error { return run(ctx) })
	}
	p.Logger.WithFields(log.Fields{
		"Listen":      callers.address(),
		"AdminListen": operators.address(),
		"Instance":    p.Settings.Instance,
	}).Info("router started")
	result := p.waitAndDrain(ctx, callers, signals)
	stop()
	// A loop that was stopped may report the end of its context: that is no failure.
	if err := loops.Wait(); err != nil && result == nil && !errors.Is(err, context.Canceled) {
		result = err
	}
	p.Logger.Info("router ended")
	return result
}

// publishLedgerReady puts on the blackboard whether the ledger can be used.
func (p *program) publishLedgerReady(ctx context.Context) error {
	for {
		ready := p.Ledger.Ready()
		if p.Board.LedgerReady.Swap(ready) != ready {
			p.Logger.WithField("Ready", ready).Info("ledger changed its state")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(readyPollInterval):
		}
	}
}

// listener is a server on an open socket.
type listener struct {
	server *http.Server
	socket net.Listener
}

func (p *program) listen(ctx context.Context, address string, handler http.Handler) (*listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    httpHeaderBytesLimit,
	}
	return &listener{server: server, socket: socket}, nil
}

func (l *listener) address() string { return l.socket.Addr().String() }

// run serves until ctx ends.
func (l *listener) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}
