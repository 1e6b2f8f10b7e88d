package endpoint

import (
	"cmp"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
)

// Defaults of the settings that are left at zero.
const (
	DefaultBufferBytes  = 256 << 10
	DefaultLineBytes    = 256 << 10
	DefaultEventBytes   = 512 << 10
	DefaultWriteTimeout = 10 * time.Second
	DefaultDialTimeout  = 2 * time.Second
	DefaultIdleTimeout  = 30 * time.Second
	DefaultProbeTimeout = 2 * time.Second
	DefaultProbePath    = "/healthz"
	DefaultTickInterval = 100 * time.Millisecond
	DefaultQueueLength  = 256
	DefaultQueueTimeout = 2 * time.Second
	DefaultIdlePerPool  = 64
	DefaultHeaderBytes  = 64 << 10
	DefaultLoadInterval = 1 * time.Second
	DefaultLoadPath     = "/control/load"
)

// Settings of the dispatcher; every zero takes its default.
type Settings struct {
	// Region and AvailabilityZone are those of the router.
	Region           string
	AvailabilityZone string
	// BufferBytes bounds what is held of a whole answer before any of it goes to the caller.
	BufferBytes int64
	// LineBytes and EventBytes bound one line and one event of an event stream.
	LineBytes  int
	EventBytes int
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	DialTimeout  time.Duration
	// IdleTimeout closes connections that carried nothing for that time.
	IdleTimeout  time.Duration
	ProbeTimeout time.Duration
	// ProbePath is asked of endpoints that are probed; any answer shows that the endpoint is alive.
	ProbePath string
	// LoadInterval is the time between two questions for an engine's load, at LoadPath.
	LoadInterval time.Duration
	LoadPath     string
	// Policy weighs nearness, load and affinity.
	Policy endpoint.Policy
	// Crashes tells the other routers of crashes and hears of theirs; nil does without.
	Crashes CrashLog
	// TickInterval is the time between two looks at ejections and waiting calls.
	TickInterval time.Duration
	// QueueLength bounds the calls that wait for one service, or for one model where its endpoints are known to serve
	// different ones; QueueTimeout is how long each waits.
	QueueLength  int
	QueueTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	s.BufferBytes = cmp.Or(s.BufferBytes, DefaultBufferBytes)
	s.LineBytes = cmp.Or(s.LineBytes, DefaultLineBytes)
	s.EventBytes = cmp.Or(s.EventBytes, DefaultEventBytes)
	s.WriteTimeout = cmp.Or(s.WriteTimeout, DefaultWriteTimeout)
	s.DialTimeout = cmp.Or(s.DialTimeout, DefaultDialTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, DefaultIdleTimeout)
	s.ProbeTimeout = cmp.Or(s.ProbeTimeout, DefaultProbeTimeout)
	s.ProbePath = cmp.Or(s.ProbePath, DefaultProbePath)
	s.LoadInterval = cmp.Or(s.LoadInterval, DefaultLoadInterval)
	s.LoadPath = cmp.Or(s.LoadPath, DefaultLoadPath)
	s.TickInterval = cmp.Or(s.TickInterval, DefaultTickInterval)
	s.QueueLength = cmp.Or(s.QueueLength, DefaultQueueLength)
	s.QueueTimeout = cmp.Or(s.QueueTimeout, DefaultQueueTimeout)
	return s
}
