package endpoint

import (
	"cmp"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// Defaults for the settings that are zero. DefaultMaxIdleConnections, which bounds the idle connections to one endpoint,
// and DefaultMaxResponseHeaderBytes have no setting and always apply.
const (
	DefaultMaxBufferedBytes       = 256 << 10
	DefaultMaxLineBytes           = 256 << 10
	DefaultMaxEventBytes          = 512 << 10
	DefaultWriteTimeout           = 10 * time.Second
	DefaultDialTimeout            = 2 * time.Second
	DefaultIdleTimeout            = 30 * time.Second
	DefaultProbeTimeout           = 2 * time.Second
	DefaultProbePath              = "/healthz"
	DefaultTickInterval           = 100 * time.Millisecond
	DefaultQueueLength            = 256
	DefaultQueueTimeout           = 2 * time.Second
	DefaultMaxIdleConnections     = 64
	DefaultMaxResponseHeaderBytes = 64 << 10
	DefaultLoadPollInterval       = 1 * time.Second
	DefaultLoadPath               = "/control/load"
)

// Settings configures a dispatcher. Zero values are replaced by the defaults.
type Settings struct {
	// Region and AvailabilityZone locate the router.
	Region           string
	AvailabilityZone string
	// MaxBufferedBytes is the maximum size of a response without streaming that is buffered completely before any of it
	// goes to the caller.
	MaxBufferedBytes int64
	// MaxLineBytes and MaxEventBytes are the maximum sizes of a line and of an event in an event stream.
	MaxLineBytes  int
	MaxEventBytes int
	// WriteTimeout is the maximum duration of one write to a caller.
	WriteTimeout time.Duration
	// DialTimeout is the maximum duration of opening a connection to an endpoint.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection to an endpoint is closed.
	IdleTimeout time.Duration
	// ProbeTimeout is the maximum duration of a probe and of a poll of an engine's load.
	ProbeTimeout time.Duration
	// ProbePath is the path that probes request. Any response shows that the endpoint is alive.
	ProbePath string
	// LoadPollInterval is the minimum time between two polls of an engine's load, at LoadPath.
	LoadPollInterval time.Duration
	LoadPath         string
	// Policy weighs proximity, load and prefix-cache affinity in the selection of an endpoint.
	Policy endpoint.Policy
	// CrashLog exchanges crash reports with the other routers. If it is nil, the router uses only the crashes that it
	// sees itself.
	CrashLog CrashLog
	// TickInterval is the time between two checks of ejected endpoints and wait queues.
	TickInterval time.Duration
	// QueueLength is the maximum number of calls that wait for one service, or for one model if the service's
	// endpoints are known to serve different models. QueueTimeout is the maximum time that a call waits.
	QueueLength  int
	QueueTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	s.MaxBufferedBytes = cmp.Or(s.MaxBufferedBytes, DefaultMaxBufferedBytes)
	s.MaxLineBytes = cmp.Or(s.MaxLineBytes, DefaultMaxLineBytes)
	s.MaxEventBytes = cmp.Or(s.MaxEventBytes, DefaultMaxEventBytes)
	s.WriteTimeout = cmp.Or(s.WriteTimeout, DefaultWriteTimeout)
	s.DialTimeout = cmp.Or(s.DialTimeout, DefaultDialTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, DefaultIdleTimeout)
	s.ProbeTimeout = cmp.Or(s.ProbeTimeout, DefaultProbeTimeout)
	s.ProbePath = cmp.Or(s.ProbePath, DefaultProbePath)
	s.LoadPollInterval = cmp.Or(s.LoadPollInterval, DefaultLoadPollInterval)
	s.LoadPath = cmp.Or(s.LoadPath, DefaultLoadPath)
	s.TickInterval = cmp.Or(s.TickInterval, DefaultTickInterval)
	s.QueueLength = cmp.Or(s.QueueLength, DefaultQueueLength)
	s.QueueTimeout = cmp.Or(s.QueueTimeout, DefaultQueueTimeout)
	return s
}
