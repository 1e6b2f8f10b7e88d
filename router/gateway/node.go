package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/connections"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/timeofday"
	"github.com/dragonflyworks/dragonflyworks/fleet/version"
	"github.com/dragonflyworks/dragonflyworks/router/heap"
	"github.com/dragonflyworks/dragonflyworks/router/listener"
)

const (
	// headerTimeout bounds the time for reading a request's headers, idleTimeout how long a caller's connection may stay
	// open without a request. Both are above the limits that operators set for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 30 * time.Second
	// maxHeaderBytes is the size at which net/http itself rejects headers, before they are all parsed. It is above the limits that operators set;
	// a head of 1 MB in short fields takes some 25 MB.
	maxHeaderBytes = 64 << 10
	// maxOperatorHeaderBytes is the size at which net/http rejects the headers of operators and load balancers.
	maxOperatorHeaderBytes = 16 << 10
	// drainDelay is how long a router accepts connections after the signal to stop: for two readiness checks of the load
	// balancer and the setup of a caller's connection. The sum of drainDelay and the time until idle connections are
	// closed is below 3 s: operators don't allow a request that begins later than 3 s after the signal to be cut off.
	drainDelay = 2400 * time.Millisecond
	// settingsCheckInterval is the interval between two checks for changed settings.
	settingsCheckInterval = 2 * time.Second
)

// Settings configures a router process.
type Settings struct {
	// Listen, Ready and Metrics are the listen addresses for callers, for the load balancer's readiness checks and for
	// metrics. An empty address is not served.
	Listen, Ready, Metrics string
	// CallerLimits and OperatorLimits bound the connections of callers, and those of operators and load balancers.
	CallerLimits, OperatorLimits connections.Limits
	// Memory is the machine's memory in bytes; zero if unknown.
	Memory int64
	// Grace is the grace period: how long the router may take to end after the signal to stop.
	Grace time.Duration
	// LinkBytesPerSecond is the bandwidth of the instance's network link in each direction; zero if unknown.
	LinkBytesPerSecond float64
	// HasChanged reports whether the settings have changed since they were last read. Reload reads them again. Both may
	// be nil.
	HasChanged func() bool
	Reload     func() error
}

// Node is a router process with all its components.
type Node struct {
	Settings       Settings
	Board          *Board
	Server         *Server
	Payer          *allowance.Holder
	Configurations *Configurations
	Directories    *Directories
	Routers        *Routers
	Logger         log.Interface
	// Agreement receives the time of day on which this machine and those of other routers agree.
	Agreement *timeofday.Agreement

	callers callerConnections
	silent  silentCallers
	// endRequests ends the contexts of all requests in progress.
	endRequests context.CancelCauseFunc
	// lastReady is the result of the load balancer's last readiness check.
	lastReady atomic.Bool
}

// Run serves callers until a signal stops the router or the context ends.
func (n *Node) Run(ctx context.Context, signals Signals) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// Callers and other routers are served from here on.
	n.Server.ConnectRouters(n.Routers)
	callerServer := n.newCallerServer()
	operatorServer, operators := n.newOperatorServer()
	loops, ctx := errgroup.WithContext(ctx)
	loops.Go(func() error { return n.silent.run(ctx) })
	loops.Go(func() error { return operators.Run(ctx) })
	returner := &heap.Returner{Memory: n.Settings.Memory}
	loops.Go(func() error { return returner.Run(ctx) })
	if err := n.openListeners(ctx, loops, callerServer, operatorServer, operators); err != nil {
		return err
	}
	if _, err := n.Routers.Node.Listen(ctx); err != nil {
		return err
	}
	loops.Go(func() error { return n.Routers.Node.Run(ctx) })
	monitor := &loadMonitor{
		state: n.Board, logger: n.Logger, routerCount: n.Routers.Roster.Len, detector: overloadDetector{linkRate: n.Settings.LinkBytesPerSecond},
	}
	loops.Go(func() error { return monitor.run(ctx) })
	loops.Go(func() error { return n.Routers.Run(ctx) })
	loops.Go(func() error { return n.Server.notices.run(ctx) })
	loops.Go(func() error { return n.Server.crashes.run(ctx, n.Routers) })
	loops.Go(func() error { return n.Server.streams.run(ctx) })
	loops.Go(func() error { return (&numberingAsker{numberings: &n.Server.numberings, routers: n.Routers}).run(ctx) })
	claimer := &limitClaimer{server: n.Server, routers: n.Routers}
	loops.Go(func() error { return claimer.run(ctx) })
	comparer := &clockComparer{
		routers: n.Routers, agreement: n.Agreement, logger: n.Logger, readClocks: allowance.Now, isNeeded: n.Payer.NeedsTimeOfDay,
	}
	loops.Go(func() error { return comparer.run(ctx) })
	// Requests in progress still have to be paid for after another loop has failed.
	payerContext, stopPayer := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPayer()
	payerGroup := &errgroup.Group{}
	payerGroup.Go(func() error { return n.Payer.Run(payerContext) })
	n.followChanges()
	loops.Go(func() error { return n.Configurations.Run(ctx) })
	loops.Go(func() error { return n.Directories.Run(ctx) })
	built := version.Current()
	built.Register(n.Board.Metrics)
	n.Logger.WithFields(built).WithField("Listen", n.Settings.Listen).Info("router started")
	n.waitForShutdown(ctx, signals)
	n.shutDown(ctx, callerServer, stopPayer, payerGroup)
	stop()
	_ = operatorServer.Close()
	err := loops.Wait()
	n.Logger.Info("router ended")
	return err
}

// openListeners opens the listeners and serves their connections in loops.
func (n *Node) openListeners(
	ctx context.Context, loops *errgroup.Group, callerServer, operatorServer *http.Server, operators *listener.Limiter,
) error {
	for _, l := range []struct {
		address string
		server  *http.Server
		limits  connections.Limits
	}{
		{n.Settings.Listen, callerServer, n.Settings.CallerLimits}, {n.Settings.Ready, operatorServer, n.Settings.OperatorLimits},
		{n.Settings.Metrics, operatorServer, n.Settings.OperatorLimits},
	} {
		if l.address == "" {
			continue
		}
		socket, err := listen(ctx, l.address, l.limits.ReceiveBytes)
		if err != nil {
			return fmt.Errorf("listening on %s: %w", l.address, err)
		}
		if l.server == callerServer {
			limiter := n.acceptCallers(callerServer, socket)
			loops.Go(func() error { return limiter.Run(ctx) })
			socket = n.callers.listener
		} else {
			socket = operators.Wrap(socket)
		}
		loops.Go(func() error { return serve(l.server, socket) })
	}
	return nil
}

// followChanges has the server take note of new configurations and directories.
func (n *Node) followChanges() {
	configure := n.Configurations.OnChange
	n.Configurations.OnChange = func(c *site.Configuration) {
		configure(c)
		n.Server.targets.cold.Configure(c.Services)
		n.Server.reporter.Configure(c)
	}
	n.Directories.OnChange = func(directory *site.Directory) {
		n.Server.streams.observe(time.Now(), directory)
		n.Server.reporter.UpdateDirectory(directory)
		n.Server.targets.reviewEndpoints(directory)
	}
	n.Server.streams.newer.directories = n.Directories
	n.Directories.Cold = n.Server.targets.cold
	if n.Configurations.Evacuations != nil {
		n.Configurations.Evacuations.OnEnd = n.Server.recordEvacuationEnd
	}
}

// newCallerServer returns the HTTP server for callers. It sets the function that ends the requests in progress there, and what looks for silent
// callers.
func (n *Node) newCallerServer() *http.Server {
	n.silent = silentCallers{callers: &n.callers, logger: n.Logger, count: n.Board.Count}
	base, endRequests := context.WithCancelCause(context.Background())
	n.endRequests = endRequests
	return &http.Server{
		Handler: n.Server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: n.callers.trackState, BaseContext: func(net.Listener) context.Context { return base },
	}
}

// newOperatorServer returns the HTTP server for metrics and readiness checks, and what bounds its connections.
func (n *Node) newOperatorServer() (*http.Server, *listener.Limiter) {
	server := &http.Server{
		Handler: n.operatorRoutes(), ReadTimeout: headerTimeout, WriteTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxOperatorHeaderBytes,
	}
	return server, listener.Limit(server, listener.Settings{Limits: n.Settings.OperatorLimits, Count: n.Board.Count})
}

// acceptCallers sets the listener on which a server serves callers. It returns what bounds its connections.
func (n *Node) acceptCallers(server *http.Server, socket net.Listener) *listener.Limiter {
	limiter := listener.Limit(server, listener.Settings{Limits: n.Settings.CallerLimits, Refuse: refuseHead, Count: n.Board.Count})
	socket = limiter.Wrap(http1.ResetUnfinished(server, socket))
	n.callers.listener = callerListener{Listener: socket, traffic: &n.Board.Traffic, onClose: n.silent.recordClosed}
	server.ConnContext = withCaller(server.ConnContext)
	return limiter
}

// listen returns a listener whose connections have keep-alives and no TCP user timeout: Linux counts that also while a caller doesn't read, though
// the caller acknowledges each probe of its window. receiveBytes is the size of the connections' receive buffers; zero for the system's.
func listen(ctx context.Context, address string, receiveBytes int64) (net.Listener, error) {
	keepAlive := KeepAlive()
	keepAlive.Count = callerKeepAliveCount
	return (&net.ListenConfig{KeepAliveConfig: keepAlive, Control: listener.ReceiveBuffer(receiveBytes)}).Listen(ctx, "tcp", address)
}

func serve(server *http.Server, socket net.Listener) error {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// waitForShutdown returns once a signal to stop arrives or the context ends. Until then it reloads the settings on
// SIGHUP and whenever they have changed.
func (n *Node) waitForShutdown(ctx context.Context, signals Signals) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n.Settings.HasChanged != nil && n.Settings.HasChanged() {
				n.reload()
			}
		case s := <-signals.Stop:
			n.Logger.WithField("Signal", s.String()).Info("router is leaving")
			return
		case <-signals.Reload:
			n.reload()
		}
	}
}

func (n *Node) reload() {
	if n.Settings.Reload == nil {
		return
	}
	if err := n.Settings.Reload(); err != nil {
		n.Logger.WithError(err).Error("cannot reload the settings")
		return
	}
	n.Logger.Info("settings reloaded")
}

// shutDown fails the readiness check at once, ends the callers' requests and returns the shares. If ctx has ended because one of the router's
// loops failed, no more connections are accepted, and the requests in progress have the same time as in any other stop.
func (n *Node) shutDown(ctx context.Context, callerServer *http.Server, stopPayer context.CancelFunc, payerGroup *errgroup.Group) {
	now := time.Now()
	schedule := newStopSchedule(now, n.Settings.Grace)
	if ctx.Err() != nil {
		schedule.AcceptUntil = now
	}
	ctx = context.WithoutCancel(ctx)
	n.Board.Stop.Store(&schedule)
	n.Board.Leaving.Store(true)
	n.Payer.PrepareShutdown()
	n.stopCallers(ctx, callerServer, schedule)
	n.Server.exchanges.waitUntil(ctx, schedule.EndAt)
	stopPayer()
	_ = payerGroup.Wait()
	returnContext, cancelReturn := context.WithDeadline(ctx, schedule.ReturnUntil)
	defer cancelReturn()
	if err := n.Payer.ReturnShares(returnContext); err != nil {
		n.Logger.WithError(err).Warn("cannot return shares")
	}
}

// operatorRoutes returns the handler for metrics and readiness checks, which both of these listeners serve.
func (n *Node) operatorRoutes() http.Handler {
	routes := chi.NewRouter()
	routes.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.Board.Metrics, w) })
	routes.NotFound(n.serveReadiness)
	return routes
}

// serveReadiness answers the load balancer's readiness check. The status is 503 while the router should get no new
// requests.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	isInitialized := n.Board.Configuration.Load() != nil && n.Board.Directory.Load() != nil && n.Payer.AccountsRead()
	isReady := isInitialized && n.Routers.hasRoster.Load() && !n.Board.Leaving.Load() && !n.Board.Overloaded.Load()
	if n.lastReady.Swap(isReady) != isReady {
		n.Logger.WithField("Ready", isReady).Info("readiness changed")
	}
	if !isReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
