package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/version"
	"github.com/dragonflyworks/dragonflyworks/router/admin"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/caller"
	"github.com/dragonflyworks/dragonflyworks/router/controller"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// build returns a dig container with the constructors of all parts of the router. The log is written to stderr.
func build(settings *Settings, stderr io.Writer) (*dig.Container, error) {
	container := dig.New()
	constructors := []any{
		func() *Settings { return settings },
		func() (log.Interface, error) { return newLogger(settings, stderr) },
		metrics.NewRegistry,
		func(r metrics.Registry) *blackboard.Board { return &blackboard.Board{Metrics: r} },
		newPlatformClient,
		newPlatformLog,
		newInstanceList,
		newPeerService,
		newLedgerClient,
		func(c *ledgerstream.Client) ledgerstream.Accounts { return c },
		newDispatcher,
		func(d *endpoint.Dispatcher) endpoint.CallSender { return d },
		newCallerServer,
		admin.NewServer,
		func(p *peerService) controller.ConfigurationPeers { return p },
		controller.NewConfiguration,
		newSnapshots,
		controller.NewInstances,
		newOrderer,
	}
	for _, c := range constructors {
		if err := container.Provide(c); err != nil {
			return nil, err
		}
	}
	return container, nil
}

func newLogger(settings *Settings, stderr io.Writer) (log.Interface, error) {
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("parsing --log-level: %w", err)
	}
	logger := &log.Logger{Level: level}
	switch settings.LogFormat {
	case "text":
		logger.Handler = text.New(stderr)
	default:
		logger.Handler = json.New(stderr)
	}
	return logger, nil
}

const (
	// platformDialTimeout is the maximum time for opening a connection to the platform.
	platformDialTimeout = 2 * time.Second
	// platformIdleTimeout is the time after which idle connections to the platform are closed. It has to be shorter than the
	// time after which middleboxes on the path drop idle connections without notice. The wait for the headers of a response has
	// the same limit.
	platformIdleTimeout = 30 * time.Second
)

// newPlatformClient returns the HTTP client for the platform. It ignores the proxy settings of the environment.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: http1.NewTransport(&http.Transport{
		DialContext:           (&net.Dialer{Timeout: platformDialTimeout}).DialContext,
		IdleConnTimeout:       platformIdleTimeout,
		ResponseHeaderTimeout: platformIdleTimeout,
		MaxIdleConnsPerHost:   4,
	})}
}

func newPlatformLog(settings *Settings, client *http.Client) (platform.Log, error) {
	return platform.NewHTTPLog(settings.Platform, client)
}

func newInstanceList(settings *Settings, client *http.Client) (platform.InstanceList, error) {
	return platform.NewHTTPInstanceList(settings.Platform, client)
}

func newLedgerClient(settings *Settings, platformLog platform.Log, registry metrics.Registry, logger log.Interface, peers *peerService) *ledgerstream.Client {
	ledgerSettings := ledgerstream.Settings{
		Instance:              settings.Instance,
		AvailabilityZone:      settings.AvailabilityZone,
		Region:                settings.Region,
		Version:               version.Current().Version,
		Lease:                 settings.Lease,
		LeaseMargin:           settings.LeaseMargin,
		FleetAppendsPerSecond: settings.FleetAppendsPerSecond,
		SnapshotInterval:      settings.SnapshotInterval,
		Logger:                logger,
	}
	if peers.node != nil {
		ledgerSettings.PeerAddress = settings.PeerListen
		ledgerSettings.Relay = peers.node
	}
	client := ledgerstream.NewClient(platformLog, ledgerSettings, registry)
	peers.client = client
	return client
}

func newDispatcher(settings *Settings, board *blackboard.Board, client *ledgerstream.Client) *endpoint.Dispatcher {
	return endpoint.NewDispatcher(board, endpoint.Settings{
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		CrashLog:         client,
	})
}

func newCallerServer(settings *Settings, board *blackboard.Board, accounts ledgerstream.Accounts, dispatcher endpoint.CallSender) *caller.Server {
	return caller.NewServer(board, accounts, dispatcher, caller.Settings{
		MaxHeaderBytes: settings.HeaderBytes,
		BodyTimeout:    settings.BodyTimeout,
		BodyMemory:     settings.bodyMemory(),
		MaxKeyAge:      ledger.Window{}.MaxKeyAge(settings.FleetAppendsPerSecond),
	})
}

func newSnapshots(settings *Settings, board *blackboard.Board, platformLog platform.Log, client *ledgerstream.Client) *controller.ConfigurationSnapshotWriter {
	return controller.NewConfigurationSnapshotWriter(board, platformLog, client, settings.SnapshotInterval)
}
