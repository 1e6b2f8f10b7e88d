// Package gateway is the HTTP proxy of a router. It matches a request to a route by host and path, authenticates the
// caller's team by its API key, reserves tokens from the team's prepaid budget, and forwards the request to an
// endpoint, whose answer it returns unchanged. An adapter defines the header names and the record formats of a site.
package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// Board is the state of a router that is shared between the followers of the platform's topics, which write it, and the
// handlers of requests, which read it.
type Board struct {
	// Configuration is the configuration in force; nil until the first one has been read.
	Configuration atomic.Pointer[site.Configuration]
	// Directory lists the endpoints; nil until their entries have been read once.
	Directory atomic.Pointer[site.Directory]
	// Evacuations are the evacuated availability zones; nil until they have been read, or if there are none.
	Evacuations atomic.Pointer[site.Evacuations]
	// DirectoryReadAt is when the newest successful read of the endpoints' entries ended; nil if nothing follows them.
	DirectoryReadAt atomic.Pointer[time.Time]
	// Leaving is true once the router shuts down and its readiness check asks the load balancer for no new requests.
	Leaving atomic.Bool
	// Stop is the schedule of the stop; nil until the router is told to stop.
	Stop atomic.Pointer[stopSchedule]
	// Overloaded is true while the router has more callers than it can serve in time.
	Overloaded atomic.Bool
	// Traffic counts the bytes on connections from callers and on those to endpoints and the platform.
	Traffic Traffic
	Metrics metrics.Registry
}

// Traffic counts the bytes received and sent since the router started.
type Traffic struct{ Received, Sent atomic.Int64 }

// byteCountingConnection adds the bytes that it reads and writes to a traffic count.
type byteCountingConnection struct {
	net.Conn

	traffic *Traffic
}

// NetConn returns the wrapped connection.
func (c *byteCountingConnection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *byteCountingConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *byteCountingConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// Count increments the counter of the given name.
func (b *Board) Count(name string) { metrics.GetOrRegisterCounter(name, b.Metrics).Inc(1) }
