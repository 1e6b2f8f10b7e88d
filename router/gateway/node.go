package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

const (
	// headerTimeout bounds the time in which a request's headers arrive, idleTimeout how long a caller's connection may
	// be without a request: both above what operators allow callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 30 * time.Second
	// headerBytesHard is where net/http itself gives up on headers; above what operators allow.
	headerBytesHard = 1 << 20
	// leaveDelay is how long a router that was told to stop goes on as before: two looks of the balancer and a caller's
	// connection on its way. With the time until idle connections are closed it is below the 3 s after which operators allow
	// no new requests that are cut off at the end.
	leaveDelay = 2400 * time.Millisecond
	// settingsPause lies between two looks at whether the settings changed.
	settingsPause = 2 * time.Second
	// lastTime is the part of the grace in which the server shuts down.
	lastTime = 1 * time.Second
	// endMargin is the part of the grace that is left for returning shares.
	endMargin = 1100 * time.Millisecond
	// killMargin is the part of the grace that is left unused.
	killMargin = 200 * time.Millisecond
)

// Settings describe a node.
type Settings struct {
	// Listen, Ready and Metrics are the addresses for callers, for the balancer and for metrics; an empty one is not served.
	Listen, Ready, Metrics string
	// Grace is how long the router may take to end after it was told to.
	Grace time.Duration
	// Link is what the instance's link carries in each direction, in bytes a second; zero if that isn't known.
	Link float64
	// Changed reports whether the settings changed since they were last read, Reload reads them again; both may be nil.
	Changed func() bool
	Reload  func() error
}

// Node is a router with all its parts.
type Node struct {
	Settings       Settings
	Board          *Board
	Server         *Server
	Payer          *allowance.Holder
	Configurations *Configurations
	Directories    *Directories
	Routers        *Routers
	Logger         log.Interface

	callers callerConnections
	// answeredReady is what the balancer was last told.
	answeredReady atomic.Bool
}

// Run serves until a signal ends the router.
func (n *Node) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	callers := &http.Server{
		Handler: n.closing(n.Server), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytesHard,
		ConnState: n.callers.note,
	}
	operators := &http.Server{Handler: n.operators(), ReadHeaderTimeout: headerTimeout}
	loops, ctx := errgroup.WithContext(ctx)
	for _, l := range []struct {
		address string
		server  *http.Server
	}{{n.Settings.Listen, callers}, {n.Settings.Ready, operators}, {n.Settings.Metrics, operators}} {
		if l.address == "" {
			continue
		}
		socket, err := listen(ctx, l.address)
		if err != nil {
			return fmt.Errorf("listening on %s: %w", l.address, err)
		}
		if l.server == callers {
			socket = callerListener{Listener: socket, traffic: &n.Board.Traffic}
			n.callers.socket = socket
		}
		loops.Go(func() error { return serve(l.server, socket) })
	}
	if _, err := n.Routers.Node.Listen(ctx); err != nil {
		return err
	}
	loops.Go(func() error { return n.Routers.Node.Run(ctx) })
	watch := &loadWatch{
		board: n.Board, logger: n.Logger, routers: n.Routers.Roster.Len, overload: overload{link: n.Settings.Link},
	}
	loops.Go(func() error { return watch.run(ctx) })
	n.Server.TellRouters(n.Routers)
	loops.Go(func() error { return n.Routers.Run(ctx) })
	loops.Go(func() error { return n.Server.notes.run(ctx) })
	loops.Go(func() error { return n.Server.crashes.run(ctx, n.Routers) })
	payerContext, stopPayer := context.WithCancel(ctx)
	defer stopPayer()
	paying := &errgroup.Group{}
	paying.Go(func() error { return n.Payer.Run(payerContext) })
	loops.Go(func() error { return n.Configurations.Run(ctx) })
	loops.Go(func() error { return n.Directories.Run(ctx) })
	n.Logger.WithField("Listen", n.Settings.Listen).Info("router started")
	n.wait(ctx, signals)
	n.end(ctx, callers, stopPayer, paying)
	stop()
	_ = operators.Close()
	err := loops.Wait()
	n.Logger.Info("router ended")
	return err
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{Control: BoundSocket, KeepAliveConfig: KeepAlive()}).Listen(ctx, "tcp", address)
}

func serve(server *http.Server, socket net.Listener) error {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// wait returns once a signal tells the router to end. Settings that change without a signal are noticed too.
func (n *Node) wait(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n.Settings.Changed != nil && n.Settings.Changed() {
				n.reload()
			}
		case s := <-signals:
			if s != syscall.SIGHUP {
				n.Logger.WithField("Signal", s.String()).Info("router is leaving")
				return
			}
			n.reload()
		}
	}
}

func (n *Node) reload() {
	if n.Settings.Reload == nil {
		return
	}
	if err := n.Settings.Reload(); err != nil {
		n.Logger.WithError(err).Error("settings not reloaded")
		return
	}
	n.Logger.Info("settings reloaded")
}

// end tells the balancer at once, serves on until it has heard, takes no more connections, finishes the requests in progress
// and returns the shares.
func (n *Node) end(ctx context.Context, callers *http.Server, stopPayer context.CancelFunc, paying *errgroup.Group) {
	n.Board.Leaving.Store(true)
	n.Payer.Leave()
	until := time.Now().Add(n.Settings.Grace - endMargin)
	clock.Sleep(ctx, leaveDelay)
	closing, cancelClosing := context.WithDeadline(ctx, until.Add(-lastTime))
	n.callers.leave(closing)
	cancelClosing()
	grace, cancel := context.WithDeadline(context.WithoutCancel(ctx), until)
	defer cancel()
	if err := callers.Shutdown(grace); err != nil {
		n.Logger.WithError(err).Warn("requests are cut off at the end of the grace")
		_ = callers.Close()
	}
	stopPayer()
	_ = paying.Wait()
	last, cancelLast := context.WithDeadline(context.WithoutCancel(ctx), until.Add(endMargin-killMargin))
	defer cancelLast()
	if err := n.Payer.Return(last); err != nil {
		n.Logger.WithError(err).Warn("shares not returned")
	}
}

// closing asks callers of a router that is leaving or overloaded to open their next connection elsewhere.
func (n *Node) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Board.Leaving.Load() || n.Board.Overloaded.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// operators returns the routes of the balancer's and the metrics' listeners.
func (n *Node) operators() http.Handler {
	routes := chi.NewRouter()
	routes.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.Board.Metrics, w) })
	routes.NotFound(n.ready)
	return routes
}

// ready tells the balancer whether to send new work.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	known := n.Board.Configuration.Load() != nil && n.Board.Directory.Load() != nil && n.Payer.Known()
	ready := known && !n.Board.Leaving.Load() && !n.Board.Overloaded.Load()
	if n.answeredReady.Swap(ready) != ready {
		n.Logger.WithField("Ready", ready).Info("readiness changed")
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
