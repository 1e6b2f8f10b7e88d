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

	"github.com/dragonflyworks/dragonflyworks/fleet/connections"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/version"
	"github.com/dragonflyworks/dragonflyworks/router/admin"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/caller"
	"github.com/dragonflyworks/dragonflyworks/router/controller"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
	"github.com/dragonflyworks/dragonflyworks/router/heap"
	"github.com/dragonflyworks/dragonflyworks/router/listener"
	"github.com/dragonflyworks/dragonflyworks/router/order"
)

// errForced is returned when a second signal ends the router during its graceful shutdown.
var errForced = errors.New("ended by a second signal with requests still running")

const (
	// readHeaderTimeout is the maximum time for reading a request's headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time without a request after which a keep-alive connection is closed.
	idleTimeout = 2 * time.Minute
	// operatorTimeout is the maximum time for reading a request of operators, and for writing the answer.
	operatorTimeout = 30 * time.Second
	// operatorHeaderBytes is the maximum size of the headers of operators, minHTTPHeaderBytes the least size at which net/http rejects those of
	// callers without counting them. It is above --header-bytes, so that oversized headers normally get a counted refusal.
	operatorHeaderBytes = 16 << 10
	minHTTPHeaderBytes  = 64 << 10
	// readyPollInterval is the time between two checks whether the ledger client is ready.
	readyPollInterval = 20 * time.Millisecond
)

// program holds the parts of a router that run starts or uses. The dig container fills in its fields.
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
	Snapshots     *controller.ConfigurationSnapshotWriter
	Instances     *controller.Instances
	Orders        *order.Orderer
	Peers         *peerService
}

// serve runs the router until a signal or a failure ends it. It returns errForced after a second signal.
func serve(ctx context.Context, settings *Settings, stderr io.Writer, signals <-chan os.Signal) error {
	container, err := build(settings, stderr)
	if err != nil {
		return fmt.Errorf("building the router: %w", err)
	}
	return container.Invoke(func(p program) error { return p.run(ctx, signals) })
}

// run opens the listeners and runs all background loops. After a signal it drains the router, callers' requests first and the
// ledger last, and only then stops the loops.
func (p *program) run(ctx context.Context, signals <-chan os.Signal) error {
	callers, err := p.listenForCallers(ctx)
	if err != nil {
		return fmt.Errorf("opening --listen: %w", err)
	}
	operators, err := p.listenForOperators(ctx)
	if err != nil {
		return fmt.Errorf("opening --admin-listen: %w", err)
	}
	if err := p.Peers.listen(ctx); err != nil {
		return fmt.Errorf("opening --peer-listen: %w", err)
	}
	// The listeners serve until the requests in progress were answered, also after a loop has failed.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	loops, ctx := errgroup.WithContext(ctx)
	for _, l := range []*httpListener{callers, operators} {
		loops.Go(func() error { return l.run(serving) })
	}
	for _, run := range []func(context.Context) error{
		p.Ledger.Run, p.Dispatcher.Run, p.Configuration.Run, p.Snapshots.Run, p.Instances.Run, p.publishLedgerReady,
		p.Orders.Run, p.Peers.Run, callers.limiter.Run, operators.limiter.Run, (&heap.Returner{Memory: p.Settings.memoryBytes()}).Run,
	} {
		loops.Go(func() error { return run(ctx) })
	}
	built := version.Current()
	built.Register(p.Board.Metrics)
	p.Logger.WithFields(built).WithFields(log.Fields{
		"Listen":      callers.address(),
		"AdminListen": operators.address(),
		"Instance":    p.Settings.Instance,
	}).Info("router started")
	result := p.waitAndDrain(ctx, callers, signals)
	stopServing()
	stop()
	// Loops that stop may return context.Canceled, which is not a failure.
	if err := loops.Wait(); err != nil && result == nil && !errors.Is(err, context.Canceled) {
		result = err
	}
	p.Logger.Info("router ended")
	return result
}

// publishLedgerReady copies the readiness of the ledger client to the blackboard until ctx ends.
func (p *program) publishLedgerReady(ctx context.Context) error {
	for {
		ready := p.Ledger.Ready()
		if p.Board.LedgerReady.Swap(ready) != ready {
			p.Logger.WithField("Ready", ready).Info("ledger readiness changed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(readyPollInterval):
		}
	}
}

// httpListener is an HTTP server with its open socket.
type httpListener struct {
	server *http.Server
	socket net.Listener
	// limiter bounds the connections.
	limiter *listener.Limiter
	// endRequests ends the contexts of all requests in progress.
	endRequests context.CancelCauseFunc
}

// listenForCallers opens the callers' listener.
func (p *program) listenForCallers(ctx context.Context) (*httpListener, error) {
	server := &http.Server{
		Handler: p.Callers.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: max(minHTTPHeaderBytes, 2*p.Settings.HeaderBytes),
	}
	return listen(ctx, p.Settings.Listen, server, listener.Settings{Limits: p.Settings.callerLimits(), Refuse: caller.RefuseHead, Count: p.Board.Count})
}

// listenForOperators opens the operators' listener.
func (p *program) listenForOperators(ctx context.Context) (*httpListener, error) {
	server := &http.Server{
		Handler: p.Admin.Handler(), ReadTimeout: operatorTimeout, ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: operatorTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: operatorHeaderBytes,
	}
	return listen(ctx, p.Settings.AdminListen, server, listener.Settings{Limits: connections.OperatorLimits(), Count: p.Board.Count})
}

// listen opens the socket of a server whose connections are bounded.
func listen(ctx context.Context, address string, server *http.Server, bounds listener.Settings) (*httpListener, error) {
	socket, err := (&net.ListenConfig{Control: listener.ReceiveBuffer(bounds.Limits.ReceiveBytes)}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	base, endRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	server.BaseContext = func(net.Listener) context.Context { return base }
	limiter := listener.Limit(server, bounds)
	return &httpListener{
		server: server, socket: limiter.Wrap(http1.ResetUnfinished(server, socket)), limiter: limiter, endRequests: endRequests,
	}, nil
}

func (l *httpListener) address() string { return l.socket.Addr().String() }

// run serves requests until ctx ends, and then closes all connections. A graceful Shutdown makes Serve return earlier; run still
// waits for ctx, so that a forced exit closes the connections of requests in flight.
func (l *httpListener) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}
